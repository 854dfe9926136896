Feature: Entries and answers of other writers
  Other programs write to the list that every process follows, and runners and stores answer with
  numbers of their own. What cannot be used is left out; the others hold.

  Scenario Outline: One odd item in an answer of the store
    # Guards against one item of another writer for which all others in its answer are ignored, so
    # that a process no longer follows the list.
    Given an answer of the store with a sound item before and after one with <oddity>
    When it is read as a snapshot and as changes
    Then both times the sound items are read and the odd one is <taken>

    Examples:
      | oddity                  | taken      |
      | the revision 1e999      | left out   |
      | the revision 9e99       | left out   |
      | the revision true       | left out   |
      | the revision "7"        | left out   |
      | the revision 7.5        | left out   |
      | the revision -7         | left out   |
      | a revision of 70 bits   | left out   |
      | no revision             | left out   |
      | a number as its key     | left out   |
      | a key that is no text   | left out   |
      | an empty key            | left out   |
      | a key of 300 bytes      | left out   |
      | no key                  | left out   |
      | a list in its place     | left out   |
      | a value that is not ASCII | unreadable |
      | a value that is no base64 | unreadable |
      | a value that is a number  | unreadable |
      | a value above the limit   | unreadable |
      | no value                  | unreadable |
      | "no" as its deletion      | unreadable |

  Scenario Outline: An answer of the store that is unusable as a whole
    # Guards against an error out of the reader, which stops following the list, and against an
    # answer without items that removes all runners.
    Given an answer of the store with <oddity>
    When it is read as a snapshot and as changes
    Then both times the store counts as unavailable

    Examples:
      | oddity                            |
      | the current revision 1e999        |
      | the current revision true         |
      | the current revision "7"          |
      | a current revision of 70 bits     |
      | no list of items                  |
      | an object as the list of items    |
      | null as the list of items         |
      | a list around it                  |
      | nesting of 100,000 levels         |
      | broken text                       |
      | another text as its first name    |

  Scenario: A page that does not end, and one with nothing but odd items
    # Guards against a reader that asks for the same page forever, and against taking the rest of
    # the list as removed.
    When pages repeat their last key or hold no key at all
    Then both times the store counts as unavailable
    When the last item of a page is odd
    Then the next page begins after its key
