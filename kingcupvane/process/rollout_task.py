"""Task that drives the rollouts that this gateway coordinates.

Rounds of evidence do not wait for the store: a second task writes the records
of rollouts, and the checkpoints with which the evidence outlives the fleet.
"""

from collections.abc import Callable
from typing import Protocol

import trio
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.evidence_collection import EvidenceCollector
from kingcupvane.process.item import ABSENT_REVISION, Item
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.rollout import (
    RolloutStates,
    TrackedRollout,
    TrackedRollouts,
    rollout_name,
)
from kingcupvane.process.rollout_coordination import PAUSE_MIN_S
from kingcupvane.process.store import Conflict, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.version.move import MoveState, Phase
from kingcupvane.version.plan import RolloutRecordState, RolloutSpec
from kingcupvane.version.rollout_checkpoint import (
    CHECKPOINT_PREFIX,
    RolloutCheckpoint,
    encode_checkpoint,
)

# Period of rounds, and the shortest pause between two, in seconds.
ROLLOUT_PERIOD_S = 0.25
ROUND_PAUSE_MIN_S = 0.05
# Interval between two writes of a rollout's checkpoint, in seconds; a change of
# its state is written at once.
CHECKPOINT_WRITE_PERIOD_S = 1.0
RECORD_STATES_BY_PHASE = {
    Phase.RUNNING: RolloutRecordState.RUNNING,
    Phase.COMPLETED: RolloutRecordState.COMPLETED,
    Phase.TAKEN_BACK: RolloutRecordState.TAKEN_BACK,
}


class RolloutRecordEncoder(Protocol):
    """Encodes the state of a rollout in the platform's format."""

    def __call__(self, version: str, state: RolloutRecordState) -> str:
        """Returns the value to store."""


