"""Plan of a run: kind, start, host and duration of each fault.

A plan that failed is stored as a text file, so that it can be run after the generator has changed.
"""

import random
from pathlib import Path

from attrs import field, frozen

from wasabilb_standins.soak._faults import FAULTS, Fault

# Mean time between the starts of two faults; with faults of 1 to 6 s about two overlap.
MEAN_GAP_S = 1.6
# No fault starts later than this before the end of a plan.
MIN_FAULT_S = 0.2
# Host of a step that affects the whole platform.
PLATFORM = "platform"


@frozen(kw_only=True)
class Step:
    """Fault in a plan.

    Parameters
    ----------
    start_s : float
        Start, in seconds after that of the plan.
    kind : str
        Name in `FAULTS`.
    host : str
        Affected host; empty for the whole platform.
    duration_s : float
        Duration, in seconds.
    """

    start_s: float
    kind: str
    host: str
    duration_s: float

    def to_line(self) -> str:
        """Return the step as a line of a plan."""
        return f"{self.start_s:.2f} {self.kind} {self.host or PLATFORM} {self.duration_s:.2f}"


@frozen(kw_only=True)
class Plan:
    """Faults of a run.

    Parameters
    ----------
    seed : int
        Seed of the traffic, and of the steps if they were drawn.
    seconds : float
        Time within which all faults start.
    cause : str
        Reason for storing the plan.
    """

    seed: int
    seconds: float
    steps: tuple[Step, ...]
    cause: str = field(default="")

    def to_text(self) -> str:
        """Return the plan as the text of a file."""
        head = [f"seed {self.seed}", f"seconds {self.seconds:.1f}", f"cause {self.cause}"]
        return "\n".join([*head, *(step.to_line() for step in self.steps)]) + "\n"


def read_plan(path: Path) -> Plan:
    """Return the plan in a file; an invalid line raises ValueError."""
    seed, seconds, cause, *lines = path.read_text(encoding="utf-8").splitlines()
    words = [line.split() for line in lines]
    return Plan(
        seed=int(seed.removeprefix("seed ")),
        seconds=float(seconds.removeprefix("seconds ")),
        cause=cause.removeprefix("cause").strip(),
        steps=tuple(
            Step(
                start_s=float(start_s),
                kind=kind,
                host="" if host == PLATFORM else host,
                duration_s=float(duration_s),
            )
            for start_s, kind, host, duration_s in words
        ),
    )


def draw_plan(*, seed: int, seconds: float, hosts: dict[str, str]) -> Plan:
    """Return the plan of a seed.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    seconds : float
        Time within which all faults start and end.
    hosts : dict of str to str
        Role of each host by name: `entry`, `runner` or `service`.
    """
    rng = random.Random(seed)
    kinds = [FAULTS.create(name).unwrap() for name in FAULTS.names()]
    steps = []
    start_s = rng.uniform(0.0, MEAN_GAP_S)
    while start_s < seconds - MIN_FAULT_S:
        fault = rng.choices(kinds, weights=[kind.weight for kind in kinds])[0]
        duration_s = min(rng.uniform(*fault.duration_range_s), seconds - start_s)
        host = _draw_host(rng, fault, hosts)
        steps.append(
            Step(
                start_s=round(start_s, 2),
                kind=fault.name,
                host=host,
                duration_s=round(duration_s, 2),
            )
        )
        start_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return Plan(seed=seed, seconds=seconds, steps=tuple(steps))


def _draw_host(rng: random.Random, fault: Fault, hosts: dict[str, str]) -> str:
    names = sorted(name for name, role in hosts.items() if role in fault.roles)
    return rng.choice(names) if names else ""
