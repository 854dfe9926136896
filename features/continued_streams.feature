Feature: Answers that have begun go on
  A caller that holds a part of an answer cannot be refused any more. Its stream ends early only when
  its time is up, its caller has left, or no run is left that may go on with it.

  Scenario Outline: A stream that has begun outlives runners that do not run it
    # Guards against streams that are cut in the middle because the next runner refused them.
    Given runners that in turn reset after two events, <next>, then answer
    When a caller sends a request on the stream route
    Then the caller gets all events once
    And the runners received 2 requests that may have run

    Examples:
      | next                                                |
      | refuse as full                                      |
      | refuse as full, refuse as full                      |
      | refuse as full, refuse as full, refuse as full      |
      | refuse as another runner, refuse as another runner  |
      | refuse as too many, refuse as too many              |
      | refuse and name 0.6 s                               |
      | refuse and name 0.6 s, refuse and name 0.6 s        |
      | refuse as full while naming a limit of 2            |
      | refuse as full while leaving                        |

  Scenario Outline: A stream that has begun waits while nothing can go on with it
    # Guards against streams that are cut in the middle because no runner could be used at one moment.
    Given runners that in turn reset after two events, then answer
    When a caller sends a request on the stream route and for 0.8 s after its second event <trouble>
    Then the caller gets all events once
    And the runners received 2 requests that may have run

    Examples:
      | trouble                                     |
      | no runner is listed                         |
      | the runners accept no connections           |
      | the runners have asked for a pause          |
      | the runners load a version                  |
      | the retry budget is used up                 |
      | a part of its prompt is being probed        |

  Scenario Outline: A stream that has begun ends when nothing may go on with it
    # Guards against streams that wait although no runner may get them, and against endless sends.
    Given runners that in turn reset after two events, then <then>
    When a caller sends a request on the stream route and for 9 s after its second event <trouble>
    Then the caller gets a broken stream
    And the stream has two events
    And the answer came after <least> to <most> s
    And the runners received at most <sends> requests
    And the log names <reason> as the reason of its end

    Examples:
      | then                   | trouble                        | least | most | sends | reason         |
      | refuse as full         | nothing else happens           | 2.8   | 3.5  | 9     | time-up        |
      | answer                 | no runner is listed            | 2.8   | 3.5  | 1     | no-backend     |
      | answer                 | the retry budget is used up    | 2.8   | 3.5  | 1     | budget-used    |
      | answer                 | a part of its prompt is blocked | 0    | 0.3  | 1     | prompt-blocked |
      | answer with an object  | nothing else happens           | 0     | 0.3  | 2     | attempts-used  |

  Scenario: The caller of a stream that waits leaves
    # Guards against sends for callers that have left.
    Given runners that in turn reset after two events, then refuse as full
    When a caller leaves a stream 0.5 s after its second event
    Then the runners receive nothing more from 0.1 s after that

  Scenario Outline: A runner that loads keeps its stream until another one has begun with it
    # Guards against streams that are given up for a move and then refused.
    Given runners that in turn <first>, then <second>
    When the first runner begins an order while a stream is under way there
    Then the caller gets all events once
    And the runners received <runs> requests that may have run
    And the runners received at least 2 requests

    Examples:
      | first         | second                         | runs |
      | answer slowly | refuse as full                 | 1    |
      | answer slowly | refuse as another runner       | 1    |
      | answer slowly | refuse as too many             | 1    |
      | answer slowly | refuse and name 5 s            | 1    |
      | answer slowly | refuse as full while leaving   | 1    |
      | answer slowly | wait without an answer         | 1    |
      | answer slowly | stop within the head           | 1    |
      | answer slowly | reset without an answer        | 2    |
      | answer slowly | fail with status 500           | 2    |
      | answer slowly | answer with a page             | 2    |
      | answer late   | refuse as full                 | 1    |
      | answer late   | refuse and name 5 s            | 1    |
      | answer late   | wait without an answer         | 1    |
      | answer late   | answer                         | 1    |

  Scenario: A runner that loads breaks off while another one is asked to take over
    # Guards against two runners that write to one caller, and against a stream that nobody continues.
    Given runners that in turn reset 1.2 s after two events, refuse late, then answer
    When the first runner begins an order while a stream is under way there
    Then the caller gets all events once
    And the runners received 2 requests that may have run

  Scenario: Handovers in any order
    # Guards against events that are lost, doubled or joined from two runs when a stream is handed over.
    When streams are handed over in any order of what their runners send
    Then each caller has received the events in order, each once, and no part of another

  Scenario: The caller leaves while a runner is asked to take over its stream
    # Guards against runners that go on working for a caller that has left.
    Given runners that in turn send two events and fall silent, then wait without an answer
    When a caller leaves while its stream is handed over
    Then no connection to a runner with its request is open 0.2 s later

  Scenario: Both runners of a handover begin to answer at the same moment
    # Guards against a stream that joins the events of two runs.
    Given a stream without an answer yet that is handed over
    When the first runner begins to answer just after the second one has taken over
    Then the caller gets the events of the second runner only

  Scenario Outline: A stream that waits at a runner whose version goes out of date
    # Guards against a withdrawn request that ends as unknown because the next runner refused it.
    Given runners that in turn wait without an answer, <next>
    When the version of the first runner goes out of date while a stream waits there
    Then the caller gets <answer>

    Examples:
      | next                                | answer                      |
      | then answer                         | all events once             |
      | refuse as full, then answer         | all events once             |
      | refuse as another runner, then answer | all events once           |
      | refuse as full, then refuse as full | status 502, outcome unknown |

  Scenario Outline: A stream that may not be resumed
    # Guards against a second run of a stream that may run once, and against a false "not run".
    Given runners that in turn <behaviours>
    When a caller sends a request on the fixed stream route
    Then the caller gets <answer>
    And the runners received <runs> requests that may have run

    Examples:
      | behaviours                          | answer                      | runs |
      | reset after two events, then answer | a broken stream             | 1    |
      | reset without an answer, then answer | status 502, outcome unknown | 1   |
      | refuse as full, then answer         | all events once             | 1    |
      | refuse as full, then refuse as full | status 503, outcome not-run | 0    |
      | refuse as another runner, refuse as too many, then answer | status 503, outcome not-run | 0 |

  Scenario: A stream that may not be resumed stays at a runner that loads
    # Guards against a move that ends a stream which nobody may go on with.
    Given runners that in turn answer slowly, then answer
    When the first runner begins an order while a stream of the fixed stream route is under way there
    Then the caller gets all events once
    And the runners received 1 requests that may have run
    And the runners received at most 1 requests
