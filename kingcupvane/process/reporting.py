"""Exchanges reports between gateways."""

from collections.abc import Callable, Sequence
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
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.collection import EvidenceCollector
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.replication import StoreReplicator
from kingcupvane.process.rollout import ActiveRollouts, RolloutStates
from kingcupvane.process.summary import UsageTotals, summarize
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.request.quota import PEER_SILENCE_S, DistributedQuota
from kingcupvane.request.retry import CrashRegistry
from kingcupvane.version.move import MoveState

# Period of the reports between gateways of a data centre to which callers are
# sent, in seconds: they share the limits of client accounts.
REPORT_PERIOD_S = 0.2
# Reports of which one goes to all other gateways of the data centre.
REPORTS_PER_QUIET = 3
# Silence after which such a gateway is taken to use its whole part of an
# account's limit, in seconds.
QUIET_SILENT_S = 1.5
# Reports of which one goes to other data centres as well: their bytes are
# scarce.
REPORTS_PER_FAR = 2
# Least time between two reports of changes, in seconds.
NEWS_PERIOD_S = 0.05
# Name under which the use of a whole data centre is known.
DATA_CENTRE_PEER = "data-centre/{}"
# Silence after which another data centre is taken to use its whole part of an
# account's limit, in seconds: two periods and the way.
DATA_CENTRE_SILENT_S = 1.0


@dataclass(kw_only=True, slots=True)
class Ahead:
    """The peer whose copy of the store is known to be the newest.

    Attributes:
        as_of: Store revision of its copy.
        address: Its address.
        is_set: Set when that is news.
    """

    as_of: int = 0
    address: str = ""
    is_set: trio.Event = field(default_factory=trio.Event)


