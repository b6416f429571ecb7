"""Tests of measuring the lateness of the process."""

import pytest

from kingcupvane.process.lateness import TICK_PERIOD_S, LatenessMeter


def test_lateness_is_observed_and_the_worst_logged_once_a_second(clock):
    observed_s, events = [], []
    meter = LatenessMeter(
        clock=clock,
        observe=observed_s.append,
        log_event=lambda kind, **fields: events.append((kind, fields)),
    )
    for late_s in (0.2, 0.4, *[0.0] * 12):
        clock.advance(TICK_PERIOD_S + late_s)
        meter.tick()
    assert observed_s == pytest.approx([0.2, 0.4, *[0.0] * 12], abs=1e-9)
    assert events == [
        ("process-behind", {"worst_ms": 200}),
        ("process-behind", {"worst_ms": 400}),
    ]


def test_hold_up_is_known_before_and_after_the_next_tick(clock):
    """What a frozen process reads first may be as old as its freeze."""
    meter = LatenessMeter(
        clock=clock,
        observe=lambda late_s: None,
        log_event=lambda kind, **fields: None,
    )
    for _ in range(5):
        clock.advance(TICK_PERIOD_S)
        meter.tick()
        assert meter.held_up_s(clock.now()) == 0.0
    clock.advance(5.0)
    assert meter.held_up_s(clock.now()) == pytest.approx(5.0 - TICK_PERIOD_S)
    meter.tick()
    held_up_s = meter.held_up_s(clock.now())
    assert held_up_s == pytest.approx(5.0 - 2 * TICK_PERIOD_S)
    clock.advance(TICK_PERIOD_S)
    meter.tick()
    assert meter.held_up_s(clock.now()) == 0.0
