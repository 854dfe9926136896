Feature: Memory of the answers that are buffered
  An answer that is no stream is buffered until it is whole, so that another attempt can replace it.

  Scenario: Large answers of many requests at once
    Guards against a process that runs out of memory, and ends the requests of all callers, since
    each of many answers is within its own limit.
    Given backend servers that send 4 MB of an answer and then fall silent
    When 8 callers send a request each to an entry process with 8 MiB for answers
    Then the process held at most 8.5 MiB of answers at any time
    And it holds nothing once all requests have ended

  Scenario: The largest unfinished answer is given up
    Guards against sound answers that are refused because a faulty server fills the memory.
    Given a memory of 1000000 bytes for answers
    When one answer takes 900000 bytes and another one 200000
    Then the first is given up and the second is held
    And a third one of 900000 bytes, which is the largest, is refused
    And one of 16000 bytes always has room

  Scenario: An answer that its caller receives is held until then
    Guards against memory that is given to others while the bytes are still there.
    Given a memory of 1000000 bytes for answers
    When a whole answer of 900000 bytes is sent to its caller
    Then one of 200000 bytes is refused until the caller has taken the whole answer

  Scenario: A caller that does not read
    Guards against memory that stays counted after its caller has left.
    Given backend servers that answer with 3 MB
    When a caller that does not read its answer leaves after 0.3 s
    Then the process held the answer until then, and holds nothing afterwards

  Scenario Outline: An answer that is whole is not given up for another one
    Guards against a caller who gets an empty answer, as the memory of a whole one was needed
    between its end and its way to the caller.
    Given a backend server that answers with 900 KB and status <status>
    When another answer needs the memory after the end of this one
    Then the caller gets the 900 KB with status <status>

    Examples:
      | status |
      | 200    |
      | 500    |

  Scenario: An answer that cannot be written
    Guards against memory that stays counted after an error while an answer is written.
    When a whole answer cannot be written to its caller
    Then its memory is given up at the end of the request
