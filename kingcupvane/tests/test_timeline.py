"""Tests of the time line and its hybrid logical clock."""

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
