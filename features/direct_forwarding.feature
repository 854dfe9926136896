Feature: Requests sent to runners directly
  Answers that callers get when runners disconnect, refuse, stop sending or answer twice.

  Scenario Outline: A caller gets one whole and correct answer
    # Guards against mixed, duplicated or truncated answers and against unsafe retries when a runner
    # fails before or during its answer.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <first> and then <second>
    When a caller sends a request on the <kind> route
    Then the caller gets <answer>
    And the runners received <sends> requests that may have run

    Examples:
      | kind         | first                      | second                 | answer                     | sends |
      | idempotent   | answer                     | answer                 | the whole answer           | 1     |
      | idempotent   | reset without an answer    | answer                 | the whole answer           | 2     |
      | idempotent   | refuse as full             | answer                 | the whole answer           | 1     |
      | idempotent   | fail with status 500       | answer                 | the whole answer           | 2     |
      | idempotent   | fail with status 500       | fail with status 500   | status 500 of the runner   | 2     |
      | idempotent   | break off in the body      | answer                 | the whole answer           | 2     |
      | idempotent   | answer without a length    | answer                 | the whole answer           | 1     |
      | idempotent   | answer without a seal      | answer                 | the whole answer           | 2     |
      | at-most-once | answer                     | answer                 | the whole answer           | 1     |
      | at-most-once | reset without an answer    | answer                 | status 502, outcome unknown | 1    |
      | at-most-once | fail with status 500       | answer                 | status 500 of the runner   | 1     |
      | at-most-once | refuse as full             | refuse as full         | status 503, outcome not-run | 0    |
      | stream       | answer                     | answer                 | all events once            | 1     |
      | stream       | break off within an event  | answer                 | all events once            | 2     |
      | stream       | reset after two events     | answer                 | all events once            | 2     |
      | stream       | reset after two events     | reset after two events | a broken stream            | 2     |
      | stream       | answer without a length    | answer                 | all events once            | 1     |
      | stream       | reset without a length     | answer                 | all events once            | 2     |

  Scenario Outline: What follows a stream that has begun and broken off
    # Guards against the text of another answer in the middle of a stream, and against streams that
    # end as whole although events are missing.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that reset after two events and then <second>
    When a caller sends a request on the stream route
    Then the caller gets a broken stream
    And the stream has two events

    Examples:
      | second                      |
      | answer with a page          |
      | answer with an object       |
      | answer with an empty body   |
      | answer with an empty object |
      | fail with status 500        |
      | refuse as full              |
      | stop within the head        |

  Scenario Outline: A runner stops within the head of its answer
    # Guards against a short answer that is framed as whole.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that stop within the head and then <second>
    When a caller sends a request on the <kind> route
    Then the caller gets <answer>

    Examples:
      | kind         | second               | answer                      |
      | idempotent   | answer               | the whole answer            |
      | idempotent   | stop within the head | status 502, outcome unknown |
      | at-most-once | answer               | status 502, outcome unknown |
      | stream       | answer               | all events once             |
      | stream       | stop within the head | status 502, outcome unknown |

  Scenario Outline: A copy of a refusal comes when the caller repeats its request
    # Guards against "not run" for a request that runs: the copy on a kept connection has the
    # identifier of the repeated request.
    Given runners that in turn refuse as full, refuse as full, then repeat the refusal before and answer
    When a caller sends a request on the <kind> route and repeats it after the refusal
    Then the caller gets the whole answer
    And the runners received 1 requests that may have run

    Examples:
      | kind         |
      | idempotent   |
      | at-most-once |

  Scenario: An extra answer on a kept connection goes to nobody
    # Guards against an answer to an earlier request, left unread on a connection that is used
    # again.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer twice and then answer
    When a caller sends two requests on the idempotent route one after the other
    Then each of the two gets its own answer

  Scenario: A caller that leaves ends its stream at the runner
    # Guards against runners that go on working for callers who have disconnected.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that send two events and fall silent and then answer
    When a caller leaves a stream after its first event
    Then the runner sees the end of the connection within 0.5 s

  Scenario: A request that nobody can serve is refused at once
    # Guards against requests that wait until their deadline although no runner exists.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And no runner
    When a caller sends a request on the at-most-once route
    Then the caller gets status 503, outcome not-run
    And the answer came within 0.2 s with a retry time

  Scenario: The account of a key replaces what the caller claims
    # Guards against account keys that reach runners, and against accounts that callers forge in
    # headers.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When a caller sends a request with a key and with headers that the system sets
    Then the runner gets the account of the key, itself as the expected runner and no key

  Scenario Outline: Requests that the catalog does not allow
    # Guards against requests that run for unknown keys or on unknown routes.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When a caller sends a request with <fault>
    Then the caller gets status <status>

    Examples:
      | fault               | status |
      | an unknown key      | 401    |
      | an unknown path     | 404    |
      | no identifier       | 400    |

  Scenario: A request that crosses the close of an idle connection is not passed on
    # Guards against a request that runs although its caller's connection was closed in a drain.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When the entry process closes a connection as a request arrives
    Then the request is answered whole or reaches no runner

  Scenario: A request that waits at a runner whose version goes out of date is moved
    # Guards against answers of an out-of-date version when no load order has arrived.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that wait without an answer and then answer
    When the version of the first runner goes out of date while a stream waits there
    Then the caller gets all events once
    And the first runner sees the end of the connection within 0.1 s of that time

  Scenario: Closed connections are forgotten
    # Guards against memory that grows with each caller, and drains that wait for closed
    # connections.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When five callers send a request each and close their connections
    Then the entry process counts no open connection

  Scenario: Half-sent and idle connections give way
    # Guards against callers that are refused because inactive connections use up the limit.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When 60 connections send half a header each to an entry process with a limit of 20
    And 40 callers send a short request each
    Then all 40 are answered
    And no half-sent connection is open after the header timeout

  Scenario: A caller for whom no connection gives way
    # Guards against a connection that is closed without an answer or a log line.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that wait without an answer and then answer
    When an entry process with a limit of 1 connection handles a request
    Then another connection gets 503 with a retry time

  Scenario: A drain ends each connection with the answer under way
    # Guards against a request that is accepted long after the start of a drain and cut off at its
    # end.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer with a pause and then answer
    When the drain ends keep-alive while a stream is under way and its caller sends a request after it
    Then the stream is whole, its connection ends and the other request reaches no runner


  Scenario: A stream goes on elsewhere when its runner is to load a version
    # Load: a roll-out, in which each runner ends its running requests before it loads. Guards
    # against runners that are unavailable for seconds because of their last streams.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer slowly and then answer
    When the first runner begins an order while a stream is under way there
    Then the caller gets all events once
    And the first runner sees the end of the connection within 1.5 s of the order

  Scenario: A stream stays at a runner that is to load a version while the others are full
    # Guards against streams that are interrupted and then wait in another runner's queue.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer slowly and then answer
    When the first runner begins an order while a stream is under way there and the other one is full
    Then the caller gets all events once
    And the runners received 1 requests that may have run

  Scenario: A stream that may not be sent again stays at a runner that is to load a version
    # Guards against retries beyond the budget, and streams that are cut off when it is used up.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer slowly and then answer
    When the first runner begins an order while a stream is under way there without a retry budget
    Then the caller gets all events once
    And the runners received 1 requests that may have run
