Feature: Parts of prompts under which backend servers end
  One part of a prompt may end each backend server that begins an answer on it, whatever else the
  request holds. Requests with it come at any entry process; sound ones share their other parts.

  Scenario Outline: Requests with a part that ends servers are not sent to one server after the other
    Given 6 runners that end on a part of prompts and are back after 1.5 s
    When <processes> entry processes get sound requests each 40 ms and ones with the part each 200 ms for 9 s
    Then at most 5 runners end
    And at most three requests with the part reach runners from 3 s after the fifth crash on
    And sound requests begin at the first attempt 0.95 as often as without them

    Examples:
      | processes |
      | 1         |
      | 3         |
