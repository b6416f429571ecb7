"""Moves a service's traffic to a new version, or takes it back.

Every gateway can work this out: the one that ranks first for the service
among the live ones collects the counters of all, decides and writes how the
rollout stands, under the condition that nobody wrote since. What the store
holds as the end of a rollout goes before all that gateways tell each other.
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
from kingcupvane.version.plan import RolloutOrder, RolloutOutcome, RolloutState

OLD = "old"
NEW = "new"
# Part of the traffic that a version gets before it is trusted, as a share of
# the part that a bad version may get.
CANARY_EXPOSURE_FACTOR = 0.6
# Time before the deadline at which the new version takes over, in seconds.
RAMP_LEAD_S = 3.0
# Time before the deadline at which the outcome is written, in seconds.
COMPLETION_LEAD_S = 1.0
# Shares during the takeover, by the time left to the deadline in seconds.
RAMP_STEPS = ((1.6, 1.0), (2.2, 0.6), (RAMP_LEAD_S, 0.25))


def rollout_shares(
    order: RolloutOrder | None,
    outcome: RolloutOutcome | None,
    state: MoveState | None,
) -> Mapping[str, VersionShare] | None:
    """Returns the part of the new and the old version, None without a move.

    Args:
        order: The order in force.
        outcome: What the store holds of its end.
        state: What the deciding gateway has told.
    """
    if order is None:
        return None
    share = 0.0
    if outcome is not None and outcome.version == order.version:
        if outcome.state is RolloutState.COMPLETED:
            return _split(1.0)
        if outcome.state is RolloutState.TAKEN_BACK:
            return _split(0.0)
    if state is not None and state.name == rollout_id(order):
        if state.phase is Phase.RUNNING:
            share = state.share
        elif state.phase is Phase.COMPLETED:
            share = 1.0
    return _split(share)


def _split(share: float) -> Mapping[str, VersionShare]:
    return {
        NEW: VersionShare(share=share, capped=share < 1.0),
        OLD: VersionShare(share=1.0 - share, capped=share >= 1.0),
    }


def rollout_id(order: RolloutOrder) -> str:
    """Returns the name under which gateways speak of a rollout."""
    return f"{order.service}/{order.version}/{order.revision}"


@dataclass(kw_only=True, slots=True)
class ActiveRollout:
    """A rollout in the hands of one gateway; does no I/O.

    Attributes:
        order: The order.
        analysis: Evidence about the new version.
        seen_at: Monotonic time of the order, as far as is known, in seconds.
        tallies_by_source: Counters that were read last.
    """

    order: RolloutOrder
    analysis: CanaryAnalysis
    seen_at: float
    last_tallies_by_source: dict[tuple[str, ...], Tally] = field(
        default_factory=dict
    )

    def add(self, tallies: Mapping[tuple[str, ...], Tally]) -> None:
        """Takes in the counters of all gateways."""
        new_counts = []
        for source, tally in tallies.items():
            previous = self.last_tallies_by_source.get(source)
            new_counts.append(counts_since(tally, previous))
            self.last_tallies_by_source[source] = _copy_tally(tally)
        self.analysis.add(_sum_by_route(new_counts, self.order.version))

    def decide(
        self, state: MoveState | None, *, exposure: float, now: float
    ) -> MoveState | None:
        """Returns the next state of the rollout, None to leave it.

        Args:
            state: The present state.
            exposure: Largest part that a bad version may get, 0 to 1.
            now: Monotonic seconds.
        """
        if state is not None and state.phase is not Phase.RUNNING:
            return None
        number = state.number + 1 if state is not None else 1
        name = rollout_id(self.order)
        finding = self.analysis.evaluate()
        if finding.verdict is Verdict.BAD:
            return MoveState(
                Phase.TAKEN_BACK, number, name, 0.0, 0, finding.reason
            )
        left_s = self.order.duration_s - (now - self.seen_at)
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
    """Returns one tally a route for the new version and one for all others."""
    by_key: dict[tuple[str, str], Tally] = {}
    for tally in tallies:
        group = NEW if tally.version == version else OLD
        total = by_key.get((group, tally.route))
        if total is None:
            total = _copy_tally(tally)
            total.version = group
            by_key[group, tally.route] = total
            continue
        total.count += tally.count
        total.failed += tally.failed
        pairs = zip(total.latencies, tally.latencies, strict=True)
        total.latencies = [a + b for a, b in pairs]
    return list(by_key.values())


class RolloutStates:
    """What this gateway has heard of rollouts."""

    def __init__(self):
        """Starts without any."""
        self.states_by_name: dict[str, MoveState] = {}

    def merge(self, state: MoveState) -> bool:
        """Takes in a state; returns whether it is news."""
        if not supersedes(state, self.states_by_name.get(state.name)):
            return False
        self.states_by_name[state.name] = state
        return True


class ActiveRollouts:
    """The rollouts that run, by service."""

    def __init__(self):
        """Starts without any."""
        self._rollouts_by_service: dict[str, ActiveRollout] = {}

    def get(self, service: str) -> ActiveRollout | None:
        """Returns the rollout of a service, None without one."""
        return self._rollouts_by_service.get(service)

    def values(self) -> list[ActiveRollout]:
        """Returns all rollouts."""
        return list(self._rollouts_by_service.values())

    def update(self, orders: Mapping[str, RolloutOrder], now: float) -> None:
        """Opens a case for each new order and closes those withdrawn."""
        for service, rollout in list(self._rollouts_by_service.items()):
            if orders.get(service) != rollout.order:
                del self._rollouts_by_service[service]
        for service, order in orders.items():
            if service not in self._rollouts_by_service:
                self._rollouts_by_service[service] = ActiveRollout(
                    order=order,
                    analysis=CanaryAnalysis(service=service, old=OLD, new=NEW),
                    seen_at=now,
                )
