Feature: Backend servers that name a limit for all entry processes together
  A server in need names in its answers the requests per second that it takes from all entry
  processes together, for as long as it says so. Bound on the requests of processes that have passed
  on such an answer half a second before: one and a half times the limit, and 5, in any 4 s.

  Scenario Outline: Servers that name a limit get no more than that from all entry processes
    # Guards against entry processes that go on as if nothing had been said, with new requests and
    # with those that they repeat at another server.
    Given runners that in turn <answer> while naming a limit of <limit>
    When <processes> entry processes send <kind> requests each 50 ms for 6 s
    Then no runner gets more in 4 s than its limit allows

    Examples:
      | limit | processes | kind         | answer               |
      | 1     | 3         | idempotent   | answer               |
      | 0.5   | 2         | at-most-once | answer               |
      | 1     | 2         | stream       | answer               |
      | 1     | 2         | idempotent   | fail with status 500 |
      | 1     | 2         | at-most-once | refuse as full       |

  Scenario: All servers are beyond their limits
    # Guards against callers that wait, or that are told that their request may have run.
    Given runners that in turn answer while naming a limit of 0.5
    When 2 entry processes send at-most-once requests each 100 ms for 4 s
    Then each caller who is refused is told at once not-run and when to come back
    And the log tells the limit of each runner in each process once

  Scenario Outline: What an answer without a limit ends
    # Guards against a limit that seems to end with answers that say nothing of it.
    Given runners that in turn answer while naming a limit of 0.5, answer while naming a limit of 0.5, then <answer>
    When 1 entry processes send idempotent requests each 50 ms for 5 s
    Then the limits <end>

    Examples:
      | answer                 | end       |
      | answer                 | end       |
      | refuse as full         | do not end |
      | answer without a seal  | do not end |

  Scenario: Servers whose every answer names an unreadable limit
    # Guards against a log line, and a message to all entry processes, for each answer.
    Given runners that in turn answer while naming a limit of 50, answer while naming a limit of soon
    When 2 entry processes send idempotent requests each 50 ms for 3 s
    Then each process logs the unreadable limit of a runner once
    And the processes exchange no more messages about limits than without it

  Scenario: A request gets its connection after the server named its limit
    # Guards against requests that were placed before the limit was known and are sent long after it.
    Given runners that in turn answer while naming a limit of 0.5
    When 8 requests that wait 1.2 s for their connection were placed before a server named its limit
    Then the servers get at most 4 requests

  Scenario: No stream moves to a server beyond its limit
    # Guards against moves that take a server beyond its limit and cut off the stream.
    Given runners that in turn answer while naming a limit of 0.5, answer, then answer slowly
    When the runner of a stream is to load a version after the other one has named its limit
    Then the caller gets all events once
    And the server that named its limit gets no other request

  Scenario Outline: A limit is kept and used by all entry processes together
    # Guards against processes that send more than the limit together, and against parts of a limit
    # that lie idle: at many processes, at limits below one request a second, and with a demand that
    # comes to some processes only.
    Given <processes> entry processes in <domains> failure domains and servers that name <limits>
    When <demand> requests a second come to <where> for 60 s
    Then each server gets at most what its limit allows, and at least <used> of its limit
    And nobody waits: the other requests are refused at once

    Examples:
      | processes | domains | limits  | demand | where       | used |
      | 7         | 3       | 1       | 20     | all         | 0.9  |
      | 7         | 3       | 1       | 10     | one process | 0.9  |
      | 7         | 3       | 1       | 10     | shifting    | 0.9  |
      | 7         | 3       | 1, 3, 8 | 40     | all         | 0.9  |
      | 7         | 3       | 0.25    | 10     | one domain  | 0.9  |
      | 7         | 3       | 20      | 60     | shifting    | 0.9  |
      | 38        | 4       | 5       | 100    | all         | 0.9  |
      | 38        | 4       | 2       | 20     | one process | 0.9  |
      | 99        | 5       | 1       | 200    | all         | 0.9  |
      | 99        | 5       | 10      | 200    | one domain  | 0.9  |
      | 99        | 5       | 5       | 30     | one process | 0.9  |

  Scenario: Messages that are lost, late or reordered never make more of a limit
    # Guards against permits that are used twice, by hosts that disagree on the collector, too.
    When random requests and exchanges of permits meet lost, late and reordered messages
    Then what is granted stays within what the limit allows since its start
    And hosts go on to get permits

  Scenario Outline: A transfer with numbers that are none
    # Guards against one message that ends a process or makes a limit endless.
    When another process passes <permits> permits with a demand of <demand>
    Then this process has no permit and goes on

    Examples:
      | permits | demand |
      | inf     | 1      |
      | nan     | 1      |
      | -5      | 1      |
      | 0       | nan    |

  Scenario Outline: Entry processes that cannot reach each other
    # Guards against parts of a partition that each use the whole limit.
    Given 9 entry processes in 3 failure domains and servers that name <limit>
    When the links between <parts> are cut for 40 s while 40 requests a second come to all
    Then each server gets at most what its limit allows, and at least <used> of its limit

    Examples:
      | limit | parts              | used |
      | 1     | the domains        | 0.8  |
      | 6     | the domains        | 0.9  |
      | 6     | all processes      | 0.8  |

  Scenario Outline: Entry processes come and go
    # Guards against a part of the limit that an ended process keeps, or that a new one or a
    # restarted one takes twice.
    Given 7 entry processes in 3 failure domains and servers that name 3
    When <what> while 30 requests a second come to all
    Then each server gets at most what its limit allows, and at least 0.9 of its limit

    Examples:
      | what                                   |
      | two processes are added                |
      | two processes end for good             |
      | processes end and restart in turn      |
      | the collector ends for good            |

  Scenario Outline: What ends a limit
    # Guards against a server that stays limited although it says nothing of it any more, at
    # processes that hear no answer of it, and against an end that is no end.
    Given 7 entry processes in 3 failure domains and servers that name 0.5
    When 40 requests a second come to all, and after 20 s <what>
    Then the server gets <rate> from 3 s later on

    Examples:
      | what                                        | rate                |
      | its answers name none any more              | the whole demand    |
      | its answers name 4                          | 4 requests a second |
      | its answers name something unreadable       | what it named first |
      | it restarts and names none                  | the whole demand    |
      | its entry leaves the list and comes back    | what it named first |

  Scenario: A server that takes no request at all
    # Guards against a server that names 0 and is never asked again, and against one that still gets
    # requests.
    Given 7 entry processes in 3 failure domains and servers that name 0
    When 20 requests a second come to all for 120 s
    Then each server gets 1 to 6 requests after the first 3 s

  Scenario Outline: Messages about limits
    # Bound: the share of control in the bytes of a process, 3 KB/s with TCP/IP headers.
    Given <processes> entry processes in 5 failure domains and servers that name 1, 2, 3
    When 200 requests a second come to all for 12 s
    Then each process sends at most 3 KB a second about limits

    Examples:
      | processes |
      | 76        |
      | 230       |
