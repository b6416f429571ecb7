"""Gateways that know each other through reports, without a leader.

Each gateway reports to every peer in short periods; the answer is the peer's
report. Peers are found through seeds, through the store and through what
other peers know. A gateway is live while its reports come.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from kingcupvane.connection.messages import (
    Feed,
    GatewayRecord,
    GatewayReport,
)
from kingcupvane.request.routing import rank

# Silence after which a peer gets no callers any more, in seconds.
LIVE_S = 1.5
# Silence after which a peer is no longer asked or passed on, in seconds.
MEMORY_S = 30.0


@dataclass(kw_only=True, slots=True)
class Peer:
    """What is known of one other gateway.

    Attributes:
        record: How it presented itself last.
        report: Its last report; None before the first.
        heard_at: Monotonic time of that report, in seconds.
        known_at: Monotonic time at which anybody last named it, in seconds.
    """

    record: GatewayRecord
    report: GatewayReport | None = None
    heard_at: float = float("-inf")
    known_at: float = float("-inf")

    def is_live(self, now: float) -> bool:
        """Returns whether its reports still come."""
        return now - self.heard_at < LIVE_S


class PeerTable:
    """The other gateways, as one of them sees them; does no I/O."""

    def __init__(self, *, own: GatewayRecord):
        """Starts knowing only itself."""
        self.own = own
        self._peers_by_name: dict[str, Peer] = {}

    def peers(self) -> Iterator[Peer]:
        """Yields all known peers."""
        return iter(self._peers_by_name.values())

    def hear(self, report: GatewayReport, now: float) -> bool:
        """Takes in a report; returns whether its sender was not live before."""
        name = report.record.name
        if name == self.own.name:
            return False
        peer = self._learn(report.record, now)
        if report.record.incarnation < peer.record.incarnation:
            return False
        fresh = not peer.is_live(now)
        peer.report = report
        peer.heard_at = now
        for record in report.known:
            self.learn(record, now)
        return fresh

    def learn(self, record: GatewayRecord, now: float) -> None:
        """Takes in that somebody knows a gateway."""
        if record.name != self.own.name:
            self._learn(record, now)

    def _learn(self, record: GatewayRecord, now: float) -> Peer:
        peer = self._peers_by_name.get(record.name)
        if peer is None:
            peer = Peer(record=record)
            self._peers_by_name[record.name] = peer
        elif record.incarnation > peer.record.incarnation:
            peer.record = record
            peer.heard_at = float("-inf")
        peer.known_at = now
        return peer

    def forget(self, now: float) -> list[str]:
        """Drops peers of which nobody has heard for long; returns their names.

        What a peer passes on does not count as hearing of a gateway.
        """
        dropped = []
        for name, peer in list(self._peers_by_name.items()):
            silent = now - max(peer.heard_at, peer.known_at - MEMORY_S / 2)
            if silent > MEMORY_S:
                del self._peers_by_name[name]
                dropped.append(name)
        return dropped

    def live(self, now: float) -> list[Peer]:
        """Returns the peers whose reports come."""
        return [p for p in self._peers_by_name.values() if p.is_live(now)]

    def live_names(self, now: float) -> list[str]:
        """Returns the names of all live gateways, this one too, sorted."""
        names = [peer.record.name for peer in self.live(now)]
        return sorted([self.own.name, *names])

    def addresses(self, seeds: Iterable[str], now: float) -> list[str]:
        """Returns where to send reports, each address once."""
        found = {
            peer.record.peer_address for peer in self._peers_by_name.values()
        }
        found.update(seeds)
        found.discard(self.own.peer_address)
        return sorted(found)

    def records(self, now: float) -> list[GatewayRecord]:
        """Returns the gateways that are live, to pass on."""
        return [peer.record for peer in self.live(now)]


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
    records = [
        peer.record
        for peer in table.live(now)
        if peer.report is not None and peer.report.ready
    ]
    if ready:
        records.append(table.own)
    near = [r for r in records if r.data_centre == data_centre]
    same_region = [r for r in records if r.region == region]
    chosen = near or same_region or records
    return sorted(record.caller_address for record in chosen)


def watchers(
    table: PeerTable, *, own_feed: Feed, count: int, now: float
) -> list[str]:
    """Returns which gateways watch the store; the others copy from them.

    They are spread over regions first, so that a region that is cut off from
    the others still has one. A gateway that lost the store passes its turn on.

    Args:
        table: The known gateways.
        own_feed: Where this gateway's own copy comes from.
        count: How many watch.
        now: Monotonic seconds.
    """
    able = []
    if own_feed is not Feed.LOST:
        able.append(table.own)
    for peer in table.live(now):
        if peer.report is not None and peer.report.feed is not Feed.LOST:
            able.append(peer.record)
    chosen = rank((record.name for record in able), subject="watch")
    region_by_name = {record.name: record.region for record in able}
    taken: dict[str, int] = {}

    def turn(name: str) -> int:
        region = region_by_name[name]
        taken[region] = taken.get(region, 0) + 1
        return taken[region]

    turns = [(turn(name), index, name) for index, name in enumerate(chosen)]
    return [name for _, _, name in sorted(turns)[:count]]
