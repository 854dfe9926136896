"""Steps about tickets and the fleet state."""

import random

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from returns.result import Failure
from wasabilb_core.fleet import FleetState
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import Ticket, parse_ticket


def model_ticket(number: int, *models: tuple[str, str]) -> Ticket:
    """Return a valid ticket that puts each model at a version."""
    lines = [f"number = {number}"]
    for name, version in models:
        lines += ["[[models]]", f'name = "{name}"', f'version = "{version}"', 'runners = ["r1"]']
    return parse_ticket("\n".join(lines)).unwrap()


@given('an accepted ticket {number:d} with model "{name}" at version "{version}"')
def step_accepted(context, number, name, version):
    context.fleet = FleetState()
    context.fleet.apply(model_ticket(number, (name, version))).unwrap()


@when('ticket {number:d} arrives with model "{name}" at version "{version}"')
def step_arrives(context, number, name, version):
    context.result = context.fleet.apply(model_ticket(number, (name, version)))


@then('it is refused as "{kind}"')
def step_refused(context, kind):
    assert isinstance(context.result, Failure), context.result
    assert context.result.failure().kind.value == kind


@then('model "{name}" is at version "{version}"')
def step_model_version(context, name, version):
    assert context.fleet.model(name).version == version


TOUCHES = st.dictionaries(st.sampled_from("abcd"), st.sampled_from(["v1", "v2"]), min_size=1)


def state_of(fleet: FleetState) -> tuple:
    """Return all observable parts of the state."""
    models = tuple((m, fleet.number_of(f"model:{m.name}")) for m in fleet.models())
    return (str(models), fleet.numbers(), fleet.digest())


@when("random tickets arrive in random orders with repeats")
def step_random_orders(context):
    context.ends, context.reverts = [], []

    @property_given(st.lists(TOUCHES, min_size=1, max_size=8), st.integers(0, 2**32))
    def check(touches, seed):
        tickets = [model_ticket(n + 1, *touched.items()) for n, touched in enumerate(touches)]
        states = []
        for turn in range(3):
            order = tickets * 2
            random.Random(seed + turn).shuffle(order)
            fleet = FleetState()
            highest: dict[str, int] = {}
            for ticket in order:
                fleet.apply(ticket).unwrap()
                for key in ("model:a", "model:b", "model:c", "model:d"):
                    if fleet.number_of(key) < highest.get(key, 0):
                        context.reverts.append((seed, key))
                    highest[key] = fleet.number_of(key)
            states.append(state_of(fleet))
        context.ends.append(len(set(states)))

    check()


@then("every order ends in the same state")
def step_same_state(context):
    assert len(context.ends) >= 100 and set(context.ends) == {1}


@then("nothing accepted reverts in between")
def step_no_revert(context):
    assert context.reverts == []


@when("this ticket is checked")
def step_checked(context):
    context.result = parse_ticket(context.text)


@then("these problems are reported")
def step_problems(context):
    problems = sorted((problem.line, problem.path) for problem in context.result.failure())
    expected = sorted((int(row["line"]), row["path"]) for row in context.table)
    assert problems == expected, [str(problem) for problem in context.result.failure()]


@when(
    "the configuration service holds the numbers {first:d} to {last:d}, number 3 with other content"
)
def step_index(context, first, last):
    context.spread = TicketSpread(
        host="e1",
        failure_domain="d",
        fleet=context.fleet,
        readers_per_domain=2,
        service_calls_per_s=100.0,
    )
    context.index = {number: 1000 + number for number in range(first, last + 1)}


@then("the reader reads {numbers}")
def step_reads(context, numbers):
    found = context.spread.numbers_to_read(context.index, random.Random(1))
    assert found == [int(number) for number in numbers.split(", ")], found


@then("after that it does not read number 3 again")
def step_reads_again(context):
    assert 3 not in context.spread.numbers_to_read(context.index, random.Random(1))
