Feature: A version leaves the origin when it is named, and when the origin is back
  Hosts that still fetch the version before read their shares of the next one at once. While the
  origin is away they ask it in turns.

  Scenario: Every chunk is one host's, and changes of the hosts move few
    Guards against chunks that nobody reads from the origin or several hosts read, and against one
    host whose share holds the others up, also while hosts join and leave.
    When chunks are shared out between hosts of which some join and leave
    Then each chunk belongs to one host, alike for every order of the list
    And no host has more than its even part where there are enough chunks
    And a host that joins or leaves moves few chunks between the others

  Scenario: Hosts that join or leave while a version is read ahead of its turn
    Guards against chunks that nobody reads after their host has gone, and against hosts that read
    the shares of others as well.
    When up to 12 hosts of 3 regions read a version ahead and a third of them are exchanged
    Then every chunk is with a host that is there
    And the origin has sent at most 1.2 copies, besides what those that left had read
    And no host has fetched a chunk from a peer

  Scenario: Only the newest version is read ahead of its turn
    Guards against bytes of the origin for versions that nobody will finish.
    When up to 4 versions are named while any of them are fetched
    Then the newest one is seeded unless it is fetched, and no other

  Scenario: The origin fails soon after a version was named
    Load: 6 hosts of 3 regions fetch a version over links that take 4 s for it, from an origin that
    sends a copy in 1.26 s and so a third of one in 0.4 s, when the next version is named.
    Guards against a version that nobody has begun when the origin fails, so that all hosts wait for
    its return.
    Given 6 hosts of 3 regions that fetch version 1
    When version 2 is named after 2 s and the origin fails 0.4 s later
    Then at least 6 chunks of version 2 have left the origin, each once
    And every host has the manifest of version 2 while the origin is away
    And all hosts have these chunks of version 2 while the origin is away
    And all hosts have version 1 while the origin is away

  Scenario: The origin is back
    Guards against hosts that each wait for a pause of their own before they ask an origin that is
    back, and against a fleet that keeps an origin busy with questions that it cannot answer.
    Given 6 hosts of 3 regions that fetch version 1
    When the origin fails after 0.5 s and comes back 3 s later, 2 times
    Then it has been asked at most 20 times a second in the last 2 s of each time
    And its first chunk has left at most 0.1 s after each return
    And all hosts have version 1
    And the origin has sent at most 1.2 copies of version 1

  Scenario: The origin is back, and nobody has the manifest yet
    Guards against the pauses between questions for a manifest, which come before any chunk.
    Given 3 hosts of 3 regions and an origin that is away
    When version 1 is named and the origin is back 3 s later
    Then it has been asked at most 20 times a second in the last 2 s of each time
    And its first chunk has left at most 0.1 s after each return
    And all hosts have version 1
    And the origin has sent at most 1.2 copies of version 1

  Scenario: No more than one host asks at a time
    Guards against hosts that ask in the same slot, and slots in which nobody asks.
    When 40 hosts take their turns for 20 s
    Then each slot of 0.05 s has the question of one host

  Scenario: One lost answer is not an origin that is away
    Guards against a host that waits for its turn in a large fleet after a single failure.
    When questions that were put together fail together
    Then the origin counts as there, and as away after one more that was put later

  Scenario: An origin that goes away again soon
    Guards against a host that asks twice in each round of turns, once for each time.
    When a host of 20 finds the origin away, is told of its return and finds it away again
    Then it asks once in its next turn

  Scenario: The hosts that are to read the manifest are gone
    Guards against hosts that wait for seconds for a manifest that nobody reads.
    Given 9 hosts of 3 regions of which those that read the manifest are down
    When version 1 is named
    Then all hosts that run have its manifest after at most 1 s

  Scenario: A peer's manifest is checked like one from the origin
    Guards against chunks that are fetched and loaded by a manifest that is spoilt, stands for
    another version, or comes from a host that has no part in the transfer.
    When a host is sent manifests that are spoilt, of another version, not pinned or from a stranger
    Then it takes none of them, and the right one afterwards
