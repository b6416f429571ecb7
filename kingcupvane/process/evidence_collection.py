"""Collection of the evidence on versions from all gateways."""

from collections.abc import Sequence

import trio
from result import Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    EvidenceReading,
    EvidenceReply,
    EvidenceRequest,
    GatherReply,
    GatherRequest,
    SourceEvidence,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.peering import PeerTable
from kingcupvane.version.canary_analysis import Tally

# Time limit for replies from gateways of this data centre, in seconds. A remote
# hub spends up to this time on its own data centre before it replies, so this
# limit is shorter than the timeout of a message to that hub.
LOCAL_TIMEOUT_S = 0.15
# Time limit for a whole collection, in seconds. Counters that are read late are
# read in the next round, so a gateway that does not reply costs little.
COLLECTION_TIMEOUT_S = 0.35


class EvidenceCollector:
    """Collects counters: of local gateways directly, of others through hubs."""

    def __init__(
        self,
        *,
        evidence: EvidenceCounter,
        peers: PeerTable,
        client: PeerClient,
        clock: Clock,
    ):
        """Makes a collector.

        Args:
            evidence: This gateway's own counters.
            peers: The known gateways.
            client: Client for messages to peers.
            clock: Monotonic clock.
        """
        self._evidence = evidence
        self._peers = peers
        self._client = client
        self._clock = clock

    def own_counters(
        self, services: Sequence[str], reading: EvidenceReading | None = None
    ) -> EvidenceReply:
        """Returns this gateway's counters of the named services.

        Args:
            services: Names of the services.
            reading: Marks of the reading, if it has any.
        """
        earlier: list[Tally] = []
        if reading is not None:
            for service in services:
                if reading.since is not None:
                    earlier += self._evidence.as_of(service, reading.since)
                self._evidence.mark(service, reading.mark)
        return EvidenceReply(
            incarnation=self._peers.own.incarnation,
            tallies=self._evidence.of_services(services),
            earlier=earlier,
        )

    async def collect_local(
        self, services: Sequence[str], reading: EvidenceReading | None = None
    ) -> list[SourceEvidence]:
        """Returns the counters of the gateways of this data centre.

        Those that do not answer in time are left out.

        Args:
            services: Names of the services.
            reading: Marks of the reading, if it has any.
        """
        own = self.own_counters(services, reading)
        sources = [_source_evidence(self._peers.own.name, own)]

        async def add_peer(name: str, address: str) -> None:
            reply = await self._client.ask(
                address,
                EvidenceRequest(services=list(services), reading=reading),
            )
            if isinstance(reply, Ok) and isinstance(
                reply.ok_value, EvidenceReply
            ):
                sources.append(_source_evidence(name, reply.ok_value))

        with trio.move_on_after(LOCAL_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for peer in self._peers.local_peers(self._clock.now()):
                    record = peer.record
                    nursery.start_soon(
                        add_peer, record.name, record.peer_address
                    )
        return sources

    async def collect_all(
        self, services: Sequence[str], reading: EvidenceReading | None = None
    ) -> list[SourceEvidence]:
        """Returns the counters of the gateways of all data centres.

        Those that do not answer in time are left out.

        Args:
            services: Names of the services.
            reading: Marks of the reading, if it has any.
        """
        sources: list[SourceEvidence] = []

        async def add_local() -> None:
            sources.extend(await self.collect_local(services, reading))

        async def add_remote(address: str) -> None:
            reply = await self._client.ask(
                address, GatherRequest(services=list(services), reading=reading)
            )
            if isinstance(reply, Ok) and isinstance(
                reply.ok_value, GatherReply
            ):
                sources.extend(reply.ok_value.sources)

        with trio.move_on_after(COLLECTION_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(add_local)
                for address in self._peers.summary_source_addresses(
                    self._clock.now()
                ):
                    nursery.start_soon(add_remote, address)
        return sources


def _source_evidence(name: str, reply: EvidenceReply) -> SourceEvidence:
    return SourceEvidence(
        name=name,
        incarnation=reply.incarnation,
        tallies=reply.tallies,
        earlier=reply.earlier,
    )
