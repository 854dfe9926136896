Feature: The checks of the soak
  The checks of a soak detect each broken promise among the faults that it injects.

  Scenario: A seed gives one plan
    Guards against failures that cannot be replayed by their seed.
    Then seed 7 gives the same plan twice, and seed 8 another one

  Scenario: A plan that failed can be kept
    Guards against a regression case that replays other faults than those that failed.
    Then the plan of seed 7 is the same after it was written and read

  Scenario: Plans of some seeds hold every kind of fault
    Guards against a fault that is registered and never injected.
    Then the plans of seeds 1 to 60 hold every kind of fault

  Scenario Outline: A status and the log of a process are compared in the right order
    Guards against reporting a starting process as reverting, because a status reply is newer than its
    request, and against a reversal that is not reported.
    Given a process logged ticket 1 at 10.010 s and ticket 2 at 10.020 s
    When a status that was requested at <asked> s shows ticket <newest>
    Then the process <verdict>

    Examples:
      | asked  | newest | verdict       |
      | 10.005 | 2      | only advanced |
      | 10.015 | 1      | only advanced |
      | 10.030 | 2      | only advanced |
      | 10.030 | 1      | went back     |

  Scenario Outline: A fault excuses only what it may cause
    Guards against a soak that attributes a broken promise to an unrelated fault, or reports what a
    fault may cause.
    Given a run without faults in which one call was answered
    When <what> happens
    Then the soak reports <promises>

    Examples:
      | what                                                     | promises |
      | nothing                                                  | nothing  |
      | a cut while nothing is impaired                          | 2        |
      | a cut while its entry host is paused                     | nothing  |
      | a cut while another entry host is paused                 | 2        |
      | a cut while its entry host is flooded                    | 2        |
      | a cut while a runner is killed                           | 2        |
      | an error event while a runner is killed                  | nothing  |
      | an error event while nothing is impaired                 | 2        |
      | an error event while the store is down                   | 2        |
      | an answer 17 s after the start while a runner is killed  | 2        |
      | a second execution while all hosts are paused            | 4        |
      | late work on a leaving runner that is paused             | 5        |
      | late work on a runner that leaves by ticket              | 5        |
      | late work on a runner that leaves by the host list       | 5        |
      | the same while the host list comes back from a copy      | nothing  |
      | the same while the configuration service does            | 5        |
      | late work on a runner that has returned                  | nothing  |
      | a cut while its entry host shuts down                    | 6        |
      | a refused connection while its entry host shuts down     | nothing  |
      | a cut while a runner shuts down                          | 2 and 6  |
      | a shutdown that cuts a request off                       | 6        |
      | a shutdown that is killed on its way                     | nothing  |
      | a ticket 8 s after its publication                       | 7        |
      | a ticket 8 s after its publication, of a host paused 2 s | nothing  |
      | a withdrawn key that works after 8 s                     | 7        |
      | a withdrawn key that works on a restarted host           | 7        |
      | a withdrawn key that works after 6 s                     | nothing  |
      | a returned key that is refused after 8 s                 | 7        |
