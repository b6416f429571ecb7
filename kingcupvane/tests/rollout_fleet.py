"""A simulated fleet of gateways that roll out a version, on a mock clock.

The rollout task, the counters, their collection and the peer table are the
product's own; reports, replies and the store's changes are passed on by hand,
so that a test can stop, kill, freeze or cut off any gateway at any time.
"""

import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace

import trio
import trio.testing
from result import Err, Ok

from kingcupvane.connection.messages import (
    EvidenceRequest,
    GatewayRecord,
    GatewayReport,
)
from kingcupvane.errors import PeerError
from kingcupvane.platform.records import (
    ROLLOUT_RECORD_PREFIX,
    PlatformItemDecoder,
    encode_rollout_record,
)
from kingcupvane.process.catalog import (
    RolloutCheckpointUpdate,
    RolloutRecordUpdate,
)
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.evidence_collection import EvidenceCollector
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.rollout import (
    NEW_COHORT,
    RolloutStates,
    TrackedRollouts,
    rollout_shares,
)
from kingcupvane.process.rollout_task import (
    ROLLOUT_PERIOD_S,
    ROUND_PAUSE_MIN_S,
    RolloutTask,
)
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.tests.fakes import MemoryStore, TrioClock
from kingcupvane.version.plan import RolloutRecordState, RolloutSpec

CLOCK = TrioClock()

