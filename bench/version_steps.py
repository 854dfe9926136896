"""Choice among several named versions: `python -m bench.version_steps --seed=1`.

Simulates random cases with the previous policy, with "newest always", with "finish always", with
the policy of `wasabilb_core.version_steps` and with an oracle, and compares the worth for callers
and the time without a usable runner. The oracle takes, for each case, the best of all orders of
versions and spreads of loads, which is known only afterwards.
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

from bench._fleet_model import write_report
from bench._version_model import (
    BOUND_S,
    COPY_S,
    DRAIN_RANGE_S,
    FIRST_VERSION,
    IDLE_LOAD_S,
    USABLE_S,
    Case,
    Host,
    VersionSimulation,
)

NAMING_TIMES_S = ((0.0,), (0.0, 0.5), (0.0, 2.0), (0.0, 5.0), (0.0, 2.0, 4.0), (0.0, 0.5, 5.5))
# Time of a copy from an origin of 15 Mbit/s, as agents estimate it.
NOMINAL_COPY_S = 1.3 * COPY_S * 4.7 / 15
# Fractions of the bound from which the oracle spreads the loads.
SPREAD_FRACTIONS = (0.0, 0.5, 0.65, 0.8, 0.89)
# Previous policy: fractions of the bound and shares of the chunks.
MIN_FINISH, MAX_FETCH, MAX_LOAD, NEARLY_COMPLETE = 0.25, 0.45, 0.65, 0.8
WAVES, LATEST_ORDER_FRACTIONS = 3, (0.0, 0.70, 0.84)


def share(host: Host, version: int) -> float:
    return host.shares.get(version, 0.0)


def newer_versions(sim: VersionSimulation, host: Host) -> list[int]:
    return [version for version in sim.named_versions() if version > host.loaded_version]


def may_load_in_waves(sim: VersionSimulation, host: Host) -> bool:
    """Return whether the previous wave rule lets a runner load now."""
    if sim.outdated_s(host.loaded_version) >= LATEST_ORDER_FRACTIONS[host.rank % WAVES] * BOUND_S:
        return True
    wave = host.rank % WAVES
    earlier_hosts = [h for h in sim.hosts if h.rank % WAVES < wave]
    newest = sim.named_versions()[-1]
    return all(sim.listed_versions.get(h.number, FIRST_VERSION) >= newest for h in earlier_hosts)


@define
class PreviousPolicy:
    """Previous policy, based on shares of chunks and fractions of the bound."""

    def choose_fetch(self, sim: VersionSimulation, host: Host) -> int | None:
        versions = newer_versions(sim, host)
        if not versions:
            return None
        unfinished = [
            v
            for v in versions[:-1]
            if MIN_FINISH <= share(host, v) < 1
            and sim.outdated_s(v)
            < (MAX_LOAD if share(host, v) >= NEARLY_COMPLETE else MAX_FETCH) * BOUND_S
        ]
        return unfinished[-1] if unfinished else versions[-1]

    def choose_load(self, sim: VersionSimulation, host: Host) -> int | None:
        ready = [
            v
            for v in newer_versions(sim, host)
            if share(host, v) >= 1 and sim.outdated_s(v) < MAX_LOAD * BOUND_S
        ]
        return max(ready) if ready and may_load_in_waves(sim, host) else None


@define
class NewestPolicy(PreviousPolicy):
    """Policy that always fetches the newest version."""

    def choose_fetch(self, sim: VersionSimulation, host: Host) -> int | None:
        return max(newer_versions(sim, host), default=None)


@define
class FinishPolicy(PreviousPolicy):
    """Policy that completes each version before it starts the next."""

    def choose_fetch(self, sim: VersionSimulation, host: Host) -> int | None:
        unfinished = [v for v in newer_versions(sim, host) if share(host, v) < 1]
        return min(unfinished, default=None)


@frozen(kw_only=True)
class OraclePolicy:
    """Fixed plan, one candidate of the oracle.

    Parameters
    ----------
    skipped : frozenset of int
        Versions that are neither fetched nor loaded.
    fetches_newest_first : bool
        Whether the newest version is fetched before an older one while the origin answers.
    spread_start : float
        Fraction of the bound from which loads are spread evenly up to its end.
    """

    skipped: frozenset[int]
    fetches_newest_first: bool
    spread_start: float

    def _newer_versions(self, sim: VersionSimulation, host: Host) -> list[int]:
        return [v for v in newer_versions(sim, host) if v not in self.skipped]

    def choose_fetch(self, sim: VersionSimulation, host: Host) -> int | None:
        unfinished = [v for v in self._newer_versions(sim, host) if share(host, v) < 1]
        if not unfinished:
            return None
        newest = unfinished[-1]
        is_leaving = not sim.is_origin_away() and sim.fleet_share(host, newest) < 1
        return newest if self.fetches_newest_first and is_leaving else unfinished[0]

    def choose_load(self, sim: VersionSimulation, host: Host) -> int | None:
        ready = [v for v in self._newer_versions(sim, host) if share(host, v) >= 1]
        first = self.spread_start * BOUND_S
        position = host.rank / max(1, len(sim.hosts) - 1)
        at = first + position * (USABLE_S - first)
        return max(ready) if ready and sim.outdated_s(host.loaded_version) >= at else None


@define
class PlannedPolicy:
    """Policy of `wasabilb_core.version_steps`."""

    def _versions(self, sim: VersionSimulation, host: Host) -> list[VersionCandidate]:
        return [
            VersionCandidate(
                number=v,
                share=share(host, v),
                is_ready=share(host, v) >= 1,
                outdated_s=sim.outdated_s(v),
                reachable_share=max(share(host, v), self._origin_share(sim, host, v)),
            )
            for v in newer_versions(sim, host)
        ]

    def _origin_share(self, sim: VersionSimulation, host: Host, version: int) -> float:
        """Return the share that an agent estimates from the nominal rate of the origin's link."""
        if not share(host, version):
            host.transfer_started_at.pop(version, None)
            return 0.0
        since = host.transfer_started_at.setdefault(version, sim.now)
        return min(1.0, sim.origin.answering_s(since, sim.now) / NOMINAL_COPY_S)

    def _step_inputs(self, sim: VersionSimulation) -> StepInputs:
        utilization = sim.case.utilization
        return StepInputs(
            usable_s=USABLE_S,
            copy_s=LINK_FACTOR * COPY_S,
            load_s=IDLE_LOAD_S + utilization * sum(DRAIN_RANGE_S) / 2,
            idle_load_s=IDLE_LOAD_S,
            utilization=utilization,
            away_s=sim.origin.away_s(sim.now),
            is_seeded=sim.case.is_seeded,
        )

    def _steps(
        self, sim: VersionSimulation, host: Host
    ) -> tuple[list[VersionCandidate], StepInputs, LoadSteps | None]:
        inputs, versions = self._step_inputs(sim), self._versions(sim, host)
        held_outdated_s = sim.outdated_s(host.loaded_version)
        steps = plan_load_steps(versions, held_outdated_s=held_outdated_s, inputs=inputs)
        return versions, inputs, steps

    def choose_fetch(self, sim: VersionSimulation, host: Host) -> set[int]:
        versions, inputs, steps = self._steps(sim, host)
        return versions_to_fetch(versions, steps, inputs) if steps else set()

    def choose_load(self, sim: VersionSimulation, host: Host) -> int | None:
        versions, _, steps = self._steps(sim, host)
        number = version_to_load(versions, steps) if steps else None
        if number is None:
            return None
        is_turn = may_reload(
            name=host.name,
            members=sim.members(host),
            version=number,
            named_s=sim.outdated_s(host.loaded_version),
            bound_s=BOUND_S,
        )
        return number if is_turn else None


