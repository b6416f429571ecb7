"""Tests of the time line and its hybrid logical clock."""

from loguru import logger

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.timeline import (
    HybridClock,
    Timeline,
    merge_timelines,
    render_event,
)


def test_stamp_after_a_received_stamp_is_greater(clock):
    sender = HybridClock(clock=clock)
    clock.advance(5)
    sent = sender.tick()
    clock.advance(-5)
    receiver = HybridClock(clock=clock)
    receiver.receive(sent)
    assert receiver.tick() > sent


def test_timeline_drops_the_oldest_events_and_merges_by_stamp(clock):
    first = Timeline(process="a", clock=HybridClock(clock=clock), capacity=2)
    second = Timeline(process="b", clock=HybridClock(clock=clock), capacity=9)
    for number in range(3):
        first.record("one", number=number, why="two words")
        clock.advance(0.01)
        second.record("two", number=number)
        clock.advance(0.01)
    assert first.dropped == 1
    events = list(
        merge_timelines([first.since(Stamp()), second.since(Stamp())])
    )
    assert events == sorted(events)
    assert len(events) == 5
    assert 'why="two words"' in render_event(events[1])


def test_lines_tell_one_time_for_hours_after_a_peers_clock_was_ahead(clock):
    """The stamps stand still until the own clock has reached the peer's."""
    lines = []
    handler = logger.add(lines.append, format="{message}")
    hybrid_clock = HybridClock(clock=clock)
    timeline = Timeline(process="a", clock=hybrid_clock, capacity=9)
    timeline.record("before")
    ahead_ms = int(clock.wall() * 1000) + 3 * 3_600_000
    hybrid_clock.receive(Stamp(ahead_ms))
    for _ in range(2):
        clock.advance(5)
        timeline.record("later")
    logger.remove(handler)
    own_ms = int(clock.wall() * 1000)
    assert "own_ms" not in lines[0]
    assert f"time_ms={ahead_ms}.1 " in lines[1]
    assert lines[1].rstrip().endswith(f" own_ms={own_ms - 5000}")
    assert lines[2].rstrip().endswith(f" own_ms={own_ms}")
