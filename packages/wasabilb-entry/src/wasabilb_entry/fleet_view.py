"""An entry process's view of the fleet, from which it routes requests."""

import math
import random
from collections.abc import Callable, Collection

from attrs import frozen
from wasabilb_core.attempts import AttemptEnd
from wasabilb_core.catalog import Catalog, EngineSpec, RequestKind, Route
from wasabilb_core.entry_roster import EntryPlace
from wasabilb_core.forwarding_metadata import AnswerMetadata
from wasabilb_core.overload import SPARE_SLOTS, HeldLimit
from wasabilb_core.peering import followed_runners, has_send_notices
from wasabilb_core.retry_after import (
    NO_RUNNER_RETRY_S,
    NO_VERSION_RETRY_S,
    RETRY_SPREAD,
    LoadOrders,
)
from wasabilb_core.retry_window import RetryWindow
from wasabilb_core.routing import ROUTING, RouteRequest, RunnerView, expected_wait_s, load_of
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_limits import LimitChange, RunnerLimits
from wasabilb_core.runner_stats import LoadReport, RunnerStats, completion_interval_s
from wasabilb_core.unreported_load import assume_load
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.published_view import PublishedView
from wasabilb_wire.messages import RunnerReport

from wasabilb_entry.stream_mover import StreamMover
from wasabilb_entry.version_bound import VersionBound

# Silence of a stream's runner after which another one is asked to take over, seconds. Sound runners
# fall silent for a second or so. Callers leave after the longest of 2 s, 4 latency objectives and 8
# gap objectives; the other runner needs part of that to begin.
STREAM_GAP_S = 1.2
MAX_STREAM_GAP_S = 2.0
STREAM_FIRST_BYTE_S = 2.0
CALLER_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAP_OBJECTIVES = 8.0
TAKE_OVER_RESERVE_S = 0.8
# Part of a plain request's timeout after which a repeatable one is tried elsewhere.
PLAIN_SILENCE_SHARE = 0.4
# Routing costs of distance, seconds. A request to another region puts 5 KB on a narrow link; a wait
# of up to this cost in the own region is preferred.
OTHER_DOMAIN_S = 0.004
OTHER_REGION_S = 0.030
# Long answers avoid runners that take at least this many times longer than usual.
SLOWED_PACE = 1.5
# A request that is withdrawn may begin until its runner detects the closed connection: up to 0.1 s,
# and the delay of the link.
BEGIN_MARGIN_S = 0.2


