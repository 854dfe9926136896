Feature: Stand-ins
  The stand-ins behave as the platform does, so that tests against them are meaningful.

  Scenario Outline: An engine looks at the fencing token only when it has fencing
    Guards against tests of stale orders that pass because the engine refuses every order, or none.
    Given an engine with "draft@v1" and the settings {"fencing": <fencing>, "load_s": 0}
    And the weights of "draft@v2" are handed to the engine
    When orders with the fences 7 and 5 load "draft@v2" and "draft@v1"
    Then the statuses are <statuses>

    Examples:
      | fencing | statuses   |
      | true    | [202, 409] |
      | false   | [202, 202] |

  Scenario: An engine that checks orderers refuses an order without the token
    Guards against tests that miss an agent that sends no token.
    Given an engine with "draft@v1" and the settings {"orderer_token": "t"}
    When orders with the fences 1 and 2 load "draft@v1" and "draft@v1"
    Then the statuses are [401, 401]

  Scenario: A load needs every chunk, and running answers finish on their version
    Guards against an engine that serves partial weights or mixes versions in one answer.
    Given an engine with "draft@v1" and the settings {"load_s": 0.1, "token_s": 0.005}
    When "draft@v2" is handed over without its last chunk
    Then the commit and the load are refused
    When "draft@v2" is loaded while an answer of 60 tokens runs
    Then the running answer is wholly of "draft@v1" and the next of "draft@v2"

  Scenario: A resumed answer equals the tail of the whole
    Guards against an oracle that depends on the attempt instead of the position.
    Given an engine with "draft+salon@v1" and the settings {"token_s": 0.001}
    When answers are resumed from random positions
    Then each equals the tail of the whole answer

  Scenario: An engine runs no more answers than it has slots, urgent ones first
    Guards against an engine without queueing, with which every scheduler performs well.
    Given an engine with "draft@v1" and the settings {"slots": 2, "token_s": 0.002}
    When 8 answers of 10 tokens arrive at once with falling priority numbers
    Then at most 2 ran at once and the last arrived was admitted third

  Scenario: An engine dies in the middle of an answer, or cancels it on request
    Guards against tests of resume and cancel in which the first attempt was whole.
    Given an engine with "draft@v1" and the settings {"token_s": 0.002}
    When it dies once after 3 tokens and gets the same request twice
    Then the first answer breaks after 3 tokens and the second is whole
    When a running answer of 500 tokens is cancelled
    Then the engine records it as cancelled before its end

  Scenario Outline: A server crashes under each run of a request and is back after a while
    Guards against drills of such requests under which nothing ends, or nothing comes back.
    Given <server> that crashes for 0.3 seconds under requests with the text "deadly"
    When a request with the text is sent twice, and one without it before and after each
    Then the requests without the text are answered, and those with it began to run and broke off
    And the server has crashed twice

    Examples:
      | server                         |
      | an engine for streamed answers |
      | an engine for whole answers    |
      | a service by its path          |
      | a service by its body          |

  Scenario: Callers send the same request at each call
    Guards against repeats of a request that no server can take for the same.
    Given a service that crashes for 0.1 seconds under requests with the text "deadly"
    When callers send 3 requests of the kind "same-portal"
    Then all have the same method, path and body

  Scenario: A cached prefix needs no second prefill until it is evicted
    Guards against a prefix cache that never saves work, or one that saves it without limit.
    When random prompts are stored in a small prefix cache
    Then equal prefixes have equal blocks and no more blocks are held than fit

  Scenario: The store keeps its total rate over all connections
    Guards against distribution figures measured against an origin that is too fast.
    Given a store with the settings {"size": 300000, "chunk_size": 50000, "bytes_per_s": 400000}
    When all chunks of "draft@v1" are read at once
    Then it took at least 0.70 seconds and each chunk was sent once
    When the store corrupts every 3 chunks and all are read again
    Then 2 chunks do not match their digests

  Scenario: The configuration service counts calls and pending watches
    Guards against watches that cost nothing, although the platform counts them.
    Given a configuration service with the settings {"reads_per_s": 6}
    When a watch stays pending over 2 changes of the second and ticket 4 is published
    Then the watch has answered 4 and was counted 3 times
    When 20 calls come at once
    Then at least 8 are refused with 429 and a time to retry

  Scenario: The configuration service comes back from a copy in a new era
    Guards against drills of a restore that lose nothing, or after which lost tickets stay lost.
    Given a configuration service with the settings {}
    And the tickets 1 to 3, of which a copy of the service holds number 1 only
    When the service goes away while a watch after 3 waits, and comes back from the copy
    Then the watch breaks, and a watch after 3 of either era gets 410
    And the index shows ticket 1 of era 0 only, and each answer tells era 1
    When the operator writes ticket 2 with other content and ticket 3 as it was
    Then the index shows the eras 0, 1, 1 and a watch after 1 of era 1 answers 3

  Scenario: What a copy lacks is written again by its writers, at the same moments for a seed
    Guards against a restore in which all writers come back at once, or others for each run.
    Given a host list without a lag whose copy lacks 2 of 4 hosts and the leaving of a third
    When it comes back from the copy and the hosts register again within 0.3 seconds
    Then the list shows the lost entries one after another and all of them in the end
    And the moments are those of the seed

  Scenario: A dropped answer does not undo an execution
    Guards against at-most-once checks on a service that does not record what it ran.
    Given a service that drops the connection after executing
    When a booking is sent twice with the key "k-1"
    Then the service has counted 2 executions of the key "k-1"

  Scenario: The host list lags
    Guards against testing membership with a list that is always up to date.
    Given a host list with a lag of 0.3 seconds
    When host "r1" is set to "leaving"
    Then the list shows "r1" only after the lag

  Scenario: A relay stalls silently, cuts one way and goes silent on open connections only
    Guards against link tests in which the operating system reports the fault.
    Given a relay to an echo server
    When the relay stalls
    Then nothing passes and the connection stays open
    When the stall ends
    Then what was held back arrives
    When the open connections go silent
    Then nothing passes and a new connection works
    When the backward direction is cut
    Then bytes reach the server and nothing comes back
    When a byte is corrupted
    Then exactly one bit differs

  Scenario: Relays share a bandwidth and add their delay
    Guards against region links that exceed their bandwidth when several hosts use them.
    Given 2 relays to an echo server sharing 200000 bytes per second forward
    When each carries 50000 bytes
    Then it took at least 0.45 seconds

  Scenario: Callers tell whole, mixed, cut off and refused answers apart
    Guards against a load generator that accepts wrong answers as right.
    Given an entry host that answers in the style "<style>"
      | style    | verdict | match |
      | right    | whole   | True  |
      | mixed    | whole   | False |
      | short    | whole   | False |
      | cut      | broken  | True  |
      | error    | broken  | True  |
      | refused  | refused | None  |
    When callers send one completion in each style
    Then they record the verdicts

  Scenario: Callers find a booking that ran twice
    Guards against a check of at-most-once calls that sees no violation.
    Given a service that drops the connection after executing
    When callers book 3 times and repeat each booking once
    Then each booking is reported to have run twice
