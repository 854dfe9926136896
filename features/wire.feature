Feature: Messages between processes
  A malformed frame closes its own link and leaves nothing half-applied.

  Scenario: Every message survives encoding
    When each message type is encoded and decoded with random values
    Then the decoded messages equal the sent ones

  Scenario: Hostile frames are refused and never raise
    When random, truncated and mutated frames are decoded
    Then each gives a message or a bad-frame error
    And an oversized length is refused before its body arrives

  Scenario: A small frame that announces millions of list items is refused at once
    Guards against a frame of 1 KiB that blocked the event loop for 5 s, as tools/fuzz.py found.
    When a call frame announces 2000000 empty headers
    Then it is refused as a bad frame within 0.5 s

  Scenario: A packed frame cannot expand beyond its bound
    Guards against a small frame that makes the receiver allocate megabytes, and against control
    frames that exceed the budget of 3 KB/s a node.
    When packed frames claim or contain far more than their bound
    Then each is refused without memory for what it claims
    And control frames take at most 107 bytes
