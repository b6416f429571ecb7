"""Tests of what a gateway knows of the fleet."""

import msgspec

from kingcupvane.process.known_fleet import KnownFleet
from kingcupvane.process.peering import LIVENESS_TIMEOUT_S, PeerTable
from kingcupvane.tests.test_peering import record, report


def test_registered_gateways_count_as_known_until_the_store_drops_them():
    peers = PeerTable(own=record("a"))
    fleet = KnownFleet(peers=peers, is_listed=lambda now: now < 5.0)
    for name in ("a", "b", "c"):
        fleet.add_registered(name, record(name))
    peers.receive_report(
        msgspec.structs.replace(report(record("b")), demand={"reads": 2.0}), 0.0
    )
    view = fleet.view(0.1)
    assert (view.live_count, view.known_count) == (2, 3)
    assert view.is_registered
    assert view.demand_by_service == {"reads": 2.0}
    fleet.remove_registered("c")
    assert fleet.view(0.1).heard_share == 1.0
    silent = fleet.view(5.0 + LIVENESS_TIMEOUT_S)
    assert (silent.live_count, silent.known_count) == (1, 2)
    assert silent.covered_share == 0.0
    assert silent.heard_share == 0.5


def test_gateway_alone_covers_the_whole():
    fleet = KnownFleet(
        peers=PeerTable(own=record("a")), is_listed=lambda now: False
    )
    assert fleet.view(0.0).covered_share == 1.0
