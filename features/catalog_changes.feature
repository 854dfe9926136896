Feature: A catalog changes while requests are answered
  A request is handled as the catalog said when it came. Whatever changes meanwhile, its caller gets
  one answer.

  Scenario Outline: A request that is <state> while <change>
    # Guards against requests that are dropped, answered twice or cut when what they need leaves the catalog.
    Given a model service whose runners <state>
    When a caller sends a stream request and <change> 0.2 s later
    Then the caller gets all events once
    And nothing follows the answer, and the request is logged as done once

    Examples:
      | state                           | change                |
      | are full for 0.7 s              | its route goes        |
      | are full for 0.7 s              | its key goes          |
      | are full for 0.7 s              | its service goes      |
      | are full for 0.7 s              | its split changes     |
      | are full for 0.7 s              | its timeout shrinks   |
      | accept a connection after 0.4 s | its route goes        |
      | accept a connection after 0.4 s | its key goes          |
      | accept a connection after 0.4 s | its service goes      |
      | accept a connection after 0.4 s | its split changes     |
      | accept a connection after 0.4 s | its timeout shrinks   |
      | answer late                     | its route goes        |
      | answer late                     | its key goes          |
      | answer late                     | its service goes      |
      | answer late                     | its split changes     |
      | answer late                     | its timeout shrinks   |
      | answer slowly                   | its route goes        |
      | answer slowly                   | its key goes          |
      | answer slowly                   | its service goes      |
      | answer slowly                   | its split changes     |
      | answer slowly                   | its timeout shrinks   |
      | break off, then refuse          | its route goes        |
      | break off, then refuse          | its key goes          |
      | break off, then refuse          | its service goes      |
      | break off, then refuse          | its split changes     |
      | break off, then refuse          | its timeout shrinks   |
      | find a part of prompts probed   | its route goes        |
      | find a part of prompts probed   | its key goes          |
      | find a part of prompts probed   | its service goes      |
      | find a part of prompts probed   | its split changes     |
      | find a part of prompts probed   | its timeout shrinks   |

  Scenario Outline: A request that nobody answers while <change>
    # Guards against requests that wait past the time that they came with, or end without an answer.
    Given a model service whose runners <state>
    When a caller sends a stream request and <change> 0.2 s later
    Then the caller gets status <status> within 3.5 s
    And nothing follows the answer, and the request is logged as done once

    Examples:
      | state                  | change              | status |
      | are full for 9 s       | its route goes      | 503    |
      | are full for 9 s       | its service goes    | 503    |
      | are full for 9 s       | its timeout shrinks | 503    |
      | wait without an answer | its route goes      | 504    |
      | wait without an answer | its service goes    | 504    |
      | wait without an answer | its timeout shrinks | 504    |
