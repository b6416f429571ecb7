"""Task that drives the rollouts that this gateway coordinates.

The coordinator of a service's rollout is the live gateway that ranks first for
the service by rendezvous hashing.
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
from kingcupvane.process.store import Conflict, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.version.canary_analysis import Tally
from kingcupvane.version.move import MoveState, Phase
from kingcupvane.version.plan import RolloutRecordState, RolloutSpec

ROLLOUT_PERIOD_S = 0.25


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
        apply_state: Callable[..., None],
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
            apply_state: Called with each decision and its source.
            apply_items: Called with items that this task wrote or read.
            clock: Monotonic clock.
            timeline: Logs writes of rollout records and failed writes.
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
        self._apply_state = apply_state
        self._apply_items = apply_items
        self._clock = clock
        self._timeline = timeline

    async def run(self) -> None:
        """Drives rollouts until cancelled."""
        while True:
            now = self._clock.now()
            self._tracked_rollouts.update(
                self._catalog.rollout_specs_by_service, now
            )
            for rollout in self._tracked_rollouts.values():
                await self._advance(rollout)
            await trio.sleep(ROLLOUT_PERIOD_S)

    def _has_ended(self, spec: RolloutSpec) -> bool:
        record = self._catalog.rollout_records_by_service.get(spec.service)
        return (
            record is not None
            and record.version == spec.version
            and record.revision > spec.revision
            and record.state is not RolloutRecordState.RUNNING
        )

    async def _advance(self, rollout: TrackedRollout) -> None:
        spec = rollout.spec
        if self._has_ended(spec):
            return
        live = self._peers.live_names(self._clock.now())
        coordinator = rendezvous_rank(live, hash_key=spec.service)[0]
        if coordinator != self._peers.own.name:
            return
        rollout.add(await self._read_counters(spec.service))
        name = rollout_name(spec)
        state = self._rollout_states.states_by_name.get(name)
        decided = rollout.decide(
            state,
            exposure=self._exposure,
            now=self._clock.now(),
        )
        if decided is not None:
            self._apply_state(decided, source=self._peers.own.name)
            state = decided
        if state is not None:
            await self._write_rollout_record(spec, state)

    async def _read_counters(
        self, service: str
    ) -> dict[tuple[str, ...], Tally]:
        sources = await self._collector.collect_all([service])
        return {
            (
                source.name,
                str(source.incarnation),
                tally.version,
                tally.route,
            ): tally
            for source in sources
            for tally in source.tallies
        }

    async def _write_rollout_record(
        self, spec: RolloutSpec, state: MoveState
    ) -> None:
        record_state = {
            Phase.RUNNING: RolloutRecordState.RUNNING,
            Phase.COMPLETED: RolloutRecordState.COMPLETED,
            Phase.TAKEN_BACK: RolloutRecordState.TAKEN_BACK,
        }[state.phase]
        key = self._rollout_record_prefix + spec.service
        mirrored = self._mirror.get(key)
        record = self._catalog.rollout_records_by_service.get(spec.service)
        if (
            record is not None
            and record.revision > spec.revision
            and record.version == spec.version
            and record.state is record_state
        ):
            return
        value = self._encode_rollout_record(spec.version, record_state)
        reply = await self._store.compare_and_swap(
            key,
            value,
            expected=mirrored.revision
            if mirrored is not None
            else ABSENT_REVISION,
        )
        match reply:
            case Ok(item):
                self._apply_items(self._mirror.merge([item], as_of=0))
                self._timeline.record(
                    "rollout-written",
                    service=spec.service,
                    state=record_state.value,
                    why=state.reason,
                )
            case Err(Conflict(current=current)):
                self._apply_items(self._mirror.merge([current], as_of=0))
            case Err(error):
                self._timeline.record(
                    "rollout-not-written",
                    service=spec.service,
                    state=record_state.value,
                    why=error.detail,
                )
