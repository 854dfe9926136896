Feature: Forwarding of answers
  Frames, credit and events are batched, and each caller still receives the exact answer.

  Scenario: A slow caller holds its window only and delays no other stream of its link
    Guards against credit that is granted before the caller has read the bytes, against a sender
    that waits for credit withheld in a batch, and against one stream that blocks its link.
    When one of two streams over a link is not read until the other has ended
    Then the unread stream held at most its window and one part
    And both streams arrived whole and in order

  Scenario: A stream resumed on another runner loses and doubles nothing
    Guards against parts that are lost or repeated when several are combined before a runner fails,
    its link closes or it stops sending, and against a progress timeout that does not fire.
    When answers break at random positions and resume on the other runner
    Then the caller got each token once, in order, from one version

  Scenario: Chunks cut at any byte give the same content
    Guards against a decoder that depends on where the network splits the engine's answer.
    When chunked bodies arrive in random pieces
    Then their content is that of the bodies, and malformed chunks are refused

  Scenario: A model request is "not run" only when none of its attempts can have run
    Guards against a false "not run" after an earlier attempt, or an abandoned hedge, may have run.
    When requests fail after attempts and hedges of each outcome
    Then "not run" is reported exactly when every attempt reported it

  Scenario: Work leaves a runner that is slow, and an agent gives back only what has not started
    Guards against requests that stay on a slow runner, against moves that lose or repeat tokens,
    against a runner that counts as failed after a move, and against a withdrawn call that runs
    twice or loses its waiting time.
    When answers wait or stall on one of two runners and the other one is free
    Then the caller got each token once and the slow runner got a cancel
    And an agent returns a waiting call and no started call

  Scenario: A preempted stream that waits in the run queue shows that it goes on
    Guards against a waiting stream that is treated as stalled and moved until it fails.
    When a stream is preempted after 1 token and the heartbeat comes
    Then the entry host gets a part without tokens at position 1

  Scenario Outline: An answer that has begun outlives runners that refuse to go on with it
    # Guards against answers that are cut in the middle because the next runner refused them.
    When the runner of an answer fails after 5 of 12 tokens and the next <count> attempts end as <kind>
    Then the caller got each of the 12 tokens once

    Examples:
      | count | kind                 |
      | 1     | overloaded           |
      | 6     | overloaded           |
      | 6     | deadline-unreachable |
      | 6     | not-ready            |
      | 6     | draining             |
      | 6     | version-mismatch     |
      | 6     | backend-unreachable  |

  Scenario: An answer that has begun waits while a part of its prompt is probed
    # Guards against answers that are cut because another request probes their prompt at one moment.
    When the runner of an answer fails after 5 of 12 tokens and a part of its prompt is probed for a while
    Then the caller got each of the 12 tokens once

  Scenario: An answer that all runners refuse to go on with ends with its time
    # Guards against endless attempts for a caller whose time is up.
    When the runner of an answer fails after 5 of 12 tokens and all further attempts end as overloaded
    Then the answer ends as broken at its deadline
