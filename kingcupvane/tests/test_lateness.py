"""Tests of measuring the lateness of the process."""

import pytest

from kingcupvane.process.lateness import TICK_S, LatenessMeter


def test_lateness_is_counted_and_its_worst_told_once_a_second(clock):
    seen, told = [], []
    meter = LatenessMeter(
        clock=clock,
        observe=seen.append,
        log_event=lambda kind, **fields: told.append((kind, fields)),
    )
    for late_s in (0.2, 0.4, *[0.0] * 12):
        clock.advance(TICK_S + late_s)
        meter.tick()
    assert seen == pytest.approx([0.2, 0.4, *[0.0] * 12], abs=1e-9)
    assert told == [
        ("process-behind", {"worst_ms": 200}),
        ("process-behind", {"worst_ms": 400}),
    ]
