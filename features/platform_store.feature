Feature: The platform's store over HTTP comes back from a copy
  The client of the store meets what a restore does to its calls: revisions that are gone or given
  out again, watches that wait through it, pages of two eras.

  Scenario: All pages of a snapshot, and the changes since
    Guards against a stand-in of the store that the client reads otherwise than the platform's.
    Given a store over HTTP with 5 items in pages of 2
    When the client reads all items, and one is changed and one removed
    Then the snapshot has 5 items and the changes are those two

  Scenario: A watch from a revision that the copy does not have
    Guards against a process that waits for the revision to be reached again.
    Given a store over HTTP with 5 items in pages of 2
    When a copy with 3 items comes back and the client watches from revision 5
    Then the history is lost

  Scenario: A watch that waits through a restore
    Guards against a watch that misses the restore because it began before it.
    Given a store over HTTP with 5 items in pages of 2
    When the client watches from revision 5 while a copy with 3 items comes back
    Then the history is lost, within 1 s of the restore

  Scenario: A store that is away
    Guards against a 503 of a proxy, without an era, that is taken for an answer of the store.
    Given a store over HTTP with 5 items in pages of 2
    When the store is away without an era
    Then the client reports both calls as unavailable
