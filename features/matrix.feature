Feature: Faults at each step of each flow
  The cells of docs/fault-matrix.toml whose fault comes at an exact step: the real components of the
  processes over links in memory with a virtual clock.

  Scenario Outline: A model request, <step>: <effect>
    Guards against answers with missing or repeated parts, or with a part of another answer.
    When two model requests run and a message is <effect> as one is <step>
    Then no promise is broken in memory
    And the answers are whole

    Examples:
      | step      | effect    |
      | sent      | doubled   |
      | sent      | late      |
      | sent      | reordered |
      | sent      | silent    |
      | sent      | stalled   |
      | sent      | one-way   |
      | sent      | killed    |
      | sent      | paused    |
      | answered  | lost      |
      | answered  | doubled   |
      | answered  | late      |
      | answered  | reordered |
      | answered  | silent    |
      | answered  | stalled   |
      | answered  | one-way   |
      | answered  | killed    |
      | answered  | paused    |
      | streaming | doubled   |
      | streaming | silent    |
      | streaming | stalled   |
      | streaming | one-way   |
      | streaming | killed    |
      | streaming | paused    |
      | ending    | lost      |
      | ending    | doubled   |
      | ending    | late      |
      | ending    | reordered |
      | ending    | silent    |
      | ending    | stalled   |
      | ending    | one-way   |
      | ending    | killed    |
      | ending    | paused    |

  Scenario Outline: A message that TCP would not lose or reorder, <step>: <effect>
    Guards against a part that is skipped without an error and against a false "not run": the caller
    gets an explicit error, at the latest at its deadline.
    When two model requests run and a message is <effect> as one is <step>
    Then no promise is broken in memory
    And each caller has an answer by its deadline

    Examples:
      | step      | effect    |
      | sent      | lost      |
      | streaming | lost      |
      | streaming | late      |
      | streaming | reordered |
      | one token short | lost |

  Scenario Outline: A refusal after an attempt that may have run: <trouble>
    Guards against "not run" for a request whose first attempt may have run.
    When the first runner <trouble> and the second one refuses the request
    Then no promise is broken in memory
    And its callers get the outcomes unknown

    Examples:
      | trouble                               |
      | loses its link after it got the call  |
      | answers with another version          |
      | falls silent                          |

  Scenario: A hedge that is refused
    Guards against a refusal of the second attempt that ends the first one while it runs.
    When the first runner is slow, so that the request is hedged, and the second one refuses the request
    Then no promise is broken in memory
    And the answers are whole

  Scenario Outline: A booking, <step>: <effect>
    Guards against a booking that runs twice, and against "not run" for one that ran.
    When a booking runs, its caller repeats it, and a message is <effect> as it is <step>
    Then no promise is broken in memory

    Examples:
      | step      | effect    |
      | sent      | lost      |
      | sent      | doubled   |
      | sent      | late      |
      | sent      | silent    |
      | sent      | stalled   |
      | sent      | one-way   |
      | sent      | killed    |
      | sent      | paused    |
      | executed  | silent    |
      | executed  | stalled   |
      | executed  | one-way   |
      | executed  | killed    |
      | executed  | paused    |
      | answered  | lost      |
      | answered  | doubled   |
      | answered  | late      |
      | answered  | reordered |
      | answered  | silent    |
      | answered  | stalled   |
      | answered  | one-way   |
      | answered  | killed    |
      | answered  | paused    |
      | ending    | lost      |
      | ending    | doubled   |
      | ending    | late      |
      | ending    | silent    |
      | ending    | stalled   |
      | ending    | one-way   |
      | ending    | killed    |
      | ending    | paused    |

  Scenario Outline: A booking, repeated: <effect>
    Guards against a repeated call that runs while the first one runs, and against two different
    answers.
    When a booking is repeated while it runs and the repeat's message is <effect>
    Then no promise is broken in memory

    Examples:
      | effect    |
      | lost      |
      | doubled   |
      | late      |
      | reordered |
      | silent    |
      | stalled   |
      | one-way   |
      | killed    |
      | paused    |

  Scenario Outline: A booking whose service <trouble>
    Guards against "not run" for a call that the service may have received, and against a second
    run.
    When the service <trouble> at a booking
    Then no promise is broken in memory
    And its callers get the outcomes <told>

    Examples:
      | trouble          | told             |
      | is down          | not-run, not-run |
      | loses the answer | unknown, unknown |

  Scenario Outline: A booking whose agent starts again after <seconds> s
    Guards against a new incarnation that runs a call which the previous one may have run.
    When a booking's agent is killed after <seconds> s, starts again, and its caller repeats it
    Then no promise is broken in memory
    And its callers get the outcomes <told>

    Examples:
      | seconds | told             |
      | 0.001   | unknown, unknown |
      | 0.1     | unknown, unknown |
      | 0.5     | ran, unknown     |

  Scenario: A booking whose link is lost and whose host then drains
    Guards against "not run" for a second attempt under a new key while the first attempt runs.
    When a booking's link falls silent after its start and its host drains
    Then no promise is broken in memory
    And its callers get the outcomes unknown

  Scenario Outline: A model request, queued: <effect>
    Guards against queued requests that are lost with the runner or its link.
    When four model requests share two slots and a message is <effect> as two are queued
    Then no promise is broken in memory
    And the answers are whole

    Examples:
      | effect  |
      | silent  |
      | stalled |
      | one-way |
      | killed  |
      | paused  |

  Scenario Outline: An engine that <trouble> in an answer
    Guards against tokens of two versions in one answer, and against answers that stall.
    When the engine <trouble> in an answer
    Then no promise is broken in memory
    And the answers are <end>

    Examples:
      | trouble                      | end              |
      | dies                         | whole            |
      | answers with another version | whole or refused |
      | is slow                      | whole            |

  Scenario Outline: Two tickets at once, <message>: <effect>
    Guards against a ticket that is lost with a message, and against an older one that takes effect.
    When two tickets follow each other at once and a <message> message is <effect>
    Then no promise is broken in memory
    And all live processes hold the newest ticket

    Examples:
      | message       | effect    |
      | TicketPush    | lost      |
      | TicketPush    | doubled   |
      | TicketPush    | late      |
      | TicketPush    | reordered |
      | TicketPush    | silent    |
      | TicketPush    | stalled   |
      | TicketPush    | one-way   |
      | TicketPush    | paused    |
      | TicketPush    | killed    |
      | Ping          | lost      |
      | Ping          | late      |
      | Ping          | silent    |
      | Ping          | stalled   |
      | Ping          | one-way   |

  Scenario: An older ticket comes after the one that replaces it
    Guards against a ticket in force that depends on the order of arrival.
    When a newer ticket comes before the one that it replaces
    Then no promise is broken in memory
    And all live processes hold the newest ticket

  Scenario: The platform shows an older state again
    Guards against a stale configuration service that reverts an accepted ticket.
    When a reader takes an older state of the platform again
    Then no promise is broken in memory
    And all live processes hold the newest ticket

  Scenario Outline: A partition that discards <way>, and heals
    Guards against sides whose state still differs after the partition.
    When a partition that discards <way> separates the processes while both sides read a ticket
    Then no promise is broken in memory
    And all live processes hold the newest ticket

    Examples:
      | way                        |
      | everything                 |
      | what the first side sends  |
      | what the second side sends |

  Scenario Outline: A host leaves and <source> tells
    Guards against requests for a leaving host while the other sources lag.
    When <source> says that a runner and a booking host leave while requests arrive
    Then no promise is broken in memory
    And the answers are whole

    Examples:
      | source              |
      | only a ticket       |
      | only the host list  |
      | only its own report |

  Scenario Outline: A runner drains, <step>: <effect>
    Guards against a stream that a graceful shutdown cuts off.
    When a runner drains while a stream runs and a message is <effect> as it is <step>
    Then no promise is broken in memory
    And the answers are whole

    Examples:
      | step      | effect  |
      | answered  | lost    |
      | streaming | silent  |
      | streaming | stalled |
      | streaming | one-way |
      | ending    | lost    |
      | ending    | silent  |
      | ending    | stalled |

  Scenario Outline: Orders while tickets come, and <trouble>
    Guards against an order from an older ticket, and against an engine that keeps an older version.
    When tickets come while an engine reports and loads, and <trouble>
    Then each order has the newest ticket that was known, and the engine ends with its version

    Examples:
      | trouble                 |
      | nothing else happens    |
      | an order is lost        |
      | older tickets come late |

  Scenario Outline: The check refuses a matrix in which <mistake>
    Guards against a cell that is marked as proven although no scenario proves it.
    Given a matrix of two cells, one with a scenario that passed
    When it is changed so that <mistake>
    Then the check of the matrix reports "<problem>"

    Examples:
      | mistake                               | problem                   |
      | nothing is wrong                      |                           |
      | a cell has no entry                   | has no entry              |
      | a cell has an empty reason            | needs exactly one of      |
      | a cell has a scenario and a reason    | needs exactly one of      |
      | a cell is given twice                 | is given twice            |
      | an entry names an unknown step        | is no cell of the table   |
      | a pair names an unknown fault         | needs one verdict         |
      | a scenario does not exist             | no scenario 'B' in        |
      | a scenario failed                     | is failed                 |
      | one of two examples failed            | is failed                 |
      | a scenario was not run                | is not run                |
      | a scenario was skipped                | is skipped                |