SERVICE = "s"
SPEC_REVISION = 9
EXPOSURE_SHARE_MAX = 0.1
REPORT_PERIOD_S = 0.2
TRAFFIC_PERIOD_S = 0.05
STOP_S = 1.2
PEER_TIMEOUT_S = 0.8


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of the new version.

    Attributes:
        failure_rate: Share of its answers that fail.
        begins_at_share: It fails only while it has this share of the traffic.
    """

    failure_rate: float = 0.0
    begins_at_share: float = 0.0


@dataclass(kw_only=True)
class SimulatedGateway:
    """One gateway process."""

    name: str
    incarnation: int
    fleet: "SimulatedFleet"
    is_frozen: bool = False
    is_leaving: bool = False
    is_cut_off: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def __post_init__(self):
        """Makes the process as it is after a start."""
        clock = TrioClock()
        timeline = Timeline(
            process=self.name, clock=HybridClock(clock=clock), capacity=500
        )
        self.timeline = timeline
        self.record = GatewayRecord(
            name=self.name,
            incarnation=self.incarnation,
            region="r",
            data_centre="d",
            caller_address=f"{self.name}:80",
            peer_address=f"{self.name}:90",
        )
        self.started_at = CLOCK.now()
        self.peers = PeerTable(own=self.record)
        self.evidence = EvidenceCounter()
        self.states = RolloutStates()
        self.tracked = TrackedRollouts()
        self.catalog = SimpleNamespace(
            rollout_specs_by_service={SERVICE: self.fleet.spec},
            rollout_records_by_service={},
            rollout_checkpoints_by_service={},
        )
        self.mirror = Mirror(prefix="")
        self.collector = EvidenceCollector(
            evidence=self.evidence, peers=self.peers, client=self, clock=clock
        )
        self.task = RolloutTask(
            tracked_rollouts=self.tracked,
            rollout_states=self.states,
            catalog=self.catalog,
            collector=self.collector,
            peers=self.peers,
            store=self,
            mirror=self.mirror,
            encode_rollout_record=encode_rollout_record,
            rollout_record_prefix=ROLLOUT_RECORD_PREFIX,
            exposure=EXPOSURE_SHARE_MAX,
            is_ready=self.is_ready,
            apply_state=lambda state, source: self.states.merge(state),
            publish=lambda: None,
            apply_items=self.apply_items,
            clock=clock,
            timeline=timeline,
        )

    def is_ready(self):
        """Returns whether it has heard of a peer and does not stop."""
        now = CLOCK.now()
        recovered = now - self.started_at > 0.6 or not self.peers.is_alone(now)
        return recovered and not self.is_leaving

    def apply_items(self, items):
        """Applies items of the store."""
        for item in items:
            match self.fleet.decoder.decode(item):
                case RolloutRecordUpdate(service=service, record=record):
                    self.catalog.rollout_records_by_service[service] = record
                case RolloutCheckpointUpdate(
                    service=service, checkpoint=checkpoint
                ):
                    self.catalog.rollout_checkpoints_by_service[service] = (
                        checkpoint
                    )

    async def ask(self, address, message):
        """Asks another gateway, as the peer client does."""
        await trio.sleep(0.02)
        peer = self.fleet.by_name.get(address.removesuffix(":90"))
        if (
            not isinstance(message, EvidenceRequest)
            or peer is None
            or not self.fleet.can_reach(self, peer)
        ):
            await trio.sleep(PEER_TIMEOUT_S)
            return Err(PeerError(step="test", peer=address, detail="silent"))
        return Ok(
            peer.collector.own_counters(message.services, message.reading)
        )

    async def compare_and_swap(self, key, value, *, expected, lease=0):
        """Writes to the store, unless this gateway is cut off."""
        while self.is_frozen:
            await trio.sleep(TRAFFIC_PERIOD_S)
        if self.is_cut_off:
            await trio.sleep(PEER_TIMEOUT_S)
            return Err(PeerError(step="test", peer="store", detail="cut"))
        return await self.fleet.store.compare_and_swap(
            key, value, expected=expected, lease=lease
        )

    async def run(self):
        """Runs the process until it is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.task.write_when_changed)
                for step, period_s in (
                    (self.task.run_round, ROLLOUT_PERIOD_S),
                    (self.report, REPORT_PERIOD_S),
                    (self.serve, TRAFFIC_PERIOD_S),
                ):
                    nursery.start_soon(self._repeat, step, period_s)

    async def _repeat(self, step, period_s):
        await trio.sleep(self.fleet.rng.random() * period_s)
        while True:
            started_at = CLOCK.now()
            if not self.is_frozen:
                await step()
            left_s = started_at + period_s - CLOCK.now()
            await trio.sleep(max(ROUND_PAUSE_MIN_S, left_s))

    async def report(self):
        """Exchanges reports with all gateways that it reaches."""
        if not self.is_cut_off:
            listing = self.fleet.store.state.list("")
            self.apply_items(self.mirror.add(listing))
        for peer in self.fleet.by_name.values():
            if peer is not self and self.fleet.can_reach(self, peer):
                peer.receive(self)
                self.receive(peer)

    def receive(self, sender):
        """Applies what another gateway reports."""
        now = CLOCK.now()
        self.peers.receive_report(
            GatewayReport(
                record=sender.record, ready=sender.is_ready(), as_of=1
            ),
            now,
        )
        for state in sender.states.states_by_name.values():
            self.states.merge(state)
        theirs = sender.tracked.get(SERVICE)
        own = self.tracked.get(SERVICE)
        if theirs is None or own is None:
            return
        own.learn_age(theirs.age_s(now), now)
        if theirs.coordination.checkpoint is not None:
            own.merge_checkpoint(theirs.coordination.checkpoint, now)

    async def serve(self):
        """Sends the requests of one period; counts their outcomes."""
        fleet = self.fleet
        now = CLOCK.now()
        state = self.states.states_by_name.get(f"{SERVICE}/v2/{SPEC_REVISION}")
        record = self.catalog.rollout_records_by_service.get(SERVICE)
        share = rollout_shares(fleet.spec, record, state)[NEW_COHORT].share
        for _ in range(fleet.requests_per_gateway(TRAFFIC_PERIOD_S)):
            is_new = fleet.rng.random() < share
            fails_now = is_new and share >= fleet.fault.begins_at_share
            failed = fails_now and fleet.rng.random() < fleet.fault.failure_rate
            fleet.count(now, is_new=is_new, failed=failed)
            self.evidence.add(
                ExchangeSample(
                    service=SERVICE,
                    version="v2" if is_new else "v1",
                    route="/r/",
                    failed=failed,
                    latency_s=0.1 * fleet.rng.lognormvariate(0, 0.2),
                )
            )


@contextlib.contextmanager
def repeatable_scheduling() -> Iterator[None]:
    """Makes trio run the tasks of a step in the same order each time."""
    scheduler = trio._core._run
    before = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    state = scheduler._r.getstate()
    scheduler._r.seed(0)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = before
        scheduler._r.setstate(state)


