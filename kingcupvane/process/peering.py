"""Gateways that know each other through reports, without a leader.

Within a data centre each gateway reports to every other one in short periods;
the answer is the peer's report. Between data centres only their hubs talk:
the hub is the live gateway with the widest link, so everybody in the data
centre names the same one without an election. Hubs exchange summaries, and
pass on to their data centre what they hear. What a gateway has to send thus
grows with its data centre and the number of data centres, not with the fleet.

Peers are found through seeds, through the store and through what other peers
know. A gateway is live while its reports, or summaries that name it, come.
"""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass

from kingcupvane.connection.messages import (
    DataCentreSummary,
    GatewayRecord,
    GatewayReport,
    MemberStatus,
    StoreSource,
)
from kingcupvane.request.load_balancing import rendezvous_rank

# Silence after which a peer gets no callers any more, in seconds.
LIVENESS_TIMEOUT_S = 1.5
# Silence after which the gateways of another data centre get none, in seconds;
# longer, since its hub may have to be replaced first.
SUMMARY_TIMEOUT_S = 3.0
# Age of a summary after which another gateway's is taken instead, and after
# which the first gateways of a data centre ask for one themselves, in seconds.
SUMMARY_STALE_AFTER_S = 1.0
# Gateways of a data centre that do so.
REMOTE_REPORTERS_MAX = 3
# Silence after which a peer is no longer asked or passed on, in seconds.
PEER_EXPIRY_S = 30.0
# Part of the widest link in a data centre from which callers are sent there.
ADVERTISED_BANDWIDTH_SHARE = 0.5
# Strong gateways below which callers are sent to all.
WIDE_LINK_GATEWAYS_MIN = 2
# Gateways that one look-up answer names at most.
LOOKUP_ADDRESSES_MAX = 64


@dataclass(kw_only=True, slots=True)
class Peer:
    """What is known of one other gateway.

    Attributes:
        record: How it presented itself last.
        report: Its last report; None before the first.
        received_at: Monotonic time of that report, in seconds.
        mentioned_at: Monotonic time at which anybody last named it, in seconds.
        is_unresponsive: The last question to it got no answer.
    """

    record: GatewayRecord
    report: GatewayReport | None = None
    received_at: float = float("-inf")
    mentioned_at: float = float("-inf")
    is_unresponsive: bool = False

    def is_live(self, now: float) -> bool:
        """Returns whether its reports still come."""
        return now - self.received_at < LIVENESS_TIMEOUT_S


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedSummary:
    """The latest summary of another data centre.

    Attributes:
        summary: The summary.
        received_at: Monotonic time at which it came, in seconds.
        is_direct: It came from a gateway of that data centre.
    """

    summary: DataCentreSummary
    received_at: float
    is_direct: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveGateway:
    """A live gateway anywhere.

    Attributes:
        record: How it presented itself.
        ready: Whether callers may be sent to it.
        feed: Where its copy of the store comes from.
    """

    record: GatewayRecord
    ready: bool
    feed: StoreSource


