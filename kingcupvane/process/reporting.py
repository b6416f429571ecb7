"""Exchange of reports between gateways."""

import math
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field
from functools import partial

import msgspec
import trio
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    DataCentreSummary,
    EvidenceRequest,
    GatewayRecord,
    GatewayReport,
    GatherReply,
    GatherRequest,
    Message,
    MirrorReply,
    MirrorRequest,
    RolloutProgress,
    TrialEnded,
    TrialRequest,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.confirmation import claimed_age_s
from kingcupvane.process.crash_trials import CrashTrials
from kingcupvane.process.evidence_collection import EvidenceCollector
from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.replication import StoreReplicator
from kingcupvane.process.rollout import RolloutStates, TrackedRollouts
from kingcupvane.process.summary import UsageTotals, summarize
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.process.usage_exchange import UsageExchange
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.quota import PEER_SILENCE_S, DistributedQuota
from kingcupvane.version.move import MoveState, Phase
from kingcupvane.version.rollout_checkpoint import RolloutCheckpoint

# Period of reports between advertised gateways of a data centre, in seconds;
# short, since they share the limits of client accounts.
REPORT_PERIOD_S = 0.2
# Number of report periods from one round that includes all gateways of the data
# centre to the next.
REPORTS_PER_FULL_ROUND = 3
# Advertised gateways of a data centre above which all gateways of it report to
# each other less often: the cost of a gateway grows with its peers, while the
# share of each in an account's limit shrinks.
SMALL_DATA_CENTRE_MAX = 6
REPORTS_PER_ROUND_LARGE = 2
REPORTS_PER_FULL_ROUND_LARGE = 4
# Silence of an advertised gateway of a large data centre after which it is
# assumed to use its whole share of an account's limit, in seconds.
PEER_SILENCE_LARGE_S = 1.05
# Age up to which this gateway's report is sent again unchanged, in seconds.
REPORT_REUSE_S = 0.1
# Time without a report after which a gateway that is not advertised is assumed
# to use its whole share of an account's limit, in seconds.
UNADVERTISED_SILENCE_S = 1.5
# Number of report periods from one report to other data centres to the next;
# the bandwidth between data centres is scarce.
REPORTS_PER_REMOTE_REPORT = 2
# Shortest interval between two broadcasts of changes, in seconds.
BROADCAST_INTERVAL_MIN_S = 0.05
# Name under which the quota treats a whole data centre as one peer.
DATA_CENTRE_PEER_NAME = "data-centre/{}"
# Time without a summary after which another data centre is assumed to use its
# whole share of an account's limit, in seconds: two periods of reports to other
# data centres and the network delay.
DATA_CENTRE_SILENCE_S = 1.0


@dataclass(kw_only=True, slots=True)
class NewestMirror:
    """The peer whose mirror of the store is newest, if newer than the own one.

    Attributes:
        as_of: Position of its mirror.
        address: Its peer address.
        updated: Set when `as_of` and `address` are set.
    """

    as_of: Position = LOWEST
    address: str = ""
    updated: trio.Event = field(default_factory=trio.Event)


