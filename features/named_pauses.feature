Feature: Runners that name a time for which they want no request
  A runner that refuses a request with 503 may name a time in seconds. From half a second after the
  refusal until the end of that time, the entry process sends it no requests.

  Scenario Outline: A runner that named a time is left alone until its end
    # Guards against requests that reach a runner within the time that it named: new ones, and
    # retries after a failure at another runner.
    Given runners that in turn refuse and name 1.5 s, then <then>
    When callers send a request on the <kind> route each 25 ms for 2.4 s
    Then no request reaches a runner from half a second after its refusal to the end of its time
    And the runner that named a time gets requests after its end

    Examples:
      | kind         | then                    |
      | idempotent   | answer                  |
      | at-most-once | answer                  |
      | stream       | answer                  |
      | idempotent   | reset without an answer |
      | idempotent   | refuse as full          |

  Scenario: All runners have named a time
    # Guards against callers that wait, or that retry before any runner can serve them, and against
    # requests to paused runners of a plain service, whose fallback is runners in backoff only.
    Given runners that in turn refuse and name 1.2 s, refuse and name 1.6 s, then answer
    When callers send a request on the idempotent route each 25 ms for 2.2 s
    Then no request reaches a runner from half a second after its refusal to the end of its time
    And each refused caller gets the outcome not-run at once
    And none of them gets a retry time before the end of the first named time
    And the log has one line for each refusal with its time

  Scenario: A request gets its connection after the runner named a time
    # Guards against a request that was placed before the refusal and is sent long after it.
    Given runners that in turn refuse and name 1.5 s, then answer
    When a request that waits 0.6 s for its connection was placed before the runner refused one
    Then no request reaches a runner from half a second after its refusal to the end of its time
    And the caller of the request that waited gets the whole answer

  Scenario: The body of the refusal comes slowly
    # Guards against a time that takes effect only when the whole refusal has been read.
    Given runners that in turn refuse and name 1.5 s with a slow body, then answer
    When callers send requests each 25 ms for 1.4 s while the other runner looks loaded
    Then no request reaches a runner from half a second after its refusal to the end of its time

  Scenario Outline: A runner that named a time leaves the list and comes back
    # Guards against a time that is forgotten with the list entry, and against a new incarnation
    # that is not used because an earlier one named a time.
    Given runners that in turn refuse and name 1.5 s, then answer
    When the runner that refused is listed again <again> at 0.2 s while callers go on
    Then it gets requests <when> the end of its time

    Examples:
      | again                             | when       |
      | in the same incarnation           | only after |
      | in a later incarnation            | before     |
      | in a later and the same incarnation | only after |

  Scenario: No stream moves to a runner that named a time
    # Guards against moves to a runner that refuses, which cut off the stream.
    Given runners that in turn refuse and name 6 s, answer, then answer slowly
    When the runner of a stream is to load a version after the other one has named a time
    Then the caller gets all events once
    And no request reaches a runner from half a second after its refusal to the end of its time

  Scenario: Two entry processes are told different times
    # Guards against a time that one entry process takes over from another.
    Given runners that in turn refuse and name 2.2 s, refuse and name 2.2 s, refuse and name 0.9 s, refuse and name 0.9 s, then answer
    When two entry processes send requests each 25 ms for 2.6 s
    Then each process respects the times that it received and no longer

  Scenario Outline: What a runner may say
    # Guards against values that exclude a runner forever or without reason, or that end a process.
    When a refusal names <text>
    Then the runner gets no request for <seconds> s and the log says <reading>

    Examples:
      | text                          | seconds | reading    |
      | nothing                       | 0       | nothing    |
      | 2                             | 2       | exact      |
      | 0.25                          | 0.25    | exact      |
      | 0                             | 0       | over       |
      | -5                            | 0       | over       |
      | 3600                          | 3600    | exact      |
      | 3601                          | 3600    | limited    |
      | 400 nines                     | 3600    | limited    |
      | Wed, 21 Oct 2026 07:28:00 GMT | 3       | unreadable |
      | soon                          | 3       | unreadable |
      | nan                           | 3       | unreadable |
      | inf                           | 3       | unreadable |
      | 1e9                           | 3       | unreadable |
      | 1_0                           | 3       | unreadable |
      | ٣                             | 3       | unreadable |
      | 2, 7                          | 7       | exact      |
      | 1, soon                       | 3       | unreadable |

  Scenario: No sequence of events lets requests reach a runner in its time
    # Guards against failures, list entries, incarnations, reports or later refusals that end a
    # named time early.
    When random requests, refusals, failures, lists and reports meet random delays of up to 0.2 s
    Then no request reached an incarnation from half a second after its refusal to the end of its time
    And each runner could be tried again soon after its time had ended

  Scenario Outline: A runner that named an hour
    # Guards against a runner that stays unused although it serves other entry processes.
    Given a runner that named 3600 s
    When <word> comes after <age> s
    Then the runner <may> be tried

    Examples:
      | word                                       | age  | may     |
      | nothing                                    | 3599 | may not |
      | nothing                                    | 3601 | may     |
      | its agent's report of running requests     | 50   | may not |
      | its agent's report of running requests     | 70   | may     |
      | its agent's report of no running request   | 70   | may not |
      | its agent's report of an order             | 70   | may not |
      | a later incarnation                        | 1    | may     |

  Scenario: Held requests when all runners have named a time
    # Guards against requests that are held although no runner can serve them in time.
    Given a full runner for which a request is held
    When the runner names 5 s
    Then the held request is refused within 0.2 s with a retry time after the runner's pause

  Scenario: Held requests when the named time ends soon
    # Guards against a refusal of requests that can still be served.
    Given a full runner for which a request is held
    When the runner names 0.4 s and has room after it
    Then the held request is sent after the runner's pause

  Scenario Outline: Requests return in growing numbers
    # Guards against a burst of requests at a runner whose time has ended, which makes it refuse
    # again.
    Given a runner that refuses as full after interval <full>
    When 100 requests are ready for a runner each 0.11 s after its time has ended
    Then <numbers> are sent in the intervals

    Examples:
      | full | numbers            |
      | 9    | 1, 1, 2, 4, 8, 100 |
      | 2    | 1, 1, 2, 0, 1, 1   |

  Scenario: A request that comes while few return is held
    # Guards against a refusal of requests that can be served a moment later.
    Given a runner whose time has ended and which got its first requests
    When another request comes
    Then it is held and sent within 0.3 s

  Scenario Outline: Callers while runners want no request
    # Load: 10 runners behind 7 entry processes; some runners request a pause from 4 to 5.5 s.
    # Callers retry once after a refusal; only those who arrive from 4 to 9 s are counted.
    # Guards against attempts that are spent on runners that refuse, and against retry times that
    # are too early.
    When <paused> of 10 runners request a pause of 1.5 s at <rate> times the load
    Then no request reaches a runner within its pause, where some did before
    And callers get at least as much as before, and no more of them are lost

    Examples:
      | paused | rate |
      | 3      | 0.8  |
      | 10     | 0.8  |
      | 4      | 1.0  |

  Scenario: Runners that name a time when they are full
    # Load: as above at 1.3 times the runners' capacity; a runner with 6 waiting requests names 1 s.
    # Single seeds differ by more than the means, so more of them are simulated.
    # Guards against requests that all return at once and fill the runner again.
    When full runners request a pause of 1 s at 1.3 times the load
    Then no request reaches a runner within its pause, where some did before
    And callers get at least as much as before, and no more of them are lost
    And runners are full less often than before, and than when all requests return at once
