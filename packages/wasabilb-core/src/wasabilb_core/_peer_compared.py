"""Routing by expected wait, weighted by each host's speed relative to its peers."""

import bisect
import math
import random
import statistics

from attrs import define, field

from wasabilb_core._routing_base import ROUTING, RouteRequest, RoutingPolicy, RunnerView

# A batch that grows from empty to full changes the gap between tokens by less than this factor, so
# smaller ratios do not indicate a slow host.
SLOW_RATIO = 2.0
# Silence of this many median gaps counts as slowness before the late token arrives.
MAX_SILENT_GAPS = 3.0
# The event loop of a busy entry host lags by tens of milliseconds, several gaps of a fast engine.
# With a shorter limit, most runners lost their weight on real processes at 75 % load.
MIN_SILENCE_S = 0.25
# Time constants: weights drop within a few tokens and recover over about a second, so that one late
# token costs little and a recovered host does not receive all new requests at once.
FALL_TAU_S = 0.1
RISE_TAU_S = 0.5
MIN_WEIGHT = 0.02
# An engine emits a token for each stream of a batch at once. Comparing the host with its peers for
# each of them would cost more than the rest of the routing work for a token.
GAP_UPDATE_INTERVAL_S = 0.005
# A host below this weight receives only probes.
SLOWED_WEIGHT = 0.5
# Entry hosts probe independently; with 7 of them a slowed runner receives 3 to 4 probes a second.
PROBE_INTERVAL_S = 2.0
# Weights at or above this are rounded up to 1.0: the exponential rise never reaches it, and a host
# at 0.99 would receive nothing while another host is idle.
RESTORED_WEIGHT = 0.9
# Time constant for replacing a report by the mean. With reports of 2 s age, 7 entry hosts chose the
# same runner: p99 of short requests rose from 3.8 s to 6.4 s at 70 % load.
REPORT_DECAY_S = 0.1
EWMA_SAMPLES = 4.0
# First-byte times vary with prompts and queues, so they need a larger ratio than gaps.
MAX_FIRST_BYTE_RATIO = 3.0
# Three median first-byte times of an idle fleet are shorter than one wait in a run queue.
MIN_FIRST_BYTE_S = 0.5
# A comparison with 40 peers takes about 25 µs, too long for every token.
WEIGHT_INTERVAL_S = 0.1
SIGNAL_MAX_AGE_S = 3.0


@define(kw_only=True)
class HostSpeed:
    """Observations of one host by this entry host; times in seconds."""

    gap_s: float = 0.0
    first_byte_s: float = 0.0
    gap_at: float = -math.inf
    first_byte_at: float = -math.inf
    streaming: int = 0
    pending: list[float] = field(factory=list)
    weight: float = 1.0
    weight_at: float = -math.inf
    dropped_at: float = -math.inf
    probe_at: float = -math.inf


