"""Tests of which counts a report carries to whom."""

import msgspec
import pytest

from kingcupvane.connection.messages import GatewayRecord, UsageReport
from kingcupvane.process.item import Item, Position
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.true_time import TrueTime
from kingcupvane.process.usage_duty import (
    HOLDER_KEY,
    RECORD_KEY,
    DutyRecord,
    HolderRecord,
    encode,
)
from kingcupvane.process.usage_exchange import (
    LOCAL_INTERVAL_S,
    REMOTE_INTERVAL_S,
    UsageExchange,
)
from kingcupvane.process.usage_ledger import UsageLedger
from kingcupvane.tests.test_peering import (
    receive_remote_summary,
    record,
    report,
    summary,
)

# Link bandwidths, by which the gateways of the data centre become its hub.
MBPS_BY_NAME = {"hub": 100.0, "next": 50.0, "third": 20.0, "fourth": 10.0}


class Parts:
    """One gateway's exchange, with peers in two data centres."""

    def __init__(self, clock, name="hub"):
        """Makes the parts of the gateway `name` and its peers."""
        self.clock = clock
        self.peers = PeerTable(own=self.record(name))
        self.mirror = Mirror(prefix="")
        self.ledger = UsageLedger(
            name=name,
            incarnation=1,
            data_centre="north-a",
            window_s=5.0,
            true_time=TrueTime(clock=clock),
        )
        self.true_time = TrueTime(clock=clock)
        self.exchange = UsageExchange(
            ledger=self.ledger,
            true_time=self.true_time,
            peers=self.peers,
            mirror=self.mirror,
            clock=clock,
        )
        for peer in MBPS_BY_NAME:
            self.peers.receive_report(report(self.record(peer)), clock.now())
        receive_remote_summary(
            self.peers, summary("south-a", "s1", "s2"), clock.now()
        )

    def record(self, name) -> GatewayRecord:
        return record(name, link_mbps=MBPS_BY_NAME[name])

    def set_holder(self, name, data_centre):
        holder = HolderRecord(name=name, data_centre=data_centre, incarnation=1)
        revision = self.mirror.as_of.revision + 1
        item = Item(key=HOLDER_KEY, value=encode(holder), revision=revision)
        self.mirror.merge([item], as_of=Position(revision=revision))

    def tell(self, name, *, local=True):
        return self.exchange.report_to(f"{name}:90", local=local)

    def receive(self, sender, usage):
        message = msgspec.structs.replace(report(sender), usage=usage)
        self.exchange.receive(message)


@pytest.mark.parametrize(
    ("receiver", "told"),
    [("hub", True), ("next", True), ("third", False), ("fourth", True)],
)
def test_gateway_tells_its_counts_to_the_hubs_and_the_holder(
    clock, receiver, told
):
    parts = Parts(clock, "third")
    parts.set_holder("fourth", "north-a")
    parts.ledger.begin("a")
    usage = parts.tell(receiver)
    assert [row.begun for row in usage.gateways] == ([{"a": 1}] if told else [])
    assert usage.data_centres == []


def test_counts_are_not_repeated_in_every_report(clock):
    parts = Parts(clock, "third")
    parts.ledger.begin("a")
    assert parts.tell("hub").gateways
    clock.advance(LOCAL_INTERVAL_S / 2)
    assert not parts.tell("hub").gateways
    clock.advance(LOCAL_INTERVAL_S)
    assert parts.tell("hub").gateways


def test_hub_tells_the_sum_to_the_data_centre_of_the_holder(clock):
    parts = Parts(clock)
    parts.ledger.begin("a")
    assert not parts.tell("s1", local=False).data_centres
    parts.set_holder("s2", "south-a")
    clock.advance(REMOTE_INTERVAL_S)
    other = Parts(clock, "third")
    other.ledger.begin("a")
    parts.receive(other.peers.own, other.tell("hub"))
    usage = parts.tell("s1", local=False)
    assert usage.gateways == []
    (row,) = usage.data_centres
    assert (row.source, row.begun) == ("north-a", {"a": 2})


def test_hub_also_tells_the_sum_to_one_other_data_centre(clock):
    told = {}
    for name in ("hub", "third"):
        parts = Parts(clock, name)
        for data_centre in ("south-b", "south-c", "south-d"):
            receive_remote_summary(
                parts.peers, summary(data_centre, data_centre), clock.now()
            )
        parts.set_holder("s2", "south-a")
        parts.ledger.begin("a")
        told[name] = {
            address
            for address in ("s1", "s2", "south-b", "south-c", "south-d")
            if parts.tell(address, local=False).data_centres
        }
    assert told["hub"] == told["third"]
    assert {"s1", "s2"} <= told["hub"]
    assert len(told["hub"]) <= 3


def test_hub_passes_received_sums_on_to_the_holder_only(clock):
    parts = Parts(clock)
    parts.set_holder("third", "north-a")
    window = parts.ledger.current_window()
    sums = [["south-a", 0, window, {"a": 4}, {"a": 1}]]
    usage = msgspec.convert([clock.wall(), [], sums], UsageReport)
    parts.receive(record("s1", "south", "south-a"), usage)
    assert parts.ledger.counts(window) == {"a": 3}
    assert not parts.tell("next").data_centres
    assert parts.tell("third").data_centres == usage.data_centres


def test_counts_of_gateways_elsewhere_are_not_taken(clock):
    parts = Parts(clock)
    window = parts.ledger.current_window()
    rows = [["s1", 1, window, {"a": 4}, {}]]
    usage = msgspec.convert([clock.wall(), rows, []], UsageReport)
    parts.receive(record("s1", "south", "south-a"), usage)
    assert parts.ledger.counts(window) == {}


def test_every_report_tells_the_time(clock):
    parts = Parts(clock)
    assert parts.tell("fourth").time_s == clock.wall()
    for name in ("next", "third"):
        told = UsageReport(clock.wall() + 9.0)
        parts.receive(parts.record(name), told)
    parts.exchange.update()
    assert parts.true_time.now() == pytest.approx(clock.wall() + 9.0)


def test_recorded_windows_are_dropped(clock):
    parts = Parts(clock)
    window = parts.ledger.begin("a")
    value = encode(DutyRecord(token=1, next_window=window + 1))
    item = Item(key=RECORD_KEY, value=value, revision=9)
    parts.mirror.merge([item], as_of=Position(revision=9))
    parts.exchange.update()
    assert parts.ledger.counts(window) == {}


def test_hubs_contend_before_others(clock):
    delays = {
        name: Parts(clock, name).exchange.contention_delay_s()
        for name in MBPS_BY_NAME
    }
    assert sorted(delays, key=delays.get) == list(MBPS_BY_NAME)
    assert delays["next"] - delays["hub"] >= 1.0


def test_report_without_the_duty_has_no_field_of_usage():
    message = msgspec.msgpack.encode(report(record("g1")))
    assert b"usage" not in message


def test_counts_of_a_gateway_take_little_room(clock):
    parts = Parts(clock, "third")
    for number in range(75):
        for _ in range(300):
            parts.ledger.begin(f"account{number}")
    message = msgspec.msgpack.encode(parts.tell("hub"))
    assert len(message) <= 75 * 14 + 50
