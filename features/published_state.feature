Feature: Published state, runners and versions
  Each process derives its view of the fleet from a platform that it can only read.

  Scenario: Changes that arrive twice, late or out of order leave the same state
    # Guards against a process that reverts to an older catalog or runner entry.
    When updates of published items reach two processes in random order and repeatedly
    Then both hold the same items at their newest revisions
    And no item ever went back to an older revision

  Scenario: A gap in the changes is not taken for knowledge
    # Guards against a process that never requests the changes it has missed.
    Given a process that has all changes up to revision 5
    When it receives the changes after revision 8 up to revision 9
    Then it still requests the changes after revision 5

  Scenario: An item that is missing from a full reading was removed
    # Guards against requests to runners that were removed while the history was lost.
    Given a process that has all changes up to revision 5
    When a snapshot at revision 9 no longer lists an item
    Then that item counts as removed

  Scenario Outline: Entries that expire while the platform is away
    # Guards against an outage of the platform that takes all runners out of service.
    Given a listed runner
    When the platform is <platform> and the runner's entry is removed
    Then after <seconds> s the runner is <state>

    Examples:
      | platform          | seconds | state    |
      | answering         | 0       | gone     |
      | away              | 60      | routable |
      | away and back     | 2       | routable |
      | away and back     | 3       | gone     |

  Scenario: A leaving runner is not kept when its entry goes during an outage
    # Guards against new requests to a runner that has announced its shutdown.
    Given a listed runner that is draining
    When the platform is away and the runner's entry is removed
    Then after 0 s the runner is gone

  Scenario Outline: The version that a request expects of its runner
    # Guards against refusals by runners that hold a newer version than the one that must answer.
    Given a runner that holds version <held>
    When version 2 must answer and version 3 is named
    Then a request is placed on it and expects version <expected>

    Examples:
      | held | expected |
      | 2    | 2        |
      | 3    | 3        |

  Scenario: Versions named in quick succession keep their own times
    # Guards against requests that start on an old version after a newer one resets its time.
    When version 2 is named at 18 s and version 3 at 20 s
    Then version 2 is demanded from 25 s and version 3 from 27 s
    And a runner with version 1 has been outdated since 18 s

  Scenario: A version found at the start may have been named long ago
    # Guards against a restarted process that sends requests to outdated runners.
    When a process finds version 2 at its start
    Then version 2 is demanded at once

  Scenario Outline: Most runners answer while a version is loaded
    # Guards against all runners of a model reloading at the same moment.
    Given <runners> runners in 3 failure domains that hold version 1
    When version 2 is named and every runner has its weights after <ready> s
    Then at most <share> of 3 parts of the runners reload at once before 7 s
    And every runner gets its order within 7 s of the 8 s bound

    Examples:
      | runners | ready | share |
      | 9       | 5.2   | 2     |
      | 17      | 4.0   | 2     |
      | 3       | 5.0   | 2     |

  Scenario: A runner without weights loads at once
    # Guards against runners without weights that wait for a wave although they serve nothing.
    Given 9 runners in 3 failure domains that hold version 1
    When one of them restarts without weights after version 2 was named
    Then it may load at once

  Scenario: The entry of an agent's own runner expires
    Guards against an agent that stops reporting a live runner because its entry expired.
    Given an agent whose published state lists the runner on its host
    When the entry is removed
    Then the agent still reports this runner
    When an entry with a later start is listed at the same address
    Then the agent reports the later one

  Scenario: A version is named while the one before it is on its way
    Guards against a host that starts over with each newer version, so that its runner has no version
    that may serve while the store of the newest one is unavailable.
    Given a link that takes 4.2 s for a version and a runner whose versions may serve for 8 s
    When a version is named at 0 s, the next one at 3 s, and its store is away from 2.5 s to 8.5 s
    Then the runner serves longer than one whose host fetches only the newest, by 3 s less a load
    And it serves nothing for at most 4 s

  Scenario: A version is named right after another one
    Guards against fetching and loading a version that is out of date before it can serve.
    Given a link that takes 4.2 s for a version and a runner whose versions may serve for 8 s
    When a version is named at 0 s, the next one at 0.5 s, and its store is never away
    Then the runner loads only the newer one and serves except while it loads

  Scenario Outline: A version that is nearly whole when its time runs out
    Guards against abandoning a transfer shortly before its end, so that a runner gets neither of two
    versions.
    Given a runner whose versions may serve for 8 s
    When <share> of a version is held <seconds> s after a newer one was named, <held> s after the one that the runner holds was out of date, while the store is <store>
    Then the host fetches the <choice> version

    Examples:
      | share | seconds | held | store | choice              |
      | 0.5   | 3.0     | -1.1 | away  | older               |
      | 0.5   | 3.0     | -1.1 | there | older and the newer |
      | 0.5   | 4.9     | 0.8  | away  | newer               |
      | 0.9   | 4.0     | -0.1 | there | older               |
      | 0.9   | 5.5     | 1.4  | there | newer               |

  Scenario: No load that cannot serve, and no more of a wave than is stated
    Guards against taking a runner out of service for a version that is out of date once loaded, and
    against two waves out of service at once when versions are named in quick succession.
    When random fleets are brought through versions that are named at random times
    Then no runner loads a version that would serve for a shorter time than its load takes
    And no runner is ordered while fewer than the stated share answer
    And every runner ends with the newest version

  Scenario Outline: An agent says once which way it takes
    Guards against dropping a version that is partly fetched for one whose origin may still fail, so
    that the host gets neither, and against a log line for each round.
    Given an agent whose host has <share> of version 2 and whose runner holds version 1
    When version 3 has been named 2 s after it and the agent reconciles 20 times
    Then it fetches version <wanted> and seeds version <seeded>
    And one log line names the path to version 3 and that <kept> is kept

    Examples:
      | share | wanted | seeded | kept |
      | 0.4   | 2      | 3      | 2    |
      | 0.1   | 3      | none   | None |
