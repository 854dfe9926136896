Feature: Waits of requests before they begin on outdated weights
  Version 2 is named while one of two runners still holds version 1; the bound is 1.6 s.

  Scenario Outline: A version is named while a request waits at a silent runner
    # Guards against a time limit that is fixed when the request is sent: a version that is named
    # later, or proves to be older than assumed, did not withdraw it.
    Given a runner with version 1 that receives requests and is silent, and one with version 2
    When a request on the <kind> route waits there and version 2 <naming>
    Then the caller gets <answer>
    And no request can begin on version 1 later than <latest> s after the naming

    Examples:
      | kind       | naming                              | answer           | latest |
      | stream     | is named                            | all events once  | 1.4    |
      | idempotent | is named                            | the whole answer | 1.4    |
      | stream     | was named long before               | all events once  | 0.05   |
      | idempotent | was named long before               | the whole answer | 0.05   |
      | stream     | proves to be named 1.3 s earlier    | all events once  | 0.05   |

  Scenario: A version is named while another runner is asked to take over
    # Guards against the first request, left at its silent runner during the handover, that begins
    # there when the runner goes on.
    Given a runner with version 1 that receives requests and is silent, and one that begins late
    When a stream is handed over at 2 s and version 2 was named at 1.45 s
    Then the caller gets all events once
    And no request can begin on version 1 later than 1.4 s after the naming

  Scenario: A version is named before the runner that is to take over holds it
    # Guards against the second request of a handover that stays at its runner when the first one
    # is withdrawn.
    Given two runners with version 1 that receive requests and are silent
    When a stream is handed over at 2 s and version 2 was named at 1.45 s
    Then both runners received the request
    And no request can begin on version 1 later than 1.4 s after the naming

  Scenario Outline: A request whose connection opens late
    # Guards against requests sent on a choice of runner that is no longer valid: after a lost
    # packet of the handshake, or in a process that was paused in between.
    Given a runner with version 1 that receives requests and is silent, and one with version 2
    When a stream is sent 1.0 s after the naming and its connection opens <delay> s later
    Then the caller gets all events once
    And the runner with version 1 received 0 requests
    And the request counts 1 attempt

    Examples:
      | delay |
      | 0.15  |
      | 0.45  |
      | 1.2   |

  Scenario Outline: A runner that has reported nothing for a while
    # Guards against requests that are lost at a runner that has stopped, or that begin there when
    # it goes on, in the last part of the time for its version; and against idle runners, whose
    # agents report every 0.7 s, that receive none.
    Given a runner with version 1 that receives requests and is silent, and one with version 2
    And a bound of 8 s for versions
    When a stream is sent <sent> s after the naming and the runner was last heard <quiet> s before
    Then the runner with version 1 received <count> requests

    Examples:
      | sent | quiet | count |
      | 4.5  | 1.0   | 1     |
      | 5.5  | 0.3   | 1     |
      | 5.5  | 0.8   | 1     |
      | 5.6  | 1.0   | 0     |
      | 5.6  | 2.5   | 0     |
      | 6.9  | 1.0   | 0     |

  Scenario: A process that is paused after it has sent a request
    # Guards against a pause of the process that delays the withdrawal of what it sent before.
    Given a runner with version 1 that receives requests and is silent, and one with version 2
    When a stream waits there and the process is paused from 0.2 s to 1.4 s
    Then the caller gets all events once
    And no request can begin on version 1 later than 1.4 s after the naming

  Scenario: A request whose body arrives late
    # Guards against a runner that is chosen before the body of the request has arrived.
    Given a runner with version 1 that receives requests and is silent, and one with version 2
    When the head of a request arrives at the naming and its body 1.2 s later
    Then the caller gets the whole answer
    And the runner with version 1 received 0 requests

  Scenario: Requests held for a slot
    # Guards against held requests that are sent to a slot that frees up after the bound.
    Given a full runner with version 1 as the only one
    When a stream is sent 0.05 s after the naming and a slot frees up 1.15 s later
    Then the runner with version 1 received 0 requests

  Scenario: A runner that loads the version while a request waits there
    # Guards against a second run of requests that begin on the new version.
    Given a runner with version 1 that answers late, and one with version 2
    When a request is sent there after version 2 was named and the runner loads that one
    Then the caller gets the whole answer
    And only the first runner received the request
