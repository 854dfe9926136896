Feature: Links that do not grow with the fleet
  A process links with a few peers and follows some of the runners, and still receives each change.

  Scenario Outline: Links at <entries> entry processes in <domains> failure domains
    Guards against control traffic that grows with the fleet and against processes that updates do
    not reach.
    Given <entries> entry processes in <domains> failure domains
    Then no entry process has more links than its domain has processes plus 3 for each other domain
    And most entry processes have at most <links> links
    And an update reaches every entry process in at most 4 hops from any other
    And each failure domain that is cut off stays connected internally
    When the hubs of a failure domain end
    Then an update reaches every entry process in at most 4 hops from any other

    Examples:
      | entries | domains | links |
      | 7       | 3       | 6     |
      | 45      | 3       | 16    |
      | 136     | 5       | 10    |
      | 330     | 6       | 10    |

  Scenario Outline: Runners that <entries> entry processes follow
    Guards against runners that no entry process sends to, and reports that grow with the fleet.
    Given <entries> entry processes in <domains> failure domains
    And <runners> runners in the same failure domains
    Then each entry process follows at most 24 runners, and all of its own domain up to 16
    And each runner is followed by at least <least> entry processes

    Examples:
      | entries | domains | runners | least |
      | 7       | 3       | 10      | 7     |
      | 45      | 3       | 29      | 15    |
      | 99      | 5       | 76      | 20    |
      | 330     | 6       | 600     | 6     |

  Scenario: A process that is gone is forgotten, and a restarted one is not
    Guards against selecting peers long after they have left.
    Given two entry processes with a third one in their rosters
    When the third one restarts and announces itself to one of them
    Then the other one accepts the announcement and forwards it once
    When the third one is silent for 9 minutes
    Then neither of them has it in its roster any more

  Scenario: A peer that cannot be reached is replaced, and taken back
    Guards against links to hosts that are gone, and against a peer that is never retried.
    Given a process that keeps a link to a peer whose host is gone
    When two connections have failed
    Then the peer counts as down
    When it accepts connections again 10 s later
    Then it is linked and no longer counts as down

  Scenario: A link that is no longer wanted ends
    Guards against links that accumulate while the fleet changes.
    Given a process that is linked with a peer
    When it has not needed the link for 8 s
    Then the link is closed

  Scenario: A message that takes longer than a link may be silent
    Guards against closing a slow link while a large message arrives, so that the message is resent
    from its start and never arrives.
    Given a process that is linked with a peer
    When a message arrives in 5 parts, 2 s apart
    Then the link is open and the message was received
    When a part of a message arrives and nothing else for 4 s
    Then the link is closed

  Scenario: A message that never ends
    Guards against a peer that sends single bytes and no heartbeat, and counts as alive.
    Given a process that is linked with a peer
    When a message arrives for 20 s, a byte each 2 s
    Then the link is closed

  Scenario: Reports to many entry processes
    Guards against reports that use a part of a large fleet's processor time, and against a load order
    that is reported late to entry processes of other regions.
    Given an agent that is linked with 12 entry processes of its region and 12 of others
    When its runner's load changes at 10 checks in a row
    Then it checks every 0.2 s, peers of its region get 10 reports and the others 5
    When its runner begins an order
    Then all of them get a report
