Feature: The age of a named version
  Requests may begin on a version for a bounded time after a newer one was confirmed, whenever a
  process hears of it.

  @known_red
  Scenario Outline: A process hears late of a version
    Guards against requests that begin on an outdated version after a process was out of touch.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 is named while an entry process <fault> for 5 s
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 2 s of the end of the fault no process takes the version for 1.6 s older than it is

    Examples:
      | fault                                          |
      | that reads the platform is paused              |
      | that does not read the platform is paused      |
      | that reads the platform is cut off             |
      | that does not read the platform is cut off     |
      | waits for an answer of the platform            |
      | is linked with one paused peer alone           |
      | is paused with a peer's answer in its buffer   |
      | that has just started knows the catalog alone  |

  Scenario: Processes in touch know the age of a version
    Guards against servers that are given up before their version is outdated.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 is named
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 0.2 s of the end of the fault no process takes the version for 1.6 s older than it is

  @known_red
  Scenario: A process starts after a version was named
    Guards against a restart during a roll-out after which a process finds no server to use.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 is named 3 s before another entry process starts
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 2 s of the end of the fault no process takes the version for 1.6 s older than it is

  Scenario: All processes start after a version was named
    Guards against requests that begin on an outdated version when no process knows its age.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog and version 2 that were published 1 s before they start
    When they have run for 5 s
    Then no process lets a request begin on version 1 later than 8 s after the naming
