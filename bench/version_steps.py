"""Which of several named versions to fetch and load: `python -m bench.version_steps --seed=1`.

Plays drawn cases with the decision before, with "newest always", "finish always", with the decision
of `wasabilb_core.version_steps` and with an oracle, and compares the worth that callers got and the
time in which no runner answered. The oracle takes for each case the best of all ways to go through
the versions and to spread the loads, which it can only know afterwards.
"""

import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations
from typing import Any

import fire
from attrs import define, frozen
from wasabilb_core.reload_waves import may_reload
from wasabilb_core.version_steps import (
    LINK_FACTOR,
    LoadSteps,
    StepInputs,
    VersionCandidate,
    plan_load_steps,
    version_to_load,
    versions_to_fetch,
)

from bench._model import report as show
from bench._version_model import (
    BOUND_S,
    COPY_S,
    DRAIN_S,
    FIRST,
    IDLE_LOAD_S,
    USED_S,
    Case,
    Host,
    World,
)

NAMINGS = ((0.0,), (0.0, 0.5), (0.0, 2.0), (0.0, 5.0), (0.0, 2.0, 4.0), (0.0, 0.5, 5.5))
# Time for a copy from an origin of 15 Mbit/s, as agents reckon it.
NOMINAL_COPY_S = 1.3 * COPY_S * 4.7 / 15
# Parts of the bound from which the oracle spreads the loads.
SPREADS = (0.0, 0.5, 0.65, 0.8, 0.89)
# The decision before: parts of the bound and shares of the chunks.
FINISH_FROM, FETCH_UNTIL, LOAD_UNTIL, NEARLY_WHOLE = 0.25, 0.45, 0.65, 0.8
WAVES, LATEST_ORDER_FRACTIONS = 3, (0.0, 0.70, 0.84)


def share(host: Host, version: int) -> float:
    return host.shares.get(version, 0.0)


def newer(world: World, host: Host) -> list[int]:
    return [version for version in world.numbers() if version > host.held]


def before_waves(world: World, host: Host) -> bool:
    """Return whether the waves before let a runner load now."""
    if world.outdated_s(host.held) >= LATEST_ORDER_FRACTIONS[host.rank % WAVES] * BOUND_S:
        return True
    wave = host.rank % WAVES
    ahead = [h for h in world.hosts if h.rank % WAVES < wave]
    newest = world.numbers()[-1]
    return all(world.listed.get(h.number, FIRST) >= newest for h in ahead)


@define
class Before:
    """The decision before: shares and parts of the bound."""

    def fetch(self, world: World, host: Host) -> int | None:
        known = newer(world, host)
        if not known:
            return None
        unfinished = [
            v
            for v in known[:-1]
            if FINISH_FROM <= share(host, v) < 1
            and world.outdated_s(v)
            < (LOAD_UNTIL if share(host, v) >= NEARLY_WHOLE else FETCH_UNTIL) * BOUND_S
        ]
        return unfinished[-1] if unfinished else known[-1]

    def load(self, world: World, host: Host) -> int | None:
        ready = [
            v
            for v in newer(world, host)
            if share(host, v) >= 1 and world.outdated_s(v) < LOAD_UNTIL * BOUND_S
        ]
        return max(ready) if ready and before_waves(world, host) else None


@define
class Newest(Before):
    """Always the newest version."""

    def fetch(self, world: World, host: Host) -> int | None:
        return max(newer(world, host), default=None)


@define
class Finish(Before):
    """Each version is finished before the next is begun."""

    def fetch(self, world: World, host: Host) -> int | None:
        unfinished = [v for v in newer(world, host) if share(host, v) < 1]
        return min(unfinished, default=None)


@frozen(kw_only=True)
class Script:
    """A way that is fixed beforehand, for the oracle.

    Parameters
    ----------
    skipped : frozenset of int
        Versions that are neither fetched nor loaded.
    seeds_first : bool
        Whether the newest version is fetched while its origin answers, before an older one.
    spread_from : float
        Part of the bound from which loads are spread evenly up to its end.
    """

    skipped: frozenset[int]
    seeds_first: bool
    spread_from: float

    def _known(self, world: World, host: Host) -> list[int]:
        return [v for v in newer(world, host) if v not in self.skipped]

    def fetch(self, world: World, host: Host) -> int | None:
        unfinished = [v for v in self._known(world, host) if share(host, v) < 1]
        if not unfinished:
            return None
        newest = unfinished[-1]
        is_leaving = not world.is_origin_away() and world.in_fleet(host, newest) < 1
        return newest if self.seeds_first and is_leaving else unfinished[0]

    def load(self, world: World, host: Host) -> int | None:
        ready = [v for v in self._known(world, host) if share(host, v) >= 1]
        first = self.spread_from * BOUND_S
        place = host.rank / max(1, len(world.hosts) - 1)
        at = first + place * (USED_S - first)
        return max(ready) if ready and world.outdated_s(host.held) >= at else None


