"""Exchange of release messages between the agents that own caller keys."""

import attrs
from wasabilb_core.fleet import FleetState
from wasabilb_core.once import KeyState, Ledger, Record
from wasabilb_core.ownership import RENEW_S, OnceOwnership, generation_of
from wasabilb_core.ownership import Release as CoreRelease
from wasabilb_core.ownership import Released as CoreReleased
from wasabilb_core.tickets import HostRole
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import KeyRecord, Release, Released


class OwnershipExchange:
    """Exchanges `Release` requests and `Released` answers with the other owners of caller keys.

    Parameters
    ----------
    service : str
        Service whose caller keys are owned.
    ownership : OnceOwnership
        Decides on claims.
    ledger : Ledger
        Keys that this agent claimed.
    fleet : FleetState
        Generation of owners and the hosts' addresses.
    links : LinkManager
        Links to the other owners; this object handles release messages.
    log : EventLog
        Receives an event for each released generation.
    """

    def __init__(
        self,
        *,
        service: str,
        ownership: OnceOwnership,
        ledger: Ledger,
        fleet: FleetState,
        links: LinkManager,
        log: EventLog,
    ) -> None:
        self._service = service
        self._ownership = ownership
        self._ledger = ledger
        self._fleet = fleet
        self._links = links
        self._log = log
        self._requested_at = -RENEW_S
        self._released_generation = 0
        links.set_handler(Release, self._on_release, from_role=HostRole.BACKEND.value)
        links.set_handler(Released, self._on_released, from_role=HostRole.BACKEND.value)
        links.on_link_up.append(lambda _: self._request_releases())

    def on_fleet_changed(self) -> None:
        """Adopt the newest generation and request the releases that it requires."""
        earlier = self._ownership.required_releases()
        generation = generation_of(self._fleet, self._service, earlier)
        if generation is not None and generation.number >= self._ownership.generation:
            self._ownership.on_generation(generation, now())
            self._request_releases()

    def on_tick(self) -> None:
        """Request the releases again every `RENEW_S`."""
        if now() - self._requested_at >= RENEW_S:
            self._request_releases()

    def link_targets(self) -> dict[str, str]:
        """Return the address, by host name, of each owner whose release is required."""
        addresses = {}
        for name in self._ownership.required_releases():
            spec = self._fleet.host(name)
            if spec is not None:
                addresses[name] = spec.address
        return addresses

    def _request_releases(self) -> None:
        self._requested_at = now()
        for host, request in self._ownership.release_requests(now()):
            peer = self._links.peer(host)
            if peer is not None:
                peer.send(Release(**attrs.asdict(request)))

    def _on_release(self, peer: Peer, message: Release) -> None:
        request = CoreRelease(**attrs.asdict(message))
        answer = self._ownership.on_release(request, self._ledger, now())
        if answer is None:
            return
        if answer.generation > self._released_generation:
            self._released_generation = answer.generation
            self._log.event(
                "generation_released", service=self._service, generation=answer.generation
            )
        peer.send(_to_message(answer))

    def _on_released(self, peer: Peer, message: Released) -> None:
        answer = _from_message(message)
        self._ownership.on_released(answer, self._ledger, now(), wall_ms() / 1000)


def _to_message(answer: CoreReleased) -> Released:
    return Released(
        service=answer.service,
        generation=answer.generation,
        host=answer.host,
        incarnation=answer.incarnation,
        to_incarnation=answer.to_incarnation,
        sent_now=answer.sent_now,
        uptime_s=answer.uptime_s,
        has_records=answer.has_records,
        records=[
            KeyRecord(
                text=record.text,
                account=record.account,
                digest=record.digest,
                has_time=record.created_ms is not None,
                created_ms=record.created_ms or 0,
                generation=record.generation,
                state=record.state.value,
            )
            for record in answer.records
        ],
        watermark_ms=answer.watermark_ms,
        opaque_age_s=answer.opaque_age_s,
    )


def _from_message(message: Released) -> CoreReleased:
    """Return the answer; an unknown key state raises, which closes the link."""
    return CoreReleased(
        service=message.service,
        generation=message.generation,
        host=message.host,
        incarnation=message.incarnation,
        to_incarnation=message.to_incarnation,
        sent_now=message.sent_now,
        uptime_s=message.uptime_s,
        has_records=message.has_records,
        records=tuple(
            Record(
                text=record.text,
                account=record.account,
                digest=record.digest,
                created_ms=record.created_ms if record.has_time else None,
                generation=record.generation,
                state=KeyState(record.state),
            )
            for record in message.records
        ),
        watermark_ms=message.watermark_ms,
        opaque_age_s=message.opaque_age_s,
    )
