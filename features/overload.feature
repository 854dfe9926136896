Feature: Full runners
  Whether requests are sent, held or refused, and to which runner, while runners are full.

  Scenario Outline: Entry processes move streams at the same time
    # Guards against more streams that move off a loading runner than there is room for elsewhere:
    # a full runner refuses them, and they are cut off.
    Given 7 entry processes that each see <free> free slots beside a runner that loads
    When each of them decides 200 times how many streams may move
    Then together they move <free> streams each time on average

    Examples:
      | free |
      | 0    |
      | 1    |
      | 3    |
      | 14   |

  Scenario: More callers get an answer in time than when everything is sent
    # Load: 5 runners, requests at 1.3 times their capacity, for 12 s, from 7 entry processes.
    # Guards against queues in which every answer begins late.
    When the load is simulated with everything sent and with requests held and refused
    Then holding and refusing serves at least 1.2 times the worth of sending everything
    And no caller that was refused had its request run
    And each refused caller got a retry time

  Scenario: New requests find room while runners load a version
    # Load: 10 runners at 0.9 of their capacity, in three waves each third accepts nothing for
    # 1.8 s; callers retry once after a refusal.
    # Guards against a queue of late requests that takes each slot that becomes free, so that no
    # answer begins in time for seconds after the waves.
    When the load is simulated with held requests sent in order and with new ones first
    Then new ones first begin at least 1.15 times as many answers in time from 6 to 10 s
    And the share of callers without an answer is at most 0.01 above that in order

  Scenario: Runners serve requests in time while far more arrive than they can do
    # Load: 12 runners with 8 slots each and requests at 1.4 times their capacity, for 20 s, from
    # 20 entry processes that receive load reports each 0.2 s; objective 0.6 s.
    # Guards against requests that are sent although they begin late, which delay all others.
    When the load of a large fleet is simulated at 1.4 times what it can do
    Then at least 0.75 of what the runners can do are answers in time
    And the largest tenth is answered at least half as often as all
    When the load of a large fleet is simulated at 0.8 times what it can do
    Then at least 0.95 of all answers are in time

  Scenario: Entry processes that do not hear of each other's requests
    # Load: as above at the runners' capacity, without notices of sends, as in a failure domain of
    # more than 24 entry processes.
    # Guards against processes that all send to the runner with the least reported load.
    When the load of a large fleet is simulated without notices by batch_backlog and batch_sampled
    Then batch_sampled begins at least 1.2 times as many answers in time

  Scenario: Entry processes do not crowd one runner
    # Load: 9 runners, requests at 0.7 times their capacity, for 15 s, from 7 entry processes.
    # Guards against prompts that queue for prefill at one runner for a second.
    When the load is simulated with and without notices of sends between entry processes
    Then with notices the 95th percentile of the time to the first token is at most 0.8 of that without

  Scenario: Restarted entry processes do not fill the queues of runners that they know nothing of
    # Load: 9 runners, requests at 2.5 times their capacity, for 4 s, from 7 entry processes that
    # receive no load reports for the first 1.5 s.
    # Guards against processes that each treat a busy runner as an idle one.
    When callers come back to restarted entry processes that have no reports for 1.5 s
    Then assuming an equal share of each process serves at least 1.1 times the worth

  Scenario: An entry process assumes a load where it has no report
    # Guards against a view that shows a runner as idle although this process has filled a part
    # of it.
    Given an entry process that shares a runner with 4 others and has no report of it
    When it has sent 4 requests there
    Then it counts the runner as full

  Scenario: Long answers end although hosts are slowed
    # Load: 6 runners, one of which takes 2.5 times as long, at the fleet's full capacity for 15 s.
    # Guards against answers that are cut off at their deadline on slow hosts.
    When the load is simulated with routing by expected wait and also by the end of the answer
    Then at most half as many answers are cut off at their deadline

  Scenario Outline: One request at one moment
    # Guards against a decision that makes a caller wait in vain.
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
    # Guards against loads that wait for long answers, while the runner accepts no other requests.
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
    # Guards against a retry time that is computed with runners that have left since.
    Given a full runner that leaves while a request is held for it
    When no slot becomes free in time
    Then the refusal names 0 runners and the retry time without a runner

  Scenario Outline: No runner holds a version that may answer
    # Load: each runner of the model is out of date, as when the newest version arrives late.
    # Guards against callers who retry, and are lost, before any runner can serve them.
    Given 3 runners whose version is out of date
    And one of them <does>
    When a request arrives
    Then it is refused at once as not run
    And its callers retry after <earliest> s to <latest> s, spread

    Examples:
      | does                             | earliest | latest |
      | waits for its weights            | 1.2      | 2.0    |
      | has ended its requests and loads | 0.59     | 1.0    |
      | ends 8 requests before it loads  | 0.6      | 2.0    |

  Scenario: The version of a full runner runs out
    # Guards against requests that are held for a runner that can no longer answer them.
    Given a full runner
    When the version of a full runner runs out while a request is held for it
    Then the held request is refused within 0.2 s
