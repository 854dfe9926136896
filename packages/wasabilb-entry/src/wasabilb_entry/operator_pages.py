"""Health, readiness and status pages for operators and the balancer."""

import attrs
from jinja2 import Environment
from tornado.web import RequestHandler
from wasabilb_core.status import HostStatus, LinkStatus, Status, to_status_json
from wasabilb_core.ticket_order import ticket_era, ticket_number
from wasabilb_node.clock import now

from wasabilb_entry.entry import Entry
from wasabilb_entry.lift_interface import lift_answer

_PAGE = Environment(autoescape=True).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>wasabilb {{ status.host }}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:left}
tr:nth-child(even){background:#eee}</style></head><body>
<h1>{{ status.host }}: {{ status.state }}</h1>
<p>{{ status.region }}, {{ status.failure_domain }}; newest ticket {{ status.ticket_text }};
{{ status.in_flight }} requests in progress; up for {{ "%.0f"|format(status.uptime_s) }} s</p>
{% for title, rows in tables %}<h2>{{ title }}</h2><table>
{% for row in rows %}{% if loop.first %}<tr>{% for name in row %}<th>{{ name }}</th>
{% endfor %}</tr>
{% endif %}<tr>{% for value in row.values() %}<td>{{ value }}</td>{% endfor %}</tr>
{% endfor %}</table>{% endfor %}</body></html>
""")


def to_status(entry: Entry) -> Status:
    """Return the state of an entry process."""
    node = entry.node
    state = "ready" if entry.is_ready else "starting"
    moment = now()
    return Status(
        host=node.cfg.host,
        role=node.role.value,
        region=node.cfg.region,
        failure_domain=node.cfg.failure_domain,
        incarnation=f"{node.links.identity.incarnation:x}",
        state="draining" if entry.is_draining else state,
        newest_ticket=ticket_number(node.fleet.newest()),
        newest_era=ticket_era(node.fleet.newest()),
        state_digest=f"{node.fleet.digest():016x}",
        uptime_s=moment - node.started_at,
        in_flight=entry.in_flight,
        hosts=[_host_status(entry, h.name) for h in node.fleet.hosts() if h.is_backend],
        links=[
            LinkStatus(peer=peer.host, state="up", silent_s=moment - peer.last_received_at)
            for peer in node.links.peers()
        ],
    )


def _host_status(entry: Entry, name: str) -> HostStatus:
    members = entry.node.membership
    report = members.report_of(name)
    if members.is_leaving(name):
        state = "leaving"
    else:
        state = "live" if members.is_routable(name, now()) else "silent"
    if report is None:
        return HostStatus(name=name, state=state)
    held = sorted(report.ready) + sorted(f"service {service}" for service in report.services)
    return HostStatus(
        name=name, state=state, variants=held, queued=report.queued, running=report.running
    )


class OperatorHandler(RequestHandler):
    """Base of the operators' handlers."""

    def initialize(self, entry: Entry) -> None:
        """Set the state of the process."""
        self.entry = entry
        self.set_header("Server", "wasabilb")
        self.set_header("Cache-Control", "no-store")


class LiftHandler(OperatorHandler):
    """`POST /blocked-parts/lift`: let a probe find out whether parts still crash runners."""

    def post(self) -> None:
        """Answer with the lifted parts."""
        guard = self.entry.models.guard
        status, body = lift_answer(
            self.get_query_argument("part", ""),
            lambda part: guard.lift(part=part, reason="operator"),
        )
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(body)


class HealthHandler(OperatorHandler):
    """`GET /healthz`: the event loop runs."""

    def get(self) -> None:
        """Answer 200."""
        self.write({"status": "ok"})


class ReadyHandler(OperatorHandler):
    """`GET /readyz`: the balancer may send requests."""

    def get(self) -> None:
        """Answer 200 when ready, 503 when starting or draining."""
        status = to_status(self.entry)
        if status.state != "ready":
            self.set_status(503)
        self.write({"state": status.state})


class StatusHandler(OperatorHandler):
    """`GET /status`: the state as JSON."""

    def get(self) -> None:
        """Answer with the state."""
        self.set_header("Content-Type", "application/json")
        self.write(to_status_json(to_status(self.entry)))


class StatusPageHandler(OperatorHandler):
    """`GET /status.html`: the state as a page."""

    def get(self) -> None:
        """Answer with the page."""
        status = to_status(self.entry)
        tables = [
            ("Backend servers", [attrs.asdict(host) for host in status.hosts]),
            ("Links", [attrs.asdict(link) for link in status.links]),
        ]
        self.write(_PAGE.render(status=status, tables=tables))
