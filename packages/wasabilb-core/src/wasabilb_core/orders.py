"""Level-triggered orders: the difference between an engine's report and the tickets."""

from collections.abc import Collection
from enum import Enum, unique

from attrs import field, frozen

from wasabilb_core.fleet import FleetState
from wasabilb_core.tickets import Variant


@unique
class OrderAction(Enum):
    """Action that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@frozen(kw_only=True)
class EngineReport:
    """Variants on an engine, by its own report.

    Parameters
    ----------
    loaded : frozenset of Variant
        Variants that answer new requests.
    loading : frozenset of Variant
        Variants that are being loaded.
    """

    loaded: frozenset[Variant] = field(factory=frozenset)
    loading: frozenset[Variant] = field(factory=frozenset)


@frozen(kw_only=True)
class Order:
    """One order, with the order of the last known ticket as its fencing token.

    An engine keeps one highest token for all its models. With a token per model it would refuse
    an order for a model whose ticket is older than that of another model.
    """

    fence: int
    action: OrderAction
    variant: Variant


def next_order(
    *, fleet: FleetState, host: str, report: EngineReport, held: Collection[Variant]
) -> Order | None:
    """Return the next order towards the state that the tickets declare, or None.

    Parameters
    ----------
    fleet : FleetState
        State of all tickets.
    host : str
        Host of the engine.
    report : EngineReport
        Current report of the engine.
    held : collection of Variant
        Variants whose complete verified weights were delivered to the engine.
    """
    wanted_variants = {model.variant for model in fleet.models_on(host)}
    for variant in sorted(wanted_variants, key=str):
        is_pending = variant in report.loaded or variant in report.loading
        if not is_pending and variant in held:
            return Order(fence=fleet.newest(), action=OrderAction.LOAD, variant=variant)
    wanted_models = {variant.model for variant in wanted_variants}
    for variant in sorted(report.loaded, key=str):
        # Without a ticket about the model, the engine may go on serving it.
        is_declared = fleet.order_of(f"model:{variant.model}") > 0
        if variant.model not in wanted_models and is_declared:
            return Order(fence=fleet.newest(), action=OrderAction.UNLOAD, variant=variant)
    return None


def servable_variants(*, fleet: FleetState, host: str, report: EngineReport) -> frozenset[Variant]:
    """Return the loaded variants with which the host may answer under the tickets."""
    allowed: set[Variant] = set()
    for model in fleet.models_on(host):
        allowed.add(model.variant)
        if model.fallback is not None:
            allowed.add(model.fallback)
    return report.loaded & allowed
