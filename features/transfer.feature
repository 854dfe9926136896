Feature: Transfer of weights between agents
  Agents fetch a version from the store about once together and share it.

  Scenario: A version reaches all runners through faults
    Guards against a transfer that hangs, or that reads the store once for each host, when an agent
    dies in the middle, the store sends corrupt chunks and a newer version is published.
    Given a fleet of 6 runners whose store corrupts every 9th chunk
    When version "v1" is published and a runner's agent dies in the middle
    Then the other runners serve "v1" after at most 2 copies from the store
    When version "v2" is replaced by "v3" in the middle
    Then the other runners serve "v3" after at most 4 copies from the store

  @known_red
  Scenario: A restarted agent takes its chunks from peers
    Guards against a restarted agent that starts over at the store, or never completes.
    Given 6 runners and a store of 2 MiB versions
    When version "v1" is rolled out and an agent is killed and restarted in the middle
    Then all runners serve "v1" after at most 2 copies
    And the restarted agent has chunks from peers

  Scenario: A store that corrupts each tenth chunk
    Guards against corrupt bytes in an engine and abandoning a store for single corrupt chunks.
    Given 4 runners and a store of 2 MiB versions
    And the store corrupts each 10th chunk
    When version "v1" is rolled out
    Then all runners serve "v1" after at most 2 copies
    And only chunks from "store" were refused

  Scenario: A peer that serves corrupt chunks
    Guards against a faulty peer that stops a transfer or whose bytes reach an engine.
    Given 5 runners and a store of 2 MiB versions
    And runner 2 offers all chunks and sends corrupt ones
    When version "v1" is rolled out
    Then the other runners serve the whole "v1" after at most 2 copies
    And only chunks from "runner-2" were refused

  Scenario: A version published in the middle of a transfer
    Guards against a transfer that continues after it was replaced, or mixes two versions.
    Given 4 runners and a store of 2 MiB versions
    When version "v1" is rolled out and "v2" replaces it in the middle
    Then all runners serve "v2" after at most 2 copies
    And each transfer of "v1" was stopped and none was completed

  Scenario: A store that is down while one agent holds the version
    Guards against a rollout that needs the store although a peer has the manifest and all chunks.
    Given 5 runners and a store of 2 MiB versions
    When version "v1" is rolled out to runner 1 alone
    And the store goes down and "v1" is rolled out to all
    Then all runners serve "v1" after at most 1 copies

  Scenario: A version that must not or cannot be fetched
    Guards against using a wrong manifest and against logging a refused transfer repeatedly.
    Given 2 runners and a store of 2 MiB versions
    When version "v1" is rolled out with a pinned digest that does not match
    And version "v2" exceeds the memory of the agents
    Then each agent has refused "v1" and "v2" once and fetched no chunk
