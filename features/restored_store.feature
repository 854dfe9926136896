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

  Scenario: Answers of a peer that break off
    # Guards against memory that grows while a large answer is sent again over a narrow link.
    When the first of two batches of a later era arrives 50 times, and the last one once
    Then at most 99 items were held, and all 100 are known
