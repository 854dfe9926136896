Feature: Operators' commands, logs and reports
  All mistakes are reported at once with their positions, the events of all hosts have one order, and
  no secret reaches the terminal or a log.

  Scenario: Check names every mistake of every file with its place
    Guards against checks that stop at the first mistake or point at a key of another table.
    Given a file "entry.toml"
      """
      host = "e 1"
      region = "dublin"
      failure_domain = "dub"
      listen = "10.0.0.1:7000"
      seeds = ["127.0.0.1:7001", "dublin"]
      [callers]
      tls_cert = "cert.pem"
      [admin]
      listen = "127.0.0.1:7080"
      [platform]
      config_servce = "http://127.0.0.1:1"
      [timeouts]
      drain_s = -1
      [metrics]
      statsd = 8125
      """
    And a file "agent.toml"
      """
      host = "r1"
      region = "dublin"
      failure_domain = "dub"
      listen = "127.0.0.1:7000"
      [platform]
      config_service = "ftp://127.0.0.1"
      [engine]
      url = "http://127.0.0.1:9000"
      [service]
      url = "http://127.0.0.1:9001"
      name = "bookings"
      [limits]
      chunk_bytes = 2097152
      """
    And a file "ticket.toml"
      """
      number = 0
      [[models]]
      name = "draft"
      runners = ["r1"]
      [[models]]
      name = "other"
      version = "v1"
      runners = ["r1"]
      """
    When the operator runs "wasabilb check entry.toml agent.toml ticket.toml absent.toml"
    Then the exit status is 2
    And standard error names these places in order
      | place                                     |
      | entry.toml:1: host:                       |
      | entry.toml:4: listen:                     |
      | entry.toml:5: seeds[1]:                   |
      | entry.toml:6: callers.listen:             |
      | entry.toml:6: callers.tls_key:            |
      | entry.toml:11: platform.config_servce:    |
      | entry.toml:13: timeouts.drain_s:          |
      | entry.toml:15: metrics.statsd:            |
      | agent.toml:6: platform.config_service:    |
      | agent.toml:9: service:                    |
      | agent.toml:13: limits.chunk_bytes:        |
      | ticket.toml:1: number:                    |
      | ticket.toml:2: models[0].version:         |
      | absent.toml: No such file or directory    |

  Scenario: Check tells files apart and finds a number that is used twice
    Guards against a valid file that is refused, and against a reused ticket number.
    Given a file "one.toml"
      """
      number = 7
      title = "one"
      """
    And a file "two.toml"
      """
      number = 7
      title = "two"
      """
    And a file "agent.toml"
      """
      host = "r1"
      region = "dublin"
      failure_domain = "dub"
      listen = "10.0.0.1:7000"
      links.allow_plaintext = true
      platform.config_service = "http://127.0.0.1:1"
      engine.url = "http://127.0.0.1:9000"
      """
    When the operator runs "wasabilb check one.toml agent.toml"
    Then the exit status is 0
    And standard output holds "one.toml: ticket 7 is valid"
    And standard output holds "agent.toml: settings of an agent are valid"
    And standard error holds "agent.toml: warning: links on 10.0.0.1:7000 are plain text"
    When the operator runs "wasabilb check one.toml two.toml"
    Then the exit status is 2
    And standard error holds "two.toml:1: number: 7 is used with other content in one.toml"

  Scenario: Damaged files are refused with places, never with an exception
    Guards against a published ticket that ends a process, as a host name that was an array did.
    Then random damage to the examples of the pages gives problems within the file

  Scenario Outline: A mistake on the command line gives one line that names it
    Guards against tracebacks of the argument library and against guessing what was meant.
    Given a file "bad.toml"
      """
      host = 3
      """
    When the operator runs "<command>"
    Then the exit status is 2
    And standard error is one line that holds "<text>"

    Examples:
      | command                                       | text                                        |
      | wasabilb chek x                               | unknown command 'chek', did you mean 'check' |
      | wasabilb entry                                | --settings is missing                       |
      | wasabilb entry --settings                     | --settings has no value                     |
      | wasabilb entry --setings bad.toml             | did you mean '--settings'                   |
      | wasabilb entry --settings bad.toml extra      | extra                                       |
      | wasabilb entry --settings absent.toml         | absent.toml: No such file or directory      |
      | wasabilb entry --settings bad.toml            | bad.toml: callers: is missing (and 5 more   |
      | wasabilb entry --settings bad.toml -- --trace | unknown flag '--'                           |
      | wasabilb check                                | expected at least one FILE                  |
      | wasabilb status nowhere                       | expected HOST:PORT, got 'nowhere'           |
      | wasabilb timeline bad.toml --since soon       | --since: expected ISO 8601                  |
      | wasabilb timeline bad.toml --ticket x         | --ticket: expected a number, got 'x'        |
      | wasabilb timeline absent.log                  | absent.log: No such file or directory       |
      | wasabilb drill bad.toml --ticket 4            | no `ticket_accepted` of 4 in bad.toml       |
      | wasabilb key-hash short                       | short                                       |
      | wasabilb-agent --settings absent.toml         | absent.toml: No such file or directory      |
      | wasabilb-agent --setings absent.toml          | did you mean '--settings'                   |

  Scenario: Valid settings reach the process
    Guards against a command that starts the process with other settings or hides its failure.
    When "wasabilb entry" and "wasabilb-agent" run with valid settings and a stand-in process
    Then each process was given its settings once

  Scenario: Every help text shows usage and nothing of the argument library
    Guards against pagers, tracebacks and parameters without a description.
    Then the help of every command shows its usage and each of its arguments

  Scenario: The timeline follows causes while clocks disagree by seconds
    Guards against ordering by wall time, which puts effects before their causes.
    When hosts whose clocks disagree by up to 30 s exchange random messages and log them
    Then every event stands after all events that it depends on
    And the order does not depend on the order of the logs

  Scenario: Any value survives the way through a log line
    Guards against values that break a line or forge a field.
    Then random values read back from one log line as they were written

  Scenario: The timeline shows what was asked for
    Given the recorded log of the rollout of ticket 12
    When the operator runs "wasabilb timeline e1.log r1.log r2.log --ticket 12 --host r2"
    Then the exit status is 0
    And standard output has 5 lines that all hold "ticket=12"
    When the operator runs "wasabilb timeline e1.log r1.log r2.log --request q2"
    Then standard output has 1 lines that all hold "request=q2"
    When the operator runs "wasabilb timeline e1.log r1.log r2.log --since 1s"
    Then standard output has 1 lines that all hold "request=q5"

  Scenario: The drill report tells what happened
    Guards against chunks counted twice, aborted transfers left out, and phases mixed up. Host r2
    restarts during its transfer, and its clock is 3 s ahead; heartbeats carry its timestamps. A call
    whose outcome is reported as unknown is not a broken answer.
    Given the recorded log of the rollout of ticket 12
    When the operator runs "wasabilb drill e1.log r1.log r2.log --ticket 12 --out report"
    Then the exit status is 0
    And the text of the report holds
      | text                                                                          |
      | Drill of ticket 12: draft@v2                                                  |
      | 2 of 2 hosts held the new version after 5.0 s; 1 of 4 live requests           |
      | From the origin 1.5 KiB (1500 bytes), from peers 1.5 KiB (1500 bytes)          |
      | before          1        0        0        0         5.0 ms                   |
      | during          1        1        1        1        20.0 ms                   |
      | after           1        0        0        0         5.0 ms                   |
      | In force on 3 hosts after                                                     |
      | 1 requests went on with another runner         3.7 s                          |
    And the page of the report is well formed and escapes what it shows
    When the operator runs "wasabilb drill e1.log r1.log r2.log --ticket 12 --status 127.0.0.1:1"
    Then the exit status is 1
    And standard error holds "--status: 127.0.0.1:1: no answer"
    And standard output holds "2 of 2 hosts held the new version"

  Scenario: Secrets reach neither logs nor messages
    Guards against keys in events, in log lines of libraries and in messages about an invalid hash.
    When an event and a library write the account key "salon-0123456789-abcdef" to the log
    Then the log names the refused field and never holds the key
    Given a file "ticket.toml"
      """
      number = 3
      [[accounts]]
      name = "salon"
      key_hash = "salon-0123456789-abcdef"
      """
    When the operator runs "wasabilb check ticket.toml"
    Then standard error holds "ticket.toml:4: accounts[0].key_hash: expected scrypt$SALT$HASH"
    And neither output holds "salon-0123456789-abcdef"

  Scenario: A hashed key is accepted and its change ends the old key
    Guards against a cached key that stays valid after a ticket replaced it, and against a cached
    refusal that persists after a ticket added the account.
    When the operator hashes the key "salon-0123456789-abcdef"
    Then a ticket with this hash is valid and the key belongs to its account
    And a key that differs or that the account had before is refused

  Scenario: Status shows answers and failures side by side
    Given a process that answers "/status"
    When the operator requests the status of it and of a closed port
    Then the exit status is 1
    And standard output holds "ready"
    And standard output holds "draft@v2"
    And standard output holds "no answer"

  Scenario: Metrics are sent only to a configured server
    Guards against network traffic from a host without metrics.
    Then a process without a statsd address opens no socket
    And a process with one sends its metrics there under its role and host

  Scenario: The check of events refuses what the table does not hold
    Guards against events that the timeline and the drill report would miss.
    Then an unknown event, an unknown field and a computed name are refused

  Scenario: The check of pages refuses a table or an example that disagrees with the code
    Guards against pages that describe an earlier release.
    Then a changed default, a changed error and a misspelt example are found

  Scenario: The fleet for trials runs until it is told to stop
    Guards against processes that a trial leaves behind, and against an outage of the configuration
    service whose start or end is not logged.
    When the fleet for trials is started
    Then it has printed the addresses of all parts
    When its configuration service fails
    Then "entry-1" logs "platform_down"
    When its configuration service works again
    Then "entry-1" logs "platform_up"
    When the fleet for trials gets SIGTERM
    Then none of its processes is left
