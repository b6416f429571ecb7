"""Tests of gateways that know each other through reports."""

from kingcupvane.connection.messages import (
    Feed,
    GatewayRecord,
    GatewayReport,
)
from kingcupvane.process.peering import (
    LIVE_S,
    MEMORY_S,
    PeerTable,
    entries_for,
    watchers,
)


def record(name, region="north", data_centre="north-a", incarnation=1):
    return GatewayRecord(
        name=name,
        incarnation=incarnation,
        region=region,
        data_centre=data_centre,
        caller_address=f"{name}:80",
        peer_address=f"{name}:90",
    )


def report(sender, *, ready=True, feed=Feed.PEERS, known=()):
    return GatewayReport(
        record=sender, ready=ready, as_of=1, feed=feed, known=list(known)
    )


def names(table, now, **place):
    place = {"region": "north", "data_centre": "north-a", **place}
    return entries_for(table, ready=True, now=now, **place)


def test_peer_is_live_while_its_reports_come():
    table = PeerTable(own=record("a"))
    table.hear(report(record("b")), 0.0)
    assert table.live_names(1.0) == ["a", "b"]
    assert table.live_names(LIVE_S + 0.1) == ["a"]


def test_peer_of_a_peer_is_asked_but_not_named():
    table = PeerTable(own=record("a"))
    table.hear(report(record("b"), known=[record("c")]), 0.0)
    assert table.addresses([], 0.0) == ["b:90", "c:90"]
    assert names(table, 0.0) == ["a:80", "b:80"]


def test_leaving_gateway_is_named_no_more():
    table = PeerTable(own=record("a"))
    table.hear(report(record("b")), 0.0)
    table.hear(report(record("b"), ready=False), 0.4)
    assert names(table, 0.5) == ["a:80"]


def test_callers_get_the_nearest_gateways_first():
    table = PeerTable(own=record("a"))
    table.hear(report(record("b", data_centre="north-b")), 0.0)
    table.hear(report(record("c", region="s", data_centre="s-a")), 0.0)
    assert names(table, 0.1) == ["a:80"]
    assert names(table, 0.1, data_centre="north-c") == ["a:80", "b:80"]
    assert names(table, 0.1, region="s", data_centre="s-b") == ["c:80"]
    nowhere = names(table, 0.1, region="w", data_centre="w-a")
    assert nowhere == ["a:80", "b:80", "c:80"]


def test_earlier_start_of_a_peer_is_not_heard_again():
    table = PeerTable(own=record("a"))
    table.hear(report(record("b", incarnation=5)), 0.0)
    table.hear(report(record("b", incarnation=4), ready=False), 0.1)
    assert names(table, 0.2) == ["a:80", "b:80"]


def test_peer_that_nobody_hears_is_forgotten():
    table = PeerTable(own=record("a"))
    table.hear(report(record("b")), 0.0)
    assert table.forget(MEMORY_S + 1) == ["b"]
    assert table.addresses(["seed:90"], 0.0) == ["seed:90"]


def test_all_agree_on_who_watches_and_a_lost_one_passes_its_turn_on():
    everyone = [
        record(f"{region}{number}", region=region)
        for region in "nsw"
        for number in range(4)
    ]

    def view(own, lost=()):
        table = PeerTable(own=own)
        for other in everyone:
            feed = Feed.LOST if other.name in lost else Feed.PEERS
            table.hear(report(other, feed=feed), 0.0)
        return set(watchers(table, own_feed=Feed.STORE, count=3, now=0.1))

    chosen = view(everyone[0])
    assert all(view(own) == chosen for own in everyone)
    assert {name[0] for name in chosen} == {"n", "s", "w"}
    lost = sorted(chosen)[0]
    other = next(r for r in everyone if r.name not in chosen)
    after = view(other, lost=(lost,))
    assert lost not in after
    assert len(after) == 3
