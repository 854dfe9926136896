"""Steps about a host list that comes back from a copy."""

import asyncio
import random
import time

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from memory_links import Network
from restored_config_steps import Process, stop, until
from standin_steps import begin, run
from wasabilb_core.leaving_list import LeavingList, LeavingNews
from wasabilb_standins.config_service import ConfigService
from wasabilb_standins.host_list import HostList


def add_process(context, name, *, reads):
    """Start a process with links to all others, which reads the host list if asked to."""
    process = Process(
        links=context.network.add(name, "entry"),
        service=context.service,
        host_list=context.hosts.url if reads else "",
    )
    for other in context.processes:
        context.network.connect(name, other)
    context.processes[name] = process
    context.tasks.append(asyncio.ensure_future(process.reader.run_host_list()))
    return process


def leaving(context):
    """Return who counts as leaving at each process."""
    return [", ".join(sorted(p.membership.host_list.leaving)) for p in context.processes.values()]


def wait_for(context, names):
    """Wait until the same hosts count as leaving at each process."""
    run(context, until(lambda: set(leaving(context)) == {names}, lambda: leaving(context)))


@given('a reader and a peer that know from the host list that "r1" and "r2" leave')
def step_known(context):
    context.service, context.hosts = begin(context, ConfigService()), begin(context, HostList())
    context.network, context.processes, context.tasks = Network(), {}, []
    context.add_cleanup(lambda: run(context, stop(context)))
    context.hosts.set_hosts(dict.fromkeys(("r1", "r2", "r3"), "live"))
    context.copied_at = time.monotonic()
    context.hosts.set_hosts({"r1": "leaving"})
    context.hosts.set_hosts({"r2": "leaving"})

    async def scene():
        for name in ("e1", "e2"):
            add_process(context, name, reads=name == "e1")

    run(context, scene())
    wait_for(context, "r1, r2")


@when('the list comes back from a copy in which they are live, and "r3" leaves')
def step_restored(context):
    before = context.processes["e1"].membership.host_list.as_of
    context.hosts.restore(context.copied_at)
    context.hosts.set_hosts({"r3": "leaving"})
    assert context.hosts.shown_list()["as_of"] < before, before


@then('"{names}" count as leaving at both')
def step_both(context, names):
    wait_for(context, names)


@when('"{name}" registers again as live')
def step_registers(context, name):
    context.hosts.set_hosts({name: "live"})


@when("a process that read only the new list is linked with both")
def step_fresh(context):
    async def scene():
        others, context.processes = context.processes, {}
        fresh = add_process(context, "e0", reads=True)
        await until(lambda: fresh.membership.host_list.as_of, lambda: "a list")
        assert fresh.membership.host_list.leaving == {"r3"}, fresh.membership.host_list
        for name, process in others.items():
            context.network.connect("e0", name)
            context.processes[name] = process

    run(context, scene())


@then('"{names}" count as leaving at all three')
def step_all(context, names):
    wait_for(context, names)


HOSTS = ("r1", "r2", "r3")
CHANGES = st.tuples(st.sampled_from(HOSTS), st.booleans())


@when("processes merge the lists of three eras from each other in random orders")
def step_orders(context):
    context.failures, context.checked = [], 0

    @property_given(st.lists(st.lists(CHANGES, max_size=4), min_size=3, max_size=3), st.integers())
    def check(eras, seed):
        rng, processes = random.Random(seed), [LeavingList() for _ in range(4)]
        states, known_leaving = dict.fromkeys(HOSTS, False), set()
        for era, changes in enumerate(eras):
            # Each copy has the state of the hosts at the beginning of the first era.
            states, written = dict.fromkeys(HOSTS, False), set()
            for as_of, (host, is_leaving) in enumerate(changes, start=1):
                states[host] = is_leaving
                written.add(host)
                news = LeavingNews(era=era, as_of=as_of, listed={h for h in HOSTS if states[h]})
                live = {host for host in written if not states[host]}
                # The same process reads all lists, so that its knowledge is complete.
                for reader in (processes[0], *rng.sample(processes[1:], 1)):
                    reader.on_read(news, written_live=live)
                known_leaving = (known_leaving - written) | {h for h in written if states[h]}
                if not known_leaving <= processes[0].news.leaving:
                    context.failures.append((era, as_of, known_leaving, processes[0].news))
                one, two = rng.sample(processes, 2)
                one.on_news(two.news)
            # Processes that are cut off from each other over one restore may differ, not over two.
            if era:
                exchange_all(processes)
        exchange_all(processes)
        context.checked += 1
        if len({process.news for process in processes}) != 1:
            context.failures.append([process.news for process in processes])
        if processes[0].news.leaving != known_leaving:
            context.failures.append((known_leaving, processes[0].news))

    check()


def exchange_all(processes):
    """Pass lists on as linked processes do, until nothing changes."""
    is_changed = True
    while is_changed:
        is_changed = any(
            [one.on_news(two.news) for one in processes for two in processes if one is not two]
        )


@then("those with the newest list agree, and no host that left is back before it was written live")
def step_agree(context):
    assert context.checked >= 100 and not context.failures, context.failures[:3]
