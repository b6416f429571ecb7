"""Tests of discovery, liveness and hubs of gateways."""

import msgspec

from kingcupvane.clock import ManualClock
from kingcupvane.connection.messages import (
    DataCentreSummary,
    GatewayRecord,
    GatewayReport,
    MemberStatus,
    MirrorSource,
    Stamp,
)
from kingcupvane.process.peering import (
    LIVENESS_TIMEOUT_S,
    LOOKUP_ADDRESSES_MAX,
    PEER_EXPIRY_S,
    SUMMARY_STALE_AFTER_S,
    SUMMARY_TIMEOUT_S,
    PeerTable,
    advertised_records,
    lookup_addresses,
    store_watchers,
)
from kingcupvane.process.timeline import HybridClock


def record(
    name, region="north", data_centre="north-a", incarnation=1, link_mbps=10.0
):
    return GatewayRecord(
        name=name,
        incarnation=incarnation,
        region=region,
        data_centre=data_centre,
        caller_address=f"{name}:80",
        peer_address=f"{name}:90",
        link_mbps=link_mbps,
    )


def report(sender, *, ready=True, feed=MirrorSource.PEERS, known=()):
    return GatewayReport(
        record=sender, ready=ready, as_of=1, feed=feed, known=list(known)
    )


def summary(
    data_centre, *names, region="south", wall_ms=1, ready=True, link_mbps=10.0
):
    """Returns a summary that lists `names`; the first is its source."""
    return DataCentreSummary(
        data_centre=data_centre,
        region=region,
        source=names[0],
        incarnation=1,
        stamp=Stamp(wall_ms),
        members=[
            MemberStatus(
                name=name,
                incarnation=1,
                caller_address=f"{name}:80",
                peer_address=f"{name}:90",
                link_mbps=link_mbps,
                ready=ready,
                feed=MirrorSource.PEERS,
            )
            for name in names
        ],
        use={},
        demand={},
    )


def remote_sender(received):
    return record(received.source, received.region, received.data_centre)


def receive_remote_summary(table, received, now):
    return table.receive_summary(received, now, sender=remote_sender(received))


def lookup(table, now, **locality):
    locality = {"region": "north", "data_centre": "north-a", **locality}
    return lookup_addresses(table, own_ready=True, now=now, **locality)


def test_peer_is_live_until_its_reports_time_out():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b")), 0.0)
    assert table.live_names(1.0) == ["a", "b"]
    assert table.live_names(LIVENESS_TIMEOUT_S + 0.1) == ["a"]


def test_peer_listed_by_a_peer_is_contacted_but_not_advertised():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b"), known=[record("c")]), 0.0)
    addresses = table.local_report_addresses(0.0)
    assert addresses == ["b:90", "c:90"]
    assert lookup(table, 0.0) == ["a:80", "b:80"]


def test_gateway_with_the_higher_name_reports_only_to_a_silent_peer():
    table = PeerTable(own=record("b"))
    table.receive_report(report(record("a")), 0.0)
    assert table.local_report_addresses(0.1) == []
    assert table.all_local_addresses() == ["a:90"]
    assert table.local_report_addresses(LIVENESS_TIMEOUT_S + 0.1) == ["a:90"]


def test_local_report_addresses_can_be_limited_to_advertised_gateways():
    table = PeerTable(own=record("a", link_mbps=200.0))
    table.receive_report(report(record("b", link_mbps=200.0)), 0.0)
    table.receive_report(report(record("c")), 0.0)
    advertised = table.local_advertised_names(0.1, own_ready=True)
    assert advertised == {"a", "b"}
    assert table.local_report_addresses(0.1, names=advertised) == ["b:90"]
    assert table.local_report_addresses(0.1) == ["b:90", "c:90"]


def test_gateway_that_is_no_longer_ready_is_not_advertised():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b")), 0.0)
    table.receive_report(report(record("b"), ready=False), 0.4)
    assert lookup(table, 0.5) == ["a:80"]


def test_lookup_returns_the_nearest_gateways():
    table = PeerTable(own=record("a"))
    receive_remote_summary(table, summary("north-b", "b", region="north"), 0.0)
    receive_remote_summary(table, summary("s-a", "c", region="s"), 0.0)
    assert lookup(table, 0.1) == ["a:80"]
    assert lookup(table, 0.1, data_centre="north-c") == ["a:80", "b:80"]
    assert lookup(table, 0.1, region="s", data_centre="s-b") == ["c:80"]
    other_region = lookup(table, 0.1, region="w", data_centre="w-a")
    assert other_region == ["a:80", "b:80", "c:80"]


