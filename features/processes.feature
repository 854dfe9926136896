Feature: Faults on real processes
  The whole fleet keeps its promises while its processes, links and platform fail. All scenarios
  share one fleet; each ends with the check of the seven promises.

  Background:
    Given the fleet of real processes in order

  Scenario: An agent is killed in mid-stream
    Guards against streams that stop, repeat or skip tokens when a runner is lost.
    When 12 long streams run and the busiest agent is killed
    Then every stream is whole, those of that agent with a part from another runner
    And no promise is broken

  Scenario: An entry process is killed while bookings run
    Guards against a pickup that is confirmed twice when a caller repeats its booking.
    When 8 bookings with issued keys run and their entry process is killed
    Then every caller learns through another entry host that its booking ran
    And no promise is broken

  @known_red
  Scenario: An entry process and two agents shut down under load
    Guards against requests that are cut off, and against work that is sent to a host that has left.
    When traffic flows and an entry process, a runner's agent and a booking host's agent get SIGTERM
    Then they end with status 0 after their last request
    And the traffic had answers from other hosts meanwhile
    And no promise is broken

  Scenario: A second signal ends an entry process while requests run
    Guards against an empty answer with status 200 for a booking whose outcome is unknown.
    When 8 bookings with issued keys run and their entry process gets SIGTERM twice
    Then none of them is told by it that it succeeded
    And every caller learns through another entry host that its booking ran
    And no promise is broken

  Scenario: The fleet is put in order while a process ends
    Guards against scenarios on a fleet without a process that still ran when they began, and ended
    a moment later.
    When an entry process gets SIGTERM and the fleet is put in order at once
    Then all entry processes run and are ready

  Scenario: A prompt crashes the engines that begin an answer on it
    Guards against a request, its retries and the repeats of callers that end one engine after the
    other, at all entry processes.
    When 9 requests with a text that crashes engines and as many without it come to all entry hosts in turn
    Then at most 5 engines crash, and the last requests with the text are refused as not run
    And the requests without it are answered
    When the engines no longer crash and an operator lifts the block at one entry host
    Then a request with the text is answered at each entry host

  Scenario Outline: A request crashes the servers that begin to run it
    Guards against a request whose repeats end one server after the other, at all entry processes.
    When 9 requests that crash each <server> and as many sound ones come to all entry hosts in turn
    Then at most 3 of these servers crash, and the last 3 such requests are refused as not run
    And the requests without it are answered

    Examples:
      | server |
      | engine |

    @known_red
    Examples: A plain service, seconds after crashes of engines
      | server        |
      | plain service |

  Scenario: Two agents are paused and wake late
    Guards against streams that hang with a paused host, and against work that runs again or frames
    that reach another request after it resumes.
    When 12 long streams and 6 bookings run and their busiest agents are paused
    Then every stream is whole before its deadline
    When the paused agents resume and 12 short streams run
    Then every stream is whole before its deadline
    And no promise is broken

  Scenario: A booking host leaves by a ticket while keys name it
    Guards against bookings that a leaving host still executes because only it may run their keys.
    When a booking host leaves by a ticket and keys that name it are used after 3 s
    Then their callers are told that nothing ran, and the one that ran before gets its answer again
    And no promise is broken

  Scenario: A booking is repeated through an entry process that knows no ticket yet
    Guards against a process without state that answers "not run" for a booking that ran, or refuses
    a valid account key as wrong.
    When a booking ran and is repeated through an entry process that starts and reads no ticket
    Then the callers get status 503, and the outcome of the repeat is unknown
    And no promise is broken

  Scenario: Links go silent for good
    Guards against calls that wait on a dead connection until their deadline.
    When 12 long streams run and the links to the busiest agent go silent
    Then every stream is whole before its deadline
    And the links are replaced
    And no promise is broken

  Scenario: The configuration service is down for a whole rollout
    Guards against a rollout or a restart that needs the service after one process has read the
    ticket.
    When a ticket is read once and the service goes down
    And an entry process and an agent are restarted meanwhile
    Then all processes carry out the ticket, most of them from peers
    And no promise is broken

  Scenario: The configuration service is stale when an entry process starts
    Guards against a new process that serves from a state that the others have already replaced.
    Given a ticket with a new version that the service does not show
    When an entry process starts
    Then it becomes ready only with the newest ticket
    And no promise is broken

  Scenario: A ticket number comes again with other content
    Guards against a fleet with two states because an operator used a number twice.
    When a peer pushes other content under the newest number, twice
    Then the entry process logs one refusal and keeps its state
    And no promise is broken

  Scenario: The store corrupts each tenth chunk
    Guards against partial weights, and against transfers that never end.
    Given the store corrupts each tenth chunk
    When a ticket with a new version is carried out
    Then each engine holds exactly the chunks of the manifest
    And no promise is broken

  Scenario: A delayed order arrives after a newer one
    Guards against an engine that stays on an old version because it accepts orders out of sequence.
    Given each engine delays its next order
    When a ticket is published, agents restart after their orders, and a newer ticket is published
    Then each engine got the delayed order late, and the fencing ones refused it
    And all engines end with the newest version
    And no promise is broken

  Scenario: Bad input gets a clear error
    Guards against input that stops a process or disturbs concurrent requests.
    When 6 long streams run and an entry host gets bad input
    Then each bad request has its clear error
      | input                      | status |
      | malformed JSON             | 400    |
      | wrong types                | 400    |
      | a header of 20 KiB         | 413    |
      | an announced body of 2 MiB | 413    |
      | a chunked body of 2 MiB    | 413    |
      | a chunked body             | 200    |
      | no HTTP at all             | 400    |
    When a reader of a stream vanishes and garbage arrives on the links
    Then the engine stops that stream and the garbage is logged
    And every stream is whole before its deadline
    And no promise is broken
