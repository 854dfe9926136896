"""Share of at-most-once calls that are answered definitely, by kind of key and disturbance.

One service with five owners and ten entry hosts in two failure domains runs the real core under a
virtual clock for 15 minutes, with one disturbance after 5 minutes. A caller that is told "unknown"
repeats with the same key every 2 s for 30 s. Prints JSON.
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
FAR = frozenset({"h3", "h4"})
FAR_ENTRIES = range(6, 10)
ENTRIES = 10
DURATION_S, EVENT_S, TICK_S = 900.0, 300.0, 0.1
DOWN_S, PARTITION_S, SPREAD_S, RUN_S = 30.0, 300.0, 7.0, 0.5
REPEAT_S, REPEATS = 2.0, 15
WINDOW_S = 60.0
EVENTS = ("none", "restart", "move", "partition")
FIRST = Generation(number=1, owners=HOSTS[:4], opaque_key_window_s=WINDOW_S)
MOVED = Generation(number=2, owners=HOSTS[1:], retired=HOSTS[:1], opaque_key_window_s=WINDOW_S)


@define(kw_only=True)
class Agent:
    """One agent incarnation."""

    incarnation: int
    ownership: OnceOwnership
    ledger: once.Ledger
    running: list[tuple[float, "Call"]] = field(factory=list)


@define(kw_only=True, eq=False)
class Call:
    """One call with its key; `outcome` is set by its last attempt."""

    key: once.Key
    mark: once.Fingerprint
    tries: int = 0
    first: str = ""
    outcome: str = "unknown"


class Bench:
    """One run with one kind of key, one disturbance and one lifetime of releases."""

    def __init__(self, *, kind: str, event: str, lifetime: float, seed: int) -> None:
        self._kind, self._event, self._lifetime = kind, event, lifetime
        self._rng = random.Random(seed)
        self._agents: dict[str, Agent] = {}
        self._numbers = [1] * ENTRIES
        self._calls: list[Call] = []
        self._repeats: list[tuple[float, Call]] = []
        # Processes see the ticket at different moments within the target of 7 s.
        names = [*HOSTS, *range(ENTRIES)]
        self._sees = {name: EVENT_S + self._rng.uniform(0, SPREAD_S) for name in names}
        for host in HOSTS:
            self._boot(host, 1, -600.0)

    def run(self) -> dict[str, float]:
        """Return the shares of calls answered definitely, first and after repeats."""
        for tick in range(int(DURATION_S / TICK_S)):
            now = tick * TICK_S
            self._disturb(now)
            if tick % round(RENEW_S / TICK_S) == 0:
                self._renew(now)
            self._finish(now)
            due = [call for at, call in self._repeats if at <= now]
            self._repeats = [item for item in self._repeats if item[0] > now]
            if now < DURATION_S - REPEAT_S * REPEATS - 1:
                due.append(self._new_call(now))
            for call in due:
                self._attempt(call, now)
        count = len(self._calls)
        first = sum(call.first != "unknown" for call in self._calls)
        last = sum(call.outcome != "unknown" for call in self._calls)
        return {
            "calls": count,
            "definite_first": round(first / count, 5),
            "definite_last": round(last / count, 5),
            "unknown_first_call_seconds": round((count - first) * TICK_S, 1),
            "unknown_last_call_seconds": round((count - last) * TICK_S, 1),
        }

    def _boot(self, host: str, incarnation: int, now: float) -> None:
        ownership = OnceOwnership(
            service="s",
            host=host,
            incarnation=incarnation,
            started_now=now,
            release_lifetime_s=self._lifetime,
        )
        ownership.on_generation(FIRST, now)
        ledger = once.Ledger(
            service="s", host=host, incarnation=incarnation, claim_policy=ownership
        )
        self._agents[host] = Agent(incarnation=incarnation, ownership=ownership, ledger=ledger)

    def _disturb(self, now: float) -> None:
        if self._event == "restart" and math.isclose(now, EVENT_S):
            for _, call in self._agents.pop("h0").running:
                call.first = call.outcome = "unknown"
        if self._event == "restart" and math.isclose(now, EVENT_S + DOWN_S):
            self._boot("h0", 2, now)
        if self._event != "move":
            return
        for name, at in self._sees.items():
            if isinstance(name, int) and now >= at:
                self._numbers[name] = 2
            elif isinstance(name, str) and now >= at:
                self._agents[name].ownership.on_generation(MOVED, now)

    def _renew(self, now: float) -> None:
        for host, agent in self._agents.items():
            for to, question in agent.ownership.release_requests(now):
                other = self._agents.get(to)
                if other is None or not self._is_reachable(host in FAR, to, now):
                    continue
                answer = other.ownership.on_release(question, other.ledger, now)
                if answer is not None:
                    agent.ownership.on_released(answer, agent.ledger, now, EPOCH + now)

    def _is_reachable(self, is_far: bool, host: str, now: float) -> bool:
        is_parted = self._event == "partition" and EVENT_S <= now < EVENT_S + PARTITION_S
        return not is_parted or is_far == (host in FAR)

    def _new_call(self, now: float) -> Call:
        text = f"k{len(self._calls)}"
        created = int((EPOCH + now) * 1000)
        key: once.Key = once.CallerKey(
            text=text, created_ms=created if self._kind == "timed" else None
        )
        mark = once.fingerprint("POST", "/pay", b"", "account")
        call = Call(key=key, mark=mark)
        self._calls.append(call)
        return call

    def _attempt(self, call: Call, now: float) -> None:
        entry = self._rng.randrange(ENTRIES)
        if self._kind == "issued" and call.tries == 0:
            hosts = [h for h in self._agents if self._is_reachable(entry in FAR_ENTRIES, h, now)]
            host = self._rng.choice(hosts)
            call.key = once.issue_key(
                "s", host, self._agents[host].incarnation, int((EPOCH + now) * 1000), self._rng
            )
        generation = (FIRST, MOVED)[self._numbers[entry] - 1]
        to = owner_of(call.key, generation) or ""
        agent = self._agents.get(to)
        result = "unknown"
        if agent is not None and self._is_reachable(entry in FAR_ENTRIES, to, now):
            result = self._begin(agent, call, generation.number, now)
        call.tries += 1
        if call.tries == 1:
            call.first = result
        call.outcome = result
        if result == "unknown" and call.tries <= REPEATS:
            self._repeats.append((now + REPEAT_S, call))

    def _begin(self, agent: Agent, call: Call, number: int, now: float) -> str:
        request = once.OnceRequest(
            key=call.key,
            fingerprint=call.mark,
            generation=number,
            entry_wall=EPOCH + now,
            sent_after=now - 0.5,
        )
        result = agent.ledger.begin(request, now, EPOCH + now)
        if isinstance(result, once.Execute) and agent.ledger.start(call.key, call.mark):
            agent.running.append((now + RUN_S, call))
        return "unknown" if isinstance(result, once.Unknown) else "definite"

    def _finish(self, now: float) -> None:
        for agent in self._agents.values():
            for at, call in agent.running:
                if at <= now:
                    agent.ledger.finish(call.key, call.mark, b"ok")
            agent.running = [item for item in agent.running if item[0] > now]


def main() -> None:
    """Run every combination and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    results = []
    for event in EVENTS:
        for kind in ("issued", "timed", "opaque"):
            for lifetime in (RELEASE_LIFETIME_S, math.inf):
                if kind == "issued" and math.isinf(lifetime):
                    continue
                bench = Bench(kind=kind, event=event, lifetime=lifetime, seed=seed)
                release = "permanent" if math.isinf(lifetime) else f"{lifetime:g} s"
                results.append({"event": event, "key": kind, "release": release, **bench.run()})
    print(json.dumps({"seed": seed, "results": results}, indent=1))


if __name__ == "__main__":
    main()
