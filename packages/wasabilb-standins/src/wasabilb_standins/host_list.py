"""Stand-in for the platform's list of live and leaving hosts, which lags."""

import time
from typing import Any

import attrs
from attrs import field, frozen
from attrs.validators import in_, instance_of
from tornado.web import Finish

from wasabilb_standins.base import STANDINS, ErrorAnswer, Handler, Standin
from wasabilb_standins.restorable import EraHandler, Restore, RestoreHandler, play_restore

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


@frozen(kw_only=True)
class ListedState:
    """State of a host and the era in which it was written."""

    state: str
    era: int


@frozen(kw_only=True)
class HostChange:
    """The states of all hosts after a change at a monotonic time in seconds."""

    at: float
    hosts: dict[str, ListedState] = field(factory=dict)


@STANDINS.register("host_list")
class HostList(Standin[HostListSettings, HostListFaults]):
    """Host list; tests call `set_hosts` and `play_restore`."""

    settings_type = HostListSettings
    faults_type = HostListFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._changes = [HostChange(at=time.monotonic())]
        self.era = 0
        self.reads = 0

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return the list's paths."""
        return [(r"/v1/hosts", HostsHandler), (r"/set", SetHandler), (r"/restore", RestoreHandler)]

    def set_hosts(self, changes: dict[str, str]) -> None:
        """Change the states of some hosts, by name."""
        wrong = sorted(set(changes.values()) - set(STATES))
        if wrong:
            raise ValueError(f"unknown state {wrong[0]!r}, expected one of {', '.join(STATES)}")
        written = {name: ListedState(state=state, era=self.era) for name, state in changes.items()}
        hosts = {**self._changes[-1].hosts, **written}
        self._changes.append(HostChange(at=time.monotonic(), hosts=hosts))

    def restore(self, copied_at: float) -> list[tuple[str, str]]:
        """Return to the copy of a moment in a new era; return name and state of lost entries."""
        before = self._changes[-1].hosts
        # The empty list stands before all changes.
        self._changes = [
            self._changes[0],
            *(change for change in self._changes[1:] if change.at <= copied_at),
        ]
        self.era += 1
        copied = self._changes[-1].hosts
        return [(name, h.state) for name, h in sorted(before.items()) if copied.get(name) != h]

    async def play_restore(self, restore: Restore) -> None:
        """Play an absence, the return from the copy and the hosts that register again."""
        copied_at = time.monotonic() - restore.copy_age_s
        await play_restore(
            self,
            restore,
            restore_copy=lambda: self.restore(copied_at),
            write=lambda lost: self.set_hosts(dict([lost])),
        )

    def shown_list(self) -> dict[str, Any]:
        """Return the answer to `/v1/hosts`; `as_of` is the number of the latest shown change."""
        limit = time.monotonic() - self.settings.lag_s
        number = max((n for n, change in enumerate(self._changes) if change.at <= limit), default=0)
        hosts = self._changes[number].hosts
        return {
            "era": self.era,
            "as_of": number,
            "hosts": [{"name": name, **attrs.asdict(h)} for name, h in sorted(hosts.items())],
        }

    def record(self) -> dict[str, Any]:
        """Return the number of reads and the current states."""
        return {
            "reads": self.reads,
            "hosts": {n: h.state for n, h in self._changes[-1].hosts.items()},
        }


class HostsHandler(EraHandler):
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
