Feature: Runners that say they leave
  A leaving runner announces it in all its answers, and goes on answering for seconds.

  Scenario Outline: A runner that says it leaves receives nothing more
    # Guards against requests to a runner that is about to end, before its list entry is updated.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that <first> while leaving and then answer
    When a caller sends a request on the <kind> route and 8 more on the idempotent one
    Then the 8 are answered whole and none of them reached the runner that leaves
    And it sees the end of all its connections
    And the log names the runner and the request whose answer announced it

    Examples:
      | kind         | first                    |
      | idempotent   | answer                   |
      | idempotent   | refuse as full           |
      | idempotent   | refuse as another runner |
      | idempotent   | fail with status 500     |
      | idempotent   | break off in the body    |
      | idempotent   | answer without a seal    |
      | idempotent   | answer without a length  |
      | idempotent   | answer twice             |
      | at-most-once | answer                   |
      | at-most-once | fail with status 500     |
      | stream       | answer                   |
      | stream       | reset after two events   |

  Scenario: The head of a stream is announcement enough, and the stream is whole
    # Guards against requests that are sent to a leaving runner until its long answers have ended,
    # and against streams that are cut off there.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer slowly while leaving and then answer
    When 8 requests on the idempotent route follow the head of a stream
    Then the caller gets all events once
    And the 8 are answered whole and none of them reached the runner that leaves
    And it sees the end of all its connections

  Scenario: Many callers while a runner begins to leave
    # Guards against requests that reach a leaving runner on kept connections and in retries,
    # although a caller has already received its announcement.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And one of the runners begins to leave after 60 answers
    When 20 callers send 10 requests each on kept connections
    Then all are answered whole
    And no request that was sent after a caller got the announcement reached the runner that leaves
    And it sees the end of all its connections

  Scenario: A request that was placed before the announcement is not sent after it
    # Guards against a request that reaches a leaving runner because its connection opened slowly.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When the chosen runner announces that it leaves while the connection for a request opens
    Then the caller gets the whole answer
    And the runner that leaves received 0 requests

  Scenario Outline: Idle connections to a runner that is about to end
    # Guards against idle connections that use up connection slots of a leaving runner.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer and then answer
    When the entry of a runner with an idle connection <change>
    Then the runner sees the end of that connection

    Examples:
      | change               |
      | tells that it leaves |
      | is removed           |

  Scenario: A stream is not moved to a runner that leaves
    # Guards against streams that are resumed at a runner that is about to end.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer slowly and then answer
    When the first runner begins an order while a stream is under way there and the other one leaves
    Then the caller gets all events once
    And the runners received 1 requests that may have run

  Scenario: All runners of a service leave
    # Guards against requests that wait until their deadline, or are sent to a leaving runner
    # because there is no other one.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that answer while leaving and then answer while leaving
    When a caller sends two requests and then a third one on the at-most-once route
    Then the caller gets status 503, outcome not-run
    And the answer came within 0.2 s with a retry time
    And the runners received 2 requests that may have run

  Scenario: The last runner says that it leaves while a request is held
    # Guards against held requests that wait for a slot at a runner that may receive no requests.
    Given a full runner that leaves while a request is held for it
    When the runner announces that it leaves
    Then the request is refused within 0.2 s with the retry time for a new runner

  Scenario Outline: What ends the leaving of a runner
    # Guards against a leaving runner that is used again because of a list entry from before its
    # announcement, and against a restarted runner that is never used.
    Given a listed runner that leaves by its <way>
    When <event> follows
    Then the runner that left is <state>

    Examples:
      | way          | event                                      | state    |
      | announcement | its entry, ready, at a newer revision      | not used |
      | announcement | its entry, draining, at a newer revision   | not used |
      | announcement | its entry, ready, at an older revision     | not used |
      | announcement | a later incarnation at a newer revision    | used     |
      | announcement | a later incarnation at an older revision   | not used |
      | announcement | an earlier incarnation at a newer revision | not used |
      | announcement | another address at a newer revision        | used     |
      | announcement | its removal and its entry                  | not used |
      | announcement | its removal and an earlier incarnation     | used     |
      | announcement | its removal while the platform is away     | not used |
      | announcement | its agent's report of a free runner        | not used |
      | announcement | an answer without the announcement         | not used |
      | entry        | its entry, ready, at a newer revision      | used     |
      | entry        | its entry, ready, at an older revision     | not used |
      | entry        | a later incarnation at a newer revision    | used     |
      | entry        | its announcement and its entry             | not used |
      | entry        | its agent's report of a free runner        | not used |

  Scenario: Each state and what follows from it
    # Guards against a state from which an event wrongly makes the runner usable, or that never
    # ends.
    Then the states of one incarnation change as follows
      | state                  | ready             | draining               | announcement      | removed | expired | not back               |
      | serving                | serving           | leaving-by-publication | leaving-announced | gone    | assumed | serving                |
      | assumed                | serving           | leaving-by-publication | gone              | gone    | assumed | gone                   |
      | leaving-by-publication | serving           | leaving-by-publication | leaving-announced | gone    | gone    | leaving-by-publication |
      | leaving-announced      | leaving-announced | leaving-announced      | leaving-announced | gone    | gone    | leaving-announced      |
      | gone                   | serving           | leaving-by-publication | gone              | gone    | gone    | gone                   |
      | gone, by announcement  | leaving-announced | leaving-announced      | gone              | gone    | gone    | gone                   |

  Scenario: The memory of runners that left is bounded
    # Guards against memory that grows with each runner that ever existed, and against an
    # announcement that is forgotten while the runner still answers.
    Given a listed runner that leaves by its announcement
    When its entry is removed and 1199 other runners come and go
    And a late entry lists it as ready
    Then the runner that left is not used
    When its entry is removed and 1200 other runners come and go
    And a late entry lists it as ready
    Then the runner that left is used

  Scenario: Removals are trusted again between two heartbeats
    # Guards against requests that a removed runner gets until the next heartbeat.
    Given a listed runner whose entry is removed while the platform is away
    When the platform answers again and 2.25 s pass without a heartbeat
    Then the runner gets no request, also none that was placed before

  Scenario: A runner that is only assumed to live says that it leaves
    # Guards against an entry that is never removed because its removal came before the
    # announcement.
    Given a listed runner whose entry is removed while the platform is away
    When an answer announces that it leaves
    Then the runner is forgotten

  Scenario: Another runner at the address of one that left
    # Guards against a new runner that is mistaken for the one that had its address.
    Given a listed runner that leaves by its announcement
    When another runner is listed at its address
    Then the other one is used

  Scenario: The announcement of an earlier incarnation
    # Guards against a restarted runner that is excluded because of a late answer.
    Given a listed runner that leaves by its entry
    When a later incarnation is listed and an answer of the earlier one announces that it leaves
    Then the runner that left is used

  Scenario: A leaving runner is no part of a roll-out
    # Guards against load orders that wait for a leaving runner.
    Given a listed runner that leaves by its entry
    Then the agents count 0 members of its model

  Scenario: Any order of entries, words, crashes, reuse and restarts
    # Guards against an order of events in which an incarnation is used after its announcement.
    Then in any history no incarnation is used after its announcement, and a newer one is
