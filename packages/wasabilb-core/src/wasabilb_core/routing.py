"""Public names of the routing policies and of the types that they take."""

from wasabilb_core import _batch_backlog, _peer_compared, _prefix_bounded
from wasabilb_core._routing_base import ROUTING, RouteRequest, RoutingPolicy, RunnerView

answer_end_s = _batch_backlog.answer_end_s
expected_wait_s = _batch_backlog.expected_wait_s
load_of = _batch_backlog.load_of
BatchBacklog = _batch_backlog.BatchBacklog
PeerCompared = _peer_compared.PeerCompared
PrefixBounded = _prefix_bounded.PrefixBounded

__all__ = [
    "ROUTING",
    "BatchBacklog",
    "PeerCompared",
    "PrefixBounded",
    "RouteRequest",
    "RoutingPolicy",
    "RunnerView",
    "answer_end_s",
    "expected_wait_s",
    "load_of",
]
