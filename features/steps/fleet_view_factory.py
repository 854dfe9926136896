"""Fleet views of an entry process with given runners, without a network."""

import random

from forwarding_harness import LookupDecoder
from overload_model import ENGINE
from wasabilb_core.catalog import Catalog, Service
from wasabilb_core.published import PublishedState
from wasabilb_core.runner_limits import RunnerLimits
from wasabilb_entry.fleet_view import FleetLimits, FleetView
from wasabilb_node.logs import EventLog
from wasabilb_node.published_view import PublishedView


def make_fleet_view(runners, *, processes=1, published=None):
    """Return the view that an entry process has of a service with these runners."""
    if published is None:
        log = EventLog(process="t", role="entry", host="t", failure_domain="a", incarnation="1")
        published = PublishedView(items=PublishedState(), decoder=LookupDecoder({}), log=log)
        published.catalog = Catalog(
            version=1, routes=(), services={"s": Service(name="s", engine=ENGINE)}
        )
    for runner in runners:
        published.directory.on_listed(runner)
    return FleetView(
        published=published,
        failure_domain="a",
        regions={"a": "r"},
        pool=None,
        limits=FleetLimits(retry_ratio=0.2, retry_slack=1, retry_window_s=10, version_s=8),
        rng=random.Random(1),
        processes=lambda: processes,
        announce_send=lambda runner_id, tokens: None,
        runner_limits=RunnerLimits(host="t"),
    )
