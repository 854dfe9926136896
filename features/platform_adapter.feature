Feature: The operators' platform
  The adapter translates each name of the platform in one place, into types with descriptive fields.

  Scenario: A published catalog becomes routes, services and accounts
    # Guards against a platform name that is translated to the wrong field.
    When the example of a catalog is decoded
    Then its routes have kinds, times in seconds, attempts and the longest prefix wins
    And its accounts are found by their keys, and the keys themselves are not held
    And its engine and origin have their rates in seconds and bytes

  Scenario Outline: Items of other writers name no runner
    # Guards against entries with foreign or malformed content that end a process or receive requests.
    When a runner's entry has <fault>
    Then it is decoded as nothing

    Examples:
      | fault                 |
      | bytes that are no JSON |
      | a list                |
      | no address            |
      | an unknown state      |
      | a text for the places |
      | no start time         |
      | a port that is no number |

  Scenario: Random content never raises
    # Guards against a process that ends because of what another writer published.
    When random JSON is published under each name
    Then each is decoded into a known type or nothing

  Scenario: A restarted runner under its old identifier is a new incarnation
    # Guards against using the load and weights of an earlier incarnation.
    When a runner's entry is listed again with a later start
    Then its earlier reports no longer count

  Scenario Outline: Parts of a prompt
    # Guards against a part that is missed or named in two ways, and against counting the last part,
    # which no other request shares.
    When a caller names the parts of a prompt as "<header>"
    Then the parts that other requests may share are "<parts>"

    Examples:
      | header                                | parts       |
      | 5c1e07a2:800,91bd3f06:410,e4402b7d:25 | 5c1e07a2,91bd3f06 |
      | 5C1E07A2:800, 00005c1e07a2:1,b:2      | 5c1e07a2    |
      | 5c1e07a2:800                          |             |
      |                                       |             |
      | 5c1e07a2,b:2                          | 5c1e07a2    |
      | ,:7,b:2                               |             |

  Scenario: A part with an identifier that is no short hexadecimal number
    When a caller names the parts of a prompt as "system prompt:1,5c1e07a25c1e07a25c1e07a2:1,-1:1,b:2"
    Then three parts are told apart by 64-bit numbers

  Scenario Outline: Identifiers that only look like a hexadecimal number
    # Guards against a caller who clears a part that crashes runners by an answer to another name.
    When a caller names the parts of a prompt as "<other>:1,b:2"
    Then its part is not the one that is named "5c1e"

    Examples:
      | other  |
      | +5c1e  |
      | 0x5c1e |
      | 5_c1e  |

  Scenario: Headers towards a runner
    # Guards against keys, claims of callers and connection headers that reach a runner.
    When a caller's headers are translated for a runner
    Then the runner, the account, the version and the remaining time are named
    And the key, other claims and headers of the connection are removed
    And all other headers are unchanged

  Scenario Outline: What an answer says
    # Guards against repeating a request that ran, and against not repeating one that did not.
    When a runner answers <status> with <header>
    Then the request counts as <outcome>

    Examples:
      | status | header         | outcome |
      | 200    | a seal         | run     |
      | 500    | a seal         | run     |
      | 503    | not executed   | not run |
      | 421    | nothing        | not run |
      | 429    | not executed   | not run |
      | 503    | nothing        | unknown |

  Scenario Outline: The announcement of a runner that leaves
    # Guards against treating a runner as leaving for good because of a value with another meaning.
    When a runner answers with the announcement "<value>" of its leaving
    Then the runner counts as <state>

    Examples:
      | value | state   |
      | 1     | leaving |
      | 1,1   | leaving |
      | 0, 1  | leaving |
      | -     | staying |
      | 0     | staying |
      | 2     | staying |
      | 1.0   | staying |
      | true  | staying |
      | 11    | staying |

  Scenario Outline: The time that a runner names when it refuses
    # Guards against a requested pause that is ignored, and against a header that is no such request.
    When a runner answers <status> and requests a pause of <text>
    Then the requested pause is <seconds> s

    Examples:
      | status | text | seconds |
      | 503    | 1.5  | 1.5     |
      | 503    | soon | 3       |
      | 429    | 1.5  | none    |
      | 200    | 1.5  | none    |

  Scenario Outline: The limit that a runner names
    # Guards against a limit that is ignored or read from another server's answer, and against
    # values that take a runner out of use without reason.
    When a runner answers <status> and names the limit <text>
    Then the limit is <per_s> a second, read as <reading>

    Examples:
      | status | text          | per_s | reading          |
      | 200    | 1             | 1     | exact            |
      | 503    | 2.5           | 2.5   | exact            |
      | 500    | 0.25          | 0.25  | exact            |
      | 200    | 0             | 0     | exact            |
      | 200    | 3, 2          | 2     | exact            |
      | 200    | 3, soon       | 3     | partly-readable  |
      | 200    | -1            | none  | unreadable       |
      | 200    | -1, 4         | 4     | partly-readable  |
      | 200    | soon          | none  | unreadable       |
      | 200    | nan           | none  | unreadable       |
      | 200    | inf           | none  | unreadable       |
      | 200    | 1e3           | none  | unreadable       |
      | 200    | 400 nines     | 1e6   | exact            |
      | 200    | nothing       | none  | nothing          |

  Scenario: Another server answers at the address of a runner
    # Guards against the limit of one server that is taken for another's after a reuse of its address.
    When a runner answers 421 and names the limit 1
    Then the answer is not the asked runner's

  Scenario: The store's readings
    # Guards against missed changes after the history was lost, and against calls that hang.
    Given a stand-in of the store with two pages of items
    When a snapshot is read and changes are awaited
    Then the snapshot has all items and each change has its revision
    And a lost history is reported as such
    And a store that answers with status 503 or nothing is reported as unavailable

  Scenario: The era of the store
    # Guards against changes of two eras that are merged as if they were of one.
    Given a stand-in of the store that names its era
    When a snapshot is read twice and changes are awaited three times
    Then a snapshot with pages of two eras is reported as unavailable
    And each other answer has its era, and none where the header is absent or malformed

  Scenario: Settings of a process
    # Guards against settings that are read with another meaning or unit.
    When the example of a settings file is read
    Then addresses, rates and bounds have the product's units

  Scenario Outline: What the programs of the platform need
    # Guards against a module that is not installed there, which ends every process at its start.
    When the <program> program is loaded with only the packages of its requirements
    Then it can be loaded

    Examples:
      | program |
      | entry   |
      | agent   |