@frozen(kw_only=True)
class FleetLimits:
    """Limits set by the deployment.

    Parameters
    ----------
    retry_ratio : float
        Repeated sends per request.
    retry_slack : float
        Additional repeated sends of the whole fleet per window.
    retry_window_s : float
        Length of the window.
    version_s : float
        Time within which a named version must be in force.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    version_s: float


@frozen(kw_only=True)
class Placement:
    """Runner that receives a request, and the known load behind the choice.

    Parameters
    ----------
    runner : Runner
        The runner.
    version : int or None
        Version of the weights that the runner holds, None if any may answer.
    load : str
        Requests running and waiting, and slots, as far as known.
    load_age_ms : float or None
        Age of the report.
    wait_s : float
        Expected wait for a slot in the batch.
    """

    runner: Runner
    version: int | None
    load: str
    load_age_ms: float | None
    wait_s: float


class FleetView:
    """Runners, their load, and the budget for repeated sends.

    Parameters
    ----------
    published : PublishedView
        Catalog, runners and versions of weights.
    failure_domain : str
        Where this process runs.
    regions : dict of str
        Region of each failure domain.
    pool : ConnectionPool
        Connections to runners.
    limits : FleetLimits
        Limits of the deployment.
    rng : random.Random
        Breaks ties.
    processes : callable
        Returns the number of entry processes that share the budget.
    announce_send : callable
        Announces a send to the other entry processes, by its runner and the tokens of its prompt.
    runner_limits : RunnerLimits
        Limits that runners name.
    """

    def __init__(
        self,
        *,
        published: PublishedView,
        failure_domain: str,
        regions: dict[str, str],
        pool: ConnectionPool,
        limits: FleetLimits,
        rng: random.Random,
        processes: Callable[[], int],
        announce_send: Callable[[str, int], None],
        runner_limits: RunnerLimits,
    ) -> None:
        self.published = published
        self.directory = published.directory
        self.runner_limits = runner_limits
        self.stats = RunnerStats(limits=runner_limits)
        self.pool = pool
        self._failure_domain = failure_domain
        self._regions = regions
        self._limits = limits
        self.version_bound = VersionBound(
            published=published, version_s=limits.version_s, begin_margin_s=BEGIN_MARGIN_S
        )
        self._rng = rng
        self._processes = processes
        self._announce_send = announce_send
        # By whether this process and those that share its runners exchange send notices.
        self._routing = {
            True: ROUTING.create("batch_backlog").unwrap(),
            False: ROUTING.create("batch_sampled").unwrap(),
        }
        self._has_send_notices = True
        self._retry_windows: dict[str, RetryWindow] = {}
        self._load_orders = LoadOrders()
        self.stream_mover = StreamMover(free_slots=self._free_slots)
        # Model runners whose load is reported to this process, by service.
        self._followed: dict[str, set[str]] = {}
        # Idle connections to a leaving runner take capacity that other runners need.
        published.on_runner_leaving.append(lambda runner: self.pool.drop(runner.address))

    @property
    def catalog(self) -> Catalog | None:
        """Return the catalog in force."""
        return self.published.catalog

    def on_limits(self, limits: FleetLimits) -> None:
        """Apply new limits; a change restarts the retry budgets."""
        if limits != self._limits:
            self._limits = limits
            self.version_bound.on_limit(limits.version_s)
            self._retry_windows.clear()

    def on_report(self, report: RunnerReport) -> None:
        """Process a report of the agent beside a model runner."""
        runner = self.directory.get(report.runner)
        if runner is None or runner.born_ms != report.born_ms:
            return
        if report.is_reachable:
            self.directory.on_weights(
                runner.id, runner.born_ms, report.version, report.layer_from, report.layer_to
            )
        self.stats.on_report(
            runner,
            LoadReport(
                running=report.running,
                waiting=report.waiting,
                at=now(),
                pace=report.pace,
                is_busy=report.is_busy,
                is_reachable=report.is_reachable,
                is_easing=report.is_easing,
            ),
        )
        if report.is_reachable and report.running > 0 and not report.is_busy:
            self.stats.pauses.on_serving(runner, now())
        is_busy = report.is_busy and report.is_reachable
        self._load_orders.on_report(runner.id, is_busy=is_busy, running=report.running, now=now())
        self.stream_mover.on_report(runner.id, is_busy=is_busy)

    def forget(self, runner_id: str) -> None:
        """Discard the data of a removed runner."""
        self.stats.forget(runner_id, now())
        self.runner_limits.forget(runner_id, now())
        self._load_orders.forget(runner_id)

    def follow(self, own: EntryPlace, places: Collection[EntryPlace]) -> list[Runner]:
        """Choose the model runners that this process follows, and return them.

        Parameters
        ----------
        own : EntryPlace
            This process.
        places : collection of EntryPlace
            All known entry processes.
        """
        self._has_send_notices = has_send_notices(places, own.failure_domain)
        services = {r.service for r in self.directory if self.engine(r.service) is not None}
        self._followed = {
            service: followed_runners(own, places, self.directory.routable(service))
            for service in services
        }
        return [r for r in self.directory if r.id in self._followed.get(r.service, ())]

    def on_request(self, service: str) -> None:
        """Count a request for the retry budget."""
        self._retry_window(service).on_request(now())

    def spend_retry(self, service: str) -> bool:
        """Charge a repeated send to the budget; False if the budget is used up."""
        return self._retry_window(service).spend(now(), self._processes())

    def on_sent(self, runner: Runner, prompt_tokens: int) -> None:
        """Count a send and announce it to the other entry processes if it needs a model runner."""
        engine = self.engine(runner.service)
        if engine is None:
            self.stats.on_sent(runner, now())
            return
        self.stats.on_sent(runner, now(), engine.prefill_s(prompt_tokens))
        if self._has_send_notices:
            self._announce_send(runner.id, prompt_tokens)

    def on_peer_sent(self, runner_id: str, prompt_tokens: int) -> None:
        """Count a send of another entry process."""
        runner = self.directory.get(runner_id)
        engine = self.engine(runner.service) if runner is not None else None
        if runner is not None and engine is not None:
            self.stats.on_peer_sent(runner, now(), engine.prefill_s(prompt_tokens))

    def on_ended(self, runner: Runner) -> None:
        """Count the end of a send."""
        self.stats.on_ended(runner)

    def on_unsent(self, runner: Runner, placed_at: float) -> None:
        """Take back a request that was counted as sent at a time and was not."""
        self.runner_limits.on_unsent(runner, placed_at)

    def may_send(self, runner: Runner, placed_at: float, wait_s: float = 0.0) -> bool:
        """Return whether a request may still be sent to the runner chosen for it at a time.

        Parameters
        ----------
        wait_s : float
            Wait at the runner that was expected when it was chosen.
        """
        self.published.expire_runners()
        moment = now()
        if not self.directory.may_receive(runner):
            return False
        report_age_s = self.stats.report_age_s(runner, moment)
        if not self.version_bound.begins_in_time(runner, wait_s=wait_s, report_age_s=report_age_s):
            return False
        if self.stats.pauses.has_requested_pause(runner, moment):
            return False
        return self.runner_limits.confirm(runner, placed_at, moment)

    def on_wanted(self, service: str, excluded: Collection[str]) -> None:
        """Record a request that any runner of a service could serve, except the excluded ones."""
        if self.runner_limits:
            moment = now()
            followed = self._followed.get(service)
            runners = [
                r
                for r in self._capable(service)
                if r.id not in excluded and (followed is None or r.id in followed)
            ]
            self.runner_limits.on_demand(runners, moment)

    def on_answer_head(
        self, runner: Runner, metadata: AnswerMetadata, *, is_own: bool = True
    ) -> LimitChange | None:
        """Process the head of any answer of a runner and return what it changes about its limit.

        Parameters
        ----------
        is_own : bool
            Whether it answers the request that was sent, and not an earlier one.
        """
        if metadata.is_leaving:
            self.published.on_runner_announced(runner, metadata.request_id)
        if metadata.pause is not None:
            spread = self._rng.random()
            self.stats.pauses.on_pause(runner, metadata.pause.seconds, now(), spread=spread)
        # A refusal or a late copy of an answer that names no limit does not end one.
        has_said = metadata.limit is not None or (metadata.is_sealed and is_own)
        if not metadata.is_from_runner or not has_said:
            return None
        return self.runner_limits.on_answer(runner, metadata.limit, now())

    def on_silent(self, runner: Runner) -> None:
        """Process that a runner has sent nothing for long, as it may be dead."""
        self.stats.pauses.on_silent(runner, now())
        self.pool.drop(runner.address)

    def may_repeat(self, service: str) -> bool:
        """Return whether the budget allows a repeated send now."""
        return self._retry_window(service).allowance(now(), self._processes()) >= 1

    def on_attempt_ended(self, runner: Runner, end: AttemptEnd, metadata: AnswerMetadata) -> None:
        """Process the end of an attempt."""
        moment = now()
        if metadata.load is not None and self.engine(runner.service) is None:
            self.stats.on_report(runner, metadata.load)
        if end in (AttemptEnd.NOT_SENT, AttemptEnd.BROKEN):
            self.stats.pauses.on_failure(runner, moment)
            if end is not AttemptEnd.BROKEN:
                self.pool.drop(runner.address)
        elif end is AttemptEnd.REFUSED:
            self.stats.pauses.on_full(runner, moment)
        elif end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self.stats.pauses.on_success(runner)
        if not self.directory.may_receive(runner):
            self.pool.drop(runner.address)

    def silence_limits_s(self, service: str, route: Route) -> tuple[float, float]:
        """Return the silence before and between the parts of an answer that is noticed."""
        if route.kind is RequestKind.STREAM:
            patience_s = max(
                CALLER_PATIENCE_S,
                PATIENCE_OBJECTIVES * route.objective_s,
                PATIENCE_GAP_OBJECTIVES * route.gap_objective_s,
            )
            gap_s = min(MAX_STREAM_GAP_S, patience_s - TAKE_OVER_RESERVE_S)
            return STREAM_FIRST_BYTE_S, max(STREAM_GAP_S, gap_s)
        if route.is_repeatable and route.max_attempts > 1:
            return (PLAIN_SILENCE_SHARE * route.timeout_s,) * 2
        return route.timeout_s, route.timeout_s

    def views(self, service: str, request: RouteRequest) -> list[RunnerView]:
        """Return the runners to which a request may be sent now."""
        self.published.expire_runners()
        moment = now()
        engine = self.engine(service)
        capable = [r for r in self._capable(service) if r.id not in request.excluded]
        usable = [r for r in capable if self.stats.is_usable(r, moment)]
        followed = self._followed.get(service)
        if followed is not None:
            # The load of the others is only assumed, as they do not report to this process.
            usable = [r for r in usable if r.id in followed] or usable
        if engine is None:
            blocked = self.stats.pauses.is_blocked
            usable = usable or [r for r in capable if not blocked(r, moment)]
            return [self._view(runner, engine, moment) for runner in usable]
        long_ids = self._long_runners(service)
        views = [
            (r, self._view(r, engine, moment, is_preferred_for_long=r.id in long_ids))
            for r in usable
        ]
        begins_in_time = self.version_bound.begins_in_time
        return [
            v
            for r, v in views
            if begins_in_time(r, wait_s=expected_wait_s(v), report_age_s=v.report_age_s)
        ]

    def requested_pause_s(self, service: str) -> float | None:
        """Return the seconds until the first requested pause of a service's runners ends.

        None unless all runners that could serve have requested one.
        """
        moment = now()
        return self.stats.pauses.requested_pause_s(self._capable(service), moment)

    def ramping_count(self, service: str) -> int:
        """Return how many runners of a service receive requests again soon, but not now."""
        moment = now()
        return self.stats.pauses.ramping_count(self._capable(service), moment)

    def _capable(self, service: str) -> list[Runner]:
        """Return the runners that hold the weights that a service needs."""
        engine = self.engine(service)
        version = self.version_bound.required_version(service)
        routable = self.directory.routable(service)
        return [runner for runner in routable if self._can_serve(runner, engine, version)]

    def _long_runners(self, service: str) -> set[str]:
        """Return every second runner at the usual pace, some in each failure domain."""
        routable = self.directory.routable(service)
        runners = [runner for runner in routable if self.stats.pace(runner) < SLOWED_PACE]
        ordered = sorted(runners, key=lambda runner: (runner.failure_domain, runner.id))
        return {runner.id for runner in ordered[::2]}

    def choose(self, request: RouteRequest, views: list[RunnerView]) -> RunnerView | None:
        """Return the best of the given runners."""
        return self._routing[self._has_send_notices].choose(request, views, now(), self._rng)

    def placement(self, service: str, chosen: RunnerView) -> Placement | None:
        """Return the placement on a chosen runner, None if it has just been removed."""
        runner = self.directory.get(chosen.host)
        if runner is None:
            return None
        is_known = chosen.report_age_s < math.inf
        is_version_required = self.version_bound.required_version(service) is not None
        return Placement(
            runner=runner,
            # A runner refuses any other version than its own, also an older one.
            version=runner.version if is_version_required else None,
            load=f"{chosen.reported_running}+{chosen.reported_queued}/{chosen.slots}",
            load_age_ms=chosen.report_age_s * 1000 if is_known else None,
            wait_s=expected_wait_s(chosen),
        )

    def held_limit(self, service: str, *, runners: int, recent_rate: float) -> HeldLimit:
        """Return how many requests of a service this process may hold.

        Parameters
        ----------
        runners : int
            Runners of the service that can be used now.
        recent_rate : float
            Held requests per second that recently got a slot, infinite while none expired.
        """
        return HeldLimit(
            runners=runners,
            completion_interval_s=completion_interval_s(self.engine(service)),
            processes=self._sharing_processes(service),
            recent_rate=recent_rate,
        )

    def expected_recovery_s(self, service: str) -> float:
        """Return the expected seconds until a service without usable runner serves again."""
        engine, moment = self.engine(service), now()
        routable = self.directory.routable(service)
        if engine is None or not routable:
            return NO_RUNNER_RETRY_S
        answer_s = engine.completion_interval_s * engine.slots
        # No caller should retry before a load has ended.
        ends = [
            self._load_orders.time_left_s(r.id, now=moment, answer_s=answer_s, slots=engine.slots)
            / RETRY_SPREAD[0]
            for r in routable
        ]
        if self._capable(service):
            # A capable runner is excluded by its report or its connections while a fault lasts.
            ends.append(NO_RUNNER_RETRY_S)
        return min(NO_VERSION_RETRY_S, *ends)

    def _view(
        self,
        runner: Runner,
        engine: EngineSpec | None,
        moment: float,
        *,
        is_preferred_for_long: bool = False,
    ) -> RunnerView:
        view = self.stats.view(
            runner,
            now=moment,
            engine=engine,
            access_cost_s=self._access_cost_s(runner.failure_domain),
            is_preferred_for_long=is_preferred_for_long,
        )
        if engine is None or view.report_age_s < math.inf:
            return view
        return assume_load(view, sharing_processes=self._sharing_processes(runner.service))

    def _can_serve(self, runner: Runner, engine: EngineSpec | None, version: int | None) -> bool:
        if engine is None:
            return True
        if not runner.has_all_layers(engine.layers):
            return False
        return version is None or runner.version >= version

    def _free_slots(self, runner_id: str) -> int:
        """Return the slots that this process may use for streams of a loading runner."""
        runner = self.directory.get(runner_id)
        if runner is None:
            return 0
        views = self.views(runner.service, RouteRequest(excluded={runner_id}))
        free = sum(self._free_slots_at(view) for view in views)
        # Rounded at random: all processes move their streams at once, and rounded up, their parts
        # of a few slots would exceed these.
        return math.floor(free / self._sharing_processes(runner.service) + self._rng.random())

    def _free_slots_at(self, view: RunnerView) -> float:
        """Return the free slots of a runner, limited to the requests that it may receive now."""
        runner = self.directory.get(view.host)
        allowance = self.stats.pauses.allowance(runner, now()) if runner is not None else 0.0
        return min(allowance, max(0, view.slots - load_of(view) - SPARE_SLOTS))

    def _sharing_processes(self, service: str) -> float:
        """Return the entry processes that share the followed runners of a service."""
        total = len(self.directory.routable(service))
        followed_share = len(self._followed.get(service, ())) / total if total else 1.0
        return max(1.0, self._processes() * min(1.0, followed_share or 1.0))

    def _access_cost_s(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        own_region = self._regions.get(self._failure_domain)
        return OTHER_DOMAIN_S if self._regions.get(failure_domain) == own_region else OTHER_REGION_S

    def engine(self, service: str) -> EngineSpec | None:
        """Return the engine specification of a service, None for a plain one."""
        return self.published.engine(service)

    def _retry_window(self, service: str) -> RetryWindow:
        window = self._retry_windows.get(service)
        if window is None:
            window = self._retry_windows[service] = RetryWindow(
                ratio=self._limits.retry_ratio,
                slack=self._limits.retry_slack,
                window_s=self._limits.retry_window_s,
            )
        return window
