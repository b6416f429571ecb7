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
    decide,
    new_version_share,
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
def test_news_in_any_order_ends_in_the_same_phase(states, rng):
    def settled(order):
        known = None
        for state in order:
            if supersedes(state, known):
                known = state
        return (known.phase, known.number)

    shuffled = list(states)
    rng.shuffle(shuffled)
    assert settled(states) == settled(shuffled)


@given(st.lists(st.tuples(VERDICT, st.floats(0.1, 30)), max_size=80))
def test_every_move_ends_by_its_deadline(rounds):
    one = move(deadline=300.0)
    state = None
    now = 0.0
    held_since = 0.0
    for finding, wait_s in rounds:
        now += wait_s
        share = new_version_share(one, state, now)
        decided = decide(
            one, state, finding, held_s=now - held_since, wall_s=now, fence=1
        )
        if decided is None:
            continue
        assert supersedes(decided, state)
        if decided.phase is Phase.RUNNING:
            assert decided.share <= max(share + one.step, one.cap) + 1e-9
        state = decided
        held_since = now
    if now >= one.deadline_s - COMMIT_MARGIN_S and rounds:
        assert state.phase is not Phase.RUNNING


def test_daemon_that_hears_nothing_goes_back_at_the_deadline():
    one = move(deadline=300.0)
    running = MoveState(Phase.RUNNING, 3, "m1", 0.4)
    assert new_version_share(one, running, 299.9) == 0.4
    assert new_version_share(one, running, 300.0) == 0.0
    done = MoveState(Phase.COMPLETED, 4, "m1", 1.0)
    assert new_version_share(one, done, 301.0) == 1.0


def test_bad_version_is_taken_back_also_after_completion():
    done = MoveState(Phase.COMPLETED, 4, "m1", 1.0)
    bad = Finding(verdict=Verdict.BAD, reason="test")
    decided = decide(move(), done, bad, held_s=0, wall_s=0, fence=1)
    assert decided.phase is Phase.TAKEN_BACK


class Service:
    """Simulates exchanges of two versions with given latencies and failures."""

    def __init__(self, *, seed):
        """Starts with two healthy versions."""
        self.random = random.Random(seed)
        self.latency_s = {"v1": 0.02, "v2": 0.02}
        self.failure = {"v1": 0.002, "v2": 0.002}

    def second(self, *, old, new, route="/"):
        return [
            self._tally("v1", old, route),
            self._tally("v2", new, route),
        ]

    def _tally(self, version, count, route):
        tally = Tally(service="treaty", version=version, route=route)
        for _ in range(count):
            spread = self.random.lognormvariate(0, 0.5)
            tally.add(
                failed=self.random.random() < self.failure[version],
                latency_s=self.latency_s[version] * spread,
            )
        return tally


def judge_seconds(service, analysis, seconds, *, old=95, new=5, route="/"):
    """Returns the second in which the verdict became bad, or None."""
    for second in range(seconds):
        analysis.add(service.second(old=old, new=new, route=route))
        if analysis.evaluate().verdict is Verdict.BAD:
            return second
    return None


def make_judge():
    return CanaryAnalysis(service="treaty", old="v1", new="v2")


@pytest.mark.parametrize("seed", range(20))
def test_good_version_is_found_good(seed):
    service = Service(seed=seed)
    analysis = make_judge()
    assert judge_seconds(service, analysis, 60) is None
    assert analysis.evaluate().verdict is Verdict.GOOD


@pytest.mark.parametrize("seed", range(20))
def test_failing_version_is_found(seed):
    service = Service(seed=seed)
    service.failure["v2"] = 0.3
    assert judge_seconds(service, make_judge(), 30) is not None


@pytest.mark.parametrize("seed", range(20))
def test_late_fault_is_found_as_fast(seed):
    service = Service(seed=seed)
    analysis = make_judge()
    assert judge_seconds(service, analysis, 120) is None
    service.failure["v2"] = 0.3
    assert judge_seconds(service, analysis, 30) is not None


@pytest.mark.parametrize("seed", range(20))
def test_slow_version_is_found(seed):
    service = Service(seed=seed)
    service.latency_s["v2"] = 0.08
    assert judge_seconds(service, make_judge(), 30) is not None


@pytest.mark.parametrize("seed", range(20))
def test_general_overload_is_not_the_new_versions_fault(seed):
    service = Service(seed=seed)
    analysis = make_judge()
    judge_seconds(service, analysis, 10)
    service.latency_s = {"v1": 0.2, "v2": 0.2}
    service.failure = {"v1": 0.1, "v2": 0.1}
    assert judge_seconds(service, analysis, 60) is None


@pytest.mark.parametrize("seed", range(20))
def test_loaded_good_version_stays_when_the_old_one_falls_idle(seed):
    """All the traffic slows it a little, and the old one has no samples."""
    service = Service(seed=seed)
    analysis = make_judge()
    judge_seconds(service, analysis, 10)
    service.latency_s["v2"] = 0.03
    assert judge_seconds(service, analysis, 20, old=5, new=95) is None
    assert judge_seconds(service, analysis, 60, old=0, new=100) is None


@pytest.mark.parametrize("seed", range(20))
def test_slow_version_with_most_of_the_traffic_is_found(seed):
    service = Service(seed=seed)
    analysis = make_judge()
    judge_seconds(service, analysis, 10)
    service.latency_s["v2"] = 0.1
    assert judge_seconds(service, analysis, 30, old=5, new=95) is not None


@pytest.mark.parametrize("seed", range(20))
def test_one_pause_is_no_fault(seed):
    """A machine's pause slows all answers of the new version in one round."""
    service = Service(seed=seed)
    analysis = make_judge()
    judge_seconds(service, analysis, 10, old=60, new=40)
    service.latency_s = {"v1": 0.02, "v2": 0.2}
    analysis.add(service.second(old=1, new=60))
    service.latency_s["v2"] = 0.02
    assert judge_seconds(service, analysis, 30, old=0, new=100) is None


def test_fault_on_one_route_is_found_among_healthy_ones():
    service = Service(seed=1)
    analysis = make_judge()
    found_at = None
    for second in range(60):
        service.failure["v2"] = 0.002
        analysis.add(service.second(old=95, new=5, route="/a"))
        service.failure["v2"] = 0.5
        analysis.add(service.second(old=20, new=1, route="/b"))
        if analysis.evaluate().verdict is Verdict.BAD:
            found_at = second
            break
    assert found_at is not None
    assert "/b" in analysis.evaluate().reason


def test_thin_evidence_holds():
    analysis = make_judge()
    analysis.add(Service(seed=1).second(old=95, new=5))
    assert analysis.evaluate().verdict is Verdict.INSUFFICIENT