def generate_cases(count: int, seed: int, hosts: int) -> Iterator[Case]:
    """Yield random cases; in half, hosts also hold chunks of the newest version as seeds."""
    rng = random.Random(seed)
    for n in range(count):
        named_at = NAMING_TIMES_S[n % len(NAMING_TIMES_S)]
        away_delay_s = rng.choice((None, 0.0, 0.4, 2.0))
        away_at = named_at[-1] + away_delay_s if away_delay_s is not None else 0.0
        partition_at = rng.uniform(0.0, 8.0)
        yield Case(
            name=" ".join(f"{at:g}" for at in named_at),
            hosts=hosts,
            named_at=named_at,
            origin_away=(
                (away_at, away_at + rng.uniform(2, 10)) if away_delay_s is not None else None
            ),
            partition=(
                (partition_at, partition_at + rng.uniform(3, 6)) if rng.random() < 0.2 else None
            ),
            utilization=rng.uniform(0.5, 1.0),
            origin_copy_s=COPY_S * 4.7 / rng.uniform(9, 15),
            is_seeded=rng.random() < 0.5,
            seed=rng.randrange(1 << 30),
        )


def run_oracle(case: Case) -> VersionSimulation:
    """Return the best run of a case, with all its faults known and no chunks dropped."""
    middle_versions = [FIRST_VERSION + 1 + n for n in range(len(case.named_at) - 1)]
    skip_sets = [
        frozenset(chosen)
        for size in range(len(middle_versions) + 1)
        for chosen in combinations(middle_versions, size)
    ]
    sims = (
        VersionSimulation(
            case,
            OraclePolicy(
                skipped=skipped, fetches_newest_first=is_newest_first, spread_start=spread_start
            ),
            keeps_chunks=True,
        ).run()
        for skipped in skip_sets
        for is_newest_first in ((True, False) if middle_versions else (True,))
        for spread_start in SPREAD_FRACTIONS
    )
    return max(sims, key=lambda sim: sim.worth)


