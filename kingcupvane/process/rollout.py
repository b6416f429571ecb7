"""Rollouts: move a service's traffic to a new version, or roll it back.

Any gateway can drive a rollout: the live gateway that ranks first for the
service collects the counters of all gateways, decides, and writes the state of
the rollout by compare-and-swap. A final rollout record in the store takes
precedence over the states that gateways report to each other.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from kingcupvane.version.canary_analysis import (
    CanaryAnalysis,
    Tally,
    counts_since,
)
from kingcupvane.version.move import (
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

# Cohorts of a service's targets: those of versions other than the rollout's,
# and those of the rollout's version.
OLD_COHORT = "old"
NEW_COHORT = "new"
# Share of the traffic that a new version gets during canary analysis, as a
# fraction of the largest share that a bad version may get.
CANARY_EXPOSURE_FACTOR = 0.6
# Time before the deadline at which the ramp to the new version starts, in
# seconds.
RAMP_LEAD_S = 3.0
# Time before the deadline at which the rollout is completed, in seconds.
COMPLETION_LEAD_S = 1.0
# Ramp as pairs of time left to the deadline, in seconds, and share of the new
# version.
RAMP_STEPS = ((1.6, 1.0), (2.2, 0.6), (RAMP_LEAD_S, 0.25))


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
        last_tallies_by_key: Counters at the last reading, by gateway,
            incarnation, version and route.
    """

    spec: RolloutSpec
    analysis: CanaryAnalysis
    spec_seen_at: float
    last_tallies_by_key: dict[tuple[str, ...], Tally] = field(
        default_factory=dict
    )

    def add(self, tallies: Mapping[tuple[str, ...], Tally]) -> None:
        """Adds the counts since the last reading to the analysis."""
        new_counts = []
        for key, tally in tallies.items():
            previous = self.last_tallies_by_key.get(key)
            new_counts.append(counts_since(tally, previous))
            self.last_tallies_by_key[key] = _copy_tally(tally)
        self.analysis.add(_sum_by_route(new_counts, self.spec.version))

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
        number = state.number + 1 if state is not None else 1
        name = rollout_name(self.spec)
        finding = self.analysis.evaluate()
        if finding.verdict is Verdict.BAD:
            return MoveState(
                Phase.TAKEN_BACK, number, name, 0.0, 0, finding.reason
            )
        left_s = self.spec.duration_s - (now - self.spec_seen_at)
        if left_s <= COMPLETION_LEAD_S:
            return MoveState(
                Phase.COMPLETED, number, name, 1.0, 0, finding.reason
            )
        share = CANARY_EXPOSURE_FACTOR * exposure
        for step_lead_s, step_share in RAMP_STEPS:
            if left_s <= step_lead_s:
                share = step_share
                break
        if state is not None and state.share == share:
            return None
        return MoveState(Phase.RUNNING, number, name, share, 0, finding.reason)


def _copy_tally(tally: Tally) -> Tally:
    return Tally(
        service=tally.service,
        version=tally.version,
        route=tally.route,
        count=tally.count,
        failed=tally.failed,
        latencies=list(tally.latencies),
    )


def _sum_by_route(tallies: list[Tally], version: str) -> list[Tally]:
    """Returns per route a tally of `version` and one of all other versions."""
    by_key: dict[tuple[str, str], Tally] = {}
    for tally in tallies:
        cohort = NEW_COHORT if tally.version == version else OLD_COHORT
        total = by_key.get((cohort, tally.route))
        if total is None:
            total = _copy_tally(tally)
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
