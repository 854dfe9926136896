"""A simulated fleet of runners that reload versions in waves."""

import math
import random

from wasabilb_core.reload_waves import WAVES, WaveMember, may_reload, share_in_service, waves_of
from wasabilb_core.version_steps import (
    StepInputs,
    VersionCandidate,
    plan_load_steps,
    version_to_load,
)

BOUND_S, USABLE_S, STEP_S = 8.0, 7.1, 0.1


class WaveFleet:
    """Runners whose weights arrive at random times and whose list is delayed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.names = [f"r{n}" for n in range(self.rng.choice((3, 5, 9, 17, 30)))]
        intervals_s = [
            self.rng.choice((0.5, 2.0, 5.0, 7.0)) for _ in range(self.rng.choice((0, 1, 2)))
        ]
        self.named_at = {2: 0.0}
        for gap in intervals_s:
            self.named_at[max(self.named_at) + 1] = max(self.named_at.values()) + gap
        arrival_range_s = self.rng.choice(((0.2, 0.8), (0.5, 6.5), (3.0, 6.5)))
        self.ready_at = {
            (name, version): at + self.rng.uniform(*arrival_range_s)
            for name in self.names
            for version, at in self.named_at.items()
        }
        self.list_lag_steps = round(self.rng.uniform(0.0, 2.0) / STEP_S)
        self.held = dict.fromkeys(self.names, 1)
        self.loading = {}
        self.listed_versions = []
        self.useless_loads, self.excess_orders = [], []

    def outdated_s(self, version, now):
        newer = [at for other, at in self.named_at.items() if other > version and at <= now]
        return now - min(newer) if newer else -math.inf

    def members(self, observer):
        shown = self.listed_versions[max(0, len(self.listed_versions) - 1 - self.list_lag_steps)]
        return {
            name: WaveMember(
                failure_domain=name[-1],
                version=self.held[name] if name == observer else shown[name],
                is_reloading=True,
            )
            for name in self.names
        }

    def run(self):
        for step in range(round((max(self.named_at.values()) + 3 * BOUND_S) / STEP_S)):
            now = step * STEP_S
            for name, (version, loaded_at) in list(self.loading.items()):
                if now >= loaded_at:
                    self.held[name] = version
                    del self.loading[name]
            self.listed_versions.append(
                {n: 0 if n in self.loading else self.held[n] for n in self.names}
            )
            for name in self.names:
                if name not in self.loading:
                    self.step(name, now)
        return self

    def step(self, name, now):
        versions = [
            VersionCandidate(
                number=version,
                share=min(1.0, max(0.0, (now - at) / (self.ready_at[name, version] - at))),
                is_ready=now >= self.ready_at[name, version],
                outdated_s=self.outdated_s(version, now),
            )
            for version, at in self.named_at.items()
            if at <= now and version > self.held[name]
        ]
        held_outdated_s = self.outdated_s(self.held[name], now)
        inputs = StepInputs(
            usable_s=USABLE_S, copy_s=5.2, load_s=1.8, utilization=self.rng.uniform(0.3, 1.0)
        )
        steps = plan_load_steps(versions, held_outdated_s=held_outdated_s, inputs=inputs)
        number = version_to_load(versions, steps) if steps is not None else None
        if number is None or not may_reload(
            name=name,
            members=self.members(name),
            version=number,
            named_s=held_outdated_s,
            bound_s=BOUND_S,
        ):
            return
        self.check_order(name, number, now, inputs)
        self.loading[name] = number, now + self.rng.uniform(0.6, 2.6)

    def check_order(self, name, number, now, inputs):
        """Record a load order that violates a property."""
        left_s = max(0.0, USABLE_S - self.outdated_s(self.held[name], now))
        load_time_s = inputs.load_s if left_s > 0 else inputs.idle_load_s
        service_s = USABLE_S - self.outdated_s(number, now) - max(left_s, load_time_s)
        if service_s < min(load_time_s, inputs.missed_s if left_s > 0 else inputs.idle_load_s):
            self.useless_loads.append((name, number, now, service_s))
        # Loading runners count with the version that they held when they were ordered.
        max_outdated_s = max(self.outdated_s(version, now) for version in self.held.values())
        largest_wave = max(
            list(waves_of(self.members(name)).values()).count(w) for w in range(WAVES)
        )
        kept_share = share_in_service(outdated_s=max_outdated_s, bound_s=BOUND_S)
        waves_loading = round(WAVES * (1 - kept_share))
        if len(self.loading) + 1 > waves_loading * largest_wave:
            self.excess_orders.append(
                (name, number, now, len(self.loading) + 1, waves_loading * largest_wave)
            )
