Feature: The age of a named version
  Requests may begin on a version for a bounded time after a newer one was confirmed, whenever a
  process hears of it.

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
    And within 0.2 s of the end of the fault no process takes the version for 0.7 s older than it is

  Scenario: A process starts after a version was named
    Guards against a restart during a roll-out after which a process finds no server to use.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 is named 3 s before another entry process starts
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 2 s of the end of the fault no process takes the version for 1.6 s older than it is

  Scenario: A process that was cut off for long asks its peers for the age of a version
    Guards against a process that gives up its servers too early after a long separation.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And a reader is cut off for 20 s, version 2 is named 2 s before, and its links are back 1 s later
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 2 s of the end of the fault no process takes the version for 1.6 s older than it is

  Scenario: A process that is told a version without its age asks other peers
    Guards against processes without servers while entry processes of an earlier build run.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 is named and a peer of an earlier build tells it to an entry process
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 0.5 s of the end of the fault no process takes the version for 1.6 s older than it is

  Scenario: A reader of an earlier build is the first to tell a version
    Guards against processes that ask for the age of a version before any peer knows it, and then
    stay without servers.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 is named while a reader is of an earlier build
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 1.5 s of the end of the fault no process takes the version for 1.6 s older than it is

  Scenario Outline: A process that missed a version hears of the one that replaced it
    Guards against a bound that counts from the naming of the newest version alone.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And version 2 and 5 s later version 3 are named while an entry process <fault> for 6 s
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 2 s of the end of the fault no process takes the version for 1.6 s older than it is

    Examples:
      | fault                                      |
      | that reads the platform is cut off         |
      | that does not read the platform is cut off |
      | is not yet started                         |

  Scenario: A version is named when the platform is back
    Guards against a process that asked its peers for the age before they had heard of the version.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog that they all know
    When they have run for 20 s
    And the platform is away for 3 s and version 2 is named at its return
    Then no process lets a request begin on version 1 later than 8 s after the naming
    And within 3 s of the end of the fault no process takes the version for 4.6 s older than it is

  Scenario: All processes start after a version was named
    Guards against requests that begin on an outdated version when no process knows its age.
    Given 6 entry processes and 2 agents in 2 failure domains
    And a catalog and version 2 that were published 1 s before they start
    When they have run for 5 s
    Then no process lets a request begin on version 1 later than 8 s after the naming

  Scenario: What is heard of a version gives the same age in every order
    Guards against a version that counts as named just now because its news came in another order.
    When a starting process gets the catalog, a version, its publication in a later era and three ages of it in every order
    Then it has the same age in all of them, the smallest that is proven for the first publication

  Scenario: A version of any age is told beside a newer one
    Guards against a bound that counts from the naming of the newest version alone.
    Given a process that found version 2 at its start and knows that version 3 is 1 s old
    When it tells a starting process what is published
    Then version 1 may have been outdated for any time

  Scenario: A version without any proof may be of any age
    Guards against a starting process that takes a version for new because the catalog came first.
    When a starting process gets the catalog, then a version, and no age of it
    Then the version may be of any age

  Scenario: An answer that was under way for long proves nothing for that time
    Guards against an age that is too small after an answer of the platform was delayed.
    When an answer without changes arrives 5 s after its request, and then version 2
    Then the version may have been named since the request

  Scenario Outline: An age that is told in an answer
    Guards against an age that leaves out how long the answer was under way, or one of another build.
    When a process is told an age of 2 s in an answer that <answer>
    Then it takes the version for <age>

    Examples:
      | answer                                | age         |
      | arrives 3 s after its request         | 5 s old     |
      | does not repeat the request's time    | any age     |
      | repeats a time that has not been yet  | any age     |
      | names no age                          | any age     |

  Scenario Outline: A process asks its peers for the age of a version
    Guards against a version that the store lost and that counts as new when it is named again.
    When a process hears of version 2 in era <era>, with a proof that is <age> s old
    Then it asks its peers for an age <times> times in 3 s
    And it asks a reader that announces the version <times> times in 3 s

    Examples:
      | era | age | times |
      | 0   | 1.0 | 0     |
      | 0   | 2.0 | 1     |
      | 1   | 0.1 | 1     |

  Scenario: Questions for ages stay small
    Guards against control frames that exceed the budget of 3 KB/s a node.
    When a request and an answer with the age of one version are encoded
    Then each takes at most 107 bytes
