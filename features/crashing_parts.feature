Feature: Parts of prompts under which backend servers end
  One part of a prompt may end each backend server that begins an answer on it, whatever else the
  request holds. Requests with it come at any entry process; sound ones share their other parts.

  Scenario Outline: Requests with a part that ends servers are not sent to one server after the other
    Given 6 runners that end on a part of prompts and are back after 1.5 s
    When <processes> entry processes get sound requests each 40 ms and ones with the part each 200 ms for 9 s
    Then at most 5 runners end
    And at most three requests with the part reach runners from 3 s after the fifth crash on
    And sound requests begin at the first attempt 0.95 as often as without them

    Examples:
      | processes |
      | 1         |
      | 3         |

  Scenario Outline: A fleet finds the part after few crashes
    # Guards against processes that each learn by themselves, and against refusing sound requests.
    Given <processes> entry processes before <runners> runners
    When requests with a part that crashes runners come for 20 s, with seeds 1 to <seeds>
    Then at most 5 runners crash under it
    And at most 3 such requests are sent from 3 s after the fifth crash on
    And only parts that crash runners are blocked
    And sound requests of the fleet begin at the first attempt 0.95 as often as without them
    And each process sends at most 3 KB a second about it
    And their callers are told at once that they were not run and are not to repeat them

    Examples:
      | processes | runners | seeds |
      | 7         | 9       | 20    |
      | 76        | 40      | 2     |

  Scenario Outline: A part that crashes runners beside other trouble
    # Guards against a part that is missed or taken for another one while evidence is mixed.
    Given 7 entry processes before 9 runners
    When <trouble> while such requests come for 20 s, with seeds 1 to 8
    Then at most <most> runners crash under <what>
    And only parts that crash runners are blocked
    And at most 3 such requests are sent from 3 s after the fifth crash on

    Examples:
      | trouble                                         | most | what                |
      | a second such part comes                        | 10   | both                |
      | runners crash for another reason                | 5    | the part            |
      | the part is the first one of its route          | 5    | the part            |
      | their callers invent parts                      | 5    | the part            |
      | their callers repeat the parts of others        | 5    | the part            |

  Scenario: Failure domains that cannot reach each other
    # Each side learns by itself.
    Given 7 entry processes before 9 runners
    When the failure domains are cut off from each other while such requests come for 20 s, with seeds 1 to 4
    Then at most 15 runners crash under it
    And only parts that crash runners are blocked

  Scenario: Crashes for other reasons block nothing
    # Guards against blaming a part that all prompts hold, or one that was there by chance.
    Given 7 entry processes before 9 runners
    When runners crash without such a part, in 100 runs
    Then no part is blocked at any process at any time

  Scenario: A process that starts learns from the others
    Given 7 entry processes before 9 runners
    When an entry process restarts while such requests come
    Then 0 more runners crash

  Scenario: A blocked part is probed once after a long time without requests
    Given 7 entry processes before 9 runners
    When no such request comes for 700 s in between
    Then 1 more runners crash

  Scenario Outline: What lets a probe find out whether a part still crashes runners
    Given 7 entry processes before 9 runners
    When <event> while such requests come, <times> times
    Then <count> more runners crash

    Examples:
      | event                      | times | count |
      | new weights are there      | 1     | 1     |
      | an operator lifts the block | 1    | 1     |
      | an operator lifts the block | 2    | 2     |

  Scenario: A part that crashes runners no longer
    Given 7 entry processes before 9 runners
    When new weights are there and the part no longer crashes runners while such requests come, 1 times
    Then 0 more runners crash
    And such requests are answered again

  Scenario: Requests that were placed before the part was blocked
    # Guards against requests that wait for a connection and are sent all the same.
    When 4 requests with the part wait for their connection while the part is blocked
    Then none of them reaches a runner, and each is told that it has not run

  Scenario: Reports of crashes in any order
    # Guards against one crash that counts twice, as several processes saw it, late and repeatedly.
    When reports of crashes come in any order, in parts and repeatedly
    Then the evidence is the same, and no part is blocked with too little of it

  Scenario: Callers that invent parts do not fill the memory
    When callers send 20000 invented parts in requests that are with crashed runners
    Then a bounded number of them is kept, and the part that crashes runners is blocked

  Scenario Outline: Two parts that cannot be told apart
    Given two parts that are in the prompts of all requests that crash runners
    Then requests with both are refused, and one with the <one> alone is a probe
    When the answer of the probe with the <one> goes on
    Then requests with the <one> alone are sent
    And requests with the <other> alone are refused

    Examples:
      | one    | other  |
      | first  | second |
      | second | first  |

  Scenario: Runners that answer nothing have another fault
    # Guards against blocking what all prompts share while a faulty version ends all runners.
    When runners crash under the same part, and no answer at all goes on
    Then the part is not blocked

  Scenario Outline: What counts as a crash
    # Guards against cut links, closed connections and leaving runners that count as crashes, and
    # against a runner that is back before the connection attempt.
    When the connections of 3 requests break because <cause>, and <then>
    Then it counts as <what> for all of them, after <checks> connection attempt

    Examples:
      | cause                                 | then                                   | what     | checks |
      | the runner has ended                  | nothing follows                        | a crash  | 1      |
      | the runner only closed the connection | nothing follows                        | no crash | 1      |
      | the link to the runner is cut         | nothing follows                        | no crash | 1      |
      | the runner has ended                  | it was leaving                         | no crash | 0      |
      | the runner only closed the connection | its agent soon reports another start   | a crash  | 1      |
      | the link to the runner is cut         | its agent soon reports no answer       | a crash  | 1      |
      | the runner only closed the connection | its agent reports another start late   | no crash | 1      |

  Scenario: A late report of an earlier crash does not end a lift
    # Guards against a process that blocks a part again, as it learns late of a crash before the lift.
    When a blocked part is lifted and another crash is reported that was before
    Then a request with the part is a probe
    When another crash is reported that was after
    Then a request with the part is refused

  Scenario: Prompts of the product's own interface
    # Guards against an interface whose prompts are not looked at.
    Given two engines that crash on a block of the prompt, after answers to other prompts
    When 4 requests with the block and as many without it come in turn
    Then 2 engines crash, and the other requests with the block are refused as not run
    And all requests without it are answered

  Scenario Outline: A request of the product's own interface during the probe of another process
    # Guards against sound requests that are refused because a probe's result is still under way.
    Given two engines that crash on a block of the prompt, after answers to other prompts
    When 3 requests with a suspected block come, and a probe elsewhere <ends> after <seconds> s
    Then <kinds> is the result of all within 0.1 s

    Examples:
      | ends              | seconds | kinds          |
      | is answered       | 0.2     | an answer      |
      | crashes an engine | 0.2     | prompt-blocked |
      | tells nothing     | 3.0     | an answer      |

  Scenario: A request of the product's own interface whose deadline is before the probe's end
    # Guards against an unknown outcome for a request that was never sent.
    Given two engines that crash on a block of the prompt, after answers to other prompts
    When a request with a suspected block has 0.3 s left, and a probe elsewhere does not end
    Then it is refused as not run within 0.3 s

  Scenario Outline: An agent tells crashes of its plain service
    # Guards against services whose crashes nobody counts, since their agents do not tell them.
    Given an agent beside a service that crashes for 0.2 seconds under a request
    When <calls> with the request are sent twice, and a sound one before and after each
    Then the agent tells two crashes with the broken calls, and none with the sound ones

    Examples:
      | calls             |
      | calls             |
      | calls under a key |

  Scenario: A service that only closes a connection
    # Guards against a broken connection that counts as a crash.
    Given an agent beside a service that drops each connection
    When a call is sent
    Then the agent tells no crash with the broken call

  Scenario: An agent tells crashes of its engine
    # Guards against one crash that counts once for each answer, two that count once because nothing
    # was answered between them, and a broken connection that counts as a crash.
    When an engine ends under three answers, is back, and ends again under the next ones
    Then its agent tells two crashes, each the same for all answers, and none before and after
