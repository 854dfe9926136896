"""Reconciliation of the engine with the tickets."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from returns.result import Failure
from wasabilb_core.fleet import FleetState
from wasabilb_core.metric_names import Metric
from wasabilb_core.orders import Order, OrderAction, next_order, servable_variants
from wasabilb_core.ticket_order import ticket_number
from wasabilb_core.tickets import Variant
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics

from wasabilb_agent.engine_client import EngineClient, EngineStatus
from wasabilb_agent.weight_transfers import WeightTransfers

# Reports of a local engine are cheap; a change is seen within this time.
REPORT_INTERVAL_S = 0.2
ERROR_RETRY_S = 1.0


class Reconciler:
    """Control loop that reads the engine's report and sends one order at a time.

    Parameters
    ----------
    host : str
        The engine's host.
    on_status : callable
        Called with each report.
    """

    def __init__(
        self,
        *,
        host: str,
        fleet: FleetState,
        engine: EngineClient,
        transfers: WeightTransfers,
        log: EventLog,
        metrics: Metrics,
        on_status: Callable[[EngineStatus], None],
    ) -> None:
        self._host = host
        self._fleet = fleet
        self._engine = engine
        self._transfers = transfers
        self._log = log
        self._metrics = metrics
        self._on_status = on_status
        self._wake_event = asyncio.Event()
        self._pending_order: Order | None = None
        self.ready: frozenset[Variant] = frozenset()

    def wake(self) -> None:
        """Reconcile at once, because a ticket has changed."""
        self._wake_event.set()

    def is_servable(self, variant: str) -> bool:
        """Return whether the engine serves a variant that the tickets allow."""
        return any(str(ready) == variant for ready in self.ready)

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            has_succeeded = await self._reconcile()
            pause_s = REPORT_INTERVAL_S if has_succeeded else ERROR_RETRY_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake_event.wait(), pause_s)
            self._wake_event.clear()

    async def _reconcile(self) -> bool:
        report = await self._engine.status()
        if isinstance(report, Failure):
            self._set_ready(frozenset())
            return False
        status = report.unwrap()
        # The tickets are read after the report, so that one that arrived meanwhile counts.
        self._set_ready(servable_variants(fleet=self._fleet, host=self._host, report=status.models))
        self._on_status(status)
        self._log_confirmed_order(status)
        self._transfers.set_wanted(self._missing_variants(status))
        held = self._transfers.held | status.committed
        order = next_order(fleet=self._fleet, host=self._host, report=status.models, held=held)
        if order is None:
            return True
        return await self._send_order(order)

    def _missing_variants(self, status: EngineStatus) -> dict[Variant, int]:
        """Return the wanted variants that the engine lacks, with their ticket numbers."""
        present = status.models.loaded | status.models.loading | status.committed
        return {
            model.variant: ticket_number(self._fleet.order_of(f"model:{model.name}"))
            for model in self._fleet.models_on(self._host)
            if model.variant not in present
        }

    async def _send_order(self, order: Order) -> bool:
        self._metrics.count(Metric.ORDERS)
        self._log.event("order_sent", **_log_fields(order))
        result = await self._engine.order(order)
        if isinstance(result, Failure):
            self._log.event("order_refused", **_log_fields(order), detail=result.failure().detail)
            return False
        self._pending_order = order
        return True

    def _log_confirmed_order(self, status: EngineStatus) -> None:
        """Log an order once the engine's report shows its effect."""
        order = self._pending_order
        if order is None:
            return
        is_loaded = order.variant in status.models.loaded
        if is_loaded == (order.action is OrderAction.LOAD):
            self._pending_order = None
            self._log.event("order_confirmed", **_log_fields(order))

    def _set_ready(self, ready: frozenset[Variant]) -> None:
        for variant in sorted(ready - self.ready, key=str):
            ticket = ticket_number(self._fleet.order_of(f"model:{variant.model}"))
            self._log.event(
                "version_ready", ticket=ticket, model=variant.model, version=variant.version
            )
        self.ready = ready


def _log_fields(order: Order) -> dict[str, Any]:
    return {
        "ticket": ticket_number(order.fence),
        "order": order.action.value,
        "model": order.variant.model,
        "version": order.variant.version,
    }
