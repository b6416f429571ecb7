"""Tests of rollouts: shares, canary analysis and the deadline."""

import random

import pytest

from kingcupvane.process.rollout import (
    NEW_COHORT,
    RolloutStates,
    TrackedRollout,
    TrackedRollouts,
    rollout_name,
    rollout_shares,
)
from kingcupvane.version.canary_analysis import CanaryAnalysis, Tally
from kingcupvane.version.move import MoveState, Phase
from kingcupvane.version.plan import (
    RolloutRecord,
    RolloutRecordState,
    RolloutSpec,
)

SPEC = RolloutSpec(service="s", version="v2", duration_s=15.0, revision=9)
PERIOD_S = 0.25
REQUESTS_PER_S = 250
EXPOSURE_SHARE_MAX = 0.1


def simulate_rollout(
    *, failure_rate=0.0, latency_factor=1.0, fault_begins_at=0.0, seed=1
):
    """Simulates a rollout at a constant request rate.

    Returns:
        The final phase or None, the time of the end in seconds, and the new
        version's share of the requests before the deadline.
    """
    rng = random.Random(seed)
    rollout = TrackedRollout(
        spec=SPEC,
        analysis=CanaryAnalysis(service="s", old="old", new="new"),
        spec_seen_at=0.0,
    )
    rollout_states = RolloutStates()
    counters = {
        version: Tally(service="s", version=version, route="/r/")
        for version in ("v1", "v2")
    }
    now = 0.0
    exposed = total = 0
    while now < 20.0:
        now += PERIOD_S
        state = rollout_states.states_by_name.get(rollout_name(SPEC))
        shares = rollout_shares(SPEC, None, state)
        for _ in range(int(REQUESTS_PER_S * PERIOD_S)):
            is_new = rng.random() < shares[NEW_COHORT].share
            is_faulty = is_new and now >= fault_begins_at
            total += now < SPEC.duration_s
            exposed += is_new and now < SPEC.duration_s
            counters["v2" if is_new else "v1"].add(
                failed=is_faulty and rng.random() < failure_rate,
                latency_s=0.1
                * rng.lognormvariate(0, 0.2)
                * (latency_factor if is_faulty else 1.0),
            )
        rollout.add(
            {("g", version): tally for version, tally in counters.items()}
        )
        next_state = rollout.decide(state, exposure=EXPOSURE_SHARE_MAX, now=now)
        if next_state is not None:
            rollout_states.merge(next_state)
            if next_state.phase is not Phase.RUNNING:
                return next_state.phase, now, exposed / total
    return None, now, exposed / total


@pytest.mark.parametrize("seed", range(5))
def test_healthy_version_is_completed_before_the_deadline(seed):
    phase, ended_at, _ = simulate_rollout(seed=seed)
    assert phase is Phase.COMPLETED
    assert ended_at < SPEC.duration_s


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "fault",
    [
        {"failure_rate": 0.5},
        {"failure_rate": 0.4, "fault_begins_at": 3.0},
        {"latency_factor": 8.0},
        {"latency_factor": 8.0, "fault_begins_at": 8.0},
    ],
)
def test_bad_version_is_taken_back_within_the_exposure_limit(fault, seed):
    phase, _, exposed = simulate_rollout(seed=seed, **fault)
    assert phase is Phase.TAKEN_BACK
    assert exposed <= EXPOSURE_SHARE_MAX


@pytest.mark.parametrize("seed", range(3))
def test_version_that_fails_during_the_ramp_is_taken_back(seed):
    phase, ended_at, _ = simulate_rollout(
        failure_rate=0.5, fault_begins_at=12.5, seed=seed
    )
    assert phase is Phase.TAKEN_BACK
    assert ended_at < SPEC.duration_s


def test_record_in_the_store_takes_precedence_over_reported_states():
    completed = MoveState(Phase.COMPLETED, 9, rollout_name(SPEC), 1.0)
    taken_back = RolloutRecord(
        service="s",
        version="v2",
        state=RolloutRecordState.TAKEN_BACK,
        revision=20,
    )
    assert rollout_shares(SPEC, taken_back, completed)[NEW_COHORT].share == 0.0
    assert rollout_shares(SPEC, None, completed)[NEW_COHORT].share == 1.0
    assert rollout_shares(None, taken_back, completed) is None


def test_new_rollout_spec_replaces_the_tracked_rollout():
    tracked_rollouts = TrackedRollouts()
    tracked_rollouts.update({"s": SPEC}, 1.0)
    first_rollout = tracked_rollouts.get("s")
    tracked_rollouts.update({"s": SPEC}, 2.0)
    assert tracked_rollouts.get("s") is first_rollout
    later_spec = RolloutSpec(
        service="s", version="v3", duration_s=9.0, revision=30
    )
    tracked_rollouts.update({"s": later_spec}, 3.0)
    assert tracked_rollouts.get("s").spec is later_spec
    tracked_rollouts.update({}, 4.0)
    assert not tracked_rollouts.values()
