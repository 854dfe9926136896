"""Steps about tickets and the fleet state."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from returns.result import Failure
from wasabilb_core.fleet import FleetState
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import Ticket, parse_ticket


def model_ticket(number: int, *models: tuple[str, str], era: int = 0) -> Ticket:
    """Return a valid ticket of an era that puts each model at a version."""
    lines = [f"number = {number}"]
    for name, version in models:
        lines += ["[[models]]", f'name = "{name}"', f'version = "{version}"', 'runners = ["r1"]']
    return parse_ticket("\n".join(lines), era=era).unwrap()


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
    models = tuple((m, fleet.order_of(f"model:{m.name}")) for m in fleet.models())
    return (str(models), fleet.orders(), fleet.digest())


@when("random tickets arrive in random orders with repeats")
def step_random_orders(context):
    check_orders(context, last_era=0)


@when("random tickets of several eras arrive in random orders with repeats")
def step_random_eras(context):
    check_orders(context, last_era=2)


def check_orders(context, *, last_era):
    """Merge tickets of the eras up to the last one, each with numbers from 1."""
    context.ends, context.reverts = [], []
    written = st.lists(st.tuples(st.integers(0, last_era), TOUCHES), min_size=1, max_size=8)

    @property_given(written, st.integers(0, 2**32))
    def check(written, seed):
        numbers, tickets = Counter(), []
        for era, touched in written:
            numbers[era] += 1
            tickets.append(model_ticket(numbers[era], *touched.items(), era=era))
        states = []
        for turn in range(3):
            order = tickets * 2
            random.Random(seed + turn).shuffle(order)
            fleet = FleetState()
            highest: dict[str, int] = {}
            for ticket in order:
                fleet.apply(ticket).unwrap()
                for key in ("model:a", "model:b", "model:c", "model:d"):
                    if fleet.order_of(key) < highest.get(key, 0):
                        context.reverts.append((seed, key))
                    highest[key] = fleet.order_of(key)
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
    found = context.spread.orders_to_read(context.index, random.Random(1), now=0.0)
    assert found == [int(number) for number in numbers.split(", ")], found


@then("after that it does not read number 3 again")
def step_reads_again(context):
    assert 3 not in context.spread.orders_to_read(context.index, random.Random(1), now=0.0)
