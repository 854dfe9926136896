Feature: Entries and answers of other writers
  Other programs write to the list that every process follows, and runners and stores answer with
  numbers of their own. What cannot be used is left out; the others hold.

  Scenario Outline: One odd item in an answer of the store
    # Guards against one item of another writer for which all others in its answer are ignored, so
    # that a process no longer follows the list.
    Given an answer of the store with a sound item before and after one with <oddity>
    When it is read as a snapshot and as changes
    Then both times the sound items are read and the odd one is <taken>

    Examples:
      | oddity                  | taken      |
      | the revision 1e999      | left out   |
      | the revision 9e99       | left out   |
      | the revision true       | left out   |
      | the revision "7"        | left out   |
      | the revision 7.5        | left out   |
      | the revision -7         | left out   |
      | a revision of 70 bits   | left out   |
      | no revision             | left out   |
      | a number as its key     | left out   |
      | a key that is no text   | left out   |
      | an empty key            | left out   |
      | a key of 300 bytes      | left out   |
      | no key                  | left out   |
      | a list in its place     | left out   |
      | a value that is not ASCII | unreadable |
      | a value that is no base64 | unreadable |
      | a value that is a number  | unreadable |
      | a value above the limit   | unreadable |
      | no value                  | unreadable |
      | "no" as its deletion      | unreadable |

  Scenario Outline: An answer of the store that is unusable as a whole
    # Guards against an error out of the reader, which stops following the list, and against an
    # answer without items that removes all runners.
    Given an answer of the store with <oddity>
    When it is read as a snapshot and as changes
    Then both times the store counts as unavailable

    Examples:
      | oddity                            |
      | the current revision 1e999        |
      | the current revision true         |
      | the current revision "7"          |
      | a current revision of 70 bits     |
      | no list of items                  |
      | an object as the list of items    |
      | null as the list of items         |
      | a list around it                  |
      | nesting of 100,000 levels         |
      | broken text                       |
      | another text as its first name    |

  Scenario: A page that does not end, and one with nothing but odd items
    # Guards against a reader that asks for the same page forever, and against taking the rest of
    # the list as removed.
    When pages repeat their last key or hold no key at all
    Then both times the store counts as unavailable
    When the last item of a page is odd
    Then the next page begins after its key

  Scenario Outline: An odd entry of a runner
    # Guards against an entry that ends the process that reads it, becomes a runner to which requests
    # go, or does not fit the messages to other processes.
    When the list has a runner's entry with <oddity>
    Then it names no runner, and the reason is short

    Examples:
      | oddity |
      | a cold time of 400 digits |
      | a cold time of 5,000 digits |
      | the cold time 1e999 |
      | the cold time NaN |
      | the cold time Infinity |
      | a negative cold time |
      | true as the cold time |
      | no cold time |
      | port 99999 |
      | port ² |
      | port 0 |
      | port 080 |
      | a port of 5,000 digits |
      | a space in the address |
      | an address that cannot be encoded |
      | a zero byte in the address |
      | a host name as its address |
      | an IPv6 address |
      | the address of any host |
      | a broadcast address |
      | a list as its address |
      | slots of 70 bits |
      | 100,000 slots |
      | no slots |
      | negative slots |
      | true as the slots |
      | 16.5 slots |
      | a start of 70 bits |
      | a negative start |
      | a fractional start |
      | true as the start |
      | a version of 70 bits |
      | a version of 33 bits |
      | a negative version |
      | layers reversed |
      | layers of 70 bits |
      | a text for the layers |
      | a list for the layers |
      | a number as its service |
      | an empty service |
      | a service of 100,000 bytes |
      | a line break in the service |
      | a lone surrogate in the zone |
      | no zone |
      | a number as its software version |
      | a text as its sequence |
      | a list as its state |
      | an unknown state |
      | nesting of 100,000 levels |
      | nesting of 100,000 levels in an unused field |
      | nesting of 200 levels in an unused field |
      | a field twice |
      | broken text |
      | text in UTF-16 |
      | an encoded surrogate |
      | nothing |
      | null |
      | 2 MB |
      | a name with a slash |
      | a name with a line break |
      | a name that is not ASCII |

  Scenario Outline: An entry with unusual values of a runner that can be used
    # Guards against leaving a sound runner without requests.
    When the list has a runner's entry with <oddity>
    Then it names a runner that fits every message

    Examples:
      | oddity |
      | an unknown zone |
      | an unknown field |
      | null for the layers |
      | a start in the year 3000 |
      | a fractional cold time |
      | a name of 190 bytes |

  Scenario: Any value in any field of a runner's entry
    # Guards against errors out of the reader and out of the messages to other processes.
    When random values replace random fields of a sound entry
    Then each runner that is decoded can be used and fits every message about it
    And each reason why the others are not used is short

  Scenario: Processes that are fed odd entries go on following the list
    # Guards against an odd entry that stops a process, or breaks its links to others.
    Given a process that reads the list and another that hears of it by a link
    When the list has every odd entry beside a sound one, and then changes
    Then both processes have the sound runners and no other, and their link stays up
    And each process logs at most 20 short lines about the odd ones

  Scenario Outline: An odd configuration
    # Guards against an invalid configuration that is taken in part or as a whole: a route that answers
    # nothing, a limit that refuses every request, an error at each request.
    When a configuration with <oddity> is published
    Then it is refused as a whole, and the reason is short and holds no key

    Examples:
      | oddity |
      | a version of 70 bits |
      | a negative version |
      | true as its version |
      | the version 7.0 |
      | no version |
      | no routes |
      | null as its routes |
      | an object as its routes |
      | a text as a route |
      | no services |
      | a text as its services |
      | no limits |
      | a list as its limits |
      | a text as its tenants |
      | the timeout NaN |
      | the timeout Infinity |
      | the timeout 1e999 |
      | a timeout of 400 digits |
      | the timeout 0 |
      | a negative timeout |
      | true as a timeout |
      | a text as a timeout |
      | the objective 1e999 |
      | a negative objective |
      | a negative pause |
      | a negative weight |
      | the weight NaN |
      | the weight 1e999 |
      | a weight of 400 digits |
      | a text as a weight |
      | weights of 0 alone |
      | attempts of 70 bits |
      | negative attempts |
      | 1.5 attempts |
      | a prefix without a slash at its end |
      | a prefix without a slash at its start |
      | a number as a prefix |
      | a number as a host |
      | a lone surrogate in a host |
      | two routes of one prefix |
      | two routes of one prefix in other letters |
      | a route to a service that is not there |
      | a split to a service that is not there |
      | an unknown kind |
      | a list as a kind |
      | a negative priority |
      | a priority of 70 bits |
      | a text as a flag |
      | a number as a flag |
      | two services of one name |
      | a negative connection limit |
      | an engine without slots |
      | an engine step of 1e999 |
      | a negative engine step |
      | a negative reading rate |
      | a list as an engine |
      | a text as the models |
      | layers of 70 bits |
      | negative chunks |
      | an origin with port 99999 |
      | an origin rate of 1e999 |
      | a negative origin rate |
      | two tenants of one name |
      | two tenants with one key |
      | a number as a key |
      | a text as the keys |
      | an empty key |
      | a line break in a tenant's name |
      | a negative tenant priority |
      | a text as a tenant's priority |
      | the header limit 0 |
      | a negative body limit |
      | a body limit of 70 bits |
      | the header time 0 |
      | a negative idle time |
      | the idle time 1e999 |
      | nesting of 100,000 levels |
      | 100 MB |
      | a field twice |
      | broken text |

  Scenario: Any value anywhere in a configuration
    # Guards against errors out of the reader, and at the requests that a configuration allows.
    When random values replace random parts of a sound configuration
    Then each configuration that is taken can be used for every request that it allows
    And each reason why the others are refused is short

  Scenario: An invalid configuration between two valid ones
    # Guards against a process without a configuration, and against one that misses the next one.
    Given a process with configuration 7 and version 2 of the weights in force
    When invalid ones of both are published, and then configuration 9 and version 3
    Then those before stay in force, and the next valid ones are taken
    And one log line for each invalid one names the path that is wrong

  Scenario Outline: An odd named version
    # Guards against a version that no runner can ever hold, and that no message can carry.
    When a version of weights is named with <oddity>
    Then it is refused as a whole, and the reason is short and holds no key

    Examples:
      | oddity |
      | the version true |
      | the version 0 |
      | a negative version |
      | the version 2.0 |
      | the version 1e999 |
      | a version of 33 bits |
      | a version of 400 digits |
      | the version "2" |
      | no version |
      | a number as its model |
      | an empty model |
      | a lone surrogate in its model |
      | no model |
      | a list |

  Scenario: Any JSON as a named version
    # Guards against errors out of the reader and out of the messages to other processes.
    When any JSON is published as a named version
    Then each version that is taken is a number from 1 on that fits the messages

  Scenario Outline: An odd report of a runner
    # Guards against a report that ends the agent's round before it loads weights, and against one that
    # no message to the entry processes can carry.
    When a runner reports <oddity>
    Then the answer counts as unusable, with a short reason

    Examples:
      | oddity |
      | running 1e999 |
      | running NaN |
      | running -1 |
      | running 33 bits |
      | running true |
      | running "12" |
      | no running |
      | waiting of 400 digits |
      | kvUsed of 70 bits |
      | kvUsed -1 |
      | kvTotal 1e999 |
      | born 1e999 |
      | born of 70 bits |
      | born true |
      | sequence -1 |
      | sequence 1e999 |
      | pace NaN |
      | pace 1e999 |
      | pace -1 |
      | busy "no" |
      | layers reversed |
      | layers of 20 bits |
      | a version of 33 bits |
      | a text as its models |
      | a number as a model |
      | a lone surrogate in a model |
      | nesting of 100,000 levels |
      | a list |
      | nothing |

  Scenario: Any value in any field of a report
    # Guards against errors out of the reader and out of the messages to entry processes.
    When random values replace random fields of a report
    Then each state that is read arrives at entry processes as it was sent

  Scenario Outline: An odd manifest of the origin
    # Guards against an agent whose transfers end with an error, and against a manifest that its peers
    # refuse, so that each of them asks the origin.
    When the origin answers with a manifest with <oddity>
    Then the answer counts as unusable, with a short reason

    Examples:
      | oddity |
      | the chunk size 1e999 |
      | the chunk size 0 |
      | a negative chunk size |
      | a chunk size of 70 bits |
      | a chunk size of 1 GiB |
      | no digests |
      | an empty list of digests |
      | 5,000 digests |
      | a digest that is no hex |
      | a digest that is a number |
      | a digest of 10 MB |
      | another model |
      | another version |
      | the version "2" |
      | the version true |
      | nesting of 100,000 levels |
      | a list |
      | broken text |

  Scenario: Any value in any field of a manifest
    When random values replace random fields of a manifest
    Then each manifest that is taken is one that peers take, too

  Scenario Outline: Odd numbers in the load that a runner names in its answer
    # Guards against a runner that looks emptier than all others because of one number.
    When a runner answers with the load "<text>"
    Then its slots are read as <slots> and its pace as <pace>

    Examples:
      | text               | slots | pace |
      | 3,0,8              | 8     | 1    |
      | 3,0,8,250          | 8     | 2.5  |
      | 3,0,0              | None  | 1    |
      | 3,0,99999999999    | None  | 1    |
      | 3,0,8,999999999999 | 8     | 1    |
      | 3,0,nan            | no    | load |
      | 3,-1,8             | no    | load |
      | 3,0,1e999          | no    | load |

  Scenario Outline: The entry of a sound runner is replaced by one that cannot be used
    # Guards against new requests to a runner whose entry names none, against cutting its streams, and
    # against a runner that stays unused once its entry is sound again.
    Given a catalog with an idempotent, an at-most-once and a resumable stream route
    And two runners with a slow stream each
    When an unusable entry replaces that of one of them while the platform is <platform>
    Then the caller gets all events once
    And no request that is sent after it reaches it until its entry is sound again

    Examples:
      | platform               |
      | answering              |
      | away                   |
      | back for half a second |

  Scenario Outline: An odd entry in the host list
    # Guards against one entry for which the whole list is ignored, and against a list that no message
    # to other processes can carry, which ends the reading of the list.
    When the host list has an entry with <oddity>
    Then its other entries hold, and fit the message to other processes

    Examples:
      | oddity |
      | a number as a name |
      | a lone surrogate in a name |
      | a name of 5,000 bytes |
      | no state |
      | a list as a host |

  Scenario Outline: An odd entry in the index of tickets
    # Guards against one entry for which no process reads any ticket.
    When the index of tickets has an entry with <oddity>
    Then the other tickets are known

    Examples:
      | oddity |
      | the number 1e999 |
      | a number of 70 bits |
      | the number true |
      | a digest of 70 bits |
      | a digest that is no hex |
      | a list as a ticket |

  Scenario Outline: A host list that is unusable as a whole
    # Guards against an error that ends the reading of the list.
    When the host list has <oddity>
    Then it counts as unavailable, with a short reason

    Examples:
      | oddity |
      | the sequence number 1e999 |
      | a sequence number of 70 bits |
      | the sequence number true |
      | null as its hosts |
      | 20,000 leaving hosts |
      | nesting of 100,000 levels |
      | broken text |

  Scenario Outline: An odd ticket
    # Guards against a ticket whose numbers end the reading of tickets or a link to a peer, and against
    # its values in the log.
    When a ticket with <oddity> is read
    Then it is refused with one short line

    Examples:
      | oddity |
      | a number of 5,000 digits |
      | a number of 4,000 digits |
      | a number of 6,000 hex digits |
      | a weight of 6,000 hex digits |
      | the number 1e999 |
      | nesting of 100,000 levels |
      | a key of 100,000 letters |
      | port 99999 |
      | a port of 5,000 digits |

  Scenario: Reading goes on after an unexpected error
    # Guards against a process that looks alive and never reads a ticket again.
    When an unexpected error ends a round of reading tickets and one of reading the host list
    Then both are read again, and each error is one log line

  Scenario Outline: Any number of entries fits the messages to a peer
    # Guards against an answer to a peer that no message can carry, which closes the link each time.
    Given a process that knows <count> <kind> entries with names of <bytes> bytes
    When a peer asks for all of them
    Then every message arrives, and together they hold all entries

    Examples:
      | count | kind    | bytes |
      | 20000 | removed | 20    |
      | 16384 | removed | 200   |
      | 12000 | short   | 200   |

  Scenario Outline: A caller names an absurd size of its prompt
    # Guards against one header of one caller that takes a runner out of use at all entry processes for
    # minutes or years.
    Given an entry process and a peer that hears of its sends, with one model runner
    When a request with a prompt of <tokens> tokens is sent to the runner
    Then both use the runner again <seconds> s later

    Examples:
      | tokens        | seconds |
      | 1000000       | 30      |
      | 1000000000000 | 30      |

  Scenario Outline: A changed settings file with odd content
    # Guards against an error at each heartbeat because of a file that is half-written or wrong.
    When the settings file of the platform's process changes to <content>
    Then the settings in force stay, and the heartbeat goes on

    Examples:
      | content                |
      | a list                 |
      | half of the text       |
      | a text as the ports    |
      | no ports               |
      | the port 1e999         |
      | the rate null          |
      | a list as the listener |
      | a number as a seed     |
      | bytes that are no text |
      | nesting of 100,000 levels |
