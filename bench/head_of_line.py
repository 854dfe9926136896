"""Head-of-line blocking of short requests by long ones: `python -m bench.head_of_line --seed=1`."""

import fire

from bench._fleet_model import (
    FleetSimulation,
    Options,
    Request,
    Traffic,
    generate_requests,
    quantile,
    required_steps,
    target_row,
    write_report,
)

# Bound on the stretch of long requests: time in the system relative to their run time alone.
MAX_STRETCH = 4.0
LONG_TOKENS = (800, 2400)


def measure(options: Options, traffic: Traffic) -> dict[str, float]:
    """Run one combination and return its figures."""
    sim = FleetSimulation(options)
    requests = generate_requests(options, traffic)
    sim.run(requests, traffic.seconds * 2 + 200)
    done = [r for r in requests if r.done_at is not None]
    short = [r for r in done if not r.is_straggler]
    long = [r for r in done if r.is_straggler]
    return {
        "lost": float(len(requests) - len(done)),
        "wait_p50": quantile((r.wait_s for r in short), 0.5),
        "wait_p99": quantile((r.wait_s for r in short), 0.99),
        "wait_max": quantile((r.wait_s for r in short), 1.0),
        "short_p99": quantile((r.done_at - r.arrived for r in short if r.done_at), 0.99),
        "stretch_p99": quantile((_stretch(r, options) for r in long), 0.99),
        "stretch_max": quantile((_stretch(r, options) for r in long), 1.0),
        "extra_work": sim.executed_steps / required_steps(done) - 1.0,
    }


def _stretch(request: Request, options: Options) -> float:
    alone_s = (request.answer_tokens + 0.02 * request.prompt_tokens) * options.step_s
    return ((request.done_at or 0.0) - request.arrived) / alone_s


def main(
    seed: int = 1, seconds: float = 600.0, load: float = 0.85, stragglers: float = 0.05
) -> None:
    """Compare `short_first` and `fcfs`, with and without stragglers, at the same load."""
    rows, results = [], {}
    for queue in ("fcfs", "short_first"):
        for share in (0.0, stragglers):
            options = Options(seed=seed, queue=queue, has_moves=False)
            traffic = Traffic(load=load, seconds=seconds, stragglers=share, long_tokens=LONG_TOKENS)
            results[queue, share > 0] = measure(options, traffic)
            rows.append({"queue": queue, "stragglers": share, **results[queue, share > 0]})
    settings = {"seed": seed, "seconds": seconds, "load": load, "stragglers": stragglers}
    write_report("head_of_line", settings, rows)
    short_first = results["short_first", True]
    target_rows = [
        target_row(
            "p99 wait of short work, with / without stragglers",
            short_first["wait_p99"] / results["short_first", False]["wait_p99"],
            1.2,
            f"fcfs {results['fcfs', True]['wait_p99'] / results['fcfs', False]['wait_p99']:.1f}",
        ),
        target_row(
            "p99 wait of short work, short_first / fcfs",
            short_first["wait_p99"] / results["fcfs", True]["wait_p99"],
            0.2,
            f"fcfs {results['fcfs', True]['wait_p99']:.3f} s",
        ),
        target_row(
            "largest stretch of long work",
            short_first["stretch_max"],
            MAX_STRETCH,
            f"fcfs {results['fcfs', True]['stretch_max']:.2f}",
        ),
    ]
    write_report("head_of_line_targets", settings, target_rows)


if __name__ == "__main__":
    fire.Fire(main)
