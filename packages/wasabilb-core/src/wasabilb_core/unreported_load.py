"""What is assumed of a runner whose load nobody has reported yet.

Answers the load of the second after all processes were restarted at once: callers come back
together, and entry processes know only what each of them has sent. Each one that took a runner for
empty would fill its batch, and all of them together its queue.
"""

import math

from attrs import evolve

from wasabilb_core._routing_base import RunnerView


def assume_load(view: RunnerView, *, sharing_processes: float) -> RunnerView:
    """Return the view of a runner, with an assumed load when none is reported.

    The other processes are taken to have sent as much as this one.

    Parameters
    ----------
    view : RunnerView
        What is known of the runner.
    sharers : float
        Entry processes that send to it.
    """
    if view.report_age_s < math.inf:
        return view
    load = math.ceil(view.in_flight * sharing_processes)
    running = min(load, view.slots)
    return evolve(view, reported_running=running, reported_queued=load - running)
