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
