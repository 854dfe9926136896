"""Stand-in for the platform's list of live and leaving hosts, which lags."""

import time
from typing import Any

from attrs import field, frozen
from attrs.validators import in_, instance_of
from tornado.web import Finish

from wasabilb_standins.base import STANDINS, ErrorAnswer, Handler, Standin

STATES = ("live", "leaving", "gone")


@frozen(kw_only=True)
class HostListSettings:
    """Behaviour of the list without faults.

    Parameters
    ----------
    lag_s : float
        Delay until a change is shown.
    """

    lag_s: float = 0.0


@frozen(kw_only=True)
class HostListFaults:
    """Faults of the list.

    Parameters
    ----------
    down : str
        `503` answers with this status, `drop` closes the connection; `stop()` refuses connections.
    stall : bool
        Send nothing.
    """

    down: str = field(default="", converter=str, validator=in_(("", "503", "drop")))
    stall: bool = field(default=False, validator=instance_of(bool))


@STANDINS.register("host_list")
class HostList(Standin[HostListSettings, HostListFaults]):
    """Host list; tests call `set_hosts`."""

    settings_type = HostListSettings
    faults_type = HostListFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._states: list[tuple[float, dict[str, str]]] = [(time.monotonic(), {})]
        self.reads = 0

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return the list's paths."""
        return [(r"/v1/hosts", HostsHandler), (r"/set", SetHandler)]

    def set_hosts(self, changes: dict[str, str]) -> None:
        """Change the states of some hosts, by name."""
        wrong = sorted(set(changes.values()) - set(STATES))
        if wrong:
            raise ValueError(f"unknown state {wrong[0]!r}, expected one of {', '.join(STATES)}")
        self._states.append((time.monotonic(), {**self._states[-1][1], **changes}))

    def shown_list(self) -> dict[str, Any]:
        """Return the answer to `/v1/hosts`; `as_of` is the number of the latest shown change."""
        limit = time.monotonic() - self.settings.lag_s
        number = max((n for n, (at, _) in enumerate(self._states) if at <= limit), default=0)
        hosts = self._states[number][1]
        return {
            "as_of": number,
            "hosts": [{"name": name, "state": state} for name, state in sorted(hosts.items())],
        }

    def record(self) -> dict[str, Any]:
        """Return the number of reads and the current states."""
        return {"reads": self.reads, "hosts": self._states[-1][1]}


class HostsHandler(Handler):
    """`GET /v1/hosts`."""

    standin: HostList

    async def get(self) -> None:
        """Return the lagging list."""
        if self.standin.faults.down == "503":
            raise ErrorAnswer(503, "the list is down")
        if self.standin.faults.down == "drop":
            self.cut()
            raise Finish()
        self.standin.reads += 1
        self.write(self.standin.shown_list())


class SetHandler(Handler):
    """`POST /set` with `{"hosts": [{"name", "state"}]}`, for tests."""

    is_control = True
    standin: HostList

    async def post(self) -> None:
        """Change the named hosts."""
        try:
            hosts = self.json_body()["hosts"]
            self.standin.set_hosts({host["name"]: host["state"] for host in hosts})
        except (KeyError, TypeError, ValueError) as exc:
            raise ErrorAnswer(400, f"wrong hosts: {exc}") from None
        self.write(self.standin.record())