@define
class Planned:
    """The decision of `wasabilb_core`."""

    def _versions(self, world: World, host: Host) -> list[VersionCandidate]:
        return [
            VersionCandidate(
                number=v,
                share=share(host, v),
                is_ready=share(host, v) >= 1,
                outdated_s=world.outdated_s(v),
                reachable_share=max(share(host, v), self._left_origin(world, host, v)),
            )
            for v in newer(world, host)
        ]

    def _left_origin(self, world: World, host: Host, version: int) -> float:
        """Return what an agent reckons, which knows the nominal rate of the origin's link."""
        if not share(host, version):
            host.begun.pop(version, None)
            return 0.0
        since = host.begun.setdefault(version, world.now)
        return min(1.0, world.origin.answering_s(since, world.now) / NOMINAL_COPY_S)

    def _step_inputs(self, world: World) -> StepInputs:
        utilization = world.case.utilization
        return StepInputs(
            usable_s=USED_S,
            copy_s=LINK_FACTOR * COPY_S,
            load_s=IDLE_LOAD_S + utilization * sum(DRAIN_S) / 2,
            idle_load_s=IDLE_LOAD_S,
            utilization=utilization,
            away_s=world.origin.away_s(world.now),
            is_seeded=world.case.is_seeded,
        )

    def _steps(
        self, world: World, host: Host
    ) -> tuple[list[VersionCandidate], StepInputs, LoadSteps | None]:
        inputs, versions = self._step_inputs(world), self._versions(world, host)
        held_outdated_s = world.outdated_s(host.held)
        steps = plan_load_steps(versions, held_outdated_s=held_outdated_s, inputs=inputs)
        return versions, inputs, steps

    def fetch(self, world: World, host: Host) -> set[int]:
        versions, inputs, steps = self._steps(world, host)
        return versions_to_fetch(versions, steps, inputs) if steps else set()

    def load(self, world: World, host: Host) -> int | None:
        versions, _, steps = self._steps(world, host)
        number = version_to_load(versions, steps) if steps else None
        if number is None:
            return None
        is_turn = may_reload(
            name=host.name,
            members=world.members(host),
            version=number,
            named_s=world.outdated_s(host.held),
            bound_s=BOUND_S,
        )
        return number if is_turn else None


def drawn_cases(count: int, seed: int, hosts: int) -> Iterator[Case]:
    """Return drawn cases; half with chunks of the newest version beside those that are fetched."""
    rng = random.Random(seed)
    for n in range(count):
        named = NAMINGS[n % len(NAMINGS)]
        after = rng.choice((None, 0.0, 0.4, 2.0))
        off = named[-1] + after if after is not None else 0.0
        cut_at = rng.uniform(0.0, 8.0)
        yield Case(
            name=" ".join(f"{at:g}" for at in named),
            hosts=hosts,
            named=named,
            away=(off, off + rng.uniform(2, 10)) if after is not None else None,
            cut=(cut_at, cut_at + rng.uniform(3, 6)) if rng.random() < 0.2 else None,
            utilization=rng.uniform(0.5, 1.0),
            origin_copy_s=COPY_S * 4.7 / rng.uniform(9, 15),
            is_seeded=rng.random() < 0.5,
            seed=rng.randrange(1 << 30),
        )


def oracle(case: Case) -> World:
    """Return the best play of a case, with all its faults known and no chunks dropped."""
    middle = [FIRST + 1 + n for n in range(len(case.named) - 1)]
    skips = [
        frozenset(chosen)
        for size in range(len(middle) + 1)
        for chosen in combinations(middle, size)
    ]
    worlds = (
        World(case, Script(skipped=skipped, seeds_first=first, spread_from=part), keeps=True).play()
        for skipped in skips
        for first in ((True, False) if middle else (True,))
        for part in SPREADS
    )
    return max(worlds, key=lambda world: world.worth)


WAYS = {"before": Before, "newest": Newest, "finish": Finish, "planned": Planned}


def play(case: Case) -> dict[str, World]:
    """Return each way's play of one case, without what only the play needs."""
    found = {name: World(case, make()).play() for name, make in WAYS.items()}
    found["told"] = World(case, Planned(), has_return_time=True).play()
    ways = [found[name] for name in WAYS]
    found["oracle"] = max([oracle(case), *ways], key=lambda world: world.worth)
    return found


def figures(case: Case) -> dict[str, tuple[float, float, float]]:
    """Return worth kept, seconds in which no runner answered and loads of a runner, by way."""
    return {
        name: (world.worth / world.owed, world.idle_s, world.loads / case.hosts)
        for name, world in play(case).items()
    }


def rows_of(cases: list[Case], found: list[dict[str, tuple[float, float, float]]]) -> list[Any]:
    """Return a row for each way."""
    rows = []
    for way in found[0]:
        kept = [one[way][0] for one in found]
        best = [one["oracle"][0] for one in found]
        gains = [one[way][0] - one["before"][0] for one in found]
        row: dict[str, Any] = {
            "way": way,
            "worth": sum(kept) / len(kept),
            "no service, s": sum(one[way][1] for one in found) / len(found),
            "loads": sum(one[way][2] for one in found) / len(found),
            "within 5 %": sum(a >= 0.95 * b for a, b in zip(kept, best, strict=True)) / len(kept),
            "below before": sum(gain < -0.005 for gain in gains),
            "worst": min(gains),
        }
        for name in dict.fromkeys(case.name for case in cases):
            part = [k for k, case in zip(kept, cases, strict=True) if case.name == name]
            row[f"named {name}"] = sum(part) / len(part)
        rows.append(row)
    return rows


def main(seed: int = 1, count: int = 120, hosts: int = 9, workers: int = 2) -> None:
    """Play drawn cases and print a row for each way; "told" is "planned" with times of return."""
    cases = list(drawn_cases(count, seed, hosts))
    with ProcessPoolExecutor(workers) as pool:
        found = list(pool.map(figures, cases))
    settings = {"seed": seed, "count": count, "hosts": hosts}
    show(f"version_steps_{hosts}", settings, rows_of(cases, found))


if __name__ == "__main__":
    fire.Fire(main)
