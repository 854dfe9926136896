Feature: A partition between failure domains
  Real processes of two failure domains; relays discard the traffic between them.

  Scenario: Two failure domains are separated while both sides take work
    Guards against a booking that runs on both sides, against sides whose state still differs after
    the partition, and against a side that stops serving although its own hosts are available.
    Given a fleet of two failure domains with relays before all hosts
    When a partition discards everything between them while both sides get requests and a ticket
    Then both sides answered meanwhile, and all processes hold the newest ticket
    And the record of both sides breaks no promise
    When a partition discards what the first side sends while both sides get requests and a ticket
    Then both sides answered meanwhile, and all processes hold the newest ticket
    And the record of both sides breaks no promise
    When a partition discards what the second side sends while both sides get requests and a ticket
    Then both sides answered meanwhile, and all processes hold the newest ticket
    And the record of both sides breaks no promise
