"""Crashes until a part of prompts that crashes runners is refused everywhere, by fleet size.

`python -m bench.crashing_parts --seed=1` plays the fleet model of the features: requests with such
a part beside sound ones at 7, 76 and 230 entry processes. Targets: at most 5 runners crash, no send
once all processes know, sound requests begin at the first attempt 0.95 as often as without.
"""

import json
import logging
import sys
from pathlib import Path

import fire

sys.path.append(str(Path(__file__).resolve().parents[1] / "features" / "steps"))

from crash_model import BAD_PART, CrashFleet, play
from wasabilb_node.clock import now

# Entry processes, failure domains, runners and seeds of each case.
CASES = ((7, 3, 9, 20), (76, 6, 40, 5), (230, 6, 100, 1))
WARM_UP_S = 8.0
SECONDS = 20.0
TCP_IP_HEADER_BYTES = 66


def play_case(
    processes: int, domains: int, runners: int, seed: int, *, has_bad: bool
) -> CrashFleet:
    """Play one fleet and return it."""

    async def script(fleet: CrashFleet) -> None:
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        await fleet.send_for(SECONDS, has_bad=has_bad)

    fleet = CrashFleet(
        processes=processes, domains=domains, runners=runners, sound=6.0 * runners, seed=seed
    )
    return play(fleet, script)


def measure(processes: int, domains: int, runners: int, seeds: list[int]) -> dict[str, float]:
    """Return the figures of one fleet size over some seeds."""
    baseline = play_case(processes, domains, runners, seeds[0], has_bad=False)
    found = [play_case(processes, domains, runners, seed, has_bad=True) for seed in seeds]
    ended = [len(fleet.ended) for fleet in found]
    known_at = [fleet.ended[0] + max(fleet.blocked_delays()) for fleet in found]
    late = [
        sum(at > known for at in fleet.bad_sends)
        for fleet, known in zip(found, known_at, strict=True)
    ]
    usual = baseline.begun_share(baseline.disturbed_at)
    sent = [f.bytes_sent + TCP_IP_HEADER_BYTES * f.messages_sent for f in found]
    quiet = baseline.bytes_sent + TCP_IP_HEADER_BYTES * baseline.messages_sent
    return {
        "processes": processes,
        "runs": len(seeds),
        "ended_best": min(ended),
        "ended_worst": max(ended),
        "sends_after_all_know": max(late),
        "sends_after_fifth": max(fleet.sends_after() for fleet in found),
        "sound_share": min(f.begun_share(f.disturbed_at) for f in found) / usual,
        "all_know_s": max(max(fleet.blocked_delays()) for fleet in found),
        "blocked_wrongly": sum(len(f.blocked_at_end - {BAD_PART}) for f in found),
        "bytes_per_s": max(sent) / (WARM_UP_S + SECONDS) / processes,
        "bytes_per_s_without": quiet / (WARM_UP_S + SECONDS) / processes,
    }


def main(seed: int = 1) -> None:
    """Print the table of all sizes and write it as JSON."""
    logging.disable(logging.CRITICAL)
    rows = [measure(p, d, r, list(range(seed, seed + n))) for p, d, r, n in CASES]
    for name in rows[0]:
        print(f"{name:22}" + "".join(f"{row[name]:12.4g}" for row in rows))
    out = Path("out")
    out.mkdir(exist_ok=True)
    (out / "crashing_parts.json").write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
