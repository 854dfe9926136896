Feature: Full runners
  Which requests are sent, held or refused, and where they go, while runners are full.

  Scenario: More callers get an answer in time than when everything is sent
    # Load: 5 runners, requests for 1.3 times what they can do, for 12 s, from 7 entry processes.
    # Guards against queues in which every answer begins late.
    When the load is played with everything sent and with requests held and refused
    Then holding and refusing serves at least 1.2 times the worth of sending everything
    And no caller that was refused had its request run
    And each refused caller was told when to come back

  Scenario: New requests find room while runners load a version
    # Load: 10 runners at 0.9 of their capacity, in three waves each third accepts nothing for 1.8 s;
    # callers come back once after a refusal.
    # Guards against a queue of late requests that takes each place that becomes free, so that no
    # answer begins in time for seconds after the waves.
    When the load is played with held requests sent in order and with new ones first
    Then new ones first begin at least 1.15 times as many answers in time from 6 to 10 s
    And at most 0.01 of all callers more than in order get no answer

  Scenario: Runners serve requests in time while far more arrive than they can do
    # Load: 12 runners with 8 places each and requests for 1.4 times what they can do, for 20 s, from
    # 20 entry processes that hear of a runner's load each 0.2 s; objective 0.6 s.
    # Guards against requests that are sent although they begin late, which hold up all others.
    When the load of a large fleet is played at 1.4 times what it can do
    Then at least 0.75 of what the runners can do are answers in time
    And the largest tenth is answered at least half as often as all
    When the load of a large fleet is played at 0.8 times what it can do
    Then at least 0.95 of all answers are in time

  Scenario: Entry processes that do not hear of each other's requests
    # Load: as above at what the runners can do, without notices of sends, as in a failure domain of
    # more than 24 entry processes.
    # Guards against processes that all send to the runner that looks best.
    When the load of a large fleet is played without notices by batch_backlog and batch_sampled
    Then batch_sampled begins at least 1.2 times as many answers in time

  Scenario: Entry processes do not crowd one runner
    # Load: 9 runners, requests for 0.7 times what they can do, for 15 s, from 7 entry processes.
    # Guards against prompts that are read one after the other at one runner for a second.
    When the load is played with and without notices of sends between entry processes
    Then with notices the 95th percentile of the first token is at most 0.8 of that without

  Scenario: Restarted entry processes do not fill the queues of runners that they know nothing of
    # Load: 9 runners, requests for 2.5 times what they can do, for 4 s, from 7 entry processes that
    # hear of no runner's load for the first 1.5 s.
    # Guards against processes that each take a busy runner for an empty one.
    When callers come back to restarted entry processes that have no reports for 1.5 s
    Then assuming an equal part of each process serves at least 1.1 times the worth

  Scenario: An entry process assumes a load where it has no report
    # Guards against a view that shows a runner as empty though this process has filled a part of it.
    Given an entry process that shares a runner with 4 others and has no report of it
    When it has sent 4 requests there
    Then it counts the runner as full

  Scenario: Long answers end although hosts are slowed
    # Load: 6 runners, one of which takes 2.5 times longer, at the fleet's full capacity for 15 s.
    # Guards against answers that are cut off at their deadline on slowed hosts.
    When the load is played by expected wait alone and by the end of the answer, too
    Then at most half as many answers are cut off at their deadline

  Scenario Outline: One request at one moment
    # Guards against a decision that keeps a caller waiting for nothing.
    When a request that is <on_time>, with <room> at its runner, <slack> and <held> held is placed
    Then the request is <decision>

    Examples:
      | on_time | room    | slack    | held | decision |
      | on time | no room | slack    | 5    | sent     |
      | late    | room    | slack    | 0    | sent     |
      | late    | room    | slack    | 3    | held     |
      | late    | no room | slack    | 3    | held     |
      | late    | no room | slack    | 99   | refused  |
      | late    | no room | no slack | 0    | refused  |

  Scenario: Nobody is held while no runner can answer
    # Guards against requests that wait although no runner is expected.
    When a late request is placed while there is no runner
    Then the request is refused

  Scenario Outline: A runner that loads a version soon gets short answers only
    # Guards against loads that wait for long answers, while which a runner answers nobody else.
    Given a runner that loads a version soon and one at which a request waits <wait> s
    When a request with a <size> answer is placed
    Then it goes to the runner that loads <choice>

    Examples:
      | wait | size  | choice |
      | 0.1  | short | later  |
      | 0.4  | short | soon   |
      | 0.4  | long  | later  |
      | 1.2  | long  | soon   |

  Scenario: A held request is refused by the runners of that moment
    # Guards against a time to come back that is reckoned with runners that have left meanwhile.
    Given a full runner that leaves while a request is held for it
    When no place becomes free in time
    Then the refusal names 0 runners and the time in which one comes back

  Scenario Outline: No runner holds a version that may answer
    # Load: each runner of the model is out of date, as after a newest version that arrives late.
    # Guards against callers who come back before any runner can serve them, when they are lost.
    Given 3 runners whose version is out of date
    And one of them <does>
    When a request arrives
    Then it is refused at once as not run
    And its callers come back after <earliest> s to <latest> s, spread

    Examples:
      | does                             | earliest | latest |
      | waits for its weights            | 1.2      | 2.0    |
      | has ended its requests and loads | 0.59     | 1.0    |
      | ends 8 requests before it loads  | 0.6      | 2.0    |

  Scenario: The version of a full runner runs out
    # Guards against requests that are held for a runner that cannot answer them any more.
    Given a full runner
    When the version of a full runner runs out while a request is held for it
    Then the held request is refused within 0.2 s
