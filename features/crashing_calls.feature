Feature: Requests that crash backend servers, at the product's own interface
  A request may crash each backend server that begins to run it, whatever its parts. It comes again
  with the same path, account and body.

  Scenario Outline: A request that crashes each server comes again and again
    Guards against repeats of a request that end one server after the other, and against an outcome
    that is not true: what crashed may have run, what is refused did not.
    Given agents beside 6 servers that crash under a request, back after 1 s
    When <request> comes 9 times, with a sound one after each
    Then at most 3 servers crash
    And the first is told to have an unknown outcome, and the last 5 are refused as <refusal>
    And the sound requests are answered at the first attempt

    Examples:
      | request                              | refusal                  |
      | a model request                      | request-blocked, not-run |
      | a GET                                | request-blocked, not-run |
      | a POST that may not be repeated      | request-blocked, not-run |
      | a call under a new issued key        | request-blocked, not-run |
      | a call under a new key of the caller | outcome-unknown, unknown |

  Scenario: A call that crashes its server is repeated under its key
    Guards against a repeat that runs again, or is told that nothing ran.
    Given agents beside 6 servers that crash under a request, back after 1 s
    When a call under one key of the caller comes 9 times, with a sound one after each
    Then at most 1 servers crash
    And the first is told to have an unknown outcome, and the last 5 are refused as outcome-unknown, unknown
    And the sound requests are answered at the first attempt

  Scenario Outline: Several requests that crash servers come beside each other
    Guards against crashes under one request that count as another cause for those under the next.
    Given agents beside 12 servers that crash under a request, back after 1 s
    When 4 requests like <request> come 10 times, one each 0.3 s, with sound ones beside them
    Then at most 3 servers crash under each of them
    And no sound request is refused because of them

    Examples:
      | request         |
      | a model request |

    @known_red
    Examples: Requests to a plain service
      | request                         |
      | a GET                           |
      | a POST that may not be repeated |

  Scenario: A sound request moves along with the one that crashes servers
    Guards against blocking both, though answers to the sound one had begun before two crashes.
    When a request that crashes servers and a sound one are resent to the same server after each of 3 crashes
    Then the request that crashes servers is blocked, and the sound one is not

  Scenario Outline: Sound requests that are the same by nature are with servers that crash
    Guards against refusing a status page, or holding it up, for being where servers crash.
    Given agents beside 6 servers that crash under a request, back after 1 s
    When <sound> comes each 0.01 s for 20 s, and <cause> each 2 s
    Then at most <most> servers crash
    And all sound requests are answered, 0.99 of them within 0.1 s and all within 0.5 s

    Examples:
      | sound              | cause                                | most |
      | the same GET       | another request that crashes servers | 3    |
      | the same GET       | a crash of a server for no reason    | 10   |
      | the same empty PUT | a crash of a server for no reason    | 10   |
