"""Tests of noticing that the process stood still."""

from kingcupvane.process.wakeup import CARE_S, TICK_S, WakeupWatch


def test_suspension_is_noticed_before_and_after_the_next_tick(clock):
    watch = WakeupWatch(clock=clock)
    for _ in range(20):
        clock.advance(TICK_S)
        assert not watch.tick()
        assert not watch.has_just_woken()
    clock.advance(1.2)
    assert watch.has_just_woken()
    assert watch.tick()
    assert watch.has_just_woken()
    clock.advance(CARE_S + 0.01)
    assert not watch.has_just_woken()
