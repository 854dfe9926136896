Feature: A sound runner falls silent for a second or so
  What it costs callers when a runner stops sending and goes on.

  Scenario Outline: A runner falls silent within a stream and goes on
    # Guards against streams that are ended, or run twice, because their runner was silent.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And a stream route that <may be> resumed, and <runners> runners of which <other>
    When a stream is sent whose runner is silent for 1.6 s after two events
    Then the caller gets all events once
    And the runners received 1 requests that may have run

    Examples:
      | may be     | runners | other                        |
      | may be     | 2       | the other is full            |
      | may not be | 2       | the other answers            |
      | may be     | 1       | none answers                 |
      | may be     | 2       | the budget allows no repeat  |

  Scenario: A runner falls silent within a stream while another can take over
    # Guards against callers that leave a stream whose runner has died without a sign.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And runners that send two events and fall silent and then answer
    When a caller sends a request on the stream route
    Then the caller gets all events once
    And the runners received 2 requests that may have run

  Scenario: A runner is silent before a plain answer while no other can take over
    # Guards against requests that are given up because their only runner was silent.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And a stream route that may be resumed, and 1 runners of which none answers
    When a plain request is sent whose runner is silent for 1.6 s
    Then the caller gets the whole answer

  Scenario Outline: The longest silence of a stream
    # Guards against streams that move although their callers would wait, or after these have left.
    When a stream route has a latency objective of <objective> s and a gap objective of <gap> s
    Then another runner is asked after a silence of <silence> s within the stream

    Examples:
      | objective | gap  | silence |
      | 0.4       | 0.0  | 1.2     |
      | 0.4       | 0.25 | 1.2     |
      | 0.4       | 0.3  | 1.6     |
      | 0.4       | 0.4  | 2.0     |
      | 2.0       | 0.0  | 2.0     |

  Scenario: Many streams at one runner fall silent at the same time
    # Guards against a sound runner that gets no requests for seconds after one silence.
    When 16 streams at one runner are found silent at the same time
    Then the runner gets requests again after 0.4 s

  Scenario: A caller does not read its stream for a while
    # Guards against sound runners that get no requests, and streams that move, as a caller is slow.
    Given runners whose streams have more events than connections buffer
    When a caller does not read its stream for 1.9 s and then goes on
    Then it gets all its large events once
    And one runner ran the stream, and both could get requests all the time

  Scenario: A caller never reads its stream
    # Guards against requests that never end, and count as load of their runner for good.
    Given runners whose streams have more events than connections buffer
    When a caller does not read its stream until 0.5 s after its timeout, and a runner loads
    Then its stream is no longer in progress
    And one runner ran the stream, and both could get requests all the time

  Scenario: A silent runner goes on while another one is asked to take over
    # Guards against events that are kept back until callers have left, 2 s after the last one.
    Given runners of which one is silent for 1.35 s and the other one never begins
    When a caller measures the pauses of its stream
    Then its longest pause is below 1.47 s

  Scenario Outline: An agent gets no report from its runner
    # Guards against a sound runner that counts as crashed, under the prompts of requests whose
    # connections broke for another reason.
    Given an agent whose runner <does this> when it is asked for its state
    When the agent reports to an entry process
    Then the runner gets no requests, and it counts as <what>

    Examples:
      | does this              | what    |
      | sends nothing          | running |
      | closes its connections | ended   |
