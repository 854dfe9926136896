Feature: The configuration service or the host list comes back from a copy
  What was written there after the copy is gone, and numbers are given out again in a new era.

  Scenario: New tickets are in force although the service no longer has the number watched from
    Guards against a reader that repeats a watch which is answered with 410, and reads nothing else.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy with the tickets 1 and 2
    And the operator writes ticket 9, which is lost too, and then ticket 7
    Then all processes have ticket 7 in force within 7 s, in equal states

  Scenario: Tickets under numbers that are given out again are in force in time
    Guards against a process that takes a new ticket for a conflicting copy of a lost one, or that
    watches from a number which the service no longer has.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy with the tickets 1 and 2
    And the operator writes ticket 3 with other content
    Then all processes have the new ticket 3 in force within 7 s, in equal states

  Scenario: A delayed answer of the earlier era changes nothing
    Guards against a process that takes the index from before a restore for the newest one.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy with the tickets 1 and 2
    And the operator writes ticket 3 with other content
    Then all processes have the new ticket 3 in force within 7 s, in equal states
    When a reader gets the index of the earlier era
    Then no process has another ticket, and the reader follows the new era again within 7 s

  Scenario: Lost tickets that are published again one after another bring no older state back
    Guards against a fleet that goes through the states of lost tickets a second time.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy with the tickets 1 and 2
    And the operator publishes ticket 3 again, and 1.5 s later ticket 4
    Then no process goes back, and all have the new ticket 4 in equal states

  Scenario: A lost ticket that is published again alone is in force in time
    Guards against a ticket that waits for others that never come.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy with the tickets 1 and 2
    And the operator publishes only ticket 3 again
    Then all processes have ticket 3 of the new era in force within 7 s

  Scenario: A process keeps the tickets that a copy lacks
    Guards against a fleet that goes back to an older state with the service.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy with the tickets 1 and 2
    And a process without tickets starts and reads the copy
    Then no process goes back, and the new one has ticket 4 from its peers

  Scenario: A ticket is not taken for another one that was written under its number meanwhile
    Guards against a text of the new era that counts as the ticket of the earlier one.
    Given a reader that has read the index with ticket 2
    When the service comes back from a copy before ticket 2 is read, and has another ticket 2
    Then the reader has the new ticket 2 in force, in its own era

  Scenario: A host list that comes back from a copy is followed, and brings no leaving host back
    Guards against a list that is ignored for ever because its number is lower than a known one.
    Guards against new work for a host that had left before the restore.
    Given a reader and a peer that know from the host list that "r1" and "r2" leave
    When the list comes back from a copy in which they are live, and "r3" leaves
    Then "r1, r2, r3" count as leaving at both
    When "r2" registers again as live
    Then "r1, r3" count as leaving at both
    When a process that read only the new list is linked with both
    Then "r1, r3" count as leaving at all three

  Scenario: Processes that heard of the host lists in any order agree on who leaves
    Guards against a host that two processes tell each other to be leaving and not, in turn.
    When processes merge the lists of three eras from each other in random orders
    Then those with the newest list agree, and no host that left is back before it was written live

  Scenario: The status tells the era of a ticket
    Guards against an operator who takes ticket 3 of a new era for a reversal from ticket 4.
    When the status of processes at ticket 4 of era 0 and ticket 3 of era 1 is shown
    Then the tickets are "4" and "3 of era 1"

  Scenario: The whole fleet does not read the service when it is back
    Guards against readers that repeat a watch from a position that was lost, without a pause.
    Given two readers, a further entry process and an agent with the tickets 1 to 4
    When the service comes back from a copy twice, 1 s apart, while watches wait
    Then only the readers call it, at most twice in a second each
