Feature: Answers that are none
  What callers get and what a process uses when a backend server sends bytes of no answer.

  Scenario Outline: Bytes without end
    Guards against a backend server that sends until the connection closes, and so fills the memory
    of an entry process or occupies a request and the processor until the deadline.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <first> and then answer
    When a caller sends a request on the <kind> route
    Then the caller gets <answer>
    And the answer came within 1.5 s
    And the runner sent at most 16 MB before the connection was closed

    Examples:
      | kind         | first                             | answer                      |
      | idempotent   | send a body without end           | the whole answer            |
      | idempotent   | send chunks without end           | the whole answer            |
      | idempotent   | send a header without end         | the whole answer            |
      | idempotent   | send headers without end          | the whole answer            |
      | idempotent   | send interim answers without end  | the whole answer            |
      | idempotent   | send other answers without end    | the whole answer            |
      | idempotent   | send another body without end     | the whole answer            |
      | idempotent   | send noise without end            | the whole answer            |
      | at-most-once | send a body without end           | status 502, outcome unknown |
      | at-most-once | send other answers without end    | status 502, outcome unknown |
      | stream       | send an event without end         | all events once             |
      | stream       | send another body without end     | all events once             |
      | stream       | send a header without end         | all events once             |

  Scenario: The log tells why an answer was refused
    Guards against a log that shows only a lost connection and not its cause.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that send a body without end and then answer
    When a caller sends a request on the idempotent route
    Then the log names the request and what was refused

  Scenario Outline: A server that sends a byte now and then
    Guards against stalled answers that last until the deadline because each byte counts as
    progress.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <first> and then answer
    When a caller sends a request on the <kind> route
    Then the caller gets <answer>
    And the answer came within 2 s

    Examples:
      | kind       | first            | answer           |
      | stream     | trickle an event | all events once  |
      | idempotent | trickle a body   | the whole answer |

  Scenario: A slow but sound stream is not cut
    Guards against streams that are treated as stalled while their events keep arriving.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer slowly and then answer
    When a caller sends a request on the stream route
    Then the caller gets all events once
    And the runners received 1 requests that may have run

  Scenario Outline: A second copy of an answer that comes with the next request
    Guards against the answer to the previous request, when its copy arrives after the check that
    the idle connection has no unread bytes.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <behaviour> and then <behaviour>
    When a caller sends five requests on the idempotent route one after the other
    Then each of the five gets its own answer

    Examples:
      | behaviour                                       |
      | repeat the answer before                        |
      | repeat the answer before without its identifier |
