"""Steps that simulate loads on runners that name pauses, without a network."""

from unittest.mock import patch

from behave import then, when
from overload_model import ENGINE
from overload_steps import worth
from pause_model import PausingFleetModel, summary
from wasabilb_core import runner_pauses

RUNNERS = [f"r-{n}" for n in range(10)]
WINDOW_S = (4.0, 9.0)
SEEDS = (1, 2, 3)
MORE_SEEDS = (*SEEDS, 4, 5, 6, 7, 8)


def run_load(rate, paused, *, keeps_pauses=True, ramp_first=runner_pauses.RAMP_FIRST, seeds=SEEDS):
    """Simulate a load relative to the capacity and sum the results over the seeds."""
    total = {"worth": 0.0}
    with patch.object(runner_pauses, "RAMP_FIRST", ramp_first):
        for seed in seeds:
            fleet = PausingFleetModel(
                paces=[1.0] * len(RUNNERS),
                seed=seed,
                pauses=[(RUNNERS[:paused], 4.0, 5.5)],
                keeps_pauses=keeps_pauses,
            )
            fleet.run(rate * len(RUNNERS) / ENGINE.completion_interval_s, 10, 18)
            for name, value in summary(fleet, *WINDOW_S).items():
                total[name] = total.get(name, 0) + value
            total["worth"] += worth(
                [j for j in fleet.jobs if WINDOW_S[0] <= j.arrived < WINDOW_S[1]]
            )
    return total


@when("{paused:d} of 10 runners request a pause of 1.5 s at {rate:g} times the load")
def simulate_paused(context, paused, rate):
    context.before = run_load(rate, paused, keeps_pauses=False)
    context.after = run_load(rate, paused)
    print(f"\n{paused} paused, load {rate}: before {context.before}, after {context.after}")


@when("full runners request a pause of 1 s at {rate:g} times the load")
def simulate_full(context, rate):
    context.before = run_load(rate, 0, keeps_pauses=False, seeds=MORE_SEEDS)
    context.after = run_load(rate, 0, seeds=MORE_SEEDS)
    context.at_once = run_load(rate, 0, ramp_first=float("inf"), seeds=MORE_SEEDS)
    print(f"\nfull, load {rate}: before {context.before}, after {context.after}")
    print(f"full, load {rate}, all return at once: {context.at_once}")


@then("no request reaches a runner within its pause, where some did before")
def step_no_early_arrival(context):
    assert context.before["early"] > 0, context.before
    assert context.after["early"] == 0, context.after


@then("callers get at least as much as before, and no more of them are lost")
def step_worth_and_lost(context):
    assert context.after["worth"] >= context.before["worth"], (context.before, context.after)
    assert context.after["lost"] <= context.before["lost"], (context.before, context.after)


@then("runners are full less often than before, and than when all requests return at once")
def less_often_full(context):
    assert context.after["full"] < context.before["full"], (context.before, context.after)
    assert context.after["full"] < context.at_once["full"], (context.at_once, context.after)
    assert context.after["worth"] >= context.at_once["worth"], (context.at_once, context.after)
