"""Tests of moves: their states, their deadline and the canary analysis."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.tests.builders import move
from kingcupvane.version.canary_analysis import CanaryAnalysis, Tally
from kingcupvane.version.move import (
    COMMIT_MARGIN_S,
    Finding,
    MoveState,
    Phase,
    Verdict,
    new_version_share,
    next_move_state,
    supersedes,
)

STATE = st.builds(
    MoveState,
    phase=st.sampled_from(Phase),
    number=st.integers(0, 3),
    name=st.just("m1"),
    share=st.sampled_from([0.05, 0.5]),
)
VERDICT = st.builds(
    Finding, verdict=st.sampled_from(Verdict), reason=st.just("test")
)


@given(st.lists(STATE, min_size=1, max_size=6), st.randoms())
def test_states_received_in_any_order_lead_to_the_same_state(states, rng):
    def final_state(order):
        known = None
        for state in order:
            if supersedes(state, known):
                known = state
        return (known.phase, known.number)

    shuffled = list(states)
    rng.shuffle(shuffled)
    assert final_state(states) == final_state(shuffled)


@given(st.lists(st.tuples(VERDICT, st.floats(0.1, 30)), max_size=80))
def test_move_is_in_a_final_phase_by_its_deadline(rounds):
    guarded_move = move(deadline=300.0)
    state = None
    now = 0.0
    share_set_at = 0.0
    for finding, wait_s in rounds:
        now += wait_s
        share = new_version_share(guarded_move, state, now)
        next_state = next_move_state(
            guarded_move,
            state,
            finding,
            step_elapsed_s=now - share_set_at,
            wall_s=now,
            fence=1,
        )
        if next_state is None:
            continue
        assert supersedes(next_state, state)
        if next_state.phase is Phase.RUNNING:
            assert (
                next_state.share
                <= max(share + guarded_move.step, guarded_move.cap) + 1e-9
            )
        state = next_state
        share_set_at = now
    if now >= guarded_move.deadline_s - COMMIT_MARGIN_S and rounds:
        assert state.phase is not Phase.RUNNING


def test_old_version_is_used_from_the_deadline_without_a_final_state():
    guarded_move = move(deadline=300.0)
    running = MoveState(Phase.RUNNING, 3, "m1", 0.4)
    assert new_version_share(guarded_move, running, 299.9) == 0.4
    assert new_version_share(guarded_move, running, 300.0) == 0.0
    completed = MoveState(Phase.COMPLETED, 4, "m1", 1.0)
    assert new_version_share(guarded_move, completed, 301.0) == 1.0


def test_bad_version_is_taken_back_even_after_completion():
    completed = MoveState(Phase.COMPLETED, 4, "m1", 1.0)
    bad = Finding(verdict=Verdict.BAD, reason="test")
    next_state = next_move_state(
        move(), completed, bad, step_elapsed_s=0, wall_s=0, fence=1
    )
    assert next_state.phase is Phase.TAKEN_BACK


class SimulatedService:
    """Simulates exchanges of two versions with given latencies and failures."""

    def __init__(self, *, seed):
        """Starts with two healthy versions."""
        self.random = random.Random(seed)
        self.latency_s_by_version = {"v1": 0.02, "v2": 0.02}
        self.failure_rate_by_version = {"v1": 0.002, "v2": 0.002}

    def make_tallies(self, *, old, new, route="/"):
        return [
            self._tally("v1", old, route),
            self._tally("v2", new, route),
        ]

    def _tally(self, version, count, route):
        tally = Tally(service="treaty", version=version, route=route)
        for _ in range(count):
            spread = self.random.lognormvariate(0, 0.5)
            tally.add(
                failed=self.random.random()
                < self.failure_rate_by_version[version],
                latency_s=self.latency_s_by_version[version] * spread,
            )
        return tally


def seconds_until_bad(service, analysis, seconds, *, old=95, new=5, route="/"):
    """Returns the second in which the verdict became bad, or None."""
    for second in range(seconds):
        analysis.add(service.make_tallies(old=old, new=new, route=route))
        if analysis.evaluate().verdict is Verdict.BAD:
            return second
    return None


def create_analysis():
    return CanaryAnalysis(service="treaty", old="v1", new="v2")


@pytest.mark.parametrize("seed", range(20))
def test_healthy_version_gets_the_verdict_good(seed):
    service = SimulatedService(seed=seed)
    analysis = create_analysis()
    assert seconds_until_bad(service, analysis, 60) is None
    assert analysis.evaluate().verdict is Verdict.GOOD


@pytest.mark.parametrize("seed", range(20))
def test_failing_version_gets_the_verdict_bad(seed):
    service = SimulatedService(seed=seed)
    service.failure_rate_by_version["v2"] = 0.3
    assert seconds_until_bad(service, create_analysis(), 30) is not None


@pytest.mark.parametrize("seed", range(20))
def test_late_fault_is_detected_as_fast_as_an_early_one(seed):
    service = SimulatedService(seed=seed)
    analysis = create_analysis()
    assert seconds_until_bad(service, analysis, 120) is None
    service.failure_rate_by_version["v2"] = 0.3
    assert seconds_until_bad(service, analysis, 30) is not None


@pytest.mark.parametrize("seed", range(20))
def test_slow_version_gets_the_verdict_bad(seed):
    service = SimulatedService(seed=seed)
    service.latency_s_by_version["v2"] = 0.08
    assert seconds_until_bad(service, create_analysis(), 30) is not None


@pytest.mark.parametrize("seed", range(20))
def test_overload_of_both_versions_is_not_counted_against_the_new_one(seed):
    service = SimulatedService(seed=seed)
    analysis = create_analysis()
    seconds_until_bad(service, analysis, 10)
    service.latency_s_by_version = {"v1": 0.2, "v2": 0.2}
    service.failure_rate_by_version = {"v1": 0.1, "v2": 0.1}
    assert seconds_until_bad(service, analysis, 60) is None


@pytest.mark.parametrize("seed", range(20))
def test_healthy_version_with_all_the_traffic_is_not_bad(seed):
    """All the traffic slows it a little, and the old version falls idle.

    There are then no samples of the old version to compare with.
    """
    service = SimulatedService(seed=seed)
    analysis = create_analysis()
    seconds_until_bad(service, analysis, 10)
    service.latency_s_by_version["v2"] = 0.03
    assert seconds_until_bad(service, analysis, 20, old=5, new=95) is None
    assert seconds_until_bad(service, analysis, 60, old=0, new=100) is None


@pytest.mark.parametrize("seed", range(20))
def test_slow_version_with_most_of_the_traffic_is_bad(seed):
    service = SimulatedService(seed=seed)
    analysis = create_analysis()
    seconds_until_bad(service, analysis, 10)
    service.latency_s_by_version["v2"] = 0.1
    assert seconds_until_bad(service, analysis, 30, old=5, new=95) is not None


@pytest.mark.parametrize("seed", range(20))
def test_single_slow_round_is_not_bad(seed):
    """A machine's pause slows all answers of the new version in one round."""
    service = SimulatedService(seed=seed)
    analysis = create_analysis()
    seconds_until_bad(service, analysis, 10, old=60, new=40)
    service.latency_s_by_version = {"v1": 0.02, "v2": 0.2}
    analysis.add(service.make_tallies(old=1, new=60))
    service.latency_s_by_version["v2"] = 0.02
    assert seconds_until_bad(service, analysis, 30, old=0, new=100) is None


def test_fault_on_one_of_two_routes_is_detected():
    service = SimulatedService(seed=1)
    analysis = create_analysis()
    detected_at = None
    for second in range(60):
        service.failure_rate_by_version["v2"] = 0.002
        analysis.add(service.make_tallies(old=95, new=5, route="/a"))
        service.failure_rate_by_version["v2"] = 0.5
        analysis.add(service.make_tallies(old=20, new=1, route="/b"))
        if analysis.evaluate().verdict is Verdict.BAD:
            detected_at = second
            break
    assert detected_at is not None
    assert "/b" in analysis.evaluate().reason


def test_few_samples_give_the_verdict_insufficient():
    analysis = create_analysis()
    analysis.add(SimulatedService(seed=1).make_tallies(old=95, new=5))
    assert analysis.evaluate().verdict is Verdict.INSUFFICIENT