class Reporter:
    """Sends reports to peers, and applies the reports of peers."""

    def __init__(
        self,
        *,
        peers: PeerTable,
        client: PeerClient,
        seeds: Sequence[str],
        replicator: StoreReplicator,
        mirror: Mirror,
        catalog: Catalog,
        quota: DistributedQuota,
        crashes: CrashRegistry,
        trials: CrashTrials,
        rollout_states: RolloutStates,
        tracked_rollouts: TrackedRollouts,
        collector: EvidenceCollector,
        is_ready: Callable[[], bool],
        clock: Clock,
        hybrid_clock: HybridClock,
        timeline: Timeline,
        usage: UsageExchange | None = None,
    ):
        """Makes a reporter; `run` starts its periodic reports.

        Args:
            peers: The known gateways.
            client: Client for messages to peers.
            seeds: Peer addresses for discovery, used while no peer is live.
            replicator: Replication of the store, which exchanges changes with
                peers.
            mirror: The mirror of the store.
            catalog: Source of the demand by service.
            quota: Usage of accounts, updated from peers.
            crashes: Requests that crash targets.
            trials: Replies to messages about trials of such requests.
            rollout_states: States of rollouts.
            tracked_rollouts: Rollouts of all specifications in the store, ended
                ones included.
            collector: Collects the counters of versions.
            is_ready: Returns whether callers may be sent here.
            clock: Monotonic clock.
            hybrid_clock: Clock that stamps the summaries.
            timeline: Log of changes caused by reports.
            usage: Counts for usage reports; None where none are sent.
        """
        self._peers = peers
        self._client = client
        self._seeds = seeds
        self._replicator = replicator
        self._mirror = mirror
        self._catalog = catalog
        self._quota = quota
        self._crashes = crashes
        self._trials = trials
        self._rollout_states = rollout_states
        self._tracked_rollouts = tracked_rollouts
        self._collector = collector
        self._is_ready = is_ready
        self._clock = clock
        self._hybrid_clock = hybrid_clock
        self._timeline = timeline
        self._usage = usage
        self._usage_totals = UsageTotals()
        self._broadcast_requested = trio.Event()
        self._newest_mirror = NewestMirror()
        self._pending_addresses: set[str] = set()
        self._report_by_locality: dict[bool, tuple[float, GatewayReport]] = {}
        self._advertised_names: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def reply_to(self, message: Message) -> Message | None:
        """Returns the reply to a message; None for types without one."""
        match message:
            case GatewayReport():
                self._receive_report(message)
                return self._report_for(
                    message.record.peer_address,
                    local=self._is_local(message.record),
                    alone=message.alone,
                )
            case TrialRequest() | TrialEnded():
                return self._trials.reply_to(message)
            case MirrorRequest():
                return self._replicator.changes_since(message)
            case EvidenceRequest(services=services, reading=reading):
                return self._collector.own_counters(services, reading)
            case GatherRequest(services=services, reading=reading):
                return GatherReply(
                    sources=await self._collector.collect_local(
                        services, reading
                    )
                )
        return None

    def remove_gateway(self, name: str) -> None:
        """Drops a departed gateway from the quota and the usage totals."""
        self._quota.remove_peer(name)
        self._usage_totals.remove_gateway(name)

    def request_broadcast(self) -> None:
        """Requests a report to all local peers without waiting for a period."""
        self._broadcast_requested.set()

    def _report_for(
        self, address: str, *, local: bool, alone: bool = False
    ) -> GatewayReport:
        """Returns a report with the summaries that its receiver needs.

        Args:
            address: Peer address of the receiver.
            local: Whether the receiver is in this data centre.
            alone: Whether the receiver knows no live gateway; it then gets
                all summaries.
        """
        summaries = []
        if alone or local:
            summaries = self._received_summaries(direct_only=not alone)
        if alone or not local:
            summaries.append(self._own_summary())
        usage = msgspec.UNSET
        if self._usage is not None:
            usage = self._usage.report_to(address, local=local)
        confirmation = self._replicator.latest_confirmation()
        return msgspec.structs.replace(
            self._own_report(local=local),
            summaries=summaries,
            usage=usage,
            confirmation=confirmation,
            confirmed_age_s=claimed_age_s(confirmation),
        )

    def _own_report(self, *, local: bool) -> GatewayReport:
        """Returns this gateway's report, which may be `REPORT_REUSE_S` old."""
        now = self._clock.now()
        made_at, report = self._report_by_locality.get(local, (-math.inf, None))
        if report is None or now - made_at > REPORT_REUSE_S:
            report = self._make_own_report(local=local, now=now)
            self._report_by_locality[local] = (now, report)
        return report

    def _make_own_report(self, *, local: bool, now: float) -> GatewayReport:
        return GatewayReport(
            record=self._peers.own,
            ready=self._is_ready(),
            as_of=self._mirror.as_of.revision,
            era=self._mirror.as_of.era,
            feed=self._replicator.mirror_source,
            use=self._quota.usage_by_account(now) if local else {},
            demand=self._catalog.demand() if local else {},
            in_flight=self._catalog.in_flight() if local else {},
            paces=self._catalog.pace.reports() if local else [],
            loads=self._catalog.load_shedder.report(now) if local else {},
            crashes=self._crashes.snapshot(now),
            leaving=self._catalog.announced_leaving(),
            states=list(self._rollout_states.states_by_name.values()),
            rollouts=[
                RolloutProgress(
                    rollout.spec.service,
                    rollout.spec.revision,
                    now - rollout.spec_seen_at,
                )
                for rollout in self._tracked_rollouts.values()
            ],
            checkpoints=self._running_checkpoints(),
            known=self._peers.local_records(now) if local else [],
            alone=self._peers.is_alone(now),
        )

    def _running_checkpoints(self) -> list[RolloutCheckpoint]:
        """Returns the latest known checkpoints of rollouts that still run."""
        checkpoints = (
            rollout.coordination.checkpoint
            for rollout in self._tracked_rollouts.values()
        )
        return [
            checkpoint
            for checkpoint in checkpoints
            if checkpoint is not None
            and checkpoint.state.phase is Phase.RUNNING
        ]

    def _is_local(self, record: GatewayRecord) -> bool:
        return record.data_centre == self._peers.own.data_centre

    def _received_summaries(
        self, *, direct_only: bool
    ) -> list[DataCentreSummary]:
        """Returns the summaries of other data centres.

        Args:
            direct_only: Leave out summaries that another gateway forwarded to
                this one; that gateway also forwards them to the local peers.
        """
        return [
            received.summary
            for received in self._peers.summaries(self._clock.now())
            if received.is_direct or not direct_only
        ]

    def _own_summary(self) -> DataCentreSummary:
        now = self._clock.now()
        own = self._own_report(local=True)
        self._usage_totals.update(
            own.record.name, own.record.incarnation, own.use, now=now
        )
        local = [
            peer.report
            for peer in self._peers.local_peers(now)
            if peer.report is not None
        ]
        return summarize(
            [own, *local], self._usage_totals, stamp=self._hybrid_clock.tick()
        )

    def _receive_report(self, report: GatewayReport) -> None:
        now = self._clock.now()
        sender = report.record
        if sender.name == self._peers.own.name:
            return
        if self._peers.receive_report(report, now):
            self._timeline.record("gateway-live", name=sender.name)
        if self._usage is not None:
            self._usage.receive(report)
        if self._is_local(sender):
            self._catalog.peer_requests.update(
                sender.name, report.in_flight, now
            )
            self._catalog.pace.merge(report.paces, now)
            self._catalog.load_shedder.update_peer(
                sender.name, report.loads, now
            )
            self._quota.update_peer(
                sender.name,
                report.use,
                source=sender.name,
                incarnation=sender.incarnation,
                now=now,
                silence_timeout_s=self._local_silence_timeout_s(sender.name),
            )
            self._usage_totals.update(
                sender.name, sender.incarnation, report.use, now=now
            )
        for summary in report.summaries:
            self._receive_summary(summary, sender)
        for fingerprint in self._crashes.merge(report.crashes, now):
            self._timeline.record(
                "request-refused-for-crashes",
                fingerprint=fingerprint,
                source=sender.name,
            )
        for instance in report.leaving:
            self._catalog.mark_leaving(instance, source=sender.name)
        for state in report.states:
            self.apply_state(state, source=sender.name)
        for progress in report.rollouts:
            self._receive_progress(progress, now)
        for checkpoint in report.checkpoints:
            self._receive_checkpoint(checkpoint, now)
        as_of = Position(report.era, report.as_of)
        self._replicator.hear(report)
        if as_of > max(self._mirror.as_of, self._newest_mirror.as_of):
            self._newest_mirror.as_of = as_of
            self._newest_mirror.address = sender.peer_address
            self._newest_mirror.updated.set()

    def _local_silence_timeout_s(self, name: str) -> float:
        advertised = self._advertised_names
        if name not in advertised or self._peers.own.name not in advertised:
            return UNADVERTISED_SILENCE_S
        return PEER_SILENCE_LARGE_S if self._is_large() else PEER_SILENCE_S

    def _is_large(self) -> bool:
        """Returns whether this data centre has many advertised gateways."""
        return len(self._advertised_names) > SMALL_DATA_CENTRE_MAX

    def _receive_summary(
        self, summary: DataCentreSummary, sender: GatewayRecord
    ) -> None:
        now = self._clock.now()
        if not self._peers.receive_summary(summary, now, sender=sender):
            return
        self._catalog.peer_requests.update(
            DATA_CENTRE_PEER_NAME.format(summary.data_centre),
            summary.in_flight,
            now,
        )
        self._catalog.pace.merge(summary.paces, now)
        self._catalog.load_shedder.update_peer(
            DATA_CENTRE_PEER_NAME.format(summary.data_centre),
            summary.loads,
            now,
        )
        self._quota.update_peer(
            DATA_CENTRE_PEER_NAME.format(summary.data_centre),
            summary.use,
            source=summary.source,
            incarnation=summary.incarnation,
            now=now,
            silence_timeout_s=DATA_CENTRE_SILENCE_S,
            gateway_count=len(summary.members),
        )

    def _receive_progress(self, progress: RolloutProgress, now: float) -> None:
        rollout = self._tracked_rollouts.get(progress.service)
        if rollout is not None and rollout.spec.revision == progress.revision:
            rollout.learn_age(progress.age_s, now)

    def _receive_checkpoint(
        self, checkpoint: RolloutCheckpoint, now: float
    ) -> None:
        rollout = self._tracked_rollouts.get(checkpoint.service)
        if rollout is not None:
            rollout.merge_checkpoint(checkpoint, now)

    def apply_state(self, state: MoveState, *, source: str) -> None:
        """Merges a state of a rollout, and logs it when it is new.

        Args:
            state: The state.
            source: Name of the gateway that it comes from.
        """
        if self._rollout_states.merge(state):
            self._timeline.record(
                "rollout-state",
                name=state.name,
                phase=state.phase.name.lower(),
                share=state.share,
                why=state.reason,
                source=source,
            )

    async def run(self) -> None:
        """Sends periodic reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._pull_newest)
            nursery.start_soon(self._broadcast_changes)
            round_number = 0
            while True:
                self._report_to_local(round_number)
                if round_number % REPORTS_PER_REMOTE_REPORT == 0:
                    self._report_to_remote()
                round_number += 1
                await trio.sleep(REPORT_PERIOD_S)

    def report_all(self) -> None:
        """Reports immediately to all local peers and the usual remote ones."""
        self._report_by_locality.clear()
        self._report_to_all_local()
        self._report_to_remote()

    def _report_to_local(self, round_number: int) -> None:
        """Reports to the peers of this data centre that are due in a round."""
        now = self._clock.now()
        self._advertised_names = self._peers.local_advertised_names(
            now, own_ready=self._is_ready()
        )
        rounds, full_rounds = 1, REPORTS_PER_FULL_ROUND
        if self._is_large():
            rounds = REPORTS_PER_ROUND_LARGE
            full_rounds = REPORTS_PER_FULL_ROUND_LARGE
        names: Container[str] | None = ()
        if round_number % full_rounds == 0:
            names = None
        elif (
            round_number % rounds == 0
            and self._peers.own.name in self._advertised_names
        ):
            names = self._advertised_names
        for address in self._peers.local_report_addresses(now, names=names):
            self._start_exchange(address, local=True)

    def _report_to_all_local(self) -> None:
        for address in self._peers.all_local_addresses():
            self._start_exchange(address, local=True)

    def _report_to_remote(self) -> None:
        now = self._clock.now()
        for address in self._peers.remote_report_addresses(now):
            self._start_exchange(address, local=False)
        if self._peers.is_alone(now):
            for address in self._seeds:
                self._start_exchange(address, local=False)

    async def _broadcast_changes(self) -> None:
        """Reports to all local peers whenever requested, until cancelled."""
        while True:
            await self._broadcast_requested.wait()
            self._broadcast_requested = trio.Event()
            self._report_by_locality.clear()
            self._report_to_all_local()
            await trio.sleep(BROADCAST_INTERVAL_MIN_S)

    def _start_exchange(self, address: str, *, local: bool) -> None:
        """Exchanges reports with a peer unless an exchange is pending."""
        if (
            address == self._peers.own.peer_address
            or address in self._pending_addresses
        ):
            return
        if self._nursery is not None:
            self._pending_addresses.add(address)
            self._nursery.start_soon(
                partial(self._exchange, address, local=local)
            )

    async def _exchange(self, address: str, *, local: bool) -> None:
        report = self._report_for(address, local=local)
        try:
            reply = await self._client.ask(address, report)
        finally:
            self._pending_addresses.discard(address)
        if isinstance(reply, Err):
            self._peers.mark_unresponsive(address)
        elif isinstance(reply.ok_value, GatewayReport):
            self._receive_report(reply.ok_value)

    async def _pull_newest(self) -> None:
        """Pulls changes whenever a peer has a newer mirror, until cancelled."""
        while True:
            await self._newest_mirror.updated.wait()
            newest, self._newest_mirror = self._newest_mirror, NewestMirror()
            if newest.as_of <= self._mirror.as_of:
                continue
            own = self._mirror.as_of
            request = MirrorRequest(after=own.revision, era=own.era)
            reply = await self._client.ask(newest.address, request)
            match reply:
                case Ok(MirrorReply() as changes):
                    self._replicator.apply_changes(changes)
                case Err(error):
                    self._timeline.record(
                        "mirror-pull-failed",
                        peer=newest.address,
                        own=own.revision,
                        reported=newest.as_of.revision,
                        why=error.detail,
                    )
