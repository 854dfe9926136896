"""Steps about the rules for pauses that runners name, without a network."""

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from pause_rules_model import RUNNER, EntryProcess
from wasabilb_core.requested_pause import MAX_PAUSE_S, requested_pause
from wasabilb_core.runner_pauses import MAX_BACKOFF_S, MAX_SPREAD_S, RunnerPauses


@when("a refusal names {text}")
def refusal_names(context, text):
    context.pause = requested_pause({"nothing": None, "400 nines": "9" * 400}.get(text, text))


@then("the runner gets no request for {seconds:g} s and the log says {reading}")
def step_pause_length(context, seconds, reading):
    pause = context.pause
    if reading == "nothing":
        assert pause is None
        return
    assert (pause.seconds, pause.reading.value) == (seconds, reading), pause
    pauses = RunnerPauses()
    pauses.on_pause(RUNNER, pause.seconds, 10.0, spread=0.0)
    assert pauses.has_requested_pause(RUNNER, 10.0 + seconds * 0.999) == (seconds > 0)
    assert not pauses.has_requested_pause(RUNNER, 10.0 + seconds)


@when("random requests, refusals, failures, lists and reports meet random delays of up to 0.2 s")
def random_events(context):
    responses = st.sampled_from(["answer", "full"]) | st.floats(0.1, 9.0) | st.just(MAX_PAUSE_S)
    others = st.sampled_from(
        ["fails", "is gone", "serves", "later incarnation", "first incarnation"]
    )
    # Requests that are sent at the same time can be refused with different times.
    steps_s = st.just(0.0) | st.floats(0.0, 0.5) | st.floats(0.0, 70.0)
    steps = st.tuples(steps_s, responses | responses | others)
    context.early_arrivals, context.blocked_at, context.refusals = [], [], 0

    @property_given(st.lists(steps, max_size=60), st.integers(0, 2**32))
    def check(events, seed):
        process = EntryProcess(seed)
        process.run(events)
        context.refusals += len(process.refusals)
        found = process.early_arrivals()
        context.early_arrivals += found
        ends = [at + 0.2 + seconds + MAX_SPREAD_S for _, at, seconds in process.refusals]
        soon = max([process.now, *ends]) + MAX_BACKOFF_S
        if not process.pauses.may_send(process.runner, soon):
            context.blocked_at.append(soon)
        assert not found and not context.blocked_at

    check()


@then(
    "no request reached an incarnation from half a second after its refusal to the end of its time"
)
def step_no_early_arrival(context):
    assert context.refusals > 100, context.refusals
    assert not context.early_arrivals, context.early_arrivals


@then("each runner could be tried again soon after its time had ended")
def step_can_be_tried_again(context):
    assert not context.blocked_at, context.blocked_at


@when("{count:d} requests are ready for a runner each {interval:g} s after its time has ended")
def step_ready_requests(context, count, interval):
    pauses = RunnerPauses()
    pauses.on_pause(RUNNER, 1.0, 0.0, spread=0.0)
    context.sent = []
    for step in range(6):
        moment = 1.0 + step * interval
        sent = 0
        while sent < count and pauses.may_send(RUNNER, moment):
            pauses.on_sent(RUNNER, moment)
            sent += 1
        context.sent.append(sent)
        if step == context.full_at:
            pauses.on_full(RUNNER, moment + 0.02)


@given("a runner that refuses as full after interval {number:d}")
def full_after(context, number):
    context.full_at = number


@then("{numbers} are sent in the intervals")
def step_sent_per_interval(context, numbers):
    assert context.sent == [int(n) for n in numbers.split(", ")], context.sent
