"""Tests of membership: heartbeats, live and leaving daemons."""

from kingcupvane.connection.messages import MemberBeat
from kingcupvane.process.membership import Membership
from kingcupvane.settings import HeartbeatSettings

SETTINGS = HeartbeatSettings()


def make_membership():
    return Membership(name="e1", incarnation=1, settings=SETTINGS)


def test_daemon_is_alive_while_its_heartbeat_counter_grows():
    members = make_membership()
    members.merge([MemberBeat("e2", 1, 1)], now=0.0)
    assert members.live_names(1.0) == ["e1", "e2"]
    members.merge([MemberBeat("e2", 1, 1)], now=2.0)
    assert members.live_names(2.6) == ["e1"]
    members.merge([MemberBeat("e2", 1, 2)], now=3.0)
    assert members.live_names(3.0) == ["e1", "e2"]


def test_newer_incarnation_replaces_one_that_was_leaving():
    members = make_membership()
    members.merge([MemberBeat("e2", 1, 900, True)], now=0.0)
    assert members.live_names(0.1) == ["e1"]
    members.merge([MemberBeat("e2", 2, 1)], now=0.2)
    assert members.live_names(0.3) == ["e1", "e2"]


def test_any_source_marks_a_daemon_as_leaving():
    for mark_leaving in (
        lambda m: m.merge([MemberBeat("e2", 1, 2, True)], now=0.0),
        lambda m: m.set_listed_leaving(["e2"]),
        lambda m: m.merge_listed_leaving(["e2"], now=0.0),
        lambda m: m.merge_remote([MemberBeat("e2", 1, 2, True)], now=0.0),
    ):
        members = make_membership()
        members.merge([MemberBeat("e2", 1, 1)], now=0.0)
        mark_leaving(members)
        assert members.live_names(0.1) == ["e1"]
        assert members.leaving_names() == ["e2"]


def test_daemons_not_among_the_retained_names_are_dropped():
    members = make_membership()
    members.merge([MemberBeat("e2", 1, 1), MemberBeat("x1", 1, 1)], now=0.0)
    members.retain(["e1", "e2"])
    members.merge([MemberBeat("x1", 1, 2)], now=0.1)
    assert members.live_names(0.2) == ["e1", "e2"]


def test_restarted_remote_daemon_is_no_longer_leaving():
    members = make_membership()
    members.merge_remote([MemberBeat("x1", 1, 5, True)], now=0.0)
    assert members.is_leaving("x1")
    members.merge_remote([MemberBeat("x1", 2, 1)], now=0.0)
    assert not members.is_leaving("x1")
    members.merge_remote([MemberBeat("x1", 1, 5, True)], now=0.0)
    assert not members.is_leaving("x1")


def test_remote_beats_are_the_own_one_and_those_of_leaving_daemons():
    members = make_membership()
    members.merge([MemberBeat("e2", 1, 3), MemberBeat("e3", 1, 3, True)], 0.0)
    assert [beat.name for beat in members.remote_beats()] == ["e1", "e3"]


def test_daemon_whose_clock_was_set_back_is_dead_for_good():
    """Its beats were older than the known ones, by the number of its start."""
    members = make_membership()
    members.merge([MemberBeat("e2", 100, 900)], now=0.0)
    members.merge_remote([MemberBeat("x1", 100, 900, True)], now=0.0)
    now = SETTINGS.dead_after_s
    for beat in range(1, 4):
        now += 0.5
        members.merge([MemberBeat("e2", 50, beat)], now=now)
        members.merge_remote([MemberBeat("x1", 50, beat)], now=now)
        # Others still forward the last beat of the process before.
        members.merge([MemberBeat("e2", 100, 900)], now=now)
        assert members.live_names(now) == ["e1", "e2"]
        assert not members.is_leaving("x1")
    assert members.beats()[1] == MemberBeat("e2", 50, 3)


def test_forwarded_beat_of_a_dead_daemon_does_not_bring_it_back():
    members = make_membership()
    members.merge([MemberBeat("e2", 100, 900)], now=0.0)
    members.merge([MemberBeat("e2", 50, 1)], now=3.0)
    for now in (6.0, 9.0):
        members.merge([MemberBeat("e2", 100, 900)], now=now)
        assert members.live_names(now) == ["e1"]
