"""Crashes until what crashes runners is refused everywhere, by fleet size.

`python -m bench.crashing_parts --seed=1` plays the fleet model of the features: requests with a
part that crashes runners beside sound ones at 7, 76 and 230 entry processes. With
`--subject=request`, one request that crashes runners comes once a second. Targets: at most 5
runners crash under a part and 3 under a request, no send once all processes know, sound requests
begin at the first attempt 0.95 as often as without.
"""

import json
import logging
import sys
from pathlib import Path

import fire

sys.path.append(str(Path(__file__).resolve().parents[1] / "features" / "steps"))

from crash_model import BAD_PART, BAD_REQUEST, SYSTEM_PART, CrashFleet, play
from wasabilb_core.errors import ErrorKind
from wasabilb_node.clock import now

# Entry processes, failure domains, runners and seeds of each case.
CASES = ((7, 3, 9, 20), (76, 6, 40, 5), (230, 6, 100, 1))
WARM_UP_S = 8.0
SECONDS = 20.0
TCP_IP_HEADER_BYTES = 66


def play_case(
    processes: int, domains: int, runners: int, seed: int, *, has_bad: bool, subject: str
) -> CrashFleet:
    """Play one fleet and return it."""

    async def script(fleet: CrashFleet) -> None:
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        await fleet.send_for(SECONDS, has_bad=has_bad)

    fleet = CrashFleet(
        processes=processes, domains=domains, runners=runners, sound=6.0 * runners, seed=seed
    )
    if subject == "request":
        fleet.bad, fleet.bad_parts = 1.0, {BAD_REQUEST}
        fleet.make_bad = lambda: (SYSTEM_PART, 100, BAD_REQUEST)
    return play(fleet, script)


def measure(
    processes: int, domains: int, runners: int, seeds: list[int], subject: str
) -> dict[str, float]:
    """Return the figures of one fleet size over some seeds."""
    size = (processes, domains, runners)
    baseline = play_case(*size, seeds[0], has_bad=False, subject=subject)
    found = [play_case(*size, seed, has_bad=True, subject=subject) for seed in seeds]
    bad = BAD_REQUEST if subject == "request" else BAD_PART
    delays = [max(fleet.blocked_delays(bad)) for fleet in found]
    ended = [len(fleet.ended) for fleet in found]
    known_at = [fleet.ended[0] + delay for fleet, delay in zip(found, delays, strict=True)]
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
        "all_know_s": max(delays),
        "all_know_after_third_s": max(
            (known - f.ended[2] for f, known in zip(found, known_at, strict=True) if f.ended[2:]),
            default=0.0,
        ),
        "blocked_wrongly": sum(len(f.blocked_at_end - {bad}) for f in found),
        "sound": sum(not r.is_bad for f in found for r in f.requests),
        "sound_refused": sum(
            len(f.refused(ErrorKind.PROMPT_BLOCKED, ErrorKind.REQUEST_BLOCKED)) for f in found
        ),
        "sound_waiting": sum(
            len(f.refused(ErrorKind.PROMPT_PROBED, ErrorKind.REQUEST_PROBED)) for f in found
        ),
        "bytes_per_s": max(sent) / (WARM_UP_S + SECONDS) / processes,
        "bytes_per_s_without": quiet / (WARM_UP_S + SECONDS) / processes,
    }


def main(seed: int = 1, subject: str = "part") -> None:
    """Print the table of all sizes and write it as JSON."""
    logging.disable(logging.CRITICAL)
    rows = [measure(p, d, r, list(range(seed, seed + n)), subject) for p, d, r, n in CASES]
    for name in rows[0]:
        print(f"{name:22}" + "".join(f"{row[name]:12.4g}" for row in rows))
    out = Path("out")
    out.mkdir(exist_ok=True)
    (out / f"crashing_{subject}s.json").write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
