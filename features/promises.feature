Feature: Checker of the promises
  A scenario with real processes is valid only if its checker detects each broken promise.

  Scenario: A clean record breaks no promise
    Guards against a checker with false positives.
    Given a record of one booking, one completion, one shutdown and one ticket in order
    Then the checker reports no promise

  Scenario Outline: Each broken promise is reported under its number
    Guards against a checker that accepts every record.
    Given a record of one booking, one completion, one shutdown and one ticket in order
    When the record is changed so that <fault>
    Then the checker reports promise <number>

    Examples:
      | fault                                      | number |
      | an answer mixes versions                   | 1      |
      | a part of another answer came              | 1      |
      | a short answer looks complete              | 2      |
      | a booking told as ran did not run          | 2      |
      | a booking told as not run ran              | 3      |
      | a booking ran before its repeat is refused | 3      |
      | a completion told as not run ran           | 3      |
      | a key ran on two hosts                     | 4      |
      | a body ran under two keys                  | 4      |
      | a leaving service got a late call          | 5      |
      | a leaving engine got a late call           | 5      |
      | a shutdown ended with a request            | 6      |
      | an answer broke during a shutdown          | 6      |
      | a process is late with a ticket            | 7      |
      | a process never holds a ticket             | 7      |
      | a process goes back to an older ticket     | 7      |
      | two processes differ at the same ticket    | 7      |

  Scenario: What a promise allows is not reported
    Guards against verdicts that depend on timing: a refusal before the attempt that ran, calls
    within 3 s of leaving, a broken answer before a shutdown, and a ticket younger than 7 s at the
    end.
    Given a record of one booking, one completion, one shutdown and one ticket in order
    When the record is changed to the very limit of what is allowed
    Then the checker reports no promise
