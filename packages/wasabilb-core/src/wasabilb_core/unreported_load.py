"""Assumed load of a runner without a load report.

This covers the first second after a simultaneous restart of all processes: callers return together,
and each entry process has only its own counts. If each one took a runner for empty, it would fill
the batch, and all of them together the queue.
"""

import math

from attrs import evolve

from wasabilb_core._routing_base import RunnerView


def assume_load(view: RunnerView, *, sharing_processes: float) -> RunnerView:
    """Return the view of a runner, with an assumed load if none is reported.

    The other processes are assumed to have sent as many requests as this one.

    Parameters
    ----------
    view : RunnerView
        View of the runner.
    sharing_processes : float
        Number of entry processes that send to it.
    """
    if view.report_age_s < math.inf:
        return view
    load = math.ceil(view.in_flight * sharing_processes)
    running = min(load, view.slots)
    return evolve(view, reported_running=running, reported_queued=load - running)
