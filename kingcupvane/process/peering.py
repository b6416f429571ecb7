"""Discovery and liveness of gateways from periodic reports, without a leader.

Within a data centre each gateway periodically exchanges reports with every
other one: the reply to a report is the peer's own report. Between data
centres normally only the hubs exchange reports. The hub is the live gateway
with the link of highest bandwidth, so all gateways of a data centre pick the
same one without an election. Hubs exchange summaries of their data centres and
forward the received ones within their own. The traffic of a gateway thus grows
with the size of its data centre and the number of data centres, not with the
fleet.

Peers are discovered through seeds, the store and the reports of other peers.
A gateway is live while its reports, or summaries that list it, keep arriving.
"""

from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain

from kingcupvane.connection.messages import (
    DataCentreSummary,
    GatewayRecord,
    GatewayReport,
    MemberStatus,
    MirrorSource,
)
from kingcupvane.process.process_history import (
    PROCESS_SILENCE_S,
    ProcessHistory,
)
from kingcupvane.request.load_balancing import rendezvous_rank

# Time without a report after which callers are no longer sent to a peer, in
# seconds.
LIVENESS_TIMEOUT_S = PROCESS_SILENCE_S
# Time without a summary after which callers are no longer sent to another data
# centre, in seconds; longer than for a peer, since the hub that sends the
# summaries may have to be replaced first.
SUMMARY_TIMEOUT_S = 3.0
# Age of a data centre's summary after which one from another source is
# accepted, and after which the first hub candidates report to that data centre,
# whichever side normally does, in seconds.
SUMMARY_STALE_AFTER_S = 1.0
# Hub candidates of a data centre, the hub included, that may report to other
# data centres.
REMOTE_REPORTERS_MAX = 3
# Time without a report after which a peer is removed from the table, in
# seconds.
PEER_EXPIRY_S = 30.0
# Bandwidth from which a link counts as wide, as a share of the highest in the
# data centre; only gateways with wide links are advertised to callers.
ADVERTISED_BANDWIDTH_SHARE = 0.5
# Ready gateways with wide links in a data centre below which all of its ready
# gateways are advertised.
WIDE_LINK_GATEWAYS_MIN = 2
# Most addresses in one look-up response.
LOOKUP_ADDRESSES_MAX = 64


@dataclass(kw_only=True, slots=True)
class Peer:
    """State of one other gateway.

    Attributes:
        record: Its latest record.
        report: Its last report; None before the first.
        history: Its processes.
        listed_at: Monotonic time at which the store, a peer or its own report
            last named it, in seconds.
        is_unresponsive: The last message to it got no reply.
    """

    record: GatewayRecord
    report: GatewayReport | None = None
    history: ProcessHistory[None] = field(default_factory=ProcessHistory)
    listed_at: float = float("-inf")
    is_unresponsive: bool = False

    @property
    def received_at(self) -> float:
        """Monotonic time of its last report, in seconds."""
        return self.history.heard_at

    def is_live(self, now: float) -> bool:
        """Returns whether its last report is recent enough."""
        return self.history.is_heard(now)


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedSummary:
    """The latest summary of another data centre, with how it arrived.

    Attributes:
        summary: The summary.
        received_at: Monotonic time of its arrival, in seconds.
        is_direct: It was sent by a gateway of that data centre, not forwarded
            by a gateway of another one.
    """

    summary: DataCentreSummary
    received_at: float
    is_direct: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveGateway:
    """A live gateway of any data centre.

    Attributes:
        record: Its record.
        ready: Whether callers may be sent to it.
        mirror_source: Source of its mirror of the store.
    """

    record: GatewayRecord
    ready: bool
    mirror_source: MirrorSource


