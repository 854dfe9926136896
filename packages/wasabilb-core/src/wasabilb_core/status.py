"""The `/status` document, for the processes that write it and the commands that read it."""

import json

import cattrs
from attrs import field, frozen
from returns.result import Failure, Result, Success


@frozen(kw_only=True)
class HostStatus:
    """State of one backend server, as known to a process.

    Parameters
    ----------
    name : str
        Name of the host.
    state : str
        `live`, `leaving`, `silent` or `gone`, as known to this process.
    variants : list of str
        Confirmed variants, `MODEL[+ADAPTER]@VERSION`.
    queued, running : int
        Calls in the host's run queue and in its engine.
    """

    name: str
    state: str = ""
    variants: list[str] = field(factory=list)
    queued: int = 0
    running: int = 0


@frozen(kw_only=True)
class LinkStatus:
    """One link.

    Parameters
    ----------
    peer : str
        Host at the other end.
    state : str
        `up`, `connecting` or `down`.
    silent_s : float
        Time since the last data received on it, seconds.
    """

    peer: str
    state: str = ""
    silent_s: float = 0.0


@frozen(kw_only=True)
class Status:
    """The state of one process, without secrets.

    Parameters
    ----------
    host, region, failure_domain : str
        Location of the process.
    role : str
        `entry` or `agent`.
    incarnation : str
        Incarnation of the process, hex.
    state : str
        `starting`, `ready` or `draining`.
    newest_ticket : int
        Number of the newest accepted ticket.
    newest_era : int
        Era of the configuration service in which that ticket was published.
    state_digest : str
        Digest of the fleet state in hex; equal on hosts with equal state.
    uptime_s : float
        Time since the start of the process, seconds.
    in_flight : int
        Requests in progress.
    hosts : list of HostStatus
        Known backend servers.
    links : list of LinkStatus
        Links of the process.
    """

    host: str
    role: str = ""
    region: str = ""
    failure_domain: str = ""
    incarnation: str = ""
    state: str = ""
    newest_ticket: int = 0
    newest_era: int = 0
    state_digest: str = ""
    uptime_s: float = 0.0
    in_flight: int = 0
    hosts: list[HostStatus] = field(factory=list)
    links: list[LinkStatus] = field(factory=list)

    @property
    def ticket_text(self) -> str:
        """Return the newest ticket as operators read it."""
        era = f" of era {self.newest_era}" if self.newest_era else ""
        return f"{self.newest_ticket}{era}"


def to_status_json(status: Status) -> str:
    """Return the document as JSON text."""
    return json.dumps(cattrs.unstructure(status))


def parse_status(text: str) -> Result[Status, str]:
    """Parse the document; keys of a newer release are ignored."""
    try:
        return Success(cattrs.structure(json.loads(text), Status))
    except (ValueError, RecursionError) as exc:
        return Failure(f"expected a JSON status document: {exc}")
    except Exception as exc:
        # cattrs raises groups of exceptions of any type for wrong content.
        return Failure(f"expected a status document: {exc}")
