Feature: A store that comes back from a copy
  The store of the platform may lose what it has acknowledged in the last seconds. Its revisions are
  then given out again, in a later era.

  Scenario: A change after the return of the store
    Guards against a configuration that is confirmed after the return and in force nowhere, because
    its revision was given out before.
    Given 7 entry processes and 9 agents in 2 failure domains
    When they have run for 10 s
    And catalog 1 is published
    And a copy of the store is made
    And catalogs 2 to 5 are published, 1 s apart
    And the store is away for 2 s and comes back from the copy
    Then no process uses an older catalog for 2 s
    When catalog 6 is published
    Then every process uses catalog 6 within 1 s

  Scenario: Everything that may happen around a return of the store, in any order
    Guards against a configuration, a named version or a leaving runner that goes back, and against
    processes that do not agree again, after returns, delayed, stale and repeated answers, broken
    links and restarts.
    Then in any history nothing that a process has served by goes back, and all agree in the end

  Scenario: A peer that still reads the earlier era
    Guards against runners of the earlier era that come back with its higher revisions, and against
    losing a newer catalog that only such a peer has.
    Given a process that has read era 2 up to revision 62
    When a peer sends a runner and catalog 7 of era 1 at revision 130
    Then it takes over the catalog and not the runner, and still knows era 2 up to revision 62

  Scenario: A runner that left before the fall and is listed by the copy
    Guards against requests to a runner that has left, whose address another service may have.
    Given 7 entry processes and 9 agents in 2 failure domains
    When they have run for 10 s
    And runner x is listed
    And a copy of the store is made
    And runner x leaves
    And the store is away for 2 s and comes back from the copy
    Then no process uses runner x for 3.6 s
    When runner x leaves
    Then no process uses runner x for 5 s

  Scenario: A runner that was taken as gone, and lives
    Guards against a live runner that is never used again, because only its entry in the copy says
    so and it has nothing new to write.
    Given 7 entry processes and 9 agents in 2 failure domains
    When they have run for 10 s
    And runner x is listed
    And a copy of the store is made
    And runner x leaves
    And the store is away for 2 s and comes back from the copy
    Then every process uses runner x within 6.5 s

  Scenario: A runner that restarted since the copy
    Guards against requests to the incarnation before a restart, and against none to the later one.
    Given a process that knows a runner only since its restart
    When the copy lists its incarnation before that
    Then the later incarnation is used until the grace is over

  Scenario: A runner that came since the copy
    Guards against requests that find no runner, although one lives that the copy lacks.
    Given 7 entry processes and 9 agents in 2 failure domains
    When they have run for 10 s
    And a copy of the store is made
    And runner x is listed
    And they have run for 1 s
    And the store is away for 2 s and comes back from the copy
    Then every process uses runner x for 1.8 s
    When runner x is listed
    Then every process uses runner x for 10 s

  Scenario: A failure domain that was cut off during the return
    Guards against processes that use the state of the earlier era, because its revisions are higher.
    Given 7 entry processes and 9 agents in 2 failure domains
    When they have run for 10 s
    And catalog 1 is published
    And a copy of the store is made
    And catalogs 2 to 5 are published, 1 s apart
    And a failure domain is cut off, and 2 s later the store comes back from the copy for the others
    And catalogs 6 to 6 are published, 20 s apart
    Then no process uses an older catalog for 2 s
    When the failure domain is linked again
    Then every process uses catalog 6 within 4 s

  Scenario Outline: Calls of the platform around a return of its store
    Guards against a fleet whose every process reads the store when it comes back.
    Given <entries> entry processes and <agents> agents in <domains> failure domains, linked as a large fleet
    When they have run for 20 s
    And catalog 1 is published
    And a copy of the store is made
    And catalogs 2 to 5 are published, 1 s apart
    And the store is away for 2 s and comes back from the copy
    And catalogs 6 to 9 are published, 0.3 s apart
    Then every process uses catalog 9 within 2 s
    And at most <readers> processes have read since the return, <calls> times at most

    Examples:
      | entries | agents | domains | readers | calls |
      | 7       | 9      | 3       | 9       | 90    |
      | 45      | 31     | 3       | 9       | 90    |
      | 136     | 94     | 5       | 15      | 150   |

  Scenario: Answers of a peer that break off
    # Guards against memory that grows while a large answer is sent again over a narrow link.
    When the first of two batches of a later era arrives 50 times, and the last one once
    Then at most 99 items were held, and all 100 are known

  Scenario Outline: One answer with a wrong era
    # Guards against a reader that takes all later answers for those of an earlier era.
    Given a reader that knows era 1 of a store up to revision 5
    When the answers to it are <answers>
    Then it knows era <era>, and item <item> is the newest

    Examples:
      | answers                                                       | era | item |
      | no history, all of era 999999999 at 9, all of era 1 at 7      | 1   | 7    |
      | no history of era 2, all of era 2 at 4                        | 2   | 4    |
      | no history of era 999999999, all of era 1 at 7                | 1   | 7    |
      | no history of era 2, all of era 3 at 4, all of era 3 at 6     | 3   | 6    |

  Scenario: A version number of a lost catalog is used again
    # Guards against a catalog in force only in processes that never read the lost one.
    Given a process that uses catalog 5 of era 1
    When another catalog 5 is published in era 2
    Then it uses the one of era 2