class PeerTable:
    """All other gateways known to this one; does no I/O."""

    def __init__(self, *, own: GatewayRecord):
        """Makes a table without peers.

        Args:
            own: Record of this gateway.
        """
        self.own = own
        self._peers_by_name: dict[str, Peer] = {}
        self._summaries_by_data_centre: dict[str, ReceivedSummary] = {}

    def receive_report(self, report: GatewayReport, now: float) -> bool:
        """Stores a report; returns whether its sender has just become live.

        A report of an earlier process of its sender is ignored.
        """
        name = report.record.name
        if name == self.own.name:
            return False
        peer = self._upsert(report.record, now)
        incarnation = report.record.incarnation
        if not peer.history.accepts(incarnation, now):
            return False
        same_process = peer.history.incarnation == incarnation
        became_live = not (same_process and peer.is_live(now))
        peer.record = report.record
        peer.report = report
        peer.history.receive(incarnation, None, now)
        peer.is_unresponsive = False
        for record in report.known:
            self.add_listed(record, now)
        return became_live

    def receive_summary(
        self, summary: DataCentreSummary, now: float, *, sender: GatewayRecord
    ) -> bool:
        """Stores a summary if it is newer; returns whether it was stored.

        The counters of two sources are not comparable, so a summary from
        another source is accepted only once the stored one is stale.

        Args:
            summary: The summary.
            now: Monotonic seconds.
            sender: Gateway that sent it.
        """
        for status in summary.members:
            self.add_listed(_record_from_status(summary, status), now)
        if summary.data_centre == self.own.data_centre:
            return False
        previous = self._summaries_by_data_centre.get(summary.data_centre)
        if previous is not None:
            if summary.stamp <= previous.summary.stamp:
                return False
            same_source = summary.source == previous.summary.source
            if (
                not same_source
                and now - previous.received_at < SUMMARY_STALE_AFTER_S
            ):
                return False
        self._summaries_by_data_centre[summary.data_centre] = ReceivedSummary(
            summary=summary,
            received_at=now,
            is_direct=sender.data_centre == summary.data_centre,
        )
        return True

    def add_listed(self, record: GatewayRecord, now: float) -> None:
        """Adds a gateway that the store or a peer lists."""
        if record.name != self.own.name:
            self._upsert(record, now)

    def _upsert(self, record: GatewayRecord, now: float) -> Peer:
        peer = self._peers_by_name.get(record.name)
        if peer is None:
            peer = Peer(record=record)
            self._peers_by_name[record.name] = peer
        elif (
            record.incarnation > peer.record.incarnation
            and not peer.is_live(now)
            and not peer.history.knows(record.incarnation)
        ):
            # Its own reports tell more than a list, which may be old.
            peer.record = record
        peer.listed_at = now
        return peer

    def mark_unresponsive(self, address: str) -> None:
        """Marks a peer that did not reply to a message.

        When all known peers of its data centre are marked, the marks of all
        but this one are cleared, so that they are tried again.
        """
        unresponsive = self._find_by_address(address)
        if unresponsive is None:
            return
        unresponsive.is_unresponsive = True
        data_centre = unresponsive.record.data_centre
        peers = [
            peer
            for peer in self._peers_by_name.values()
            if peer.record.data_centre == data_centre
        ]
        if all(peer.is_unresponsive for peer in peers):
            for peer in peers:
                peer.is_unresponsive = peer is unresponsive

    def _find_by_address(self, address: str) -> Peer | None:
        for peer in self._peers_by_name.values():
            if peer.record.peer_address == address:
                return peer
        return None

    def remove_expired(self, now: float) -> list[str]:
        """Removes peers without recent reports; returns their names.

        Being listed by the store or another peer keeps a peer only half as
        long as a report of its own.
        """
        expired = []
        for name, peer in list(self._peers_by_name.items()):
            silent_s = now - max(
                peer.received_at, peer.listed_at - PEER_EXPIRY_S / 2
            )
            if silent_s > PEER_EXPIRY_S:
                del self._peers_by_name[name]
                expired.append(name)
        return expired

    def local_peers(self, now: float) -> list[Peer]:
        """Returns the live peers of this data centre."""
        return [peer for peer in self._known_local_peers() if peer.is_live(now)]

    def summaries(self, now: float) -> list[ReceivedSummary]:
        """Returns the summaries that have not timed out."""
        return [
            received
            for received in self._summaries_by_data_centre.values()
            if now - received.received_at < SUMMARY_TIMEOUT_S
        ]

    def summary_age_s(self, data_centre: str, now: float) -> float:
        """Returns the age of a data centre's summary, in seconds.

        The age is infinite without a summary.
        """
        received = self._summaries_by_data_centre.get(data_centre)
        return float("inf") if received is None else now - received.received_at

    def summary_source_addresses(self, now: float) -> list[str]:
        """Returns the peer addresses of the gateways that made the summaries.

        Summaries that have timed out are left out.
        """
        return [
            status.peer_address
            for received in self.summaries(now)
            for status in received.summary.members
            if status.name == received.summary.source
        ]

    def live_gateways(self, now: float) -> Iterator[LiveGateway]:
        """Yields all live gateways of all data centres but this gateway."""
        for peer in self.local_peers(now):
            if peer.report is not None:
                yield LiveGateway(
                    record=peer.record,
                    ready=peer.report.ready,
                    mirror_source=peer.report.feed,
                )
        for received in self.summaries(now):
            for status in received.summary.members:
                yield LiveGateway(
                    record=_record_from_status(received.summary, status),
                    ready=status.ready,
                    mirror_source=status.feed,
                )

    def live_names(self, now: float) -> list[str]:
        """Returns the sorted names of all live gateways, including this one."""
        names = {self.own.name}
        names.update(peer.record.name for peer in self.local_peers(now))
        for received in self.summaries(now):
            names.update(status.name for status in received.summary.members)
        return sorted(names)

    def demands(self, now: float) -> Iterator[tuple[str, Mapping[str, float]]]:
        """Yields demands by service that other live gateways reported.

        Each comes with its region; the gateways of another data centre come
        together.
        """
        for peer in self.local_peers(now):
            if peer.report is not None:
                yield peer.record.region, peer.report.demand
        for received in self.summaries(now):
            yield received.summary.region, received.summary.demand

    def hub_candidates(self, now: float) -> list[str]:
        """Returns the names of the hub candidates of this data centre, by rank.

        These are this gateway and the live local peers that are not marked as
        unresponsive; the first is the hub.
        """
        records = [
            peer.record
            for peer in self.local_peers(now)
            if not peer.is_unresponsive
        ]
        return [
            record.name for record in by_link_bandwidth([self.own, *records])
        ]

    def is_alone(self, now: float) -> bool:
        """Returns whether no other gateway is known to be live."""
        return not self.local_peers(now) and not self.summaries(now)

    def local_report_addresses(
        self, now: float, *, names: Container[str] | None = None
    ) -> list[str]:
        """Returns the peer addresses in this data centre to report to.

        One exchange informs both sides, so of two live gateways only the one
        with the lower name sends. Peers that are not live are always included.

        Args:
            now: Monotonic seconds.
            names: Live peers to include; None for all.
        """
        return sorted(
            peer.record.peer_address
            for peer in self._known_local_peers()
            if not peer.is_live(now)
            or (
                self.own.name < peer.record.name
                and (names is None or peer.record.name in names)
            )
        )

    def all_local_addresses(self) -> list[str]:
        """Returns the peer addresses of all known peers in this data centre."""
        return sorted(
            peer.record.peer_address for peer in self._known_local_peers()
        )

    def _known_local_peers(self) -> Iterator[Peer]:
        for peer in self._peers_by_name.values():
            if peer.record.data_centre == self.own.data_centre:
                yield peer

    def local_advertised_names(
        self, now: float, *, own_ready: bool
    ) -> set[str]:
        """Returns the names of the advertised gateways of this data centre.

        Args:
            now: Monotonic seconds.
            own_ready: Whether this gateway itself accepts callers.
        """
        records = [
            peer.record
            for peer in self.local_peers(now)
            if peer.report is not None and peer.report.ready
        ]
        if own_ready:
            records.append(self.own)
        return {record.name for record in advertised_gateways(records)}

    def remote_report_addresses(self, now: float) -> list[str]:
        """Returns the peer addresses in other data centres to report to.

        Normally only the hub of a data centre sends, and only to data centres
        of a higher name. To a data centre whose summary is stale, the first
        `REMOTE_REPORTERS_MAX` hub candidates send whatever the names, since
        the hub may be cut off.
        """
        try:
            rank = self.hub_candidates(now).index(self.own.name)
        except ValueError:
            return []
        if rank >= REMOTE_REPORTERS_MAX:
            return []
        return [
            addresses[0]
            for name, addresses in sorted(
                self._remote_addresses_by_data_centre().items()
            )
            if self.summary_age_s(name, now) > SUMMARY_STALE_AFTER_S
            or (rank == 0 and self.own.data_centre < name)
        ]

    def _remote_addresses_by_data_centre(self) -> dict[str, list[str]]:
        """Returns the peer addresses of each other data centre.

        They are ordered as its hub candidates, with unresponsive peers last.
        """
        records_by_data_centre: dict[str, list[GatewayRecord]] = {}
        unresponsive_names = set()
        for peer in self._peers_by_name.values():
            record = peer.record
            if record.data_centre != self.own.data_centre:
                records_by_data_centre.setdefault(
                    record.data_centre, []
                ).append(record)
            if peer.is_unresponsive:
                unresponsive_names.add(record.name)
        return {
            name: [
                record.peer_address
                for record in sorted(
                    by_link_bandwidth(records),
                    key=lambda r: r.name in unresponsive_names,
                )
            ]
            for name, records in records_by_data_centre.items()
        }

    def local_records(self, now: float) -> list[GatewayRecord]:
        """Returns the records of the live peers of this data centre."""
        return [peer.record for peer in self.local_peers(now)]


