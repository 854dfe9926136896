Feature: The check of staged chunks before an order
  A runner loads staged chunks as they are when it accepts the order, and does not check them.

  Scenario Outline: Chunks that turn bad between their check and the order
    Guards against an order that relies on reads from before a pause, so that weights are loaded
    with chunks that had been bad for longer than 3 s.
    Given a runner that answers a read of a staged chunk after <read> s
    And 2 of 48 staged chunks turn bad 0.25 s after they were read
    And the agent's host stands still for 4 s: <moment>
    When the agent brings the runner to the next version
    Then the runner holds it after at most 8 s
    And no chunk that it loaded had been bad for more than 3 s

    Examples: a quick runner and a host that stands still
      | read  | moment                   |
      | 0.001 | during the check         |
      | 0.001 | just before the order    |
      | 0.02  | during the check         |

    Examples: a slow runner alone
      | read  | moment                   |
      | 0.001 | never                    |
      | 0.01  | never                    |
      | 0.05  | never                    |
      | 0.1   | never                    |
      | 0.25  | never                    |

  Scenario: A staged chunk that is much longer than it should be
    Guards against a runner that never gets an order, as the answer with its chunk exceeds the limit
    of the call each time.
    Given a runner that answers a read of a staged chunk after 0.001 s
    And a staged chunk has grown to 200000 bytes
    When the agent brings the runner to the next version
    Then the runner holds it after at most 8 s
    And the log names the chunk as spoilt once

  Scenario: An answer that is longer than the call allows
    Guards against a caller that cannot tell a server without an answer from one with too long a one.
    When a call asks for 1000 bytes at most of an answer of 1001
    Then it fails as too-large

  Scenario: A runner that is too slow for any check
    Guards against an order that relies on an old check because no newer one succeeds.
    Given a runner that answers a read of a staged chunk after 1.5 s
    When the agent brings the runner to the next version for 30 s
    Then no order was sent, and the log names the slow check

  Scenario: What the runner does after a slow check
    Guards against an order for a state of the runner that was read before the check.
    Given a runner that answers a read of a staged chunk after 0.1 s
    And the runner begins another order during the check
    When the agent brings the runner to the next version
    Then no order was sent while the runner was busy

  Scenario: A request whose reason has passed
    Guards against a request that is sent late because its connection was opened slowly.
    When a request that must be sent by 0.1 s ago is made
    Then the server receives no request, and the caller learns that none was sent
