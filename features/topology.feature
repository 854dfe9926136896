Feature: Links between processes
  Links of a host stay bounded while the fleet grows, and a failure domain can operate alone.

  Scenario Outline: Links at <entries> entry hosts and <runners> runners
    Guards against control traffic that grows with the fleet and against a ticket that cannot spread.
    Given a fleet of <entries> entry hosts and <runners> runners over 6 failure domains
    Then no entry host links to more than <links> hosts
    And every runner is linked by at least one entry host of its own failure domain
    And a ticket reaches every entry host in at most <hops> hops from any reader

    Examples:
      | entries | runners | links | hops |
      | 12      | 12      | 23    | 1    |
      | 330     | 600     | 28    | 6    |

  Scenario: A cold start reads each ticket by the readers of a failure domain only
    Guards against a fleet whose every process reads all tickets from the configuration service when
    all start at once, as 12 of 12 did.
    Given a configuration service with 100 tickets of a failure domain with 12 entry hosts
    When all 12 entry processes start at once
    Then ticket 100 is in force on all of them after at most 2 reads per ticket
