Feature: Unexpected errors
  An unexpected error ends one iteration, one request or one link, never a process.

  Scenario: A heartbeat that fails
    Guards against an entry process that runs but sends no more heartbeats to its peers after one
    error.
    Given an entry process whose heartbeats run each 0.02 s
    When one of its heartbeats raises an error
    Then its heartbeats go on
    And the log has one line for the error

  Scenario: An answer of the platform that raises an error
    Guards against a process that never reads the platform again after one malformed answer.
    Given an entry process whose heartbeats run each 0.02 s
    When the first read of the platform raises an error
    Then it has the catalog within 2 s
    And the log has one line for the error

  Scenario: A look at held requests that fails
    Guards against held requests that wait forever after one error.
    Given a request that is held for a free slot
    When a check for a free slot raises an error
    Then the held request still ends

  Scenario: A part that fails when a link ends
    Guards against components that keep a lost peer because the callback of another one raised an
    error.
    Given a process that is linked with a peer
    When a callback raises an error when the link closes
    Then the callbacks after it are called

  Scenario: A runner that goes away while it loads a version
    Guards against a check of its streams four times a second for the rest of the process's life.
    Given a runner that begins an order with a stream under way
    When the stream ends and the runner sends no further report
    Then no timer is left for the runner
