"""Exchanges reports between gateways."""

from collections.abc import Callable, Sequence

import trio
from result import Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    EvidenceReply,
    EvidenceRequest,
    GatewayReport,
    Message,
    MirrorReply,
    MirrorRequest,
    RolloutProgress,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.feed import StoreFeed
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.rollout import RolloutCases, RolloutRegister
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.quota import QuotaDivision
from kingcupvane.request.retry import CrashRegistry
from kingcupvane.version.move import MoveState

REPORT_PERIOD_S = 0.4


class Reporter:
    """Tells peers what this gateway knows, and takes in what they tell."""

    def __init__(
        self,
        *,
        peers: PeerTable,
        client: PeerClient,
        seeds: Sequence[str],
        feed: StoreFeed,
        mirror: Mirror,
        catalog: Catalog,
        quota: QuotaDivision,
        crashes: CrashRegistry,
        rollouts: RolloutRegister,
        cases: RolloutCases,
        evidence: EvidenceCounter,
        is_ready: Callable[[], bool],
        clock: Clock,
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
            cases: Rollouts that run.
            evidence: Counters of versions.
            is_ready: Returns whether callers may be sent here.
            clock: Monotonic clock.
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
        self._cases = cases
        self._evidence = evidence
        self._is_ready = is_ready
        self._clock = clock
        self._timeline = timeline

    async def answer(self, message: Message) -> Message | None:
        """Returns the answer to a peer's message, None for no answer."""
        match message:
            case GatewayReport():
                self._hear(message)
                return self.own_report()
            case MirrorRequest():
                return self._feed.changes_since(message)
            case EvidenceRequest(services=services):
                return EvidenceReply(
                    incarnation=self._peers.own.incarnation,
                    tallies=self._evidence.of_services(services),
                )
        return None

    def own_report(self) -> GatewayReport:
        """Returns what this gateway tells its peers."""
        now = self._clock.now()
        return GatewayReport(
            record=self._peers.own,
            ready=self._is_ready(),
            as_of=self._mirror.as_of,
            feed=self._feed.feed,
            use=self._quota.use(now),
            demand=self._catalog.demand(),
            crashes=self._crashes.shared(),
            states=list(self._rollouts.states_by_name.values()),
            rollouts=[
                RolloutProgress(
                    case.order.service, case.order.revision, now - case.seen_at
                )
                for case in self._cases.values()
            ],
            known=self._peers.records(now),
        )

    def _hear(self, report: GatewayReport) -> None:
        now = self._clock.now()
        if self._peers.hear(report, now):
            self._timeline.record("gateway-live", name=report.record.name)
        if report.record.name == self._peers.own.name:
            return
        self._quota.hear(
            report.record.name,
            report.use,
            incarnation=report.record.incarnation,
            now=now,
        )
        for print_ in self._crashes.hear(report.crashes, now):
            self._timeline.record(
                "request-refused-for-crashes",
                fingerprint=print_,
                source=report.record.name,
            )
        for state in report.states:
            self.take_state(state, source=report.record.name)
        for progress in report.rollouts:
            self._hear_progress(progress, now)

    def _hear_progress(self, progress: RolloutProgress, now: float) -> None:
        case = self._cases.get(progress.service)
        if case is not None and case.order.revision == progress.revision:
            case.seen_at = min(case.seen_at, now - progress.age_s)

    def take_state(self, state: MoveState, *, source: str) -> None:
        """Takes in what was decided about a rollout."""
        if self._rollouts.hear(state):
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
        while True:
            started = trio.current_time()
            now = self._clock.now()
            async with trio.open_nursery() as nursery:
                for address in self._peers.addresses(self._seeds, now):
                    nursery.start_soon(self.talk, address)
            await trio.sleep_until(started + REPORT_PERIOD_S)

    async def talk(self, address: str) -> None:
        """Exchanges reports with one peer."""
        reply = await self._client.ask(address, self.own_report())
        if not isinstance(reply, Ok):
            return
        report = reply.ok_value
        if not isinstance(report, GatewayReport):
            return
        self._hear(report)
        if report.as_of > self._mirror.as_of:
            await self._pull(address)

    async def _pull(self, address: str) -> None:
        """Takes in what a peer's copy of the store has and ours has not."""
        request = MirrorRequest(after=self._mirror.as_of)
        reply = await self._client.ask(address, request)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, MirrorReply):
            self._feed.take_changes(reply.ok_value)
