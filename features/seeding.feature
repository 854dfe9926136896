Feature: A version leaves the origin when it is named
  Hosts that still fetch the version before read their shares of the next one at once.

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
