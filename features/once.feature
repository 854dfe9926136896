Feature: Calls that run at most once
  A call runs at most once under its key, and "not run" is reported only when it is certain.
  Steps are those of `once_model.world.World`; "deliver -1 0" delivers the newest frame.

  Scenario Outline: Nothing that processes, clocks and the network do breaks the promise
    Guards against a second run and a false "not run" under loss, repeats, reordering, crashes,
    pauses, clock jumps and changes of ownership.
    When a state machine drives entry hosts and agents where ownership is "<move>"
    Then no key ran twice and no "not run" was untrue
    Examples:
      | move                 |
      | moved to a new owner |
      | moved between owners |
      | old owner gone       |

  Scenario: What the real core does is a behaviour of the specification
    Guards against a core that deviates from the specification, whose states are searched
    exhaustively.
    When 30 random runs of the core are followed in the specification
    Then the specification allows every step

  Scenario Outline: One sequence of frames and what the agents answer
    Guards against <fault>.
    When ownership is "<move>" and the steps are "<steps>"
    Then the agents answer "<answers>"
    Examples:
      | fault                                        | move                 | steps | answers |
      | a call that runs after its cancel overtook   | moved to a new owner | key timed 0 0; send cancel 0 0; deliver -1 0; send call 0 1; deliver -1 0 | refused refused |
      | a repeat elsewhere that runs a second time   | moved to a new owner | key timed 0 0; send call 0 0; deliver -1 0; work h0 0 start; send call 0 1; deliver -1 0; work h0 0 finish; send call 0 1; deliver -1 0 | execute join ran |
      | an untrue "not run" for a call that started  | moved to a new owner | key timed 0 0; send call 0 0; deliver -1 0; work h0 0 start; send cancel 0 0; deliver -1 0 | execute join |
      | a new incarnation that runs an old key       | moved to a new owner | key timed 0 0; send call 0 0; deliver -1 0; crash h0 1; advance 13; send call 0 1; deliver -1 0 | execute unknown |
      | an issued key that outlives its incarnation  | moved to a new owner | key issued 0 0; crash h0 1; advance 60; send call 0 0; deliver -1 0 | unknown |
      | a slow clock that moves the start's barrier  | moved to a new owner | key timed 0 0; crash h0 1; jump h0 -100; advance 13; jump h0 0; send call 0 0; deliver -1 0 | unknown |
      | a late frame that a slow clock agrees with   | old owner gone       | key timed 0 0; send call 0 0; deliver -1 0; work h0 0 start; destroy h0; ticket h1 2; ticket_at_entry 0 2; send call 0 0; advance 13; jump h1 -13; deliver -1 0 | execute unknown |
      | a forged time that bars later issued keys    | moved to a new owner | key issued -90 0; send call 0 0; deliver -1 0 | unknown |
      | a key of the future that runs                | moved to a new owner | key timed -30 0; send call 0 0; deliver -1 0 | unknown |
      | a renewal that covers more than its records  | moved between owners | ask h1; deliver -1 0; deliver -1 0; key timed 0 0; ask h0; deliver -1 0; deliver -1 0; send call 0 0; deliver -1 0; ask h1; ticket h0 2; deliver -1 0; deliver -1 0; ticket h1 2; ticket_at_entry 0 2; send cancel 0 0; deliver -1 0 | execute unknown |
      | a new owner that forgets the old one's calls | moved to a new owner | key timed 0 0; send call 0 0; deliver -1 0; ticket h1 2; ticket_at_entry 0 2; ask h1; deliver -1 0; deliver -1 0; send call 0 0; deliver -1 0 | execute unknown |

  Scenario Outline: The agent's own time tells how late a frame is
    Guards against a second run of a key whose late frame matches the agent's slow wall clock.
    When a call arrives <late> s late at an agent whose wall clock stood still meanwhile
    Then the agent runs it <count> times
    Examples:
      | late | count |
      | 0    | 1     |
      | 5    | 0     |

  Scenario: One account never meets another account's key
    Guards against one account that sees or blocks another account's call under the same key.
    Given an agent that ran a call of account "salon" under key "k"
    Then another body of account "salon" is refused as "key-reused"
    And the same request of account "desk" executes

  Scenario: Memory is bounded and what is dropped is never guessed
    Guards against unbounded ledgers, and against a second run of an evicted key.
    Given a ledger of 3 entries and 10 bytes of answers that ran 5 calls with 6 bytes each
    Then the ledger holds at most 3 entries and 10 bytes
    And from the oldest call on the answers are "unknown unknown ran-forgotten ran-forgotten ran"

  Scenario Outline: Keys are read in one way only
    Guards against two texts for one key, and against a damaged issued key that runs on another
    host.
    When the key <text> is read with the creation header "<header>"
    Then it is "<kind>" created at "<created>"
    Examples:
      | text                                   | header | kind    | created       |
      | 017F22E2-79B0-7CC3-98C4-DC0C0C07398F   | 5      | own     | 1645557742000 |
      | "order-1"                              | 1000   | own     | 1000          |
      | order-1                                |        | own     | None          |
      | order-1                                | soon   | unknown |               |
      | wl1.s.h0.1.5.00                        |        | not-run |               |
