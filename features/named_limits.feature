Feature: Backend servers that name a limit for all entry processes together
  A server in need names in its answers the requests per second that it takes from all entry
  processes together, for as long as it says so. Bound on the requests of processes that have passed
  on such an answer half a second before: one and a half times the limit, and 5, in any 4 s.

  Scenario Outline: Servers that name a limit get no more than that from all entry processes
    # Guards against entry processes that go on as if nothing had been said.
    Given runners that in turn answer while naming a limit of <limit>
    When <processes> entry processes send <kind> requests each 50 ms for 6 s
    Then no runner gets more in 4 s than its limit allows

    Examples:
      | limit | processes | kind         |
      | 1     | 3         | idempotent   |
      | 0.5   | 2         | at-most-once |
      | 1     | 2         | stream       |