class PeerTable:
    """The other gateways, as one of them sees them; does no I/O."""

    def __init__(self, *, own: GatewayRecord):
        """Starts knowing only itself."""
        self.own = own
        self._peers_by_name: dict[str, Peer] = {}
        self._summaries_by_data_centre: dict[str, ReceivedSummary] = {}

    def receive_report(self, report: GatewayReport, now: float) -> bool:
        """Takes in a report; returns whether its sender was not live before."""
        name = report.record.name
        if name == self.own.name:
            return False
        peer = self._upsert(report.record, now)
        if report.record.incarnation < peer.record.incarnation:
            return False
        became_live = not peer.is_live(now)
        peer.report = report
        peer.received_at = now
        peer.is_unresponsive = False
        for record in report.known:
            self.add_known(record, now)
        return became_live

    def receive_summary(
        self, summary: DataCentreSummary, now: float, *, sender: GatewayRecord
    ) -> bool:
        """Takes in a summary; returns whether it is newer than the last.

        Counters of two sources cannot be compared, so that another source is
        heard only when the last one has been silent for a while.

        Args:
            summary: The summary.
            now: Monotonic seconds.
            sender: Who passed it on.
        """
        for member in summary.members:
            self.add_known(_record_from_status(summary, member), now)
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

    def add_known(self, record: GatewayRecord, now: float) -> None:
        """Takes in that somebody knows a gateway."""
        if record.name != self.own.name:
            self._upsert(record, now)

    def _upsert(self, record: GatewayRecord, now: float) -> Peer:
        peer = self._peers_by_name.get(record.name)
        if peer is None:
            peer = Peer(record=record)
            self._peers_by_name[record.name] = peer
        elif record.incarnation > peer.record.incarnation:
            peer.record = record
            peer.received_at = float("-inf")
        peer.mentioned_at = now
        return peer

    def mark_unresponsive(self, address: str) -> None:
        """Takes in that a peer did not answer a question.

        Once nobody of a data centre has answered, all get another chance.
        """
        silent = self._find_by_address(address)
        if silent is None:
            return
        silent.is_unresponsive = True
        data_centre = silent.record.data_centre
        peers = [
            peer
            for peer in self._peers_by_name.values()
            if peer.record.data_centre == data_centre
        ]
        if all(peer.is_unresponsive for peer in peers):
            for peer in peers:
                peer.is_unresponsive = peer is silent

    def _find_by_address(self, address: str) -> Peer | None:
        for peer in self._peers_by_name.values():
            if peer.record.peer_address == address:
                return peer
        return None

    def remove_expired(self, now: float) -> list[str]:
        """Drops peers of which nobody has heard for long; returns their names.

        What a peer passes on does not count as hearing of a gateway.
        """
        expired = []
        for name, peer in list(self._peers_by_name.items()):
            silent = now - max(
                peer.received_at, peer.mentioned_at - PEER_EXPIRY_S / 2
            )
            if silent > PEER_EXPIRY_S:
                del self._peers_by_name[name]
                expired.append(name)
        return expired

    def local_peers(self, now: float) -> list[Peer]:
        """Returns the live peers of the own data centre."""
        return [peer for peer in self._known_local_peers() if peer.is_live(now)]

    def summaries(self, now: float) -> list[ReceivedSummary]:
        """Returns what is known of the other data centres that are live."""
        return [
            received
            for received in self._summaries_by_data_centre.values()
            if now - received.received_at < SUMMARY_TIMEOUT_S
        ]

    def summary_age_s(self, data_centre: str, now: float) -> float:
        """Returns how old the news of a data centre are, in seconds."""
        received = self._summaries_by_data_centre.get(data_centre)
        return float("inf") if received is None else now - received.received_at

    def source_addresses(self, now: float) -> list[str]:
        """Returns the gateways that sum up the other data centres."""
        return [
            status.peer_address
            for received in self.summaries(now)
            for status in received.summary.members
            if status.name == received.summary.source
        ]

    def members(self, now: float) -> Iterator[LiveGateway]:
        """Yields the live gateways but this one, of all data centres."""
        for peer in self.local_peers(now):
            if peer.report is not None:
                yield LiveGateway(
                    record=peer.record,
                    ready=peer.report.ready,
                    feed=peer.report.feed,
                )
        for received in self.summaries(now):
            for status in received.summary.members:
                yield LiveGateway(
                    record=_record_from_status(received.summary, status),
                    ready=status.ready,
                    feed=status.feed,
                )

    def live_names(self, now: float) -> list[str]:
        """Returns the names of all live gateways, this one too, sorted."""
        names = [member.record.name for member in self.members(now)]
        return sorted([self.own.name, *names])

    def hub_candidates(self, now: float) -> list[str]:
        """Returns the live gateways of the own data centre, the hub first."""
        records = [
            peer.record
            for peer in self.local_peers(now)
            if not peer.is_unresponsive
        ]
        return [
            record.name for record in by_link_bandwidth([self.own, *records])
        ]

    def is_alone(self, now: float) -> bool:
        """Returns whether nobody is heard."""
        return not self.local_peers(now) and not self.summaries(now)

    def local_addresses(
        self, now: float, *, names: Container[str] | None = None
    ) -> list[str]:
        """Returns which gateways of the own data centre to report to.

        One question serves both sides; the one with the lower name asks, and
        the other one too as long as it hears nothing.

        Args:
            now: Monotonic seconds.
            names: Leaves out all others that are live; None for nobody.
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
        """Returns all known gateways of the own data centre."""
        return sorted(
            peer.record.peer_address for peer in self._known_local_peers()
        )

    def _known_local_peers(self) -> Iterator[Peer]:
        for peer in self._peers_by_name.values():
            if peer.record.data_centre == self.own.data_centre:
                yield peer

    def local_advertised(self, now: float, *, ready: bool) -> set[str]:
        """Returns the gateways of the data centre to which callers are sent.

        Args:
            now: Monotonic seconds.
            ready: Whether this gateway itself takes callers.
        """
        records = [
            peer.record
            for peer in self.local_peers(now)
            if peer.report is not None and peer.report.ready
        ]
        if ready:
            records.append(self.own)
        return {record.name for record in advertised_gateways(records)}

    def remote_addresses(self, now: float) -> list[str]:
        """Returns which gateways of other data centres to report to.

        Between two hubs the one with the lower data centre asks, and the
        other one too when it hears nothing. Then the first gateways after the
        hub try as well, since the hub may be cut off.
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
        """Returns addresses by other data centre, its likely hub first."""
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

    def records(self, now: float) -> list[GatewayRecord]:
        """Returns the live gateways of the data centre, to pass on."""
        return [peer.record for peer in self.local_peers(now)]


