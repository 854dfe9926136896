"""The command `status`: queries `/status` of processes and prints a table."""

import asyncio
import sys

from attrs import frozen
from returns.result import Failure, Result, Success
from rich.box import SIMPLE
from rich.console import Console
from rich.table import Table
from tornado.httpclient import AsyncHTTPClient
from wasabilb_core.settings import check_host_port
from wasabilb_core.status import Status, parse_status
from wasabilb_node.commands import EXIT_FAILED, CommandError

_TIMEOUT_S = 3.0
_MAX_STATUS_BYTES = 16 << 20


@frozen(kw_only=True)
class StatusReply:
    """The status from one address, or why there is none."""

    address: str
    result: Result[Status, str]


def read_statuses(addresses: list[str]) -> list[StatusReply]:
    """Query all addresses at once and return their replies in the order given.

    Raises
    ------
    CommandError
        When an address is not `HOST:PORT`.
    """
    for address in addresses:
        message = check_host_port(address)
        if message:
            raise CommandError(message)
    return asyncio.run(_fetch_all(addresses))


def show_status(addresses: list[str]) -> int:
    """Print a table of all addresses and return the exit status."""
    replies = read_statuses(addresses)
    is_terminal = sys.stdout.isatty()
    # Without a terminal a line is as wide as its content, so that nothing is cut off.
    console = Console(width=None if is_terminal else 10_000)
    console.print(_process_table(replies, is_terminal=is_terminal))
    answered = [r.result.unwrap() for r in replies if isinstance(r.result, Success)]
    if any(status.hosts for status in answered):
        console.print(_host_table(answered, is_terminal=is_terminal))
    for reply in replies:
        if isinstance(reply.result, Failure):
            print(f"{reply.address}: {reply.result.failure()}", file=sys.stderr)
    return 0 if len(answered) == len(replies) else EXIT_FAILED


async def _fetch_all(addresses: list[str]) -> list[StatusReply]:
    client = AsyncHTTPClient(force_instance=True, max_body_size=_MAX_STATUS_BYTES)
    try:
        return list(await asyncio.gather(*(_fetch(client, address) for address in addresses)))
    finally:
        client.close()


async def _fetch(client: AsyncHTTPClient, address: str) -> StatusReply:
    try:
        answer = await client.fetch(
            f"http://{address}/status", connect_timeout=_TIMEOUT_S, request_timeout=_TIMEOUT_S
        )
        return StatusReply(address=address, result=parse_status(answer.body.decode()))
    except Exception as exc:
        # The client raises socket, HTTP and its own errors for the same failure.
        return StatusReply(address=address, result=Failure(f"no answer from /status: {exc}"))


def _table(columns: str, *, is_terminal: bool) -> Table:
    table = Table(box=SIMPLE if is_terminal else None, pad_edge=False, header_style="bold")
    for column in columns.split():
        table.add_column(column.replace("_", " "))
    return table


def _process_table(replies: list[StatusReply], *, is_terminal: bool) -> Table:
    columns = "address host role domain state ticket digest in_flight links uptime"
    table = _table(columns, is_terminal=is_terminal)
    for reply in replies:
        if isinstance(reply.result, Failure):
            table.add_row(reply.address, "-", "-", "-", "no answer", *"-----")
            continue
        status = reply.result.unwrap()
        up = sum(link.state == "up" for link in status.links)
        table.add_row(
            reply.address,
            status.host,
            status.role,
            status.failure_domain,
            status.state,
            status.ticket_text,
            status.state_digest[:8] or "-",
            str(status.in_flight),
            f"{up}/{len(status.links)}",
            f"{status.uptime_s:.0f} s",
        )
    return table


def _host_table(statuses: list[Status], *, is_terminal: bool) -> Table:
    table = _table("seen_from backend_server state holds queued running", is_terminal=is_terminal)
    for status in statuses:
        for host in status.hosts:
            holds = ", ".join(host.variants) or "-"
            row = (host.name, host.state or "-", holds, str(host.queued), str(host.running))
            table.add_row(status.host, *row)
    return table