def test_gateways_of_a_silent_data_centre_are_not_advertised():
    table = PeerTable(own=record("a"))
    receive_remote_summary(table, summary("s-a", "c", region="s"), 0.0)
    timed_out_at = SUMMARY_TIMEOUT_S + 0.1
    assert lookup(table, timed_out_at, region="s", data_centre="s-a") == [
        "a:80"
    ]


def test_narrow_links_are_advertised_only_without_enough_wide_ones():
    table = PeerTable(own=record("a"))
    wide = [record(name, link_mbps=200.0) for name in ("w1", "w2")]
    for other in wide:
        table.receive_report(report(other), 0.0)
    assert lookup(table, 0.1) == ["w1:80", "w2:80"]
    advertised = advertised_records(table, own_ready=True, now=0.1)
    assert [record.name for record in advertised] == ["w1", "w2"]
    table.receive_report(report(wide[0], ready=False), 0.2)
    assert lookup(table, 0.3) == ["a:80", "w2:80"]


def test_lookup_returns_a_bounded_number_of_addresses():
    table = PeerTable(own=record("a"))
    for number in range(2 * LOOKUP_ADDRESSES_MAX):
        table.receive_report(report(record(f"g{number}")), 0.0)
    assert len(lookup(table, 0.1)) == LOOKUP_ADDRESSES_MAX


def test_report_of_an_earlier_incarnation_is_ignored():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b", incarnation=5)), 0.0)
    table.receive_report(report(record("b", incarnation=4), ready=False), 0.1)
    assert lookup(table, 0.2) == ["a:80", "b:80"]


def test_silent_peer_is_removed_after_its_expiry():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b")), 0.0)
    assert table.remove_expired(PEER_EXPIRY_S + 1) == ["b"]
    assert table.all_local_addresses() == []


def test_all_gateways_of_a_data_centre_choose_the_same_hub():
    all_records = [record(f"g{n}", link_mbps=10.0 * (n % 3)) for n in range(9)]

    def hub(own):
        table = PeerTable(own=own)
        for other in all_records:
            table.receive_report(report(other), 0.0)
        return table.hub_candidates(0.1)[0]

    assert len({hub(own) for own in all_records}) == 1
    assert int(hub(all_records[0])[1:]) % 3 == 2


def test_unresponsive_hub_is_replaced_until_it_reports_again():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b", link_mbps=99.0)), 0.0)
    assert table.hub_candidates(0.1) == ["b", "a"]
    table.mark_unresponsive("b:90")
    assert table.hub_candidates(0.2) == ["a"]
    table.receive_report(report(record("b", link_mbps=99.0)), 0.3)
    assert table.hub_candidates(0.4) == ["b", "a"]


def test_one_of_two_hubs_reports_until_the_summary_is_stale():
    low = PeerTable(own=record("a", data_centre="d1"))
    high = PeerTable(own=record("b", data_centre="d2"))
    receive_remote_summary(low, summary("d2", "b"), 0.0)
    receive_remote_summary(high, summary("d1", "a"), 0.0)
    assert low.remote_report_addresses(0.1) == ["b:90"]
    assert high.remote_report_addresses(0.1) == []
    stale_at = SUMMARY_STALE_AFTER_S + 0.1
    assert high.remote_report_addresses(stale_at) == ["a:90"]


def test_next_hub_candidate_reports_when_the_summary_is_stale():
    table = PeerTable(own=record("a", data_centre="d1"))
    hub = record("h", data_centre="d1", link_mbps=99.0)
    receive_remote_summary(table, summary("d2", "b"), 0.0)
    table.receive_report(report(hub), 0.0)
    assert table.remote_report_addresses(0.1) == []
    table.receive_report(report(hub), SUMMARY_STALE_AFTER_S)
    assert table.remote_report_addresses(SUMMARY_STALE_AFTER_S + 0.1) == [
        "b:90"
    ]


def test_unresponsive_remote_gateway_is_replaced_by_another():
    table = PeerTable(own=record("a", data_centre="d1"))
    receive_remote_summary(table, summary("d2", "b", "c"), 0.0)
    first = table.remote_report_addresses(0.1)
    table.mark_unresponsive(first[0])
    second = table.remote_report_addresses(0.1)
    assert sorted(first + second) == ["b:90", "c:90"]
    table.mark_unresponsive(second[0])
    assert table.remote_report_addresses(0.1) == first


def test_summary_of_another_source_is_rejected_until_staleness():
    table = PeerTable(own=record("a"))
    assert receive_remote_summary(table, summary("d2", "b", wall_ms=1), 0.0)
    assert not receive_remote_summary(table, summary("d2", "b", wall_ms=1), 0.1)
    assert not receive_remote_summary(table, summary("d2", "c", wall_ms=2), 0.2)
    stale_at = SUMMARY_STALE_AFTER_S + 0.1
    assert receive_remote_summary(
        table, summary("d2", "c", wall_ms=3), stale_at
    )