class Reporter:
    """Tells peers what this gateway knows, and takes in what they tell."""

    def __init__(
        self,
        *,
        peers: PeerTable,
        client: PeerClient,
        seeds: Sequence[str],
        feed: StoreReplicator,
        mirror: Mirror,
        catalog: Catalog,
        quota: DistributedQuota,
        crashes: CrashRegistry,
        rollouts: RolloutStates,
        active_rollouts: ActiveRollouts,
        collector: EvidenceCollector,
        is_ready: Callable[[], bool],
        clock: Clock,
        hybrid_clock: HybridClock,
        timeline: Timeline,
    ):
        """Makes the task's state.

        Args:
            peers: The known gateways.
            client: Sends to peers.
            seeds: Peer addresses that are asked in any case.
            feed: Gives and takes changes of the store.
            mirror: The copy of the store.
            catalog: Knows the demand by service.
            quota: Use of accounts.
            crashes: Requests that crash targets.
            rollouts: What was decided on rollouts.
            active_rollouts: Rollouts that run.
            collector: Counters of versions.
            is_ready: Returns whether callers may be sent here.
            clock: Monotonic clock.
            hybrid_clock: Orders the summaries.
            timeline: Gets what peers change here.
        """
        self._peers = peers
        self._client = client
        self._seeds = seeds
        self._feed = feed
        self._mirror = mirror
        self._catalog = catalog
        self._quota = quota
        self._crashes = crashes
        self._rollouts = rollouts
        self._active_rollouts = active_rollouts
        self._collector = collector
        self._is_ready = is_ready
        self._clock = clock
        self._stamps = hybrid_clock
        self._timeline = timeline
        self._totals = UsageTotals()
        self._news = trio.Event()
        self._ahead = Ahead()
        self._asked: set[str] = set()
        self._talks: trio.Nursery | None = None

    async def answer(self, message: Message) -> Message | None:
        """Returns the answer to a peer's message, None for no answer."""
        match message:
            case GatewayReport():
                self._hear(message)
                return self._report_for(
                    near=self._is_near(message.record), alone=message.alone
                )
            case MirrorRequest():
                return self._feed.changes_since(message)
            case EvidenceRequest(services=services):
                return self._collector.own_counters(services)
            case GatherRequest(services=services):
                return GatherReply(
                    sources=await self._collector.collect_local(services)
                )
        return None

    def remove_gateway(self, name: str) -> None:
        """Drops a gateway that has left for good."""
        self._quota.drop(name)
        self._totals.remove_gateway(name)

    def request_broadcast(self) -> None:
        """Has the data centre told at once what this gateway learned."""
        self._news.set()

    def _report_for(self, *, near: bool, alone: bool = False) -> GatewayReport:
        """Returns a report with the summaries that concern its receiver.

        Args:
            near: Whether the receiver is of the own data centre.
            alone: Whether the receiver knows nobody else.
        """
        summaries = []
        if alone or near:
            summaries = self._heard_summaries(first_hand=not alone)
        if alone or not near:
            summaries.append(self._own_summary())
        return msgspec.structs.replace(
            self._own_report(near=near), summaries=summaries
        )

    def _own_report(self, *, near: bool) -> GatewayReport:
        now = self._clock.now()
        return GatewayReport(
            record=self._peers.own,
            ready=self._is_ready(),
            as_of=self._mirror.as_of,
            feed=self._feed.feed,
            use=self._quota.use(now) if near else {},
            demand=self._catalog.demand() if near else {},
            crashes=self._crashes.snapshot(),
            states=list(self._rollouts.states_by_name.values()),
            rollouts=[
                RolloutProgress(
                    case.order.service, case.order.revision, now - case.seen_at
                )
                for case in self._active_rollouts.values()
            ],
            known=self._peers.records(now) if near else [],
            alone=self._peers.is_alone(now),
        )

    def _is_near(self, record: GatewayRecord) -> bool:
        return record.data_centre == self._peers.own.data_centre

    def _heard_summaries(self, *, first_hand: bool) -> list[DataCentreSummary]:
        """Returns the summaries of other data centres.

        Args:
            first_hand: Leave out those that others pass on themselves.
        """
        return [
            heard.summary
            for heard in self._peers.summaries(self._clock.now())
            if heard.is_first_hand or not first_hand
        ]

    def _own_summary(self) -> DataCentreSummary:
        now = self._clock.now()
        own = self._own_report(near=True)
        self._totals.update(own.record.name, own.record.incarnation, own.use)
        near = [
            p.report
            for p in self._peers.local_peers(now)
            if p.report is not None
        ]
        return summarize([own, *near], self._totals, stamp=self._stamps.tick())

    def _hear(self, report: GatewayReport) -> None:
        now = self._clock.now()
        sender = report.record
        if sender.name == self._peers.own.name:
            return
        if self._peers.receive_report(report, now):
            self._timeline.record("gateway-live", name=sender.name)
        if self._is_near(sender):
            self._quota.update_peer(
                sender.name,
                report.use,
                source=sender.name,
                incarnation=sender.incarnation,
                now=now,
                silence_timeout_s=self._near_silent_s(sender.name, now),
            )
            self._totals.update(sender.name, sender.incarnation, report.use)
        for summary in report.summaries:
            self._hear_summary(summary, sender)
        for fingerprint in self._crashes.merge(report.crashes, now):
            self._timeline.record(
                "request-refused-for-crashes",
                fingerprint=fingerprint,
                source=sender.name,
            )
        for state in report.states:
            self.apply_state(state, source=sender.name)
        for progress in report.rollouts:
            self._hear_progress(progress, now)
        if report.as_of > max(self._mirror.as_of, self._ahead.as_of):
            self._ahead.as_of = report.as_of
            self._ahead.address = sender.peer_address
            self._ahead.is_set.set()

    def _near_silent_s(self, name: str, now: float) -> float:
        busy = self._peers.local_advertised(now, ready=self._is_ready())
        fast = name in busy and self._peers.own.name in busy
        return PEER_SILENCE_S if fast else QUIET_SILENT_S

    def _hear_summary(
        self, summary: DataCentreSummary, sender: GatewayRecord
    ) -> None:
        now = self._clock.now()
        if not self._peers.receive_summary(summary, now, sender=sender):
            return
        self._quota.update_peer(
            DATA_CENTRE_PEER.format(summary.data_centre),
            summary.use,
            source=summary.source,
            incarnation=summary.incarnation,
            now=now,
            silence_timeout_s=DATA_CENTRE_SILENT_S,
        )

    def _hear_progress(self, progress: RolloutProgress, now: float) -> None:
        case = self._active_rollouts.get(progress.service)
        if case is not None and case.order.revision == progress.revision:
            case.seen_at = min(case.seen_at, now - progress.age_s)

    def apply_state(self, state: MoveState, *, source: str) -> None:
        """Takes in what was decided about a rollout."""
        if self._rollouts.merge(state):
            self._timeline.record(
                "rollout-state",
                name=state.name,
                phase=state.phase.name.lower(),
                share=state.share,
                why=state.reason,
                source=source,
            )

    async def run(self) -> None:
        """Reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._talks = nursery
            nursery.start_soon(self._copy_newest)
            nursery.start_soon(self._spread_news)
            turn = 0
            while True:
                self._report_near(quiet=turn % REPORTS_PER_QUIET == 0)
                if turn % REPORTS_PER_FAR == 0:
                    self._report_far()
                turn += 1
                await trio.sleep(REPORT_PERIOD_S)

    def report_all(self) -> None:
        """Reports at once to everybody that this gateway reports to."""
        self._report_everybody_near()
        self._report_far()

    def _report_near(self, *, quiet: bool) -> None:
        """Reports within the data centre.

        Args:
            quiet: Whether it is the turn of gateways without callers, too.
        """
        now = self._clock.now()
        names = None
        if not quiet:
            busy = self._peers.local_advertised(now, ready=self._is_ready())
            names = busy if self._peers.own.name in busy else ()
        for address in self._peers.local_addresses(now, names=names):
            self._start_talk(address, near=True)

    def _report_everybody_near(self) -> None:
        for address in self._peers.all_local_addresses():
            self._start_talk(address, near=True)

    def _report_far(self) -> None:
        now = self._clock.now()
        for address in self._peers.remote_addresses(now):
            self._start_talk(address, near=False)
        if self._peers.is_alone(now):
            for address in self._seeds:
                self._start_talk(address, near=False)

    async def _spread_news(self) -> None:
        """Tells the data centre of changes without waiting for its turn."""
        while True:
            await self._news.wait()
            self._news = trio.Event()
            self._report_everybody_near()
            await trio.sleep(NEWS_PERIOD_S)

    def _start_talk(self, address: str, *, near: bool) -> None:
        """Exchanges reports with a peer, unless it still owes an answer."""
        if address == self._peers.own.peer_address or address in self._asked:
            return
        if self._talks is not None:
            self._asked.add(address)
            self._talks.start_soon(partial(self._talk, address, near=near))

    async def _talk(self, address: str, *, near: bool) -> None:
        report = self._report_for(near=near)
        try:
            reply = await self._client.ask(address, report)
        finally:
            self._asked.discard(address)
        if isinstance(reply, Err):
            self._peers.mark_unresponsive(address)
        elif isinstance(reply.ok_value, GatewayReport):
            self._hear(reply.ok_value)

    async def _copy_newest(self) -> None:
        """Takes in what a peer's copy of the store has and ours has not."""
        while True:
            await self._ahead.is_set.wait()
            ahead, self._ahead = self._ahead, Ahead()
            if ahead.as_of <= self._mirror.as_of:
                continue
            request = MirrorRequest(after=self._mirror.as_of)
            reply = await self._client.ask(ahead.address, request)
            if isinstance(reply, Ok) and isinstance(
                reply.ok_value, MirrorReply
            ):
                self._feed.apply_changes(reply.ok_value)