POLICIES = {
    "before": PreviousPolicy,
    "newest": NewestPolicy,
    "finish": FinishPolicy,
    "planned": PlannedPolicy,
}


def run_policies(case: Case) -> dict[str, VersionSimulation]:
    """Return the run of one case with each policy and with the oracle."""
    results = {name: VersionSimulation(case, make()).run() for name, make in POLICIES.items()}
    results["told"] = VersionSimulation(case, PlannedPolicy(), has_return_time=True).run()
    runs = [results[name] for name in POLICIES]
    results["oracle"] = max([run_oracle(case), *runs], key=lambda sim: sim.worth)
    return results


def figures(case: Case) -> dict[str, tuple[float, float, float]]:
    """Return the share of worth, the idle seconds and the loads per runner, by policy."""
    return {
        name: (sim.worth / sim.demand, sim.idle_s, sim.loads / case.hosts)
        for name, sim in run_policies(case).items()
    }


def to_rows(cases: list[Case], results: list[dict[str, tuple[float, float, float]]]) -> list[Any]:
    """Return a row for each policy."""
    rows = []
    for policy in results[0]:
        worths = [case_figures[policy][0] for case_figures in results]
        oracle_worths = [case_figures["oracle"][0] for case_figures in results]
        gains = [case_figures[policy][0] - case_figures["before"][0] for case_figures in results]
        row: dict[str, Any] = {
            "way": policy,
            "worth": sum(worths) / len(worths),
            "no service, s": sum(case_figures[policy][1] for case_figures in results)
            / len(results),
            "loads": sum(case_figures[policy][2] for case_figures in results) / len(results),
            "within 5 %": sum(a >= 0.95 * b for a, b in zip(worths, oracle_worths, strict=True))
            / len(worths),
            "below before": sum(gain < -0.005 for gain in gains),
            "worst": min(gains),
        }
        for name in dict.fromkeys(case.name for case in cases):
            case_worths = [k for k, case in zip(worths, cases, strict=True) if case.name == name]
            row[f"named {name}"] = sum(case_worths) / len(case_worths)
        rows.append(row)
    return rows


def main(seed: int = 1, count: int = 120, hosts: int = 9, workers: int = 2) -> None:
    """Simulate random cases and print a row per policy; "told" is "planned" with return times."""
    cases = list(generate_cases(count, seed, hosts))
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(figures, cases))
    settings = {"seed": seed, "count": count, "hosts": hosts}
    write_report(f"version_steps_{hosts}", settings, to_rows(cases, results))


if __name__ == "__main__":
    fire.Fire(main)
