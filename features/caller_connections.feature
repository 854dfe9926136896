Feature: Connections of callers
  Which connections are closed, and what happens to the requests on them, while limits change and a
  process is stopped.

  Scenario Outline: New limits while a connection waits
    # Guards against the close of a connection that its caller may still use.
    Given a connection that waits for <what> under an idle time of <first> s
    When an idle time of <second> s is named and <what> comes after <pause> s
    Then the request is answered

    Examples:
      | what             | first | second | pause |
      | a request        | 2.0   | 10.0   | 8.0   |
      | a request        | 10.0  | 2.0    | 8.0   |
      | a body           | 2.0   | 10.0   | 8.0   |
      | a body           | 10.0  | 2.0    | 8.0   |
      | a slow body      | 4.0   | 4.0    | 3.0   |
      | a larger body    | 4.0   | 4.0    | 1.0   |
      | a larger header  | 4.0   | 4.0    | 1.0   |

  Scenario Outline: A connection that is not used
    # Guards against connections that are never closed.
    Given a connection that waits for <what> under an idle time of 4 s
    When nothing more comes for <pause> s
    Then the connection is closed

    Examples:
      | what          | pause |
      | a request     | 6.0   |
      | half a header | 6.0   |
      | a body        | 6.0   |

  Scenario: A request comes while the process stands still and the idle time passes
    # Guards against a whole request that is read and dropped, as its connection is closed in the
    # same moment.
    Given a connection that waits for a request under an idle time of 2 s
    When a request comes after 1.5 s and the process stands still until 2.5 s have passed
    Then the request is answered

  Scenario: Requests, limits, closes and stops in any order
    # Guards against requests that are read whole and neither answered nor reported.
    When 200 seeded sequences of requests, new limits, sweeps, closes and stops are played
    Then each request that was read whole is answered, or its caller had left
