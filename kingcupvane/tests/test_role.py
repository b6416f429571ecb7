"""Tests of roles that are held by a lease."""

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcupvane.process.role import Role, RoleTerm
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.settings import HeartbeatSettings
from kingcupvane.tests.fakes import MemoryStore, TrioClock

SETTINGS = HeartbeatSettings()


def create_role(store, clock, name):
    timeline = Timeline(
        process=name, clock=HybridClock(clock=clock), capacity=16
    )
    return Role(
        key="roles/test",
        name=name,
        store=store,
        clock=clock,
        timeline=timeline,
        settings=SETTINGS,
    )


def run(check):
    async def main():
        clock = TrioClock()
        store = MemoryStore(clock=clock)
        roles = [create_role(store, clock, name) for name in ("a", "b")]
        await check(store, roles)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


STEP = st.one_of(
    st.tuples(st.just("step"), st.integers(0, 1)),
    st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, 2.0, 5.5])),
    st.tuples(st.just("fault"), st.sampled_from(["lose", "drop", "refuse"])),
    st.tuples(st.just("down"), st.booleans()),
)


@settings(max_examples=100)
@given(st.lists(STEP, max_size=40))
def test_role_has_at_most_one_holder_and_a_growing_fence(steps):
    async def check(store, roles):
        store.delay_s = 0.05
        fences = [0]
        for step in steps:
            match step:
                case ("step", index):
                    await roles[index].step(candidate=True)
                case ("wait", seconds):
                    await trio.sleep(seconds)
                case ("fault", fault):
                    store.faults.append(fault)
                case ("down", down):
                    store.down = down
            holders = [role for role in roles if role.holds()]
            assert len(holders) <= 1
            for role in holders:
                assert role.fence >= max(fences)
                fences.append(role.fence)

    run(check)


def test_holder_that_does_not_renew_stops_before_another_wins():
    async def check(store, roles):
        first, second = roles
        await first.step(candidate=True)
        assert first.holds()
        await trio.sleep(SETTINGS.role_ttl_s - SETTINGS.role_margin_s)
        assert not first.holds()
        await second.step(candidate=True)
        assert not second.holds()
        await trio.sleep(SETTINGS.role_margin_s + 0.1)
        await second.step(candidate=True)
        assert second.holds()
        assert not first.holds()

    run(check)


def test_slow_renewal_extends_the_lease_from_before_the_call():
    async def check(store, roles):
        await roles[0].step(candidate=True)
        await trio.sleep(2.0)
        store.delay_s = 1.5
        started_at = trio.current_time()
        await roles[0].step(candidate=True)
        ends_at = started_at + SETTINGS.role_ttl_s - SETTINGS.role_margin_s
        await trio.sleep_until(ends_at + 0.01)
        assert not roles[0].holds()

    run(check)


def test_restarted_candidate_does_not_hold_its_former_lease():
    async def check(store, roles):
        clock = TrioClock()
        await roles[0].step(candidate=True)
        restarted = create_role(store, clock, "a/2")
        await restarted.step(candidate=True)
        assert not restarted.holds()

    run(check)


def test_term_is_measured_from_before_the_grant():
    term = RoleTerm(ttl_s=5.0, margin_s=1.0)
    term.win(lease=1, fence=3, started_at=10.0)
    assert term.holds(13.9)
    assert not term.holds(14.0)
