"""Steps about routing, queues, limits, retries and admission."""

import random
from collections import Counter

from behave import then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from returns.result import Failure, Success
from wasabilb_core.account_limits import AccountLimiter
from wasabilb_core.admission import Admission, AdmissionOptions, AdmissionRequest
from wasabilb_core.queueing import QUEUES, Job
from wasabilb_core.retries import RetryBudget
from wasabilb_core.routing import ROUTING, RouteRequest, RunnerView

SLOTS = 3


class QueueDriver:
    """Sends random events to a queue and counts the faults."""

    def __init__(self, policy, seed):
        self.rng = random.Random(seed)
        self.queue = QUEUES.create(policy, slots=SLOTS, rng=self.rng, max_jobs=20).unwrap()
        self.waiting, self.running, self.ended_ids, self.faults = {}, {}, set(), Counter()
        self.now = 0.0

    def push(self, number):
        deadline = self.now + self.rng.uniform(0, 60) if self.rng.random() < 0.3 else None
        job = Job(
            id=str(number),
            account=self.rng.choice("abc"),
            predicted_tokens=self.rng.choice([10.0, 200.0, 2000.0]),
            deadline=deadline,
            arrived=self.now,
        )
        if isinstance(self.queue.push(job, self.now), Success):
            self.waiting[job.id] = job

    def cancel(self, _):
        if self.waiting:
            job_id = self.rng.choice(sorted(self.waiting))
            self.faults["cancel"] += not self.queue.cancel(job_id)
            del self.waiting[job_id]
            self.ended_ids.add(job_id)

    def progress(self, _):
        for job in list(self.running.values()):
            produced = job.produced + self.rng.randint(1, 300)
            order = self.queue.on_progress(job.id, produced, self.now)
            if order is not None:
                moved = self.running.pop(order.job_id)
                self.faults["preempted"] += 1
                self.faults["resume"] += isinstance(self.queue.push(moved, self.now), Failure)
                self.waiting[moved.id] = moved

    def end(self, _):
        if self.running:
            job_id = self.rng.choice(sorted(self.running))
            del self.running[job_id]
            self.ended_ids.add(job_id)
            self.queue.on_done(job_id, self.now)

    def start(self):
        for job in self.queue.remove_expired(self.now):
            self.faults["expired"] += self.waiting.pop(job.id, None) is None
            self.ended_ids.add(job.id)
        while (job := self.queue.pop(self.now, len(self.running))) is not None:
            self.faults["doubled"] += self.waiting.pop(job.id, None) is None
            self.faults["gone"] += job.id in self.ended_ids
            self.running[job.id] = job
        self.faults["slots"] += len(self.running) > SLOTS
        self.faults["lost"] += self.queue.waiting != len(self.waiting)

    def drive(self):
        actions = (self.push, self.push, self.push, self.cancel, self.progress, self.end)
        for number in range(120):
            self.now += self.rng.expovariate(2.0)
            self.rng.choice(actions)(number)
            self.start()
        # Without further arrivals every waiting job must run.
        for number in range(200):
            self.now += 1.0
            self.end(number)
            self.start()
        self.faults["lost"] += len(self.waiting)
        return self.faults


@when('random events reach a "{policy}" queue')
def step_queue_events(context, policy):
    context.faults, context.policy = Counter(), policy

    @property_given(st.integers(0, 2**32))
    def check(seed):
        context.faults.update(QueueDriver(policy, seed).drive())

    check()


@then("each accepted job is waiting, running or ended exactly once")
def step_no_loss(context):
    kinds = ("lost", "doubled", "resume", "cancel", "expired")
    assert not any(context.faults[kind] for kind in kinds), context.faults
    # Preemption must occur often enough for the rule to be tested.
    assert context.policy == "fcfs" or context.faults["preempted"] > 20, context.faults


@then("no more jobs run than there are slots")
def step_slots(context):
    assert context.faults["slots"] == 0


@then("no cancelled or expired job runs")
def step_cancelled(context):
    assert context.faults["gone"] == 0


def run_queue(jobs, slots, end_s):
    """Run jobs at one token per slot and 40 ms; return starts and ends by job, and refused jobs."""
    queue = QUEUES.create("short_first", slots=slots, rng=random.Random(1)).unwrap()
    sizes, started, ended, refused, running = {}, {}, {}, [], {}
    arrivals = sorted(jobs, key=lambda job: job[0].arrived)
    for tick in range(int(end_s * 25)):
        now = tick / 25
        while arrivals and arrivals[0][0].arrived <= now:
            job, size = arrivals.pop(0)
            sizes[job.id] = size
            if isinstance(queue.push(job, now), Failure):
                refused.append(job.id)
        for job in list(running.values()):
            order = queue.on_progress(job.id, job.produced + 1, now)
            if job.produced >= sizes[job.id]:
                queue.on_done(job.id, now)
                ended[job.id] = now
                del running[job.id]
            elif order is not None:
                queue.push(running.pop(order.job_id), now)
        while (job := queue.pop(now, len(running))) is not None:
            running[job.id] = job
            started.setdefault(job.id, now)
    return started, ended, refused


