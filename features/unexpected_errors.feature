Feature: Unexpected errors
  An error that nobody foresaw ends one round, one request or one link, never a process.

  Scenario: A heartbeat that fails
    Guards against an entry process that looks alive and is silent to all peers since one error.
    Given an entry process whose heartbeats run each 0.02 s
    When one of its heartbeats raises an error
    Then its heartbeats go on
    And the log has one line for the error

  Scenario: An answer of the platform that raises an error
    Guards against a process that never reads the platform again after one malformed answer.
    Given an entry process whose heartbeats run each 0.02 s
    When the first reading of the platform raises an error
    Then it knows the catalog within 2 s
    And the log has one line for the error

  Scenario: A look at held requests that fails
    Guards against held requests that wait for ever after one error.
    Given a request that is held for a place
    When a look for a place raises an error
    Then the held request ends all the same

  Scenario: A part that fails when a link ends
    Guards against parts that keep a lost peer because another part raised an error.
    Given a process that is linked with a peer
    When a part raises an error at the end of the link
    Then the parts after it hear of the end

  Scenario: A runner that goes away while it loads a version
    Guards against a look at its streams four times a second for the rest of the process's life.
    Given a runner that begins an order with a stream under way
    When the stream ends and the runner is never heard of again
    Then nothing is planned for the runner any more