def _record_from_status(
    summary: DataCentreSummary, member: MemberStatus
) -> GatewayRecord:
    return GatewayRecord(
        name=member.name,
        incarnation=member.incarnation,
        region=summary.region,
        data_centre=summary.data_centre,
        caller_address=member.caller_address,
        peer_address=member.peer_address,
        link_mbps=member.link_mbps,
    )


def by_link_bandwidth(records: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Returns gateways with the widest links first, in a fixed order."""
    by_name = {record.name: record for record in records}
    order = rendezvous_rank(by_name, hash_key="hub")
    return sorted(
        (by_name[name] for name in order), key=lambda record: -record.link_mbps
    )


def advertised_gateways(
    records: Iterable[GatewayRecord],
) -> list[GatewayRecord]:
    """Returns the gateways of one data centre to which callers are sent.

    Those with narrow links are left out while at least two others are ready:
    a large request would hold up all others on such a link.
    """
    ordered = by_link_bandwidth(records)
    if not ordered:
        return []
    min_mbps = ADVERTISED_BANDWIDTH_SHARE * ordered[0].link_mbps
    wide = [record for record in ordered if record.link_mbps >= min_mbps]
    return wide if len(wide) >= WIDE_LINK_GATEWAYS_MIN else ordered


def advertised_names(table: PeerTable, *, ready: bool, now: float) -> list[str]:
    """Returns the gateways to which callers of any data centre are sent.

    Args:
        table: The known gateways.
        ready: Whether this gateway itself takes callers.
        now: Monotonic seconds.
    """
    records_by_data_centre: dict[str, list[GatewayRecord]] = {}
    for record in _ready_records(table, ready=ready, now=now):
        records_by_data_centre.setdefault(record.data_centre, []).append(record)
    return sorted(
        record.name
        for records in records_by_data_centre.values()
        for record in advertised_gateways(records)
    )


def _ready_records(
    table: PeerTable, *, ready: bool, now: float
) -> list[GatewayRecord]:
    records = [m.record for m in table.members(now) if m.ready]
    if ready:
        records.append(table.own)
    return records


def entries_for(
    table: PeerTable, *, region: str, data_centre: str, ready: bool, now: float
) -> list[str]:
    """Returns the caller addresses of the gateways nearest to a caller.

    Args:
        table: The known gateways.
        region: The caller's region.
        data_centre: The caller's data centre.
        ready: Whether this gateway itself takes callers.
        now: Monotonic seconds.
    """
    records = _ready_records(table, ready=ready, now=now)
    local = [r for r in records if r.data_centre == data_centre]
    same_region = [r for r in records if r.region == region]
    chosen = advertised_gateways(local or same_region or records)[
        :LOOKUP_ADDRESSES_MAX
    ]
    return sorted(record.caller_address for record in chosen)


def store_watchers(
    table: PeerTable, *, own_feed: StoreSource, count: int, now: float
) -> list[str]:
    """Returns who watches the store in the own data centre; the others copy.

    A gateway that lost the store passes its turn on.

    Args:
        table: The known gateways.
        own_feed: Where this gateway's own copy comes from.
        count: How many watch.
        now: Monotonic seconds.
    """
    without_store = {
        peer.record.name
        for peer in table.local_peers(now)
        if peer.report is not None and peer.report.feed is StoreSource.LOST
    }
    if own_feed is StoreSource.LOST:
        without_store.add(table.own.name)
    candidates = [
        name for name in table.hub_candidates(now) if name not in without_store
    ]
    return candidates[:count]