@when('short work keeps a "short_first" queue busy while long work waits')
def step_starving(context):
    rng, jobs, now = random.Random(3), [], 0.0
    while now < 300.0:
        now += rng.expovariate(2.0)
        jobs.append((Job(id=f"s{now}", account="a", predicted_tokens=40, arrived=now), 40))
    long_jobs = [Job(id=f"l{n}", account="b", predicted_tokens=600, arrived=n) for n in range(8)]
    context.long = [job.id for job in long_jobs]
    _, context.ended, _ = run_queue(jobs + [(job, 600) for job in long_jobs], 4, 300.0)


@then("every long job ends within a bounded time")
def step_long_ends(context):
    # Eight long jobs of 24 s share four slots with short work that needs 80 % of them, so the
    # last of them cannot end before 8 * 24 / (4 * 0.2) = 240 s without starving short work.
    assert all(job in context.ended and context.ended[job] <= 240.0 for job in context.long)


@when("an account with many jobs competes with one that sends few")
def step_large_account(context):
    large = [(Job(id=f"b{n}", account="big", predicted_tokens=50), 50) for n in range(400)]
    context.small = [f"s{n}" for n in range(10)]
    small = [
        (Job(id=name, account="small", predicted_tokens=50, arrived=1.0 + n), 50)
        for n, name in enumerate(context.small)
    ]
    context.started, _, context.refused = run_queue(large + small, 4, 60.0)


@then("the jobs of the small account are accepted and wait a bounded time")
def step_small_account(context):
    assert not set(context.small) & set(context.refused)
    # A job takes a slot for 2 s; a fair queue starts a lone job of another account within 4 s.
    waits = [context.started[name] - 1.0 - n for n, name in enumerate(context.small)]
    assert max(waits) <= 4.0, waits


def make_limiters(count, rng):
    """Return limiters that are each other's peers, with an account limit of 100 per second."""
    hosts = [f"e{n}" for n in range(count)]
    made = {}
    for host in hosts:
        made[host] = AccountLimiter(
            host=host, hosts=hosts, incarnation=1, rng=rng, is_first_start=True
        )
        made[host].set_account("a", 100.0, 20.0)
    return made


@when("random usage messages between limiters are lost, delayed and repeated")
def step_usage(context):
    context.share_totals, context.granted = [], []

    @property_given(st.integers(0, 2**32))
    def check(seed):
        rng = random.Random(seed)
        limiters = make_limiters(rng.randint(2, 7), rng)
        messages, granted, now = [], 0, 0.0
        for _ in range(60):
            now += 0.25
            host = rng.choice(sorted(limiters))
            for _ in range(rng.choice([0, 60])):
                granted += isinstance(limiters[host].take("a", 1.0, now), Success)
            sender = rng.choice(sorted(limiters))
            usage = limiters[sender].usage(now)
            messages += [(peer, sender, usage) for peer in limiters if peer != sender]
            for peer, origin, old in rng.sample(messages, min(len(messages), 6)):
                limiters[peer].on_usage(origin, old, now)
            context.share_totals.append(sum(limiter.share("a") for limiter in limiters.values()))
        # Each bucket holds at least one request, even if its share of the burst is smaller.
        context.granted.append(granted - (20.0 + len(limiters) + 100.0 * now))

    check()


@then("the shares together stay within the limit")
def step_shares(context):
    assert max(context.share_totals) <= 100.0 + 1e-6, max(context.share_totals)


@then("what is granted stays within the limit and the burst")
def step_granted(context):
    assert max(context.granted) <= 1e-6, max(context.granted)


@when("an entry host restarts after it gave its share away")
def step_restart(context):
    rng = random.Random(5)
    limiters, context.share_totals = make_limiters(3, rng), []
    for second in range(30):
        now = float(second)
        if second == 10:
            limiters["e1"] = AccountLimiter(host="e1", hosts=limiters, incarnation=2, rng=rng)
            limiters["e1"].set_account("a", 100.0, 20.0)
        for _ in range(300):
            limiters["e0"].take("a", 1.0, now)
        usages = {host: limiter.usage(now) for host, limiter in limiters.items()}
        for host, usage in usages.items():
            for peer, limiter in limiters.items():
                # The restarted host receives usage from one peer later than from the other.
                is_cut = 10 <= second < 15 and {peer, host} == {"e0", "e1"}
                if peer != host and not is_cut:
                    limiter.on_usage(host, usage, now)
        context.share_totals.append(sum(limiter.share("a") for limiter in limiters.values()))


@when("random requests and extra attempts use one budget")
def step_budget(context):
    context.excess, context.paused = [], []

    @property_given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.1, 50.0)), max_size=200))
    def check(events):
        budget, requested, extra, now = RetryBudget(), 0.0, 0.0, 0.0
        for kind, work in events:
            now += work / 10.0
            if kind == 0:
                budget.on_request(work)
                requested += work
            elif kind == 1 and budget.spend(now, work):
                extra += work
            elif kind == 2:
                budget.on_overload(now)
                context.paused.append(budget.spend(now + 1.0, 0.01))
        context.excess.append(extra - 0.03 * requested)

    check()


