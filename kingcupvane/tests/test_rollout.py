"""Tests of rollouts: shares, canary analysis and the deadline."""

import random

import pytest

from kingcupvane.process.rollout import (
    NEW,
    ActiveRollout,
    ActiveRollouts,
    RolloutStates,
    rollout_id,
    rollout_shares,
)
from kingcupvane.version.canary_analysis import CanaryAnalysis, Tally
from kingcupvane.version.move import MoveState, Phase
from kingcupvane.version.plan import (
    RolloutOrder,
    RolloutOutcome,
    RolloutState,
)

ORDER = RolloutOrder(service="s", version="v2", duration_s=15.0, revision=9)
PERIOD_S = 0.25
RATE = 250
EXPOSURE = 0.1


def play(*, failing=0.0, slower=1.0, begins_at=0.0, seed=1):
    """Simulates a rollout at a constant request rate.

    Returns:
        The final phase or None, the time of the end in seconds, and the new
        version's share of the requests before the deadline.
    """
    chance = random.Random(seed)
    case = ActiveRollout(
        order=ORDER,
        analysis=CanaryAnalysis(service="s", old="old", new="new"),
        seen_at=0.0,
    )
    register = RolloutStates()
    counters = {
        version: Tally(service="s", version=version, route="/r/")
        for version in ("v1", "v2")
    }
    now = 0.0
    exposed = total = 0
    while now < 20.0:
        now += PERIOD_S
        state = register.states_by_name.get(rollout_id(ORDER))
        shares = rollout_shares(ORDER, None, state)
        for _ in range(int(RATE * PERIOD_S)):
            new = chance.random() < shares[NEW].share
            bad = new and now >= begins_at
            total += now < ORDER.duration_s
            exposed += new and now < ORDER.duration_s
            counters["v2" if new else "v1"].add(
                failed=bad and chance.random() < failing,
                latency_s=0.1
                * chance.lognormvariate(0, 0.2)
                * (slower if bad else 1.0),
            )
        case.add({("g", v): tally for v, tally in counters.items()})
        decided = case.decide(state, exposure=EXPOSURE, now=now)
        if decided is not None:
            register.merge(decided)
            if decided.phase is not Phase.RUNNING:
                return decided.phase, now, exposed / total
    return None, now, exposed / total


@pytest.mark.parametrize("seed", range(5))
def test_good_version_is_done_before_its_deadline(seed):
    phase, at, _ = play(seed=seed)
    assert phase is Phase.COMPLETED
    assert at < ORDER.duration_s


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "fault",
    [
        {"failing": 0.5},
        {"failing": 0.4, "begins_at": 3.0},
        {"slower": 8.0},
        {"slower": 8.0, "begins_at": 8.0},
    ],
)
def test_bad_version_is_taken_back_within_its_share(fault, seed):
    phase, _, exposed = play(seed=seed, **fault)
    assert phase is Phase.TAKEN_BACK
    assert exposed <= EXPOSURE


@pytest.mark.parametrize("seed", range(3))
def test_version_that_fails_under_load_is_taken_back(seed):
    phase, at, _ = play(failing=0.5, begins_at=12.5, seed=seed)
    assert phase is Phase.TAKEN_BACK
    assert at < ORDER.duration_s


def test_end_in_the_store_goes_before_what_gateways_tell():
    running = MoveState(Phase.COMPLETED, 9, rollout_id(ORDER), 1.0)
    ended = RolloutOutcome(
        service="s",
        version="v2",
        state=RolloutState.TAKEN_BACK,
        revision=20,
    )
    assert rollout_shares(ORDER, ended, running)[NEW].share == 0.0
    assert rollout_shares(ORDER, None, running)[NEW].share == 1.0
    assert rollout_shares(None, ended, running) is None


def test_new_order_opens_a_new_case():
    active_rollouts = ActiveRollouts()
    active_rollouts.update({"s": ORDER}, 1.0)
    first = active_rollouts.get("s")
    active_rollouts.update({"s": ORDER}, 2.0)
    assert active_rollouts.get("s") is first
    later = RolloutOrder(service="s", version="v3", duration_s=9.0, revision=30)
    active_rollouts.update({"s": later}, 3.0)
    assert active_rollouts.get("s").order is later
    active_rollouts.update({}, 4.0)
    assert not active_rollouts.values()
