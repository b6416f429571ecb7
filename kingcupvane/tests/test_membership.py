"""Tests of who counts as alive, and of heartbeats."""

from kingcupvane.connection.messages import MemberBeat
from kingcupvane.process.membership import Membership
from kingcupvane.settings import HeartbeatSettings

SETTINGS = HeartbeatSettings()


def make():
    return Membership(name="e1", incarnation=1, settings=SETTINGS)


def test_daemon_is_alive_while_its_beats_grow():
    members = make()
    members.hear([MemberBeat("e2", 1, 1)], now=0.0)
    assert members.live(1.0) == ["e1", "e2"]
    members.hear([MemberBeat("e2", 1, 1)], now=2.0)
    assert members.live(2.6) == ["e1"]
    members.hear([MemberBeat("e2", 1, 2)], now=3.0)
    assert members.live(3.0) == ["e1", "e2"]


def test_restarted_daemon_replaces_its_predecessor():
    members = make()
    members.hear([MemberBeat("e2", 1, 900, True)], now=0.0)
    assert members.live(0.1) == ["e1"]
    members.hear([MemberBeat("e2", 2, 1)], now=0.2)
    assert members.live(0.3) == ["e1", "e2"]


def test_any_source_says_leaving():
    for tell in (
        lambda m: m.hear([MemberBeat("e2", 1, 2, True)], now=0.0),
        lambda m: m.list_leaving(["e2"]),
        lambda m: m.hear_listed(["e2"], now=0.0),
        lambda m: m.hear_far([MemberBeat("e2", 1, 2, True)]),
    ):
        members = make()
        members.hear([MemberBeat("e2", 1, 1)], now=0.0)
        tell(members)
        assert members.live(0.1) == ["e1"]
        assert members.leaving_names() == ["e2"]


def test_daemons_of_other_data_centres_are_not_kept():
    members = make()
    members.hear([MemberBeat("e2", 1, 1), MemberBeat("x1", 1, 1)], now=0.0)
    members.keep(["e1", "e2"])
    members.hear([MemberBeat("x1", 1, 2)], now=0.1)
    assert members.live(0.2) == ["e1", "e2"]


def test_far_daemon_that_returns_is_no_longer_leaving():
    members = make()
    members.hear_far([MemberBeat("x1", 1, 5, True)])
    assert members.is_leaving("x1")
    members.hear_far([MemberBeat("x1", 2, 1)])
    assert not members.is_leaving("x1")
    members.hear_far([MemberBeat("x1", 1, 5, True)])
    assert not members.is_leaving("x1")


def test_far_daemons_hear_only_of_this_one_and_of_leaving_ones():
    members = make()
    members.hear([MemberBeat("e2", 1, 3), MemberBeat("e3", 1, 3, True)], 0.0)
    assert [beat.name for beat in members.far_beats()] == ["e1", "e3"]
