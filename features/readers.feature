Feature: Processes that read the platform for the others
  Each call to the platform has a cost, and its store accepts a limited number of them.

  Scenario: A few of many entry processes read
    Guards against calls to the platform that grow with the number of entry processes.
    Given 24 entry processes and 6 agents in 2 failure domains
    When they have run for 20 s
    Then at most 3 entry processes of each failure domain and no agent wait for changes
    When the platform publishes a change
    Then every process has it after 1 s

  Scenario: Readers that are turned away are replaced
    Guards against a change that no process receives because the platform refuses the readers.
    Given 24 entry processes and 6 agents in 2 failure domains
    When they have run for 20 s
    And the platform refuses all readers
    And it publishes a change 3 s later
    Then every process has it after 2 s

  Scenario: Entries that expire while the platform is away are kept by those that do not read
    Guards against a process that drops live runners because it has not been notified of the outage.
    Given 24 entry processes and 6 agents in 2 failure domains
    And a runner that they all list
    When they have run for 20 s
    And the platform is away for 5 s and comes back without the runner's entry
    Then no process has dropped the runner after 1 s
    And every process has dropped it after 4 s

  Scenario: An expired entry that comes back in time
    Guards against dropping a runner whose entry was listed again within its grace time.
    Given 24 entry processes and 6 agents in 2 failure domains
    And a runner that they all list
    When they have run for 20 s
    And the platform is away for 5 s and comes back without the runner's entry
    And the entry is published again 1.5 s later
    Then no process has dropped the runner after 10 s

  Scenario: A runner leaves after one process alone was cut off from the platform
    Guards against requests to a runner that has left, because the process treats the removed entry
    as one that only expired.
    Given 24 entry processes and 6 agents in 2 failure domains
    And a runner that they all list
    When they have run for 20 s
    And the platform refuses one reader for 5 s
    And the runner leaves 0.1 s later
    Then every process has dropped it after 1 s

  Scenario: A runner leaves while a failure domain is cut off from everything
    Guards against requests to a runner that has left, because processes that were cut off tell the
    others to treat its removed entry as one that only expired.
    Given 24 entry processes and 6 agents in 2 failure domains
    And a runner that they all list
    When they have run for 20 s
    And one failure domain is cut off for 6 s, and the runner leaves 0.5 s before its end
    Then every process has dropped it after 1.5 s

  Scenario: Calls and messages at 230 processes
    Guards against control traffic that grows with the square of the fleet.
    Given 136 entry processes and 94 agents in 5 failure domains, linked as a large fleet
    When they have run for 20 s
    Then at most 1 entry processes of each failure domain and no agent wait for changes
    And each entry process other than the hubs has handled at most 40 messages a second while nothing changed
    When the platform publishes a change
    Then every process has it after 1 s

  Scenario: A change after the hubs of a failure domain have ended
    Guards against a failure domain that receives no changes once its hubs are gone.
    Given 136 entry processes and 94 agents in 5 failure domains, linked as a large fleet
    When they have run for 10 s
    And the hubs of one failure domain end
    And it publishes a change 2 s later
    Then every process has it after 4 s

  Scenario: All processes start at once
    Guards against a starting fleet whose every process reads the platform.
    Given 136 entry processes and 94 agents in 5 failure domains, linked as a large fleet
    When they have run for 3 s
    Then every process has the newest state
    And at most 40 entry processes have read the platform, and each agent once

  Scenario: A large catalog is sent packed
    Guards against a reader that takes seconds to send a catalog of 1,400 routes to 25 peers of its
    failure domain, while they use the old one.
    Given a published item with the text of 1400 routes
    When it is compressed for peers
    Then it takes at most 0.2 of its size, and a peer decompresses the same
    And a compressed item that expands beyond 4 MiB, or is truncated, is refused

  Scenario: Proper requests are not refused for want of a large catalog
    Guards against hosts that answer 404 on new routes for seconds, because the reader of their
    failure domain is still sending the catalog to others.
    Given 45 entry processes and 29 agents in 3 failure domains, linked as a large fleet
    And each host has a link of 20 Mbit/s
    When they have run for 20 s
    And the platform publishes 2 catalogs of 1480 routes, 1.4 s apart
    Then every process has it after 3 s

  Scenario: A removal that the asked peer never knew
    Guards against requests to a runner that has left, because the peer that sends the changes started
    after the removal and sends its whole state as if it were all changes.
    Given 24 entry processes and 6 agents in 2 failure domains
    And a runner that they all list
    When they have run for 20 s
    And the runner leaves while one entry process can reach only one that starts after that
    Then every process has dropped it after 2 s
