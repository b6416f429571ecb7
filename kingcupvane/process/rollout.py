"""Rollouts: move a service's traffic to a new version, or roll it back.

Any gateway can coordinate a rollout: it collects the counters of all gateways,
decides, and writes the state of the rollout by compare-and-swap. After each
reading it makes a checkpoint, with which a successor continues. A final rollout
record in the store takes precedence over the states that gateways report to
each other.

A version is completed only on evidence: it had all of the traffic, for at least
`FULL_SHARE_ROUNDS_MIN` readings, and its answers there show no fault. Without
that evidence it is taken back at the deadline.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from kingcupvane.connection.messages import EvidenceReading
from kingcupvane.process.rollout_coordination import Coordination
from kingcupvane.version.canary_analysis import (
    GOOD_EVIDENCE_LIMIT,
    ROUTE_SAMPLES_MIN,
    STEP_SAMPLES_MIN,
    CanaryAnalysis,
    Tally,
    copy_tally,
    counts_since,
)
from kingcupvane.version.move import (
    Finding,
    MoveState,
    Phase,
    Verdict,
    VersionShare,
    supersedes,
)
from kingcupvane.version.plan import (
    RolloutRecord,
    RolloutRecordState,
    RolloutSpec,
)
from kingcupvane.version.rollout_checkpoint import (
    EvidenceMark,
    RolloutCheckpoint,
)

# Cohorts of a service's targets: those of versions other than the rollout's,
# and those of the rollout's version.
OLD_COHORT = "old"
NEW_COHORT = "new"
# Share of the traffic that a new version gets during canary analysis, as a
# fraction of the largest share that a bad version may get.
CANARY_EXPOSURE_FACTOR = 0.4
# Ramp after the canary analysis, as pairs of the time left to the deadline from
# which a step may be taken, in seconds, and the share of the new version.
RAMP_STEPS = ((4.6, 0.12), (3.9, 0.25), (3.2, 0.5), (2.6, 1.0))
# Readings at a share of the ramp before the next step.
STEP_ROUNDS_MIN = 1
# Readings at the full share before the rollout is completed.
FULL_SHARE_ROUNDS_MIN = 2
# Time before the deadline from which a proven version is completed, in seconds.
COMPLETION_LEAD_S = 1.6
# The same for a version that got few requests, in seconds.
QUIET_COMPLETION_LEAD_S = 1.2
# Time before the deadline at which an unproven version is taken back, in
# seconds. It covers the delay with which gateways learn of the order, a round,
# the write and the operator's reading of it.
TAKE_BACK_LEAD_S = 0.9
# Readings after a take-over that also ask for the counters at the predecessor's
# last one: a gateway may not reply to the first of them.
CATCH_UP_ROUNDS = 8


def rollout_shares(
    spec: RolloutSpec | None,
    record: RolloutRecord | None,
    state: MoveState | None,
) -> Mapping[str, VersionShare] | None:
    """Returns the shares by cohort, None without a spec.

    Args:
        spec: The rollout specification in force.
        record: The record in the store.
        state: The latest state decided by a gateway.
    """
    if spec is None:
        return None
    share = 0.0
    if record is not None and record.version == spec.version:
        if record.state is RolloutRecordState.COMPLETED:
            return _split(1.0)
        if record.state is RolloutRecordState.TAKEN_BACK:
            return _split(0.0)
    if state is not None and state.name == rollout_name(spec):
        if state.phase is Phase.RUNNING:
            share = state.share
        elif state.phase is Phase.COMPLETED:
            share = 1.0
    return _split(share)


def _split(share: float) -> Mapping[str, VersionShare]:
    return {
        NEW_COHORT: VersionShare(share=share, capped=share < 1.0),
        OLD_COHORT: VersionShare(share=1.0 - share, capped=share >= 1.0),
    }


def rollout_name(spec: RolloutSpec) -> str:
    """Returns the name that identifies a rollout among gateways."""
    return f"{spec.service}/{spec.version}/{spec.revision}"


@dataclass(kw_only=True, slots=True)
class TrackedRollout:
    """A rollout as tracked by one gateway; does no I/O.

    Attributes:
        spec: The rollout specification.
        analysis: Canary analysis of the new version.
        spec_seen_at: Earliest known monotonic time at which a gateway saw
            the specification, on this gateway's clock, in seconds.
        coordination: Who coordinates, and the latest checkpoint.
        last_tallies_by_key: Counters at the last reading, by gateway,
            incarnation, version and route.
        mark: Mark of the latest reading, None while another coordinates.
        since: Mark of the predecessor's last reading.
        step_rounds: Readings since the last change of the share.
        is_complete_reading: Whether the latest reading had the counters of all
            live gateways.
    """

    spec: RolloutSpec
    analysis: CanaryAnalysis
    spec_seen_at: float
    coordination: Coordination = field(default_factory=Coordination)
    last_tallies_by_key: dict[tuple[str, ...], Tally] = field(
        default_factory=dict
    )
    mark: EvidenceMark | None = None
    since: EvidenceMark | None = None
    step_rounds: int = 0
    is_complete_reading: bool = True

    def age_s(self, now: float) -> float:
        """Returns the time since a gateway first saw the specification."""
        return now - self.spec_seen_at

    def learn_age(self, age_s: float, now: float) -> None:
        """Notes an age that another gateway or an earlier process knew."""
        self.spec_seen_at = min(self.spec_seen_at, now - age_s)

    def merge_checkpoint(
        self, checkpoint: RolloutCheckpoint, now: float
    ) -> bool:
        """Stores a checkpoint; returns false unless it is the highest one."""
        if checkpoint.mark.revision != self.spec.revision:
            return False
        self.learn_age(checkpoint.age_s, now)
        return self.coordination.merge(checkpoint, now)

    def take_over(self, own: str) -> None:
        """Continues from the latest checkpoint, or begins without one.

        Args:
            own: Name of this gateway.
        """
        coordination = self.coordination
        checkpoint = coordination.checkpoint
        self.last_tallies_by_key.clear()
        self.mark = coordination.next_epoch(self.spec.revision, own)
        self.since = EvidenceMark(revision=self.spec.revision)
        self.step_rounds = 0
        if checkpoint is not None:
            self.since = checkpoint.mark
            self.step_rounds = checkpoint.step_rounds
            self.analysis.restore(
                checkpoint.routes, samples_since_step=checkpoint.step_samples
            )
        coordination.is_coordinator = True

    def next_reading(self) -> EvidenceReading:
        """Returns the marks of the next reading.

        The counters at the predecessor's last reading are wanted only for some
        rounds: a gateway that replies for the first time after them has just
        started.
        """
        self.mark = msgspec.structs.replace(
            self.mark, round=self.mark.round + 1
        )
        catches_up = self.mark.round <= CATCH_UP_ROUNDS
        return EvidenceReading(self.mark, self.since if catches_up else None)

    def make_checkpoint(
        self, state: MoveState, now: float, *, released: bool = False
    ) -> RolloutCheckpoint:
        """Returns what a successor needs to continue.

        Args:
            state: Present state of the rollout.
            now: Monotonic seconds.
            released: Whether this gateway stops coordinating.
        """
        return RolloutCheckpoint(
            service=self.spec.service,
            mark=self.mark,
            state=state,
            age_s=round(self.age_s(now), 3),
            released=released,
            step_rounds=self.step_rounds,
            step_samples=self.analysis.samples_since_step,
            routes=self.analysis.evidence(),
        )

    def add(
        self,
        tallies: Mapping[tuple[str, ...], Tally],
        earlier: Mapping[tuple[str, ...], Tally] | None = None,
        *,
        is_complete: bool = True,
    ) -> None:
        """Adds the counts since the last reading to the analysis.

        Args:
            tallies: The present counters.
            earlier: Counters at the predecessor's last reading, for sources
                that were not read here before.
            is_complete: Whether the reading has all live gateways.
        """
        earlier = earlier or {}
        new_counts = []
        for key, tally in tallies.items():
            previous = self.last_tallies_by_key.get(key, earlier.get(key))
            new_counts.append(counts_since(tally, previous))
            self.last_tallies_by_key[key] = copy_tally(tally)
        self.analysis.add(_sum_by_route(new_counts, self.spec.version))
        self.step_rounds += 1
        self.is_complete_reading = is_complete

    def decide(
        self, state: MoveState | None, *, exposure: float, now: float
    ) -> MoveState | None:
        """Returns the next state of the rollout, None for no change.

        Args:
            state: The current state, None before the first.
            exposure: Largest share that a bad version may get, 0 to 1.
            now: Monotonic time, in seconds.
        """
        if state is not None and state.phase is not Phase.RUNNING:
            return None
        finding = self.analysis.evaluate()
        left_s = self.spec.duration_s - self.age_s(now)
        if finding.verdict is Verdict.BAD:
            return self._next_state(state, Phase.TAKEN_BACK, 0.0, finding)
        if state is not None and self._is_proven(state, left_s):
            return self._next_state(state, Phase.COMPLETED, 1.0, finding)
        if left_s <= TAKE_BACK_LEAD_S:
            unproven = Finding(
                verdict=finding.verdict,
                reason=f"not proven by the deadline: {finding.reason}",
            )
            return self._next_state(state, Phase.TAKEN_BACK, 0.0, unproven)
        share = self._next_share(
            state, left_s, canary_share=CANARY_EXPOSURE_FACTOR * exposure
        )
        if state is not None and state.share == share:
            return None
        self.step_rounds = 0
        self.analysis.reset_step_count()
        return self._next_state(state, Phase.RUNNING, share, finding)

    def is_suspect(self) -> bool:
        """Returns whether evidence against the version forbids a step."""
        return self.analysis.strongest_suspicion() >= GOOD_EVIDENCE_LIMIT

    def _next_state(
        self,
        state: MoveState | None,
        phase: Phase,
        share: float,
        finding: Finding,
    ) -> MoveState:
        number = state.number + 1 if state is not None else 1
        name = rollout_name(self.spec)
        return MoveState(phase, number, name, share, 0, finding.reason)

    def _is_proven(self, state: MoveState, left_s: float) -> bool:
        """Returns whether the answers at the full share show no fault.

        A version that got few requests is proven by them only if the counters
        of all live gateways are known.
        """
        if (
            left_s > COMPLETION_LEAD_S
            or state.share < 1.0
            or self.step_rounds < FULL_SHARE_ROUNDS_MIN
            or self.is_suspect()
        ):
            return False
        if self.analysis.samples_since_step >= STEP_SAMPLES_MIN:
            return True
        return (
            left_s <= QUIET_COMPLETION_LEAD_S
            and self.is_complete_reading
            and self.analysis.new_version_count >= ROUTE_SAMPLES_MIN
        )

    def _next_share(
        self, state: MoveState | None, left_s: float, *, canary_share: float
    ) -> float:
        """Returns the share that is due.

        A successor that is late skips steps, but not the readings at the last.
        """
        if state is None:
            return canary_share
        if self.is_suspect() or self.step_rounds < STEP_ROUNDS_MIN:
            return state.share
        due_shares = [share for lead_s, share in RAMP_STEPS if left_s <= lead_s]
        return max([state.share, *due_shares])


def _sum_by_route(tallies: list[Tally], version: str) -> list[Tally]:
    """Returns per route a tally of `version` and one of all other versions."""
    by_key: dict[tuple[str, str], Tally] = {}
    for tally in tallies:
        cohort = NEW_COHORT if tally.version == version else OLD_COHORT
        total = by_key.get((cohort, tally.route))
        if total is None:
            total = copy_tally(tally)
            total.version = cohort
            by_key[cohort, tally.route] = total
            continue
        total.count += tally.count
        total.failed += tally.failed
        pairs = zip(total.latencies, tally.latencies, strict=True)
        total.latencies = [a + b for a, b in pairs]
    return list(by_key.values())


class RolloutStates:
    """Latest known state of each rollout."""

    def __init__(self):
        """Starts empty."""
        self.states_by_name: dict[str, MoveState] = {}

    def merge(self, state: MoveState) -> bool:
        """Stores a state; returns false unless it supersedes the known one."""
        if not supersedes(state, self.states_by_name.get(state.name)):
            return False
        self.states_by_name[state.name] = state
        return True


class TrackedRollouts:
    """Rollouts of all specifications in the store, by service.

    Ended rollouts are included while their specification is in the store.
    """

    def __init__(self):
        """Starts empty."""
        self._rollouts_by_service: dict[str, TrackedRollout] = {}

    def get(self, service: str) -> TrackedRollout | None:
        """Returns the tracked rollout of a service, None without one."""
        return self._rollouts_by_service.get(service)

    def values(self) -> list[TrackedRollout]:
        """Returns all tracked rollouts, ended ones included."""
        return list(self._rollouts_by_service.values())

    def update(self, specs: Mapping[str, RolloutSpec], now: float) -> None:
        """Adds rollouts of new specs; drops those withdrawn or replaced."""
        for service, rollout in list(self._rollouts_by_service.items()):
            if specs.get(service) != rollout.spec:
                del self._rollouts_by_service[service]
        for service, spec in specs.items():
            if service not in self._rollouts_by_service:
                self._rollouts_by_service[service] = TrackedRollout(
                    spec=spec,
                    analysis=CanaryAnalysis(
                        service=service, old=OLD_COHORT, new=NEW_COHORT
                    ),
                    spec_seen_at=now,
                )
