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


def make(store, clock, name):
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


def run(scenario):
    async def main():
        clock = TrioClock()
        store = MemoryStore(clock=clock)
        roles = [make(store, clock, name) for name in ("a", "b")]
        await scenario(store, roles)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


STEP = st.one_of(
    st.tuples(st.just("step"), st.integers(0, 1)),
    st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, 2.0, 5.5])),
    st.tuples(st.just("fault"), st.sampled_from(["lose", "drop", "refuse"])),
    st.tuples(st.just("down"), st.booleans()),
)


@settings(max_examples=100)
@given(st.lists(STEP, max_size=40))
def test_never_two_holders(steps):
    async def scenario(store, roles):
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
            holding = [role for role in roles if role.holds()]
            assert len(holding) <= 1
            for role in holding:
                assert role.fence >= max(fences)
                fences.append(role.fence)

    run(scenario)


def test_paused_holder_stops_before_another_starts():
    async def scenario(store, roles):
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

    run(scenario)


def test_slow_renewal_counts_from_before_the_call():
    async def scenario(store, roles):
        await roles[0].step(candidate=True)
        await trio.sleep(2.0)
        store.delay_s = 1.5
        asked_at = trio.current_time()
        await roles[0].step(candidate=True)
        ends_at = asked_at + SETTINGS.role_ttl_s - SETTINGS.role_margin_s
        await trio.sleep_until(ends_at + 0.01)
        assert not roles[0].holds()

    run(scenario)


def test_restarted_holder_does_not_take_its_old_lease_for_its_own():
    async def scenario(store, roles):
        clock = TrioClock()
        await roles[0].step(candidate=True)
        restarted = make(store, clock, "a/2")
        await restarted.step(candidate=True)
        assert not restarted.holds()

    run(scenario)


def test_term_counts_from_before_the_call():
    term = RoleTerm(ttl_s=5.0, margin_s=1.0)
    term.win(lease=1, fence=3, started_at=10.0)
    assert term.holds(13.9)
    assert not term.holds(14.0)
