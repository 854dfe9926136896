"""Share of at-most-once calls with a definite answer, by kind of key and fault.

One service with five owners and ten entry hosts in two failure domains runs the real core under a
virtual clock for 15 minutes, with one fault after 5 minutes. A caller that gets the answer
"unknown" repeats the call with the same key every 2 s for 30 s. Prints JSON.
"""

import argparse
import json
import math
import random

from attrs import define, field
from wasabilb_core import once
from wasabilb_core.ownership import RELEASE_LIFETIME_S, RENEW_S, Generation, OnceOwnership, owner_of

EPOCH = 1_700_000_000.0
HOSTS = tuple(f"h{n}" for n in range(5))
REMOTE_HOSTS = frozenset({"h3", "h4"})
REMOTE_ENTRIES = range(6, 10)
ENTRY_COUNT = 10
DURATION_S, EVENT_AT_S, TICK_S = 900.0, 300.0, 0.1
DOWN_S, PARTITION_S, TICKET_SPREAD_S, CALL_DURATION_S = 30.0, 300.0, 7.0, 0.5
REPEAT_INTERVAL_S, MAX_REPEATS = 2.0, 15
OPAQUE_KEY_WINDOW_S = 60.0
EVENTS = ("none", "restart", "move", "partition")
FIRST_GENERATION = Generation(number=1, owners=HOSTS[:4], opaque_key_window_s=OPAQUE_KEY_WINDOW_S)
MOVED_GENERATION = Generation(
    number=2, owners=HOSTS[1:], retired=HOSTS[:1], opaque_key_window_s=OPAQUE_KEY_WINDOW_S
)


@define(kw_only=True)
class Agent:
    """One agent incarnation."""

    incarnation: int
    ownership: OnceOwnership
    ledger: once.Ledger
    running: list[tuple[float, "Call"]] = field(factory=list)


@define(kw_only=True, eq=False)
class Call:
    """One call; `outcome` is the result of its last attempt."""

    key: once.Key
    fingerprint: once.Fingerprint
    attempt_count: int = 0
    first_outcome: str = ""
    outcome: str = "unknown"


