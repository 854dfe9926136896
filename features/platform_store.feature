Feature: The platform's store over HTTP comes back from a copy
  The client of the store meets what a restore does to its calls: revisions that are gone or given
  out again, watches that wait through it, pages of two eras.

  Scenario: All pages of a snapshot, and the changes since
    Guards against a stand-in of the store that the client reads otherwise than the platform's.
    Given a store over HTTP with 5 items in pages of 2
    When the client reads all items, and one is changed and one removed
    Then the snapshot has 5 items and the changes are those two

  Scenario: The position of the store
    Guards against an age of a version that rests on an answer which names no position.
    Given a store over HTTP with 5 items in pages of 2
    When the client reads the position before a restore, after it and while the store is away
    Then the positions are revision 5 of era 1, revision 3 of era 2 and none

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

  Scenario: Each answer tells the era, and pages of two eras are no snapshot
    Guards against items of two histories in one snapshot.
    Given a store over HTTP with 5 items in pages of 2
    When the client reads all items before a restore, during it and after it
    Then the first has era 1 and the last era 2, and the one between is unavailable

  Scenario: A watch of an earlier revision after a restore
    Guards against changes of the new era that are taken for those after a revision of the old one.
    Given a store over HTTP with 5 items in pages of 2
    When a copy with 3 items comes back, 4 items are written, and the client watches from revision 5
    Then the changes are of era 2, and the reader reads a snapshot instead of merging them

  Scenario: Restores, outages, writes and answers without an era in any order
    Guards against an item that goes back, or that is in force nowhere after it was written again.
    When a reader follows a store through 40 random histories
    Then no item goes back, and each item that is written in the last era is in force
