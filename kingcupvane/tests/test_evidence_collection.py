"""Tests of the collection of evidence on versions from all gateways."""

import trio
from result import Err, Ok

from kingcupvane.connection.messages import (
    EvidenceReply,
    EvidenceRequest,
    GatherReply,
    GatherRequest,
    SourceEvidence,
)
from kingcupvane.errors import PeerError
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.evidence_collection import EvidenceCollector
from kingcupvane.process.peering import PeerTable
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.tests.test_peering import (
    receive_remote_summary,
    record,
    report,
    summary,
)


class FakePeerClient:
    """Peer client that answers in place of the other gateways."""

    def __init__(self):
        """Starts without requests; all gateways respond."""
        self.sent_requests = []
        self.unresponsive = set()

    async def ask(self, address, message):
        await trio.lowlevel.checkpoint()
        self.sent_requests.append((address, type(message)))
        if address in self.unresponsive:
            return Err(PeerError(step="test", peer=address, detail="dead"))
        if isinstance(message, EvidenceRequest):
            return Ok(EvidenceReply(incarnation=1, tallies=[]))
        evidence = SourceEvidence(f"of {address}", 1, [])
        return Ok(GatherReply(sources=[evidence]))


def make_collector(client, clock):
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b")), clock.now())
    receive_remote_summary(table, summary("d2", "c", "d"), clock.now())
    evidence = EvidenceCounter()
    evidence.add(
        ExchangeSample(
            service="s", version="v1", route="/r/", failed=False, latency_s=0.1
        )
    )
    return EvidenceCollector(
        evidence=evidence, peers=table, client=client, clock=clock
    )


def test_local_gateways_are_asked_directly_and_others_through_hubs(clock):
    client = FakePeerClient()
    sources = trio.run(make_collector(client, clock).collect_all, ["s"])
    assert sorted(client.sent_requests) == [
        ("b:90", EvidenceRequest),
        ("c:90", GatherRequest),
    ]
    assert sorted(source.name for source in sources) == ["a", "b", "of c:90"]
    own = next(source for source in sources if source.name == "a")
    assert own.tallies[0].count == 1


def test_unresponsive_gateways_are_left_out(clock):
    client = FakePeerClient()
    client.unresponsive = {"b:90", "c:90"}
    sources = trio.run(make_collector(client, clock).collect_all, ["s"])
    assert [source.name for source in sources] == ["a"]
