Feature: Tickets
  An accepted ticket is in force everywhere and never reverts.

  Scenario: Any order, repeat or gap of arrival ends in the same state
    When random tickets arrive in random orders with repeats
    Then every order ends in the same state
    And nothing accepted reverts in between

  Scenario: Tickets of several eras end in the same state too, with numbers given out again
    Guards against two processes that keep different tickets after a restore of the service.
    When random tickets of several eras arrive in random orders with repeats
    Then every order ends in the same state
    And nothing accepted reverts in between

  Scenario: The same number with other content is refused
    Given an accepted ticket 3 with model "draft" at version "v1"
    When ticket 3 arrives with model "draft" at version "v2"
    Then it is refused as "ticket-conflict"
    And model "draft" is at version "v1"

  Scenario: A ticket with five mistakes names all five with their places
    When this ticket is checked
      """
      number = 2
      [[models]]
      name = "draft copy"
      version = "v2"
      runers = ["r1"]
      [[hosts]]
      name = "r1"
      role = "backnd"
      address = "127.0.0.1"
      region = "Dublin"
      failure_domain = "dub"
      [[accounts]]
      name = "salon"
      key_hash = "scrypt$0011223344556677$0011223344556677001122334455667700112233445566770011223344556677"
      weight = "heavy"
      """
    Then these problems are reported
      | line | path                |
      | 3    | models[0].name      |
      | 5    | models[0].runers    |
      | 8    | hosts[0].role       |
      | 9    | hosts[0].address    |
      | 15   | accounts[0].weight  |

  Scenario: A value of another TOML type is refused, never converted
    Guards against reading runners = "r1" as the hosts "r" and "1".
    When this ticket is checked
      """
      number = 3
      hosts = {}
      [[models]]
      name = "draft"
      version = "v2"
      runners = "r1"
      [[services]]
      name = "bookings"
      hosts = ["b1"]
      once_calls = ["POST"]
      """
    Then these problems are reported
      | line | path                      |
      | 2    | hosts                     |
      | 6    | models[0].runners         |
      | 10   | services[0].once_calls[0] |

  Scenario: A starting reader reads the newest tickets first and a conflicting one once
    Guards against a restarted reader that spends minutes on old tickets before it reads the newest.
    Guards against a reused number that is not reported.
    Given an accepted ticket 3 with model "draft" at version "v1"
    When the configuration service holds the numbers 1 to 5, number 3 with other content
    Then the reader reads 5, 4, 3, 2, 1
    And after that it does not read number 3 again