class OnceSimulation:
    """Simulation of one kind of key, one fault and one lifetime of releases."""

    def __init__(self, *, key_kind: str, event: str, release_lifetime_s: float, seed: int) -> None:
        self._key_kind, self._event, self._release_lifetime_s = key_kind, event, release_lifetime_s
        self._rng = random.Random(seed)
        self._agents: dict[str, Agent] = {}
        self._entry_generations = [1] * ENTRY_COUNT
        self._calls: list[Call] = []
        self._repeats: list[tuple[float, Call]] = []
        # The ticket reaches the processes at different times within the target of 7 s.
        names = [*HOSTS, *range(ENTRY_COUNT)]
        self._ticket_arrivals = {
            name: EVENT_AT_S + self._rng.uniform(0, TICKET_SPREAD_S) for name in names
        }
        for host in HOSTS:
            self._start_agent(host, 1, -600.0)

    def run(self) -> dict[str, float]:
        """Return the shares of calls with a definite answer, first and after repeats."""
        for tick in range(int(DURATION_S / TICK_S)):
            now = tick * TICK_S
            self._inject_event(now)
            if tick % round(RENEW_S / TICK_S) == 0:
                self._renew_releases(now)
            self._finish_calls(now)
            due = [call for at, call in self._repeats if at <= now]
            self._repeats = [item for item in self._repeats if item[0] > now]
            if now < DURATION_S - REPEAT_INTERVAL_S * MAX_REPEATS - 1:
                due.append(self._new_call(now))
            for call in due:
                self._attempt(call, now)
        count = len(self._calls)
        first = sum(call.first_outcome != "unknown" for call in self._calls)
        last = sum(call.outcome != "unknown" for call in self._calls)
        return {
            "calls": count,
            "definite_first": round(first / count, 5),
            "definite_last": round(last / count, 5),
            "unknown_first_call_seconds": round((count - first) * TICK_S, 1),
            "unknown_last_call_seconds": round((count - last) * TICK_S, 1),
        }

    def _start_agent(self, host: str, incarnation: int, now: float) -> None:
        ownership = OnceOwnership(
            service="s",
            host=host,
            incarnation=incarnation,
            started_now=now,
            release_lifetime_s=self._release_lifetime_s,
        )
        ownership.on_generation(FIRST_GENERATION, now)
        ledger = once.Ledger(
            service="s", host=host, incarnation=incarnation, claim_policy=ownership
        )
        self._agents[host] = Agent(incarnation=incarnation, ownership=ownership, ledger=ledger)

    def _inject_event(self, now: float) -> None:
        if self._event == "restart" and math.isclose(now, EVENT_AT_S):
            for _, call in self._agents.pop("h0").running:
                call.first_outcome = call.outcome = "unknown"
        if self._event == "restart" and math.isclose(now, EVENT_AT_S + DOWN_S):
            self._start_agent("h0", 2, now)
        if self._event != "move":
            return
        for name, at in self._ticket_arrivals.items():
            if isinstance(name, int) and now >= at:
                self._entry_generations[name] = 2
            elif isinstance(name, str) and now >= at:
                self._agents[name].ownership.on_generation(MOVED_GENERATION, now)

    def _renew_releases(self, now: float) -> None:
        for host, agent in self._agents.items():
            for owner, release_request in agent.ownership.release_requests(now):
                other = self._agents.get(owner)
                if other is None or not self._is_reachable(host in REMOTE_HOSTS, owner, now):
                    continue
                answer = other.ownership.on_release(release_request, other.ledger, now)
                if answer is not None:
                    agent.ownership.on_released(answer, agent.ledger, now, EPOCH + now)

    def _is_reachable(self, is_remote: bool, host: str, now: float) -> bool:
        is_partitioned = self._event == "partition" and EVENT_AT_S <= now < EVENT_AT_S + PARTITION_S
        return not is_partitioned or is_remote == (host in REMOTE_HOSTS)

    def _new_call(self, now: float) -> Call:
        text = f"k{len(self._calls)}"
        created = int((EPOCH + now) * 1000)
        key: once.Key = once.CallerKey(
            text=text, created_ms=created if self._key_kind == "timed" else None
        )
        fingerprint = once.fingerprint("POST", "/pay", b"", "account")
        call = Call(key=key, fingerprint=fingerprint)
        self._calls.append(call)
        return call

    def _attempt(self, call: Call, now: float) -> None:
        entry = self._rng.randrange(ENTRY_COUNT)
        if self._key_kind == "issued" and call.attempt_count == 0:
            hosts = [h for h in self._agents if self._is_reachable(entry in REMOTE_ENTRIES, h, now)]
            host = self._rng.choice(hosts)
            call.key = once.issue_key(
                "s", host, self._agents[host].incarnation, int((EPOCH + now) * 1000), self._rng
            )
        generation = (FIRST_GENERATION, MOVED_GENERATION)[self._entry_generations[entry] - 1]
        owner = owner_of(call.key, generation) or ""
        agent = self._agents.get(owner)
        result = "unknown"
        if agent is not None and self._is_reachable(entry in REMOTE_ENTRIES, owner, now):
            result = self._claim(agent, call, generation.number, now)
        call.attempt_count += 1
        if call.attempt_count == 1:
            call.first_outcome = result
        call.outcome = result
        if result == "unknown" and call.attempt_count <= MAX_REPEATS:
            self._repeats.append((now + REPEAT_INTERVAL_S, call))

    def _claim(self, agent: Agent, call: Call, number: int, now: float) -> str:
        request = once.OnceRequest(
            key=call.key,
            fingerprint=call.fingerprint,
            generation=number,
            entry_wall=EPOCH + now,
            sent_after=now - 0.5,
        )
        result = agent.ledger.begin(request, now, EPOCH + now)
        if isinstance(result, once.Execute) and agent.ledger.start(call.key, call.fingerprint):
            agent.running.append((now + CALL_DURATION_S, call))
        return "unknown" if isinstance(result, once.Unknown) else "definite"

    def _finish_calls(self, now: float) -> None:
        for agent in self._agents.values():
            for at, call in agent.running:
                if at <= now:
                    agent.ledger.finish(call.key, call.fingerprint, b"ok")
            agent.running = [item for item in agent.running if item[0] > now]


def main() -> None:
    """Run every combination and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    results = []
    for event in EVENTS:
        for key_kind in ("issued", "timed", "opaque"):
            for release_lifetime_s in (RELEASE_LIFETIME_S, math.inf):
                if key_kind == "issued" and math.isinf(release_lifetime_s):
                    continue
                sim = OnceSimulation(
                    key_kind=key_kind, event=event, release_lifetime_s=release_lifetime_s, seed=seed
                )
                release = (
                    "permanent" if math.isinf(release_lifetime_s) else f"{release_lifetime_s:g} s"
                )
                results.append({"event": event, "key": key_kind, "release": release, **sim.run()})
    print(json.dumps({"seed": seed, "results": results}, indent=1))


if __name__ == "__main__":
    main()