@ROUTING.register("peer_compared")
class PeerCompared(RoutingPolicy):
    """Chooses the least expected wait, with weights from first-byte times and token gaps.

    The comparison with the peers' median follows outlier ejection in Dean and Barroso, "The tail
    at scale", Communications of the ACM 56(2), 2013, with weights instead of ejection.
    """

    def __init__(self) -> None:
        self._speeds: dict[str, HostSpeed] = {}

    def on_sent(self, host: str, request: RouteRequest, now: float) -> None:
        """Record a request; on a slowed host it counts as a probe."""
        speed = self._speed_of(host)
        speed.probe_at = now
        speed.pending.append(now)

    def on_first_byte(self, host: str, waited_s: float, now: float) -> None:
        """Record the time to the first byte."""
        speed = self._speed_of(host)
        _remove_pending(speed.pending, now - waited_s)
        speed.first_byte_s = _ewma(speed.first_byte_s, waited_s, speed.first_byte_at)
        speed.first_byte_at = now
        speed.streaming += 1
        self._move_weight(host, now)

    def on_progress(self, host: str, gap_s: float, now: float) -> None:
        """Record the gap between two tokens of one stream."""
        speed = self._speed_of(host)
        speed.gap_s = _ewma(speed.gap_s, gap_s, speed.gap_at)
        speed.gap_at = now
        if now - speed.weight_at >= GAP_UPDATE_INTERVAL_S:
            self._move_weight(host, now)

    def on_done(self, host: str, ok: bool, now: float, *, waited_s: float | None = None) -> None:
        """Record the end of a request; a failure or a move away reduces the weight at once."""
        speed = self._speed_of(host)
        if waited_s is None:
            speed.streaming = max(0, speed.streaming - 1)
        else:
            _remove_pending(speed.pending, now - waited_s)
        if not ok:
            speed.weight = max(MIN_WEIGHT, speed.weight / 4)
            speed.weight_at = speed.dropped_at = now

    def slowdown(self, host: str, now: float) -> float:
        """Return the host's current slowdown relative to its peers."""
        speed = self._speeds.get(host)
        if speed is None:
            return 1.0
        first_ratio = self._first_byte_ratio(host, speed, now)
        median_s = self._peer_median(host, "gap_s", "gap_at", now)
        if median_s <= 0.0 or now - speed.gap_at > SIGNAL_MAX_AGE_S:
            return max(1.0, first_ratio)
        silent_s = now - max(speed.gap_at, speed.first_byte_at) if speed.streaming else 0.0
        if silent_s > max(MAX_SILENT_GAPS * median_s, MIN_SILENCE_S):
            return max(1.0, silent_s / median_s, speed.gap_s / median_s)
        return max(1.0, speed.gap_s / median_s, first_ratio if not speed.streaming else 1.0)

    def weight(self, host: str, now: float) -> float:
        """Return the host's weight between `MIN_WEIGHT` and 1.0."""
        self._move_weight(host, now)
        return self._speed_of(host).weight

    def expected_load(self, runner: RunnerView, mean_others: float, now: float) -> float:
        """Return the expected wait of a new request as load per slot, scaled by the weight.

        The load caused by other entry hosts is known only from delayed reports, so it converges to
        the fleet's mean as the report ages.
        """
        others = max(0, runner.reported_running + runner.reported_queued - runner.in_flight)
        report_weight = math.exp(-runner.report_age_s / REPORT_DECAY_S)
        load = runner.in_flight + mean_others + (others - mean_others) * report_weight
        return (load + 1.0) / runner.slots / self.weight(runner.host, now)

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        probe = self._due_probe(request, runners, now)
        if probe is not None:
            return probe
        return self._pick_least(runners, now, rng)

    def _pick_least(self, runners: list[RunnerView], now: float, rng: random.Random) -> RunnerView:
        loads = self._expected_loads(runners, now)
        return min(runners, key=lambda runner: (loads[runner.host], rng.random()))

    def _expected_loads(self, runners: list[RunnerView], now: float) -> dict[str, float]:
        mean_others = statistics.fmean(
            max(0, r.reported_running + r.reported_queued - r.in_flight) for r in runners
        )
        return {r.host: self.expected_load(r, mean_others, now) for r in runners}

    def _due_probe(
        self, request: RouteRequest, runners: list[RunnerView], now: float
    ) -> RunnerView | None:
        """Return a slowed host that is due for a probe; only short requests are probes."""
        if not request.is_short or len(runners) < 2:
            return None
        for runner in runners:
            speed = self._speeds.get(runner.host)
            if speed is None or runner.in_flight > 0 or now - speed.probe_at < PROBE_INTERVAL_S:
                continue
            # The weight needs a comparison with all peers, so it comes after the cheap checks.
            if self.weight(runner.host, now) < SLOWED_WEIGHT:
                return runner
        return None

    def _speed_of(self, host: str) -> HostSpeed:
        speed = self._speeds.get(host)
        if speed is None:
            speed = self._speeds[host] = HostSpeed()
        return speed

    def _peer_median(self, host: str, value: str, at: str, now: float) -> float:
        recent = [
            getattr(speed, value)
            for name, speed in self._speeds.items()
            if name != host and now - getattr(speed, at) <= SIGNAL_MAX_AGE_S
        ]
        return statistics.median(recent) if recent else 0.0

    def _first_byte_ratio(self, host: str, speed: HostSpeed, now: float) -> float:
        """Return the first-byte time, or the oldest pending wait, relative to the peers."""
        median_s = self._peer_median(host, "first_byte_s", "first_byte_at", now)
        if median_s <= 0.0:
            return 1.0
        waited_s = now - speed.pending[0] if speed.pending else 0.0
        if waited_s > max(MAX_FIRST_BYTE_RATIO * median_s, MIN_FIRST_BYTE_S):
            return waited_s / median_s
        if now - speed.first_byte_at > SIGNAL_MAX_AGE_S:
            return 1.0
        ratio = speed.first_byte_s / median_s
        is_late = ratio > MAX_FIRST_BYTE_RATIO and speed.first_byte_s > MIN_FIRST_BYTE_S
        return ratio if is_late else 1.0

    def _move_weight(self, host: str, now: float) -> None:
        """Move the weight towards the inverse of the slowdown, faster down than up."""
        speed = self._speed_of(host)
        if now - speed.weight_at < WEIGHT_INTERVAL_S:
            return
        ratio = self.slowdown(host, now)
        target = 1.0 if ratio < SLOW_RATIO else max(MIN_WEIGHT, 1.0 / ratio)
        elapsed = min(1.0, max(0.0, now - speed.weight_at))
        speed.weight_at = now
        if target < speed.weight:
            speed.dropped_at = now
        elif max(speed.gap_at, speed.first_byte_at) <= speed.dropped_at:
            # Without an observation since the drop, there is no evidence of a recovery.
            return
        step = 1.0 - math.exp(-elapsed / (FALL_TAU_S if target < speed.weight else RISE_TAU_S))
        speed.weight += (target - speed.weight) * step
        if target == 1.0 and speed.weight >= RESTORED_WEIGHT:
            speed.weight = 1.0


def _remove_pending(pending: list[float], sent_at: float) -> None:
    """Remove the pending request sent nearest to a time; requests have no identifier here."""
    if pending:
        nearest = bisect.bisect_left(pending, sent_at - 1e-6)
        del pending[min(nearest, len(pending) - 1)]


def _ewma(old: float, new: float, at: float) -> float:
    return new if at == -math.inf else old + (new - old) / EWMA_SAMPLES
