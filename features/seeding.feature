Feature: A version leaves the origin when it is named, and when the origin is back
  Hosts that still fetch the previous version read their shares of the next one at once. While the
  origin is unavailable they probe it in turns.

  Scenario: Every chunk is one host's, and changes of the hosts move few
    Guards against chunks that no host or several hosts read from the origin, and against one host
    whose large share delays the others, also while hosts join and leave.
    When chunks are shared out between hosts of which some join and leave
    Then each chunk belongs to one host, whatever the order of the list
    And no host has more than an even share where there are enough chunks
    And a host that joins or leaves moves few chunks between the others

  Scenario: Hosts that join or leave while a version is read ahead of its turn
    Guards against chunks that no host reads after theirs has left, and against hosts that read the
    shares of others as well.
    When up to 12 hosts of 3 regions read a version ahead and a third of them are exchanged
    Then every chunk is on a host of the current list
    And the origin has sent at most 1.2 copies, besides what the hosts that left had read
    And no host has fetched a chunk from a peer

  Scenario: Only the newest version is read ahead of its turn
    Guards against reading versions from the origin that no host will complete.
    When up to 4 versions are named while any of them are fetched
    Then the newest one is seeded unless it is fetched, and no other

  Scenario: The origin fails soon after a version was named
    Load: 6 hosts of 3 regions fetch a version over links that take 4 s for it, from an origin that
    sends a copy in 1.26 s and so a third of one in 0.4 s, when the next version is named.
    Guards against a version that no host has begun to read when the origin fails, so that all hosts
    wait for its return.
    Given 6 hosts of 3 regions that fetch version 1
    When version 2 is named after 2 s and the origin fails 0.4 s later
    Then at least 6 chunks of version 2 have left the origin, each once
    And every host has the manifest of version 2 while the origin is unavailable
    And all hosts have these chunks of version 2 while the origin is unavailable
    And all hosts have version 1 while the origin is unavailable

  Scenario: The origin is back
    Guards against hosts that each wait for their own backoff before they retry an origin that is
    back, and against a fleet that overloads an unavailable origin with requests.
    Given 6 hosts of 3 regions that fetch version 1
    When the origin fails after 0.5 s and comes back 3 s later, 2 times
    Then it has had at most 20 requests a second in the last 2 s of each outage
    And its first chunk has left at most 0.1 s after each return
    And all hosts have version 1
    And the origin has sent at most 1.2 copies of version 1

  Scenario: The origin is back, and nobody has the manifest yet
    Guards against backoff between manifest requests, which precede the first chunk.
    Given 3 hosts of 3 regions and an origin that is unavailable
    When version 1 is named and the origin returns 3 s later
    Then it has had at most 20 requests a second in the last 2 s of each outage
    And its first chunk has left at most 0.1 s after each return
    And all hosts have version 1
    And the origin has sent at most 1.2 copies of version 1

  Scenario: No more than one host asks at a time
    Guards against hosts that send requests in the same slot, and slots without a request.
    When 40 hosts take their turns for 20 s
    Then each slot of 0.05 s has the request of one host

  Scenario: One lost answer is not an origin that is away
    Guards against a host that waits for its turn in a large fleet after a single failure.
    When requests that were sent together fail together
    Then the origin counts as available, and as unavailable after one more that was sent later

  Scenario: An origin that goes away again soon
    Guards against a host that sends two requests in each round of turns, one for each outage.
    When a host of 20 finds the origin unavailable, is notified of its return and finds it unavailable again
    Then it sends one request in its next turn

  Scenario: The hosts that are to read the manifest are gone
    Guards against hosts that wait for seconds for a manifest that no host reads.
    Given 9 hosts of 3 regions of which those that read the manifest are down
    When version 1 is named
    Then all hosts that run have its manifest after at most 1 s

  Scenario: A peer's manifest is checked like one from the origin
    Guards against fetching and loading chunks by a manifest that is corrupt, is of another version,
    or comes from a host that takes no part in the transfer.
    When a host is sent manifests that are corrupt, of another version, not pinned or from an unknown host
    Then it accepts none of them, and the correct one afterwards