def _record_from_status(
    summary: DataCentreSummary, status: MemberStatus
) -> GatewayRecord:
    return GatewayRecord(
        name=status.name,
        incarnation=status.incarnation,
        region=summary.region,
        data_centre=summary.data_centre,
        caller_address=status.caller_address,
        peer_address=status.peer_address,
        link_mbps=status.link_mbps,
    )


def by_link_bandwidth(records: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Returns gateways by descending link bandwidth.

    Ties are broken by rendezvous hashing, so all gateways agree on the order.
    """
    by_name = {record.name: record for record in records}
    order = rendezvous_rank(by_name, hash_key="hub")
    return sorted(
        (by_name[name] for name in order), key=lambda record: -record.link_mbps
    )


def advertised_gateways(
    records: Iterable[GatewayRecord],
) -> list[GatewayRecord]:
    """Returns the gateways of a data centre to be advertised to callers.

    Those with narrow links are left out while at least two with wide links
    are ready: on a narrow link a large request delays all others.

    Args:
        records: The ready gateways of the data centre.
    """
    ordered = by_link_bandwidth(records)
    if not ordered:
        return []
    min_mbps = ADVERTISED_BANDWIDTH_SHARE * ordered[0].link_mbps
    wide = [record for record in ordered if record.link_mbps >= min_mbps]
    return wide if len(wide) >= WIDE_LINK_GATEWAYS_MIN else ordered


def advertised_records(
    table: PeerTable,
    *,
    own_ready: bool,
    registered: Iterable[GatewayRecord] = (),
    now: float,
) -> list[GatewayRecord]:
    """Returns the advertised gateways of all data centres, sorted by name.

    Gateways that are registered in the store but not live here are taken for
    ready: they may serve callers unheard.

    Args:
        table: The known gateways.
        own_ready: Whether this gateway itself accepts callers.
        registered: Records of all gateways that the store lists.
        now: Monotonic seconds.
    """
    live = set(table.live_names(now))
    ready = _ready_records(table, own_ready=own_ready, now=now)
    unheard = (record for record in registered if record.name not in live)
    records_by_data_centre: dict[str, list[GatewayRecord]] = {}
    for record in chain(ready, unheard):
        records_by_data_centre.setdefault(record.data_centre, []).append(record)
    return sorted(
        (
            record
            for records in records_by_data_centre.values()
            for record in advertised_gateways(records)
        ),
        key=lambda record: record.name,
    )


def _ready_records(
    table: PeerTable, *, own_ready: bool, now: float
) -> list[GatewayRecord]:
    records = [
        gateway.record for gateway in table.live_gateways(now) if gateway.ready
    ]
    if own_ready:
        records.append(table.own)
    return records


def lookup_addresses(
    table: PeerTable,
    *,
    region: str,
    data_centre: str,
    own_ready: bool,
    now: float,
) -> list[str]:
    """Returns the caller addresses of the gateways nearest to a caller.

    These are the ones in the caller's data centre; if there are none, those in
    its region; if there are none either, those in all regions.

    Args:
        table: The known gateways.
        region: The caller's region.
        data_centre: The caller's data centre.
        own_ready: Whether this gateway itself accepts callers.
        now: Monotonic seconds.
    """
    records = _ready_records(table, own_ready=own_ready, now=now)
    local = [r for r in records if r.data_centre == data_centre]
    same_region = [r for r in records if r.region == region]
    chosen = advertised_gateways(local or same_region or records)[
        :LOOKUP_ADDRESSES_MAX
    ]
    return sorted(record.caller_address for record in chosen)


def store_watchers(
    table: PeerTable, *, own_mirror_source: MirrorSource, count: int, now: float
) -> list[str]:
    """Returns the names of this data centre's watchers of the store.

    The other gateways copy from peers. A gateway that cannot reach the store
    is skipped, so that the next hub candidate watches instead.

    Args:
        table: The known gateways.
        own_mirror_source: Source of this gateway's own mirror.
        count: Number of watchers.
        now: Monotonic seconds.
    """
    without_store = {
        peer.record.name
        for peer in table.local_peers(now)
        if peer.report is not None and peer.report.feed is MirrorSource.LOST
    }
    if own_mirror_source is MirrorSource.LOST:
        without_store.add(table.own.name)
    candidates = [
        name for name in table.hub_candidates(now) if name not in without_store
    ]
    return candidates[:count]
