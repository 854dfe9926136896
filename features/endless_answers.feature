Feature: Answers without end and the other callers
  What other callers get while a backend server sends bytes of one answer without a pause.

  Scenario Outline: The others are answered while a stream does not end
    Guards against a process that answers nobody while bytes of one answer arrive: awaiting a read
    that is already complete does not let the event loop continue.
    Given a backend server that answers streams with <form> without end
    When callers send requests for 1.5 s while a stream of 1 s is open there
    Then each of these requests was answered within 0.5 s
    And the stream and its connection to the server ended within 1.5 s

    Examples:
      | form                             |
      | line feeds without a length      |
      | line feeds with a length         |
      | comments without a length        |
      | small events without a length    |
      | events of 16 KB without a length |
      | small events in small chunks     |

  Scenario: Ten streams that do not end
    Guards against readers that each leave the event loop in time and together still occupy it.
    Given a backend server that answers streams with line feeds without a length without end
    When callers send requests for 1.5 s while 10 streams of 1 s are open there
    Then each of these requests was answered within 0.5 s
    And the stream and its connection to the server ended within 1.5 s

  Scenario: A stream that exceeds its limit is continued without a gap
    Guards against events that are dropped with the refusal although the next runner continues after
    them.
    When a server sends 12000 events with ids at once, more than a stream may have
    Then the caller has all events up to the one after which another runner would continue

  Scenario Outline: Several long heads that arrive together
    Guards against a process that parses the heads of one connection without a pause.
    When a server sends 4 <answers> with heads of 12 KB together before its answer
    Then other work ran between these heads

    Examples:
      | answers                   |
      | interim answers           |
      | answers to other requests |

  Scenario: A head that is longer than any sound one
    Guards against heads that each take longer than the pause between two tokens of a stream.
    When a server sends 0 interim answers with heads of 20 KB together before its answer
    Then its answer is refused

  Scenario Outline: An agent reads from a backend server that does not end
    Guards against an agent whose own reader of chunks does not let the event loop continue, so that
    not even the deadline of the call is kept.
    When an agent <call> from a backend server that sends <form> without end, for at most 1 s
    Then the call ended within 1.5 s, and nothing else waited for more than 0.5 s

    Examples:
      | call                | form                         |
      | passes on an answer | small events in small chunks |
      | passes on an answer | line feeds without a length  |
      | passes on an answer | line feeds with a length     |
      | reads tokens        | line feeds without a length  |
      | reads tokens        | comments without a length    |

  Scenario: A sound stream on a busy host
    Guards against streams that are delayed since the host was busy while one of their events was
    processed.
    When a reader processes one part of its input in 10 ms, and another one two parts
    Then only the second pauses

  Scenario: The log tells what held the event loop
    Guards against a process that answers late without a trace of the reader that held it.
    When a reader named 10.0.0.1:80 holds the event loop for 0.2 s
    Then one log line tells of the delay and names the reader, and none follows

  Scenario: A peer that sends messages without a pause
    Guards against a link whose messages keep all other work of a process waiting.
    When a peer sends messages without a pause for 1.5 s
    Then all its messages were received, and nothing else waited for more than 0.5 s

  Scenario Outline: A call whose answer does not end
    Guards against a process that keeps what it receives until its memory ends.
    When a process <call> and gets <form> without end
    Then the call failed, and the server could send at most <bound> MB beside what sockets hold

    Examples: bodies
      | call                           | form                             | bound |
      | reads the index of tickets     | line feeds without a length      | 5     |
      | reads the index of tickets     | small events in small chunks     | 15    |
      | reads the state of an engine   | line feeds without a length      | 2     |
      | reads the state of an engine   | events of 16 KB without a length | 2     |
      | reads a manifest of the store  | events of 16 KB without a length | 1     |
      | reads a chunk of the store     | events of 16 KB without a length | 1     |
      | reads the state of a runner    | events of 16 KB without a length | 1     |
      | reads a staged chunk           | events of 16 KB without a length | 1     |
      | orders a load                  | events of 16 KB without a length | 1     |
      | reads a manifest of the origin | events of 16 KB without a length | 1     |
      | reads a chunk of the origin    | events of 16 KB without a length | 7     |

    Examples: heads
      | call                         | form         | bound |
      | reads the index of tickets   | header lines | 1     |
      | reads the index of tickets   | one header   | 1     |
      | reads the state of an engine | header lines | 1     |
      | reads the state of an engine | one header   | 1     |
      | reads a chunk of the store   | header lines | 1     |
      | reads the state of a runner  | header lines | 1     |
      | reads a staged chunk         | one header   | 1     |
      | reads a chunk of the origin  | one header   | 1     |

  Scenario Outline: Limits of one stream
    Guards against sound streams that are cut, and against others that occupy a process until their
    deadline.
    When a stream receives <events> events in <seconds> s
    Then the stream is <outcome> by its limit

    Examples:
      | events | seconds | outcome  |
      | 8192   | 0       | accepted |
      | 8193   | 0       | refused  |
      | 1130   | 10      | accepted |
      | 12000  | 1       | refused  |
      | 28000  | 10      | accepted |

  Scenario: Half of the event loop is left to others
    Guards against busy readers that take all of the event loop, however many there are.
    When 10 readers whose input is always ready share an event loop for 1 s
    Then their turns took at most 0.5 s and one turn of each
    And each of them had an equal number of turns, within 1
    And a reader with turns of 1 ms never paused
    And a reader in whose turn the process stood still for 4 s pauses for at most 0.02 s

  Scenario: The cost of an event without end
    Guards against a search of all buffered bytes for each part of one event that arrives.
    When an event of 1 MB arrives in parts of 16 bytes
    Then at most 10 MB were searched
    And events that arrive in parts are the same as those that arrive at once
