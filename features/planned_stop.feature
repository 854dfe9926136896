Feature: A process is stopped as planned
  What callers get whose requests are in progress, or arrive, while an entry process is stopped.

  Scenario Outline: A request at a runner that does not end within the grace period
    # Guards against requests that are cut off without an answer when the process ends.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <runner> and then answer
    When the process is stopped with a grace of 1 s while a request on the <kind> route is in progress
    Then the caller gets <answer>
    And the answer ends between 0.8 s and 1.0 s after the signal

    Examples:
      | kind         | runner                          | answer                      |
      | idempotent   | wait without an answer          | status 502, outcome unknown |
      | at-most-once | wait without an answer          | status 502, outcome unknown |
      | stream       | wait without an answer          | status 502, outcome unknown |
      | stream       | send two events and fall silent | a broken stream             |

  Scenario Outline: A request that arrives late in the grace period
    # Guards against requests that are taken although they cannot end before the process does.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <runner> and then <runner>
    And <known> requests on the <kind> route were answered before
    When a request with a limit of <limit> s on the <kind> route comes <late> s into a stop with a grace of 1 s
    Then the caller gets <answer>
    And the runners received <sends> requests in all

    Examples:
      | kind         | runner                 | known | limit | late | answer                      | sends |
      | at-most-once | wait without an answer | no    | 3.0   | 0.1  | status 503, outcome not-run | 0     |
      | at-most-once | wait without an answer | no    | 0.4   | 0.1  | status 504, outcome unknown | 1     |
      | at-most-once | answer                 | no    | 0.4   | 0.1  | the whole answer            | 1     |
      | at-most-once | answer                 | three | 3.0   | 0.1  | the whole answer            | 4     |
      | idempotent   | answer                 | three | 3.0   | 0.1  | the whole answer            | 4     |
      | stream       | answer slowly          | one   | 3.5   | 0.1  | status 503, outcome not-run | 1     |

  Scenario: A refused caller reaches another process
    # Guards against callers that return while the balancer still sends them to the same process.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    And no requests on the at-most-once route were answered before
    When a request with a limit of 3.0 s on the at-most-once route comes 0.1 s into a stop with a grace of 1 s
    Then the connection ends and the caller is to return later than 0.4 s after the signal

  Scenario: A body that ends late in the grace period
    # Guards against a request that is read whole after keep-alive has ended and then cut off.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that wait without an answer and then answer
    When the last byte of a request comes 0.7 s into a stop with a grace of 1 s
    Then the caller gets status 503, outcome not-run
    And the runners received 0 requests in all

  Scenario: A second signal
    # Guards against requests that are cut off without an answer when a stop is forced.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that wait without an answer and then answer
    When the process gets two signals while a request on the at-most-once route is in progress
    Then the caller gets status 502, outcome unknown
    And the answer ends between 0.0 s and 0.4 s after the signal

  Scenario: A request is held when the process ends
    # Guards against held requests that the end of the process cuts off.
    Given two held requests of a model
    When the process ends
    Then both are refused as not run at once

  Scenario Outline: A request arrives during a stop that began at 100 s with a grace of 8 s
    # Guards against non-repeatable requests that are taken and cut off, and against refusals of
    # requests that would have ended.
    When a request with its time limit at <deadline> s and a predicted run time of <run> s arrives at <now> s
    Then the decision is that it is <decision>

    Examples:
      | now   | deadline | run  | decision |
      | 100.0 | 106.0    | none | taken    |
      | 102.5 | 108.5    | none | refused  |
      | 102.5 | 108.5    | 3.0  | taken    |
      | 102.5 | 108.5    | 4.5  | refused  |
      | 105.0 | 111.0    | 0.5  | taken    |
      | 107.0 | 113.0    | 0.5  | refused  |
      | 107.0 | 107.4    | none | taken    |
      | 107.6 | 107.7    | 0.01 | refused  |

  Scenario: The process of the own interface is stopped
    # Guards against callers whose connection ends without an answer when `drain_s` is over, and
    # against requests that are taken although they cannot end by then.
    Given an entry host that is stopped within 2 s, before services that take 10 s
    When a stream, a lookup and a booking are in progress as it is stopped and another booking comes
    Then the stream ends with an error event, and the other two with status 502, outcome unknown
    And the other booking gets status 503, outcome not-run, and its connection ends

  Scenario Outline: The length of an answer that a stop assumes
    # Guards against refusals of streams that would have ended, as their callers name a limit far
    # above what they expect.
    When a request that <may be> repeated names at most <most> tokens and expects <expected>
    Then a stop assumes that its answer has <assumed> tokens

    Examples:
      | may be     | most | expected | assumed |
      | may be     | 260  | 60       | 120     |
      | may be     | 260  | 200      | 260     |
      | may be     | 260  | none     | 260     |
      | may be     | 0    | 60       | 120     |
      | may not be | 260  | 60       | 260     |
      | may not be | 0    | none     | 0       |
