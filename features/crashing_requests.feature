Feature: Requests that end each backend server that begins to run them
  A request may end each backend server that begins to run it, and comes again at any entry process
  with the same account, path and body. Its prompt has no part that only such requests have.

  Scenario Outline: A request that crashes runners comes again and again
    # Guards against repeats that look like new requests, and against refusing sound ones beside them.
    # At four times a second, up to three are under way when the first crash is known.
    Given <processes> entry processes before <runners> runners of a <service>
    When one request that crashes runners comes <rate> times a second for 20 s, with seeds 1 to <seeds>
    Then at most <most> runners crash under it
    And at most 3 such requests are sent from 3 s after the third crash on
    And nothing else is blocked at any process at any time
    And sound requests of the fleet begin at the first attempt 0.95 as often as without them
    And each process sends at most 3 KB a second about it
    And the last of such requests are refused as not run and not to be repeated

    Examples:
      | processes | runners | service       | rate | seeds | most |
      | 7         | 6       | model service | 1    | 10    | 3    |
      | 7         | 9       | model service | 4    | 10    | 5    |
      | 7         | 6       | plain service | 1    | 10    | 3    |
      | 7         | 9       | plain service | 4    | 10    | 5    |
      | 76        | 40      | model service | 1    | 2     | 3    |

  Scenario Outline: Parts of the prompt of such a request
    # Guards against blaming what the request shares with sound ones that come seldom.
    Given 7 entry processes before 9 runners of a model service
    When a request that crashes runners comes and sound ones with a part of its prompt, that <when>
    Then at most 3 runners crash under it
    And nothing else is blocked at any process at any time
    And at most 1 sound requests in 100 wait for the probe of a part

    Examples:
      | when                   |
      | come before and after  |
      | come only after it     |

  Scenario Outline: Sound requests that are all the same beside crashes
    # Guards against blocking a request that is asked for all the time, as it was there at each crash.
    Given 7 entry processes before 9 runners of a <service>
    When runners crash for other reasons while callers ask for the same again and again, in 60 runs
    Then nothing is blocked at any process at any time
    And at most 1 sound requests in 100 wait for the probe of the same request

    Examples:
      | service       |
      | model service |
      | plain service |

  Scenario Outline: What lets a probe find out whether a request still crashes runners
    Given 7 entry processes before 9 runners of a model service
    When <event> while one request that crashes runners comes
    Then <count> more runners crash

    Examples:
      | event                                  | count |
      | an entry process is started again      | 0     |
      | new weights are there                  | 1     |
      | the operator lifts the block           | 1     |
      | nothing comes for 700 s                | 1     |

  Scenario: No two requests are taken for the same
    # Guards against callers that name another request, or move bytes from one field to the next.
    When requests differ in account, method, host, path, query or body only
    Then each has another identity, and repeats have the same
    And no part of a prompt that a caller names is the identity of a request

  Scenario: What entry processes tell each other about requests
    # Guards against a digest that another process, or an earlier build, takes for a part of a prompt.
    When a process tells of a crash, a block, a probe and an answer of a request
    Then another one has the same suspects and blocks after it has read the messages
    And no message names the request among the parts

  Scenario: A process that starts while the probe of a request is under way
    # Guards against a second probe by a process that was not there when the first was announced.
    When a process is linked after another one has sent the probe of a request
    Then it sends no such request

  Scenario: A request with more parts than a report names
    # Guards against callers that hide a request behind invented parts.
    When a request with 3000 parts and a runner crash
    Then the request is suspected

  Scenario Outline: Reports of a mass crash
    # Guards against entry processes that are busy for seconds with the reports of a mass crash.
    When 40 runners crash with 24 requests of <parts> common parts each, and a process hears of each request
    Then it weighs the evidence at most once for each report

    Examples:
      | parts |
      | 0     |
      | 20    |

  Scenario: A process that starts after a mass crash
    # Guards against a message to a new peer that exceeds a frame, and so tells nothing.
    When 40 runners crash with 24 requests of 200 common parts each, and a process hears of each request
    And another process is linked
    Then it has the same suspects

  Scenario: A suspected request after another fault
    # Guards against a request that waits for 10 minutes for a probe which nobody may send.
    When a request is with two runners that crash while another one ends without it
    Then it is sent as a probe 12 s later

  Scenario: A request with which one was taken for the cause
    # Guards against blocking a sound request whose report came first.
    When two requests crash with the same runners and the reports on one come first
    Then neither is blocked until a crash tells them apart

  Scenario Outline: A request that crashes runners, through entry processes
    Given 6 runners that end on a request of kind <kind> and are back after 1.5 s
    When 3 entry processes get sound requests and that request each 300 ms for 8 s
    Then at most 3 runners end
    And its callers are told that it crashes backend servers and has not run
    And sound requests beside it are answered or may be repeated

    Examples:
      | kind   |
      | stream |
      | safe   |
      | unsafe |
