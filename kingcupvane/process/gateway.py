"""The gateway daemon, configured by plans in the platform's store."""

import random
import signal
from collections.abc import Callable
from functools import partial
from itertools import chain
from typing import Protocol

import msgspec
import trio

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock, SystemClock
from kingcupvane.connection import listener
from kingcupvane.connection.endpoints import Endpoints
from kingcupvane.connection.inbound import ServerState
from kingcupvane.connection.memory_budget import (
    MEBIBYTE,
    MemoryBudget,
    limits_for,
)
from kingcupvane.connection.messages import (
    FrameCodec,
    GatewayRecord,
    MirrorSource,
)
from kingcupvane.connection.peer import PeerClient, PeerServer
from kingcupvane.connection.target_connection import ConnectionPool
from kingcupvane.errors import UsageError
from kingcupvane.process.catalog import Catalog, CatalogUpdate, GatewayUpdate
from kingcupvane.process.crash_trials import CrashTrials
from kingcupvane.process.crash_verifier import CrashVerifier
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.evidence_collection import EvidenceCollector
from kingcupvane.process.freshness import Staleness
from kingcupvane.process.item import Item
from kingcupvane.process.known_fleet import KnownFleet
from kingcupvane.process.lateness import LatenessMeter
from kingcupvane.process.logs import LogBuffer, RequestLog
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable, advertised_records
from kingcupvane.process.replication import (
    LEASE_TTL_PER_CONTACT_TIMEOUT,
    GatewayRegistration,
    StoreReplicator,
)
from kingcupvane.process.reporting import Reporter
from kingcupvane.process.rollout import RolloutStates, TrackedRollouts
from kingcupvane.process.rollout_task import RolloutRecordEncoder, RolloutTask
from kingcupvane.process.store import Store
from kingcupvane.process.supervisor import supervise
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.process.usage_receiver import UsageReceiver
from kingcupvane.process.usage_reporting import UsageReporting
from kingcupvane.request.cold_bound import ColdBound
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.gateway_request import WireNames
from kingcupvane.request.pace import PacingGateway
from kingcupvane.request.pipeline import RequestPipeline, Shutdown
from kingcupvane.request.placement import Locality
from kingcupvane.request.quota import DistributedQuota
from kingcupvane.request.retry_budgets import RetryAllowance, RetryBudgets
from kingcupvane.request.selection import TargetSelector
from kingcupvane.request.sending import TargetSender
from kingcupvane.settings import GatewaySettings, RetrySettings

# Timeout of a message to a peer, in seconds.
PEER_TIMEOUT_S = 0.8
HOUSEKEEPING_PERIOD_S = 0.2
SLOW_HOUSEKEEPING_PERIOD_S = 1.0
# A graceful stop ends this long before the platform sends SIGKILL, in seconds.
KILL_MARGIN_S = 0.35
# A stopping gateway exits after this long without requests, in seconds.
STOP_IDLE_S = 1.2
STOP_POLL_S = 0.05
# Time after a restart for which a gateway waits for the first report of a peer
# before it is ready, in seconds: three periods of reports.
RECOVERY_MAX_S = 0.6
# Time after a start for which look-ups wait until a gateway is ready, in
# seconds; callers allow one second for a look-up.
LOOKUP_WAIT_MAX_S = RECOVERY_MAX_S + 0.15
# Time after SIGTERM from which no new connections are accepted, in seconds.
STOP_ACCEPT_MAX_S = 3.0
# Time after SIGTERM from which a request is refused unless its deadline lies
# before the end of the stop, in seconds.
LATE_REQUEST_S = 2.7
# Room for the request line beside the headers, in bytes.
REQUEST_LINE_MAX_BYTES = 8192
# Time that a head may take beyond the plan's limit while the process is busy.
HEAD_TIMEOUT_MARGIN_S = 1.0
TIMELINE_EVENTS_MAX = 2000


class ItemDecoder(Protocol):
    """Decoder of the items in a platform's store."""

    def decode(self, item: Item) -> CatalogUpdate | None:
        """Returns the update in an item, None for an item to be ignored."""


