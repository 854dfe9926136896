"""The plan of one run: which fault begins when, on which host and for how long."""

import random

from attrs import frozen

from wasabilb_standins.soak._faults import FAULTS, Fault

# Mean time between the beginnings of two faults; with faults of 1 to 6 s about two overlap.
MEAN_GAP_S = 1.6
# A fault that ends later than this before the end of the faults is cut short.
SHORTEST_S = 0.2


@frozen(kw_only=True)
class Step:
    """One fault.

    Parameters
    ----------
    at_s : float
        Beginning, seconds after the start of the plan.
    kind : str
        Name in `FAULTS`.
    host : str
        Host that it concerns; empty for one of the whole platform.
    lasts_s : float
        Seconds until it is taken back.
    """

    at_s: float
    kind: str
    host: str
    lasts_s: float

    def to_line(self) -> str:
        """Return the step as a line of a report."""
        host = self.host or "platform"
        return f"{self.at_s:6.2f} s  {self.kind:<16} {host:<12} {self.lasts_s:.2f} s"


def draw_plan(*, seed: int, seconds: float, hosts: dict[str, str]) -> list[Step]:
    """Return the plan that a seed gives.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    seconds : float
        Time within which all faults begin and end.
    hosts : dict of str to str
        Role of each host by name: `entry`, `runner` or `service`.
    """
    rng = random.Random(seed)
    kinds = [FAULTS.create(name).unwrap() for name in FAULTS.names()]
    steps = []
    at_s = rng.uniform(0.0, MEAN_GAP_S)
    while at_s < seconds - SHORTEST_S:
        fault = rng.choices(kinds, weights=[kind.weight for kind in kinds])[0]
        lasts_s = min(rng.uniform(*fault.lasts_s), seconds - at_s)
        host = _draw_host(rng, fault, hosts)
        steps.append(
            Step(at_s=round(at_s, 2), kind=fault.name, host=host, lasts_s=round(lasts_s, 2))
        )
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return steps


def _draw_host(rng: random.Random, fault: Fault, hosts: dict[str, str]) -> str:
    names = sorted(name for name, role in hosts.items() if role in fault.roles)
    return rng.choice(names) if names else ""