class SimulatedFleet:
    """A fleet, its store and its traffic.

    Attributes:
        by_name: The running processes.
        requests: Requests before the deadline.
        exposed: Those of them that the new version got.
        late: Requests to the new version later than `rollback_s` after its
            fiftieth failed answer.
    """

    rollback_s = 5.0

    def __init__(
        self, *, size, fault, seed, requests_per_s=300, duration_s=15.0
    ):
        """Makes a fleet; `play` starts it."""
        self.rng = random.Random(seed)
        self.fault = fault
        self.spec = RolloutSpec(
            service=SERVICE,
            version="v2",
            duration_s=duration_s,
            revision=SPEC_REVISION,
        )
        self.decoder = PlatformItemDecoder(regions={})
        self.store = MemoryStore(clock=TrioClock())
        self.store.state.revision = SPEC_REVISION
        self.by_name = {}
        self.names = [f"g{i}" for i in range(size)]
        self.requests = self.exposed = self.late = 0
        self._requests_per_s = requests_per_s
        self._failures = 0
        self._fiftieth_at = float("inf")
        self._starts = 0

    def requests_per_gateway(self, period_s):
        """Returns how many requests a gateway gets in a period."""
        mean = self._requests_per_s * period_s / len(self.names)
        return int(mean) + (self.rng.random() < mean % 1)

    def count(self, now, *, is_new, failed):
        """Counts a request for the judgement of the run."""
        in_time = now - self._began_at < self.spec.duration_s
        self.requests += in_time
        self.exposed += in_time and is_new
        self.late += is_new and now > self._fiftieth_at + self.rollback_s
        self._failures += failed
        if failed and self._failures == 50:
            self._fiftieth_at = now

    def can_reach(self, one, other):
        """Returns whether two processes can exchange messages now."""
        return not any(
            process.is_frozen
            or process.is_cut_off
            or process.scope.cancelled_caught
            or self.by_name.get(process.name) is not process
            for process in (one, other)
        )

    def coordinator(self):
        """Returns the process that coordinates, None if there is none."""
        for process in self.by_name.values():
            rollout = process.tracked.get(SERVICE)
            if rollout is not None and rollout.coordination.is_coordinator:
                return process
        return None

    def outcome(self):
        """Returns the recorded state and its time since the order."""
        record = self.decoder.decode(
            self.store.state.get(ROLLOUT_RECORD_PREFIX + SERVICE)
        )
        if not isinstance(record, RolloutRecordUpdate):
            return None
        return record.record.state

    def play(self, *disruptions):
        """Plays the rollout.

        Args:
            *disruptions: Pairs of seconds after the order and a function that
                takes the fleet and disturbs it.

        Returns:
            The final state in the store, None without one, and the seconds
            from the order to its write.
        """
        clock = trio.testing.MockClock(autojump_threshold=0)
        with repeatable_scheduling():
            return trio.run(self._play, disruptions, clock=clock)

    async def _play(self, disruptions):
        ended = None
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._began_at = CLOCK.now()
            for name in self.names:
                self.start(name)
            for at_s, disturb in disruptions:
                nursery.start_soon(self._disturb, at_s, disturb)
            while CLOCK.now() - self._began_at < 24.0:
                await trio.sleep(0.05)
                state = self.outcome()
                if ended is None and state not in (
                    None,
                    RolloutRecordState.RUNNING,
                ):
                    ended = (state, CLOCK.now() - self._began_at)
            nursery.cancel_scope.cancel()
        return ended or (None, None)

    async def _disturb(self, at_s, disturb):
        await trio.sleep(at_s)
        await disturb(self)

    def start(self, name):
        """Starts a process."""
        self._starts += 1
        process = SimulatedGateway(
            name=name, incarnation=self._starts, fleet=self
        )
        self.by_name[name] = process
        self._nursery.start_soon(process.run)

    async def kill(self, name, *, back_after_s=1.0):
        """Kills a process and starts it again."""
        process = self.by_name.pop(name, None)
        if process is None:
            return
        process.scope.cancel()
        await trio.sleep(back_after_s)
        self.start(name)

    async def stop(self, name):
        """Stops a process as planned and starts it again."""
        process = self.by_name.get(name)
        if process is None:
            return
        process.is_leaving = True
        await trio.sleep(STOP_S)
        await self.kill(name, back_after_s=0.4)

    async def freeze(self, name, *, for_s):
        """Freezes a process for some time."""
        process = self.by_name[name]
        process.is_frozen = True
        await trio.sleep(for_s)
        process.is_frozen = False

    async def cut(self, name, *, for_s):
        """Cuts a process off from peers and store for some time."""
        process = self.by_name[name]
        process.is_cut_off = True
        await trio.sleep(for_s)
        process.is_cut_off = False