class GatewayDaemon:
    """Creates and connects the components of a gateway and runs them."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: Store,
        decoder: ItemDecoder,
        names: WireNames,
        encode_rollout_record: RolloutRecordEncoder,
        rollout_record_prefix: str,
        usage_receiver: UsageReceiver | None = None,
        reload: Callable[[], GatewaySettings] | None = None,
        log_buffer: LogBuffer | None = None,
        clock: Clock | None = None,
    ):
        """Creates a daemon; `run` starts it.

        Args:
            settings: Validated settings.
            store: Client of the platform's store.
            decoder: Decodes the items of the store.
            names: Names used on the wire, such as headers and paths.
            encode_rollout_record: Encodes rollout records for the store.
            rollout_record_prefix: Key prefix of the rollout records in the
                store.
            usage_receiver: Receiver of usage reports; None where the platform
                asks for none.
            reload: Reads the settings again on SIGHUP; None ignores SIGHUP.
            log_buffer: Buffer of the log lines; None when they are unbuffered.
            clock: Monotonic and wall clock; the system's by default.
        """
        self._settings = settings
        self._reload = reload
        self._store = store
        self._names = names
        self._memory = MemoryBudget(
            limits=limits_for(
                settings.memory_mb * MEBIBYTE,
                base_bytes=settings.base_memory_mb * MEBIBYTE,
            )
        )
        self._caller_server_state = ServerState(
            connections_max=settings.connections_allowed,
            memory=self._memory.connections,
            bodies=self._memory.bodies,
            responses=self._memory.responses,
        )
        self._decoder = decoder
        self._clock = clock or SystemClock()
        self._hybrid_clock = HybridClock(clock=self._clock)
        self._timeline = Timeline(
            process=settings.name,
            clock=self._hybrid_clock,
            capacity=TIMELINE_EVENTS_MAX,
        )
        self._metrics = GatewayMetrics()
        self._request_log = RequestLog(
            process=settings.name,
            clock=self._clock,
            state_fields=self._mirror_fields,
        )
        self._log_buffer = log_buffer
        self._stop = trio.Event()
        self._stop_accepting = trio.Event()
        self._callers_served = trio.Event()
        self._is_leaving = False
        self._create_state()
        self._create_connections()
        self._usage = self._create_usage(usage_receiver)
        self._create_control_tasks(encode_rollout_record, rollout_record_prefix)
        self._create_pipeline()

    def _create_state(self) -> None:
        settings = self._settings
        now = self._clock.now()
        self._started_at = now
        incarnation = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        own = GatewayRecord(
            name=settings.name,
            incarnation=incarnation,
            region=settings.region,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=f"{settings.ip}:{settings.peer_port}",
            link_mbps=settings.link_mbps,
        )
        self._peers = PeerTable(own=own)
        self._mirror = Mirror(prefix="")
        self._quota = DistributedQuota(
            now=now,
            name=settings.name,
            is_initial_deployment=settings.first_start,
        )
        self._catalog = Catalog(
            name=settings.name,
            locality=Locality(
                data_centre=settings.data_centre, region=settings.region
            ),
            quota=self._quota,
            clock=self._clock,
            timeline=self._timeline,
            cold_bound=ColdBound(
                excess=settings.cold_excess, extra=settings.cold_extra
            ),
        )
        self._retry_settings = RetrySettings()
        self._crashes = CrashRegistry(settings=self._retry_settings)
        self._rollout_states = RolloutStates()
        self._evidence = EvidenceCounter()
        self._tracked_rollouts = TrackedRollouts()
        self._logged_retries: dict[tuple[str, str], int] = {}

    def _create_connections(self) -> None:
        settings = self._settings
        # Gateways have no shared secret. The store's address as the key
        # separates fleets that use different stores, but does not authenticate
        # peers.
        self._codec = FrameCodec(secret=settings.store.address.encode())
        self._peer_client = PeerClient(
            codec=self._codec,
            clock=self._hybrid_clock,
            timeout_s=PEER_TIMEOUT_S,
        )
        self._pool = ConnectionPool(
            clock=self._clock,
            memory=self._memory.responses,
        )
        self._replicator = StoreReplicator(
            store=self._store,
            mirror=self._mirror,
            peers=self._peers,
            settings=settings.store,
            apply_items=self._apply_items,
            begin_era=self._catalog.begin_store_era,
            held_up_s=lambda now: self._lateness.held_up_s(now),
            clock=self._clock,
            timeline=self._timeline,
        )
        self._registration = GatewayRegistration(
            store=self._store,
            mirror=self._mirror,
            record=self._peers.own,
            ttl_s=max(
                settings.store.lease_min_s,
                LEASE_TTL_PER_CONTACT_TIMEOUT * settings.contact_s,
            ),
            clock=self._clock,
        )
        self._known_fleet = KnownFleet(
            peers=self._peers, is_listed=self._registration.is_listed
        )
        self._crash_trials = CrashTrials(
            crashes=self._crashes,
            peers=self._peers,
            client=self._peer_client,
            is_ready=self._is_ready,
            clock=self._clock,
            timeline=self._timeline,
        )
        self._crash_verifier = CrashVerifier(
            crashes=self._crashes,
            evidence=self._evidence,
            clock=self._clock,
            timeline=self._timeline,
        )

    def _create_usage(
        self, receiver: UsageReceiver | None
    ) -> UsageReporting | None:
        if self._settings.usage is None or receiver is None:
            return None
        return UsageReporting(
            settings=self._settings,
            receiver=receiver,
            store=self._store,
            mirror=self._mirror,
            peers=self._peers,
            is_eligible=self._is_ready,
            metrics=self._metrics,
            clock=self._clock,
            timeline=self._timeline,
        )

    def _create_control_tasks(
        self,
        encode_rollout_record: RolloutRecordEncoder,
        rollout_record_prefix: str,
    ) -> None:
        settings = self._settings
        port = settings.peer_port
        collector = EvidenceCollector(
            evidence=self._evidence,
            peers=self._peers,
            client=self._peer_client,
            clock=self._clock,
        )
        self._reporter = Reporter(
            peers=self._peers,
            client=self._peer_client,
            seeds=[f"{s.rpartition(':')[0]}:{port}" for s in settings.seeds],
            replicator=self._replicator,
            mirror=self._mirror,
            catalog=self._catalog,
            quota=self._quota,
            crashes=self._crashes,
            trials=self._crash_trials,
            rollout_states=self._rollout_states,
            tracked_rollouts=self._tracked_rollouts,
            collector=collector,
            is_ready=self._is_ready,
            clock=self._clock,
            hybrid_clock=self._hybrid_clock,
            timeline=self._timeline,
            usage=self._usage and self._usage.exchange,
        )
        self._peer_server = PeerServer(
            address=self._peers.own.peer_address,
            codec=self._codec,
            clock=self._hybrid_clock,
            handler=self._reporter.reply_to,
        )
        self._rollout_task = RolloutTask(
            tracked_rollouts=self._tracked_rollouts,
            rollout_states=self._rollout_states,
            catalog=self._catalog,
            collector=collector,
            peers=self._peers,
            store=self._store,
            mirror=self._mirror,
            encode_rollout_record=encode_rollout_record,
            rollout_record_prefix=rollout_record_prefix,
            exposure=settings.exposure_share,
            is_ready=self._is_ready,
            apply_state=self._reporter.apply_state,
            publish=self._reporter.request_broadcast,
            apply_items=self._apply_items,
            clock=self._clock,
            timeline=self._timeline,
        )
        self._endpoints = Endpoints(
            settings=settings,
            names=self._names,
            peers=self._peers,
            metrics=self._metrics,
            update_gauges=self._update_gauges,
            is_ready=self._is_ready,
            wait_until=self._started_at + LOOKUP_WAIT_MAX_S,
            stop=self._stop,
            clock=self._clock,
        )

    def _create_pipeline(self) -> None:
        self._lateness = LatenessMeter(
            clock=self._clock,
            observe=partial(self._metrics.lateness_seconds.observe, {}),
            log_event=self._timeline.record,
        )
        settings = self._settings
        self._retry_budgets = RetryBudgets(
            allowance=RetryAllowance(
                share=settings.retry_share,
                extra=settings.retry_extra,
                window_s=settings.retry_window_s,
            ),
            now=self._clock.now(),
            draw=random.random,
        )
        selector = TargetSelector(
            catalog=self._catalog,
            rollout_states=self._rollout_states,
        )
        sender = TargetSender(
            catalog=self._catalog,
            pool=self._pool,
            selector=selector,
            crashes=self._crashes,
            evidence=self._evidence,
            metrics=self._metrics,
            names=self._names,
            clock=self._clock,
            log_event=self._timeline.record,
            report_suspected_crash=self._crash_verifier.report,
            check_suspected_crash=self._crash_verifier.check,
            report_unanswered=self._crash_verifier.report,
            usage=self._usage and self._usage.ledger,
        )
        self._pipeline = RequestPipeline(
            catalog=self._catalog,
            selector=selector,
            sender=sender,
            quota=self._quota,
            crashes=self._crashes,
            trials=self._crash_trials,
            retry_budgets=self._retry_budgets,
            metrics=self._metrics,
            names=self._names,
            clock=self._clock,
            log_event=self._request_log.log_event,
            count_refusal=self._request_log.count_refusal,
            bodies=self._memory.bodies,
            responses=self._memory.responses,
        )

    def _mirror_fields(self) -> dict[str, object]:
        """Returns how new the state is by which a request is served."""
        freshness = self._replicator.freshness
        return {
            "plan_age_s": round(freshness.age_s(self._clock.now()), 3),
            "era": self._mirror.as_of.era,
            "revision": self._mirror.as_of.revision,
        }

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        self._timeline.record("started", data_centre=self._settings.data_centre)
        async with trio.open_nursery() as nursery:
            for name, task in (
                ("feed", self._replicator.run),
                ("registration", self._registration.run),
                ("report", self._reporter.run),
                ("upkeep", self._run_housekeeping),
                ("lateness", self._lateness.run),
                ("rollouts", self._rollout_task.run),
                ("suspicions", self._crash_verifier.run),
                ("crash-trials", self._crash_trials.run),
                ("peers", self._peer_server.run),
            ):
                nursery.start_soon(supervise, name, task, self._timeline)
            if self._usage is not None:
                nursery.start_soon(
                    supervise, "usage", self._usage.task.run, self._timeline
                )
            nursery.start_soon(self._serve_callers)
            nursery.start_soon(self._endpoints.serve_readiness)
            nursery.start_soon(self._endpoints.serve_lookups)
            nursery.start_soon(self._endpoints.serve_metrics)
            nursery.start_soon(self._handle_signals)
            await self._stop.wait()
            nursery.cancel_scope.cancel()
        self._timeline.record("stopped")

    async def _serve_callers(self) -> None:
        await listener.serve(
            self._pipeline.handle,
            address=self._settings.caller_address,
            stop=self._stop_accepting,
            state=self._caller_server_state,
        )
        self._callers_served.set()

    def _is_ready(self) -> bool:
        if self._is_leaving or not self._catalog.plan.number:
            return False
        return self._has_recovered()

    def _has_recovered(self) -> bool:
        """Returns whether peers have had the time to tell what they know.

        The store does not list what targets have announced in responses.
        """
        now = self._clock.now()
        return (
            self._settings.first_start
            or now - self._started_at >= RECOVERY_MAX_S
            or not self._peers.is_alone(now)
        )

    def _apply_items(self, items: list[Item]) -> None:
        now = self._clock.now()
        for item in items:
            try:
                self._apply_item(item, now)
            except Exception as error:
                # One odd item must not keep the others from being applied.
                self._timeline.record(
                    "item-failed", key=item.key, why=repr(error)
                )
        if items and self._replicator.mirror_source is MirrorSource.STORE:
            self._reporter.request_broadcast()

    def _apply_item(self, item: Item, now: float) -> None:
        update = self._decoder.decode(item)
        if isinstance(update, GatewayUpdate):
            self._apply_gateway(update, now)
        elif update is not None:
            self._catalog.apply(update)

    def _apply_gateway(self, update: GatewayUpdate, now: float) -> None:
        # A gateway whose record was removed stays known until it has sent no
        # report for some time.
        if not update.value:
            self._known_fleet.remove_registered(update.name)
            return
        try:
            record = msgspec.json.decode(update.value, type=GatewayRecord)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._timeline.record(
                "gateway-record-unreadable", name=update.name, why=str(error)
            )
            return
        self._known_fleet.add_registered(update.name, record)
        self._peers.add_listed(record, now)

    async def _run_housekeeping(self) -> None:
        last_slow_housekeeping_at = 0.0
        while True:
            now = self._clock.now()
            self._catalog.pace.update_fleet(self._pacing_gateways(now), now)
            self._catalog.pace.advance(now)
            for name in self._peers.remove_expired(now):
                self._reporter.remove_gateway(name)
                self._timeline.record("gateway-forgotten", name=name)
            self._replicator.log_staleness(now)
            self._request_log.log_refusals()
            if not self._is_store_watched(now):
                self._catalog.mark_store_unreachable()
            self._catalog.remove_expired_targets()
            self._catalog.end_deferrals()
            self._catalog.target_limits.update(now)
            if self._usage is not None:
                self._usage.exchange.update()
            view = self._known_fleet.view(now)
            self._retry_budgets.update(view, self._catalog.demand(), now)
            self._quota.update_shares(
                chain(
                    self._catalog.plan.accounts_by_name.values(),
                    self._catalog.target_limits.limits(),
                ),
                now,
                heard_share=view.heard_share,
            )
            self._apply_caller_limits()
            if now - last_slow_housekeeping_at > SLOW_HOUSEKEEPING_PERIOD_S:
                last_slow_housekeeping_at = now
                self._catalog.update_spillover(self._demand_by_region(now))
                await self._pool.close_expired(self._catalog.views_by_name())
                self._log_retries(now)
            await trio.sleep(HOUSEKEEPING_PERIOD_S)

    def _pacing_gateways(self, now: float) -> list[PacingGateway]:
        """Returns the advertised gateways of all data centres."""
        records = advertised_records(
            self._peers,
            own_ready=self._is_ready(),
            registered=self._known_fleet.registered(),
            now=now,
        )
        heard = {self._settings.name, *self._peers.live_names(now)}
        return [
            PacingGateway(
                name=record.name,
                region=record.region,
                is_heard=record.name in heard,
            )
            for record in records
        ]

    def _apply_caller_limits(self) -> None:
        """Applies the plan's limits to the connections of callers."""
        limits = self._catalog.plan.limits
        state = self._caller_server_state
        state.keep_alive_s = limits.idle_timeout_s
        state.head_timeout_s = limits.header_timeout_s + HEAD_TIMEOUT_MARGIN_S
        state.head_max_bytes = limits.header_max_bytes + REQUEST_LINE_MAX_BYTES

    def _log_retries(self, now: float) -> None:
        """Logs the retries since the last call, by service and payment."""
        counts = self._retry_budgets.counts()
        parts = self._retry_budgets.parts()
        view = self._known_fleet.view(now)
        for (service, payment), count in counts.items():
            added = count - self._logged_retries.get((service, payment), 0)
            if added:
                self._timeline.record(
                    "retries",
                    service=service,
                    payment=payment,
                    count=added,
                    part=round(parts.get(service, 0.0), 4),
                    live=view.live_count,
                    known=view.known_count,
                    registered=view.is_registered,
                )
        self._logged_retries = counts

    def _update_gauges(self) -> None:
        """Sets the gauges to the current state."""
        now = self._clock.now()
        metrics = self._metrics
        metrics.active.set({}, self._pipeline.active_request_count)
        metrics.plan_number.set({}, self._catalog.plan.number)
        metrics.plan_age_seconds.set(
            {}, round(self._replicator.freshness.age_s(now), 3)
        )
        metrics.mirror_age_seconds.set(
            {}, round(now - self._replicator.confirmed_at, 3)
        )
        metrics.mirror_revision.set({}, self._mirror.as_of.revision)
        metrics.store_era.set({}, self._mirror.as_of.era)
        metrics.peer_revision.set(
            {}, self._replicator.freshness.newest.revision
        )
        metrics.answered_revision.set(
            {}, self._replicator.freshness.answered.revision
        )
        staleness = self._replicator.freshness.staleness(now)
        for state in Staleness:
            metrics.mirror_state.set(
                {"state": state.value}, int(state is staleness)
            )
        for (message, error), count in self._peer_client.failures.items():
            labels = {"message": message, "error": error}
            metrics.peer_failures.set(labels, count)
        for (message, error), count in self._peer_server.failures.items():
            labels = {"message": message, "error": error}
            metrics.peer_reply_failures.set(labels, count)
        metrics.gateways.set({}, len(self._peers.live_names(now)))
        metrics.connections_opened.set({}, self._pool.opened)
        metrics.connections_accepted.set({}, self._caller_server_state.accepted)
        metrics.connections_open.set({}, self._caller_server_state.open_count)
        metrics.body_evictions.set({}, self._memory.bodies.evictions)
        metrics.response_evictions.set({}, self._memory.responses.evictions)
        for use, size_bytes in self._memory.used_by_use().items():
            metrics.memory_used_bytes.set({"use": use}, size_bytes)
        for use, size_bytes in self._memory.max_by_use().items():
            metrics.memory_max_bytes.set({"use": use}, size_bytes)
        metrics.connections_waiting.set(
            {}, self._caller_server_state.accept_batch_size
        )
        for operation, count in self._store.calls.items():
            metrics.store_calls.set({"operation": operation}, count)
        for service, count in self._catalog.target_counts().items():
            metrics.targets.set({"service": service}, count)
        for service, count in self._catalog.leaving_counts().items():
            metrics.targets_leaving.set({"service": service}, count)
        for service, count in self._catalog.deferred_counts().items():
            metrics.targets_deferred.set({"service": service}, count)
        for state, count in self._catalog.pace_counts().items():
            metrics.targets_pace.set({"state": state}, count)
        for service, state in self._catalog.load_shedder.states(now).items():
            metrics.overload.set({"service": service}, int(state.is_overloaded))
            metrics.slots_wanted.set(
                {"service": service}, round(state.wanted, 1)
            )
            for priority, share in state.shares.items():
                labels = {"service": service, "priority": str(priority)}
                metrics.priority_share.set(labels, round(share, 3))
        for account, tokens in self._quota.tokens_by_account().items():
            if account in self._catalog.plan.accounts_by_name:
                metrics.quota_left.set({"account": account}, round(tokens, 1))
        for service, rates in self._catalog.limited_rates().items():
            metrics.targets_limited.set({"service": service}, len(rates))
            metrics.limited_requests.set({"service": service}, sum(rates))
        for service, part in self._retry_budgets.parts().items():
            metrics.retry_part.set({"service": service}, round(part, 4))
        for service, remaining in self._retry_budgets.remaining(now).items():
            metrics.retry_budget.set({"service": service}, round(remaining, 1))
        for (service, payment), count in self._retry_budgets.counts().items():
            labels = {"service": service, "payment": payment}
            metrics.retries.set(labels, count)
        if self._usage is not None:
            metrics.usage_token.set({}, self._usage.task.token)
        if self._log_buffer is not None:
            metrics.log_lines_left_out.set({}, self._log_buffer.dropped)

    def _demand_by_region(self, now: float) -> dict[str, dict[str, float]]:
        """Returns requests per second by region and service."""
        total: dict[str, dict[str, float]] = {}

        def add(region: str, demand: dict[str, float]) -> None:
            sums = total.setdefault(region, {})
            for service, rate in demand.items():
                sums[service] = sums.get(service, 0.0) + rate

        add(self._settings.region, self._catalog.demand())
        for region, demand in self._peers.demands(now):
            add(region, demand)
        return total

    def _is_store_watched(self, now: float) -> bool:
        """Returns whether this or another known gateway watches the store."""
        if self._replicator.mirror_source is MirrorSource.STORE:
            return True
        return any(
            gateway.mirror_source is MirrorSource.STORE
            for gateway in self._peers.live_gateways(now)
        )

    async def _handle_signals(self) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload_settings()
                    continue
                await self._shut_down()
                return

    def _reload_settings(self) -> None:
        """Reads the settings again.

        Components keep the values that they were created with.
        """
        if self._reload is None:
            return
        try:
            self._settings = self._reload()
        except UsageError as error:
            self._timeline.record("settings-refused", why=str(error))
            return
        self._timeline.record("settings-reloaded")

    async def _shut_down(self) -> None:
        """Keeps serving until callers have moved away or the time is up."""
        started_at = self._clock.now()
        ends_at = started_at + self._settings.stop_grace_s - KILL_MARGIN_S
        self._is_leaving = True
        self._pipeline.shutdown = Shutdown(
            late_from=started_at + LATE_REQUEST_S, ends_at=ends_at
        )
        self._timeline.record(
            "leaving", active=self._pipeline.active_request_count
        )
        self._reporter.report_all()
        accept_until = min(ends_at, started_at + STOP_ACCEPT_MAX_S)
        # The listener ends once it has served what the kernel had accepted.
        while self._clock.now() < ends_at and not self._callers_served.is_set():
            if self._clock.now() >= accept_until or self._is_idle(started_at):
                self._stop_accepting.set()
            await trio.sleep(STOP_POLL_S)
        self._timeline.record(
            "left", active=self._pipeline.active_request_count
        )
        self._stop.set()

    def _is_idle(self, since: float) -> bool:
        """Returns whether no request has been served for `STOP_IDLE_S`.

        Args:
            since: Start of the time to look at, in monotonic seconds.
        """
        if self._pipeline.active_request_count:
            return False
        idle_since = max(since, self._pipeline.last_activity_at)
        return self._clock.now() - idle_since > STOP_IDLE_S
