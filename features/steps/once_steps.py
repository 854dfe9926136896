"""Steps about calls that run at most once."""

import random

from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from once_model.conformance import first_nonconforming_step, setting_of
from once_model.once_spec import OnceSpec
from once_model.once_spec import settings as once_settings
from once_model.world import EPOCH, OWNERSHIP_PLANS, World, random_run
from returns.result import Failure
from wasabilb_core import once
from wasabilb_core.ownership import Generation, OnceOwnership

HOSTS = st.sampled_from(["h0", "h1"])
SMALL = st.integers(0, 3)
NUMBERS = st.integers(1, 3)


class PromiseMachine(RuleBasedStateMachine):
    """State machine that drives a world by rules; `move` names the change of ownership."""

    move = ""

    def __init__(self):
        super().__init__()
        self.world = World(plan=OWNERSHIP_PLANS[self.move], rng=random.Random(1), max_entries=3)

    @rule(kind=st.sampled_from(["timed", "issued", "opaque"]), age=st.sampled_from([0, 4, -30]))
    def key(self, kind, age):
        self.world.key(kind, age, 0)

    @rule(kind=st.sampled_from(["call", "cancel"]), key=SMALL, entry=SMALL, now=st.booleans())
    def send(self, kind, key, entry, now):
        self.world.send(kind, key, entry)
        if now:
            self.world.deliver(-1, True)

    @rule(index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, index, keep):
        self.world.deliver(index, keep)

    @rule(host=HOSTS, answered=st.booleans())
    def ask(self, host, answered):
        self.world.ask(host)
        for _ in range(2 * answered):
            self.world.deliver(-1, False)

    @rule(host=HOSTS, key=SMALL, step=st.sampled_from(["start", "start", "finish", "lose"]))
    def work(self, host, key, step):
        self.world.work(host, key, step)

    @rule(seconds=st.sampled_from([0.5, 4.0, 13.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(host=HOSTS, entry=SMALL, number=NUMBERS)
    def ticket(self, host, entry, number):
        self.world.ticket(host, number)
        self.world.ticket_at_entry(entry, number)

    @rule(host=HOSTS, number=NUMBERS)
    def crash(self, host, number):
        self.world.crash(host, number)

    @rule(host=HOSTS, seconds=st.sampled_from([0.0, 1.9, -13.0]), kind=SMALL)
    def disturb(self, host, seconds, kind):
        if kind == 0:
            self.world.destroy("h0")
        elif kind == 1:
            self.world.jump(host, seconds)
        else:
            self.world.pause(host)

    @invariant()
    def promise(self):
        assert not self.world.problem, self.world.problem


@when('a state machine drives entry hosts and agents where ownership is "{move}"')
def step_machine(context, move):
    limits = settings(max_examples=150, stateful_step_count=50, deadline=None, derandomize=True)
    machine = type("Machine", (PromiseMachine,), {"move": move})
    run_state_machine_as_test(machine, settings=limits)
    context.worlds = [random_run(OWNERSHIP_PLANS[move], seed, 150) for seed in range(300)]


@then('no key ran twice and no "not run" was untrue')
def step_promise(context):
    assert not [world.problem for world in context.worlds if world.problem]
    assert sum(sum(world.runs.values()) for world in context.worlds) > 20


@when("{count:d} random runs of the core are followed in the specification")
def step_follow(context, count):
    bounds = once_settings(has_entries=False, max_crashes=99, max_frames=99)
    spec_of = {setting.name: setting for setting in bounds}
    context.traces, context.refused = 0, []
    for seed in range(count):
        for move, plan in OWNERSHIP_PLANS.items():
            world = random_run({n: plan[n] for n in (1, 2)}, seed, 150, exact=True)
            for key, _ in world.keys:
                spec = OnceSpec(setting_of(world, key, spec_of[move]))
                context.traces += 1
                if first_nonconforming_step(world, spec, key.text):
                    context.refused.append((move, seed, key.text))


@then("the specification allows every step")
def step_allowed(context):
    assert context.traces > 100 and not context.refused, context.refused


@when('ownership is "{move}" and the steps are "{steps}"')
def step_steps(context, move, steps):
    context.world = World(plan=OWNERSHIP_PLANS[move], rng=random.Random(1))
    for step in steps.split("; "):
        name, *words = step.split()
        word_types = {"key": (str, float, int), "send": (str, int, int), "deliver": (int, int)}
        word_types |= {"work": (str, int, str), "advance": (float,), "ticket_at_entry": (int, int)}
        word_types |= {"jump": (str, float)}
        types = word_types.get(name, (str, int))
        getattr(context.world, name)(
            *(convert(word) for convert, word in zip(types, words, strict=False))
        )


@then('the agents answer "{answers}"')
def step_answers(context, answers):
    answered = [step[-1] for step in context.world.trace if step[0] in ("call", "cancel")]
    assert answered == answers.split(), context.world.trace


def single_owner_ledger(**bounds: int) -> once.Ledger:
    """Return the ledger of a single owner that has run for 100 s at time 1,000."""
    claim_policy = OnceOwnership(service="s", host="h0", incarnation=1, started_now=900.0)
    claim_policy.on_generation(Generation(number=1, owners=("h0",)), 900.0)
    return once.Ledger(service="s", host="h0", incarnation=1, claim_policy=claim_policy, **bounds)


def attempt(text: str, body: bytes, account: str, created: float) -> once.OnceRequest:
    """Return an attempt whose frame is sent at time 1,000."""
    key = once.CallerKey(text=text, created_ms=int((EPOCH + created) * 1000))
    fingerprint = once.fingerprint("POST", "/pay", body, account)
    return once.OnceRequest(key=key, fingerprint=fingerprint, generation=1, entry_wall=EPOCH + 1000)


def begin(ledger: once.Ledger, tried: once.OnceRequest) -> once.ClaimResult:
    """Begin at time 1,000."""
    return ledger.begin(tried, 1000.0, EPOCH + 1000)


def run(ledger: once.Ledger, tried: once.OnceRequest, answer: bytes) -> None:
    """Run a call to its end."""
    assert isinstance(begin(ledger, tried), once.Execute)
    assert ledger.start(tried.key, tried.fingerprint)
    ledger.finish(tried.key, tried.fingerprint, answer)


@given('an agent that ran a call of account "{account}" under key "{text}"')
def step_ran(context, account, text):
    context.ledger, context.key_text = single_owner_ledger(), text
    run(context.ledger, attempt(text, b"1", account, 999.0), b"ok")


@then('another body of account "{account}" is refused as "{kind}"')
def step_reused(context, account, kind):
    result = begin(context.ledger, attempt(context.key_text, b"2", account, 999.0))
    assert isinstance(result, once.Refused) and result.error.kind.value == kind


@then('the same request of account "{account}" executes')
def step_other_account(context, account):
    result = begin(context.ledger, attempt(context.key_text, b"1", account, 999.0))
    assert isinstance(result, once.Execute)


@given(
    "a ledger of {entries:d} entries and {size:d} bytes of answers that ran {count:d} calls "
    "with {each:d} bytes each"
)
def step_bounded(context, entries, size, count, each):
    context.ledger = single_owner_ledger(max_entries=entries, max_answer_bytes=size)
    context.tried = [attempt(f"k{n}", b"", "salon", 990.0 + n) for n in range(count)]
    for tried in context.tried:
        run(context.ledger, tried, b"x" * each)


@then("the ledger holds at most {entries:d} entries and {size:d} bytes")
def step_within(context, entries, size):
    assert len(context.ledger) <= entries and context.ledger.answer_bytes <= size


@then('from the oldest call on the answers are "{answers}"')
def step_ages(context, answers):
    names = {once.Unknown: "unknown", once.Forgotten: "ran-forgotten", once.Replay: "ran"}
    answered = [names[type(begin(context.ledger, tried))] for tried in context.tried]
    assert answered == answers.split(), answered


@when('the key {text} is read with the creation header "{header}"')
@when('the key {text} is read with the creation header ""')
def step_read(context, text, header=None):
    context.read = once.parse_key(text, header)


@then('it is "{kind}" created at "{created}"')
@then('it is "{kind}" created at ""')
def step_read_as(context, kind, created=""):
    if isinstance(context.read, Failure):
        assert context.read.failure().effective_outcome.value == kind
    else:
        key = context.read.unwrap()
        assert kind == "own" and str(key.created_ms) == created, key