@then("the extra work is at most the share of the requests")
def step_extra(context):
    assert max(context.excess) <= 1e-9


@then("no extra attempt is allowed during an overload")
def step_paused(context):
    assert context.paused and not any(context.paused)


@when("random requests are routed by every policy")
def step_route(context):
    context.chosen, context.missing = [], []

    @property_given(st.integers(0, 2**32), st.sampled_from(ROUTING.names()))
    def check(seed, name):
        rng = random.Random(seed)
        policy, now = ROUTING.create(name).unwrap(), 0.0
        hosts = [f"r{n}" for n in range(rng.randint(1, 5))]
        for _ in range(40):
            now += rng.random()
            excluded = frozenset(rng.sample(hosts, rng.randint(0, len(hosts))))
            request = RouteRequest(
                is_short=rng.random() < 0.5,
                excluded=excluded,
                prefix_hashes=tuple(rng.choices(range(9), k=rng.randint(0, 3))),
            )
            views = [RunnerView(host=host, in_flight=rng.randint(0, 3)) for host in hosts]
            choice = policy.choose(request, views, now, rng)
            context.missing.append((choice is None) != (len(excluded) == len(hosts)))
            if choice is not None:
                context.chosen.append(choice.host in excluded)
                policy.on_sent(choice.host, request, now)
                policy.on_first_byte(choice.host, rng.random(), now)
                policy.on_progress(choice.host, rng.random(), now)
                policy.on_done(choice.host, rng.random() < 0.5, now)

    check()


@then("no choice is an excluded host")
def step_excluded(context):
    assert context.chosen and not any(context.chosen)


@then("there is a choice whenever one host is not excluded")
def step_choice(context):
    assert not any(context.missing)


@when("one of five hosts is slowed for a while")
def step_slow_host(context):
    rng, policy, context.sent = random.Random(7), ROUTING.create("peer_compared").unwrap(), []
    views = [RunnerView(host=f"r{n}") for n in range(5)]
    for tick in range(750):
        now = tick * 0.04
        slow = 5.0 <= now < 10.0
        request = RouteRequest(is_short=True)
        host = policy.choose(request, views, now, rng).host
        context.sent.append((now, host))
        policy.on_sent(host, request, now)
        policy.on_first_byte(host, 2.0 if slow and host == "r0" else 0.2, now)
        for view in views:
            is_slow = slow and view.host == "r0"
            if not is_slow or tick % 10 == 0:
                policy.on_progress(view.host, 0.4 if is_slow else 0.04, now)
        policy.on_done(host, True, now)


def share_of_slow_host(context, start, end):
    """Return the share of requests between two times that the slowed host received."""
    hosts = [host for now, host in context.sent if start <= now < end]
    return hosts.count("r0") / len(hosts)


@then("it receives only probes while it is slowed")
def step_probes(context):
    # Detection takes one second; then at most one request in two seconds, of 25 per second.
    assert share_of_slow_host(context, 6.0, 10.0) <= 3 / 100


@then("it receives its share again soon afterwards")
def step_restored(context):
    assert share_of_slow_host(context, 14.0, 30.0) >= 0.1


@when("a large account fills the concurrency limit")
def step_admission(context):
    admission = Admission(
        rng=random.Random(2), options=AdmissionOptions(min_limit=10, max_limit=40)
    )
    large, small = AdmissionRequest(account="big"), AdmissionRequest(account="small")
    # The small account sends a request now and then, so it counts as active.
    context.small = [admission.admit(small, 0.0)]
    context.large = [admission.admit(large, 0.1) for _ in range(200)]
    context.small += [admission.admit(small, 0.2) for _ in range(3)]
    context.limit, context.in_flight = admission.limit, admission.in_flight


@then("a small account is still admitted")
def step_small_admitted(context):
    assert all(isinstance(result, Success) for result in context.small)
    assert context.in_flight <= context.limit


@then("every refusal has a retry time within the bounds")
def step_refusals(context):
    hints = [r.failure().retry_after_s for r in context.large if isinstance(r, Failure)]
    # Pauses are at least 0.2 s and at most 10 s, spread over twice their length.
    assert hints and all(0.2 <= hint <= 20.0 for hint in hints)
    assert len(set(hints)) > len(hints) // 2


@when("a runner of a fleet with gaps of 20 ms is silent and then silent for long")
def step_silent_runner(context):
    routing = ROUTING.create("peer_compared").unwrap()
    for host in ("a", "b", "c"):
        routing.on_sent(host, RouteRequest(), 0.0)
        routing.on_first_byte(host, 0.04, 0.04)
        routing.on_progress(host, 0.02, 0.06)
        routing.on_sent(host, RouteRequest(), 0.06)
    context.slowdowns = [routing.slowdown("a", at) for at in (0.2, 0.3, 1.06)]


@then("it counts as slow only after the long silence")
def step_slow_late(context):
    early, later, last = context.slowdowns
    assert early == later == 1.0 and last > 3.0, context.slowdowns