def test_summary_of_the_own_data_centre_only_adds_gateways():
    table = PeerTable(own=record("a"))
    received = summary("north-a", "b")
    assert not table.receive_summary(received, 0.0, sender=record("x"))
    assert table.local_report_addresses(0.1) == ["b:90"]
    assert table.live_names(0.1) == ["a"]


def test_gateways_agree_on_the_watcher_and_replace_a_lost_one():
    all_records = [record(f"g{number}") for number in range(4)]

    def watchers(own, lost=()):
        table = PeerTable(own=own)
        for other in all_records:
            feed = (
                MirrorSource.LOST if other.name in lost else MirrorSource.PEERS
            )
            table.receive_report(report(other, feed=feed), 0.0)
        return store_watchers(
            table, own_mirror_source=MirrorSource.STORE, count=1, now=0.1
        )

    chosen = watchers(all_records[0])
    assert len(chosen) == 1
    assert all(watchers(own) == chosen for own in all_records)
    other = next(r for r in all_records if r.name not in chosen)
    replacement = watchers(other, lost=chosen)
    assert len(replacement) == 1
    assert replacement != chosen


def test_demands_are_those_of_live_peers_and_other_data_centres():
    table = PeerTable(own=record("a"))
    peer = report(record("b"))
    table.receive_report(
        msgspec.structs.replace(peer, demand={"reads": 2.0}), 0.0
    )
    remote = msgspec.structs.replace(
        summary("south-a", "r1", "r2"), demand={"reads": 5.0}
    )
    receive_remote_summary(table, remote, 0.0)
    assert list(table.demands(0.1)) == [
        ("north", {"reads": 2.0}),
        ("south", {"reads": 5.0}),
    ]
    assert table.live_names(0.1) == ["a", "b", "r1", "r2"]
    assert not list(table.demands(0.1 + SUMMARY_TIMEOUT_S))


HOURS_S = 3 * 3600.0


class SummaryNode:
    """A gateway's clock and table, as messages between gateways use them."""

    def __init__(self, name, data_centre, *, ahead_s=0.0):
        """Makes a node whose wall clock is some seconds ahead."""
        self.record = record(name, data_centre=data_centre)
        self.wall = ManualClock()
        self.wall.wall_s += ahead_s
        self.clock = HybridClock(clock=self.wall)
        self.table = PeerTable(own=self.record)

    def exchange(self, receiver, now, *, summary_of=None):
        """Sends a summary and gets the reply; returns whether it was taken.

        Args:
            receiver: The other node.
            now: Monotonic seconds.
            summary_of: Data centre whose summary to forward; None for a new
                one of the own data centre.
        """
        sent = msgspec.structs.replace(
            summary(self.record.data_centre, self.record.name),
            stamp=self.clock.tick(),
        )
        if summary_of is not None:
            (sent,) = (
                received.summary
                for received in self.table.summaries(now)
                if received.summary.data_centre == summary_of
            )
        receiver.clock.receive(self.clock.tick())
        taken = receiver.table.receive_summary(sent, now, sender=self.record)
        self.clock.receive(receiver.clock.tick())
        return taken


def test_summaries_are_held_back_after_a_clock_hours_ahead_is_corrected():
    """Ruled out: one exchange of messages makes later stamps higher again."""
    source = SummaryNode("b", "south-a", ahead_s=HOURS_S)
    receiver = SummaryNode("a", "north-a")
    assert source.exchange(receiver, 0.0)
    source.wall.wall_s -= HOURS_S
    assert source.exchange(receiver, 0.2)
    restarted = SummaryNode("b", "south-a")
    restarted.exchange(receiver, 0.4)
    assert restarted.exchange(receiver, 0.6)
    successor = SummaryNode("c", "south-a")
    successor.exchange(receiver, 0.8)
    assert successor.exchange(receiver, 0.6 + SUMMARY_STALE_AFTER_S)


def test_summary_forwarded_by_a_restarted_gateway_is_held_back_for_hours():
    """Ruled out: it has lost the higher stamps and learns them by messages."""
    source = SummaryNode("b", "south-a", ahead_s=HOURS_S)
    forwarder = SummaryNode("c", "west-a")
    receiver = SummaryNode("a", "north-a")
    assert source.exchange(forwarder, 0.0)
    assert forwarder.exchange(receiver, 0.0, summary_of="south-a")
    source = SummaryNode("b", "south-a")
    forwarder = SummaryNode("c", "west-a")
    assert source.exchange(forwarder, 0.2)
    assert not forwarder.exchange(receiver, 0.2, summary_of="south-a")
    assert source.exchange(forwarder, 0.4)
    assert source.exchange(forwarder, 0.6)
    assert forwarder.exchange(receiver, 0.6, summary_of="south-a")
