Feature: Routing, queues, limits and retries
  Properties of decisions that hold for every order of events.

  Scenario Outline: A queue never loses or doubles a job and keeps to the slots
    # Guards against a call that is answered twice or never, or that runs when all slots are in use.
    When random events reach a "<policy>" queue
    Then each accepted job is waiting, running or ended exactly once
    And no more jobs run than there are slots
    And no cancelled or expired job runs

    Examples:
      | policy      |
      | fcfs        |
      | short_first |

  Scenario: Long work ends while short work keeps arriving
    # Guards against starvation of long work by a steady flow of short work.
    When short work keeps a "short_first" queue busy while long work waits
    Then every long job ends within a bounded time

  Scenario: A small account is not starved by a large one
    # Guards against a large account whose jobs fill the queue and all slots.
    When an account with many jobs competes with one that sends few
    Then the jobs of the small account are accepted and wait a bounded time

  Scenario: Limiters never grant more than the limit together
    # Guards against shares that are counted twice when messages are lost, late or repeated.
    When random usage messages between limiters are lost, delayed and repeated
    Then the shares together stay within the limit
    And what is granted stays within the limit and the burst

  Scenario: An entry host that restarts does not take back what it gave away
    # Guards against shares that exceed the limit after a new incarnation starts with an equal
    # share.
    When an entry host restarts after it gave its share away
    Then the shares together stay within the limit

  Scenario: Extra work stays within the budget
    # Guards against retries and hedges that amplify an overload.
    When random requests and extra attempts use one budget
    Then the extra work is at most the share of the requests
    And no extra attempt is allowed during an overload

  Scenario: Routing never chooses an excluded host
    # Guards against a retry on the host that has just failed.
    When random requests are routed by every policy
    Then no choice is an excluded host
    And there is a choice whenever one host is not excluded

  Scenario: A slowed host loses its weight and gets it back by evidence
    # Guards against new requests for a slowed host, and against a recovered host that stays unused.
    When one of five hosts is slowed for a while
    Then it receives only probes while it is slowed
    And it receives its share again soon afterwards

  Scenario: Admission keeps room for small accounts and bounds what is in flight
    # Guards against a large account that uses the whole concurrency limit.
    When a large account fills the concurrency limit
    Then a small account is still admitted
    And every refusal has a retry time within the bounds

  Scenario: Pauses of the entry host itself do not make runners slow
    Guards against an entry host whose own pauses delay its reads and so lower the weight of most
    runners.
    When a runner of a fleet with gaps of 20 ms is silent and then silent for long
    Then it counts as slow only after the long silence