class RolloutTask:
    """Collects evidence, decides on rollouts and writes their records."""

    def __init__(
        self,
        *,
        tracked_rollouts: TrackedRollouts,
        rollout_states: RolloutStates,
        catalog: Catalog,
        collector: EvidenceCollector,
        peers: PeerTable,
        store: Store,
        mirror: Mirror,
        encode_rollout_record: RolloutRecordEncoder,
        rollout_record_prefix: str,
        exposure: float,
        is_ready: Callable[[], bool],
        apply_state: Callable[..., None],
        publish: Callable[[], None],
        apply_items: Callable[[list[Item]], None],
        clock: Clock,
        timeline: Timeline,
    ):
        """Creates a task; `run` starts it.

        Args:
            tracked_rollouts: Rollouts of all specifications in the store, ended
                ones included.
            rollout_states: Latest known state of each rollout.
            catalog: Provides rollout specifications and records.
            collector: Reads the counters of all gateways.
            peers: The known gateways.
            store: Client of the platform's store, which gets the rollout
                records.
            mirror: Local copy of the store.
            encode_rollout_record: Encodes a rollout record for the store.
            rollout_record_prefix: Key prefix of the rollout records in the
                store.
            exposure: Largest share that a bad version may get, 0 to 1.
            is_ready: Returns whether this gateway may coordinate.
            apply_state: Called with each decision and its source.
            publish: Called to report a checkpoint to peers at once.
            apply_items: Called with items that this task wrote or read.
            clock: Monotonic clock.
            timeline: Logs take-overs, writes of rollout records and failed
                writes.
        """
        self._tracked_rollouts = tracked_rollouts
        self._rollout_states = rollout_states
        self._catalog = catalog
        self._collector = collector
        self._peers = peers
        self._store = store
        self._mirror = mirror
        self._encode_rollout_record = encode_rollout_record
        self._rollout_record_prefix = rollout_record_prefix
        self._exposure = exposure
        self._is_ready = is_ready
        self._apply_state = apply_state
        self._publish = publish
        self._apply_items = apply_items
        self._clock = clock
        self._timeline = timeline
        self._changed = trio.Event()

    async def run(self) -> None:
        """Drives rollouts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.write_when_changed)
            while True:
                started_at = self._clock.now()
                await self.run_round()
                left_s = started_at + ROLLOUT_PERIOD_S - self._clock.now()
                await trio.sleep(max(ROUND_PAUSE_MIN_S, left_s))

    async def run_round(self) -> None:
        """Plays one round of each rollout."""
        self._update_rollouts()
        async with trio.open_nursery() as nursery:
            for rollout in self._tracked_rollouts.values():
                nursery.start_soon(self._advance, rollout)

    def _update_rollouts(self) -> None:
        """Tracks the present specifications; applies stored checkpoints."""
        now = self._clock.now()
        catalog = self._catalog
        self._tracked_rollouts.update(catalog.rollout_specs_by_service, now)
        for rollout in self._tracked_rollouts.values():
            spec = rollout.spec
            record = catalog.rollout_records_by_service.get(spec.service)
            rollout.coordination.has_begun = (
                record is not None and record.revision > spec.revision
            )
            checkpoint = catalog.rollout_checkpoints_by_service.get(
                spec.service
            )
            if checkpoint is not None and rollout.merge_checkpoint(
                checkpoint, now
            ):
                self._apply_state(checkpoint.state, source="store")

    def _has_ended(self, spec: RolloutSpec) -> bool:
        record = self._catalog.rollout_records_by_service.get(spec.service)
        return (
            record is not None
            and record.version == spec.version
            and record.revision > spec.revision
            and record.state is not RolloutRecordState.RUNNING
        )

    async def _advance(self, rollout: TrackedRollout) -> None:
        """Plays one round: takes over or releases, reads, decides."""
        if self._has_ended(rollout.spec):
            rollout.coordination.is_coordinator = False
            return
        started_at = self._clock.now()
        was_coordinator = rollout.coordination.is_coordinator
        candidates = self._candidates(started_at)
        if not rollout.coordination.must_coordinate(
            own=self._peers.own.name,
            ready=candidates,
            service=rollout.spec.service,
            now=started_at,
        ):
            if was_coordinator and self._peers.own.name not in candidates:
                self._release(rollout, started_at)
            return
        if not rollout.coordination.is_coordinator:
            self._take_over(rollout, started_at)
        await self._read(rollout)
        now = self._clock.now()
        if (
            not rollout.coordination.is_coordinator
            or now - started_at > PAUSE_MIN_S
            or self._has_ended(rollout.spec)
        ):
            # Another gateway has taken over, or may have, in the meantime.
            return
        self._decide(rollout, now)

    def _candidates(self, now: float) -> list[str]:
        """Returns the names of the gateways that may coordinate.

        These are the ready ones, or all live ones while none is ready.
        """
        ready = [
            gateway.record.name
            for gateway in self._peers.live_gateways(now)
            if gateway.ready
        ]
        if self._is_ready():
            ready.append(self._peers.own.name)
        return ready or self._peers.live_names(now)

    def _take_over(self, rollout: TrackedRollout, now: float) -> None:
        coordination = rollout.coordination
        predecessor = coordination.checkpoint
        rollout.take_over(self._peers.own.name)
        self._timeline.record(
            "rollout-taken-over",
            service=rollout.spec.service,
            version=rollout.spec.version,
            epoch=rollout.mark.epoch,
            predecessor=predecessor.mark.coordinator if predecessor else "",
            silent_s=round(now - coordination.heard_at, 3),
            age_s=round(rollout.age_s(now), 3),
            step_rounds=rollout.step_rounds,
            evidence=format_evidence(rollout),
        )
        if predecessor is not None:
            # Tells the others at once that they need not take over.
            checkpoint = rollout.make_checkpoint(predecessor.state, now)
            coordination.advance(checkpoint, now)
            self._publish()

    def _release(self, rollout: TrackedRollout, now: float) -> None:
        """Hands over to the gateway that ranks first, since this one stops."""
        coordination = rollout.coordination
        known = coordination.checkpoint
        if known is None or known.mark.coordinator != self._peers.own.name:
            return
        coordination.is_coordinator = False
        rollout.next_reading()
        released = rollout.make_checkpoint(known.state, now, released=True)
        coordination.advance(released, now)
        self._publish()
        self._timeline.record(
            "rollout-released",
            service=rollout.spec.service,
            version=rollout.spec.version,
            epoch=rollout.mark.epoch,
            evidence=format_evidence(rollout),
        )

    async def _read(self, rollout: TrackedRollout) -> None:
        """Reads the counters of all gateways and adds them."""
        sources = await self._collector.collect_all(
            [rollout.spec.service], rollout.next_reading()
        )
        if not rollout.coordination.is_coordinator:
            return
        tallies = {}
        earlier = {}
        for source in sources:
            process = (source.name, str(source.incarnation))
            for tally in source.tallies:
                tallies[*process, tally.version, tally.route] = tally
            for tally in source.earlier:
                earlier[*process, tally.version, tally.route] = tally
        live = self._peers.live_names(self._clock.now())
        rollout.add(
            tallies,
            earlier,
            is_complete={source.name for source in sources}.issuperset(live),
        )

    def _decide(self, rollout: TrackedRollout, now: float) -> None:
        """Decides on a rollout and makes a checkpoint."""
        name = rollout_name(rollout.spec)
        state = self._rollout_states.states_by_name.get(name)
        decided = rollout.decide(state, exposure=self._exposure, now=now)
        if decided is not None:
            self._record_decision(rollout, decided)
            self._apply_state(decided, source=self._peers.own.name)
            state = decided
        if state is None:
            return
        rollout.coordination.advance(rollout.make_checkpoint(state, now), now)
        if decided is not None:
            self._publish()
            self._changed.set()

    def _record_decision(
        self, rollout: TrackedRollout, decided: MoveState
    ) -> None:
        """Logs a decision with the evidence that it rests on."""
        self._timeline.record(
            "rollout-decided",
            service=rollout.spec.service,
            version=rollout.spec.version,
            phase=decided.phase.name.lower(),
            share=decided.share,
            epoch=rollout.mark.epoch,
            round=rollout.mark.round,
            is_complete_reading=rollout.is_complete_reading,
            evidence=format_evidence(rollout),
            why=decided.reason,
        )

    async def write_when_changed(self) -> None:
        """Writes records and checkpoints until cancelled."""
        while True:
            with trio.move_on_after(CHECKPOINT_WRITE_PERIOD_S):
                await self._changed.wait()
            self._changed = trio.Event()
            await self.write_all()

    async def write_all(self) -> None:
        """Writes the records and checkpoints of the coordinated rollouts."""
        for rollout in self._tracked_rollouts.values():
            await self._write(rollout)

    async def _write(self, rollout: TrackedRollout) -> None:
        """Writes the record and the checkpoint of a coordinated rollout."""
        coordination = rollout.coordination
        checkpoint = coordination.checkpoint
        if checkpoint is None or not coordination.is_coordinator:
            return
        await self._write_rollout_record(rollout.spec, checkpoint.state)
        if not self._has_ended(rollout.spec):
            await self._write_checkpoint(checkpoint)

    async def _write_checkpoint(self, checkpoint: RolloutCheckpoint) -> None:
        await self._compare_and_swap(
            CHECKPOINT_PREFIX + checkpoint.service,
            encode_checkpoint(checkpoint),
            service=checkpoint.service,
            what="checkpoint",
        )

    async def _write_rollout_record(
        self, spec: RolloutSpec, state: MoveState
    ) -> None:
        record_state = RECORD_STATES_BY_PHASE[state.phase]
        record = self._catalog.rollout_records_by_service.get(spec.service)
        is_written = (
            record is not None
            and record.revision > spec.revision
            and record.version == spec.version
            and record.state is record_state
        )
        if is_written or self._has_ended(spec):
            return
        written = await self._compare_and_swap(
            self._rollout_record_prefix + spec.service,
            self._encode_rollout_record(spec.version, record_state),
            service=spec.service,
            what=record_state.value,
        )
        if written:
            self._timeline.record(
                "rollout-written",
                service=spec.service,
                state=record_state.value,
                why=state.reason,
            )

    async def _compare_and_swap(
        self, key: str, value: str, *, service: str, what: str
    ) -> bool:
        """Writes a key of a rollout; returns whether that is known to be done.

        Args:
            key: The key.
            value: Its new value.
            service: Name of the service, for the log.
            what: What is written, for the log.
        """
        mirrored = self._mirror.get(key)
        reply = await self._store.compare_and_swap(
            key,
            value,
            expected=mirrored.revision
            if mirrored is not None
            else ABSENT_REVISION,
        )
        match reply:
            case Ok(item):
                self._apply_items(self._mirror.add([item]))
                return True
            case Err(Conflict(current=current)):
                self._apply_items(self._mirror.add([current]))
            case Err(error):
                self._timeline.record(
                    "rollout-not-written",
                    service=service,
                    state=what,
                    why=error.detail,
                )
        return False


def format_evidence(rollout: TrackedRollout) -> str:
    """Returns the evidence by route for a log line.

    Each route has its number of answers of the new version and the cumulative
    sums of the tests on failures and slowness.
    """
    return ",".join(
        f"{row.route}:{row.new_version_count}:{row.failures}:{row.slowness}"
        for row in rollout.analysis.evidence()
    )
