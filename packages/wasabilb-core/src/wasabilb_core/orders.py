"""Level-triggered orders: compare an engine's report with the tickets, close the difference."""

from collections.abc import Collection
from enum import Enum, unique

from attrs import field, frozen

from wasabilb_core.fleet import FleetState
from wasabilb_core.tickets import Variant


@unique
class OrderAction(Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@frozen(kw_only=True)
class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    loaded : frozenset of Variant
        Variants that answer new requests.
    loading : frozenset of Variant
        Variants whose load is under way.
    """

    loaded: frozenset[Variant] = field(factory=frozenset)
    loading: frozenset[Variant] = field(factory=frozenset)


@frozen(kw_only=True)
class Order:
    """One order with the newest known ticket number as fencing token.

    An engine keeps one highest token for all its models, so that a token per model would make it
    refuse an order for a model whose ticket is older than another model's.
    """

    fence: int
    action: OrderAction
    variant: Variant


def next_order(
    *, fleet: FleetState, host: str, report: EngineReport, held: Collection[Variant]
) -> Order | None:
    """Return the order that brings an engine closer to the tickets, or None.

    Parameters
    ----------
    fleet : FleetState
        State of all tickets.
    host : str
        The engine's host.
    report : EngineReport
        The engine's fresh report.
    held : collection of Variant
        Variants of which the whole verified set of weights was handed to the engine.
    """
    wanted = {model.variant for model in fleet.models_on(host)}
    for variant in sorted(wanted, key=str):
        is_pending = variant in report.loaded or variant in report.loading
        if not is_pending and variant in held:
            return Order(fence=fleet.newest(), action=OrderAction.LOAD, variant=variant)
    wanted_models = {variant.model for variant in wanted}
    for variant in sorted(report.loaded, key=str):
        # Without a ticket about the model nobody has said that the engine may not serve it.
        is_declared = fleet.number_of(f"model:{variant.model}") > 0
        if variant.model not in wanted_models and is_declared:
            return Order(fence=fleet.newest(), action=OrderAction.UNLOAD, variant=variant)
    return None


def servable_variants(*, fleet: FleetState, host: str, report: EngineReport) -> frozenset[Variant]:
    """Return the loaded variants that the tickets let the host answer with."""
    allowed: set[Variant] = set()
    for model in fleet.models_on(host):
        allowed.add(model.variant)
        if model.fallback is not None:
            allowed.add(model.fallback)
    return report.loaded & allowed
