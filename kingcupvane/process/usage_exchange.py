"""Which counts of usage a report to a peer carries, and what it brings.

A gateway tells its own counts to the hubs of its data centre and to the holder
of the duty if it is there. A hub tells the sum of its data centre to the data
centre of the holder and to the standby, the one whose hub is the first to
contend if the holder is lost. The hub there passes sums on to the holder.
"""

from collections.abc import Collection
from dataclasses import dataclass

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import GatewayReport, UsageReport
from kingcupvane.process.item import ABSENT_REVISION
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.true_time import TrueTime
from kingcupvane.process.usage_duty import (
    HOLDER_KEY,
    RECORD_KEY,
    DutyRecord,
    HolderRecord,
    decode_holder,
    decode_record,
)
from kingcupvane.process.usage_ledger import UsageLedger
from kingcupvane.request.load_balancing import rendezvous_rank

# Hub candidates of a data centre that collect its counts: one may be killed.
COLLECTORS_MAX = 2
# Shortest interval between two messages with counts to one peer within the data
# centre, and to another data centre, in seconds.
LOCAL_INTERVAL_S = 0.5
REMOTE_INTERVAL_S = 0.9
# Time for which the receivers are not determined anew, in seconds.
RECEIVERS_REUSE_S = 0.3
# Delay before a gateway tries to win the duty, in seconds, for each data centre
# and each gateway of its own that come before it in the order of contenders;
# long enough to hear that another one has won.
DELAY_PER_DATA_CENTRE_S = 0.5
DELAY_PER_GATEWAY_S = 1.0
CONTENDERS_RANK_MAX = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class _Receivers:
    """Peer addresses of the gateways that get counts.

    Attributes:
        made_at: Monotonic time at which they were determined, in seconds.
        collectors: Gateways of this data centre that collect its counts.
        holder: The holder, if it is in this data centre; else empty.
        remote: Gateways of the holder's data centre and of the standby, other
            than this data centre.
    """

    made_at: float
    collectors: Collection[str]
    holder: str
    remote: Collection[str]


class UsageExchange:
    """Makes and applies the part of reports that is about usage."""

    def __init__(
        self,
        *,
        ledger: UsageLedger,
        true_time: TrueTime,
        peers: PeerTable,
        mirror: Mirror,
        clock: Clock,
    ):
        """Makes an exchange.

        Args:
            ledger: The known counts.
            true_time: Learns from the time that peers tell.
            peers: The known gateways.
            mirror: The mirror of the store, which names the holder.
            clock: Monotonic clock.
        """
        self._ledger = ledger
        self._true_time = true_time
        self._peers = peers
        self._mirror = mirror
        self._clock = clock
        self._receivers: _Receivers | None = None
        self._told_at_by_address: dict[str, float] = {}
        self._record_revision = ABSENT_REVISION

    def holder(self) -> HolderRecord | None:
        """Returns the holder that the mirror names; None for none."""
        item = self._mirror.get(HOLDER_KEY)
        if item is None:
            return None
        return decode_holder(item.value).unwrap_or(None)

    def contention_delay_s(self) -> float:
        """Returns how long to leave a free duty to others, in seconds."""
        now = self._clock.now()
        own = self._peers.own
        order = self._data_centre_order(now)
        candidates = self._peers.hub_candidates(now)
        data_centre_rank = min(
            CONTENDERS_RANK_MAX, order.index(own.data_centre)
        )
        rank = min(CONTENDERS_RANK_MAX, candidates.index(own.name))
        return (
            DELAY_PER_DATA_CENTRE_S * data_centre_rank
            + DELAY_PER_GATEWAY_S * rank
        )

    def _data_centre_order(self, now: float) -> list[str]:
        """Returns the live data centres in the order of contenders."""
        names = {self._peers.own.data_centre} | {
            received.summary.data_centre
            for received in self._peers.summaries(now)
        }
        return rendezvous_rank(sorted(names), hash_key="usage")

    def update(self) -> None:
        """Updates the time, and drops the counts of recorded windows."""
        self._true_time.update()
        item = self._mirror.get(RECORD_KEY)
        if item is not None and item.revision != self._record_revision:
            self._record_revision = item.revision
            record = decode_record(item.value).unwrap_or(DutyRecord())
            self._ledger.close_before(record.next_window)
        now = self._clock.now()
        for address, told_at in list(self._told_at_by_address.items()):
            if now - told_at > REMOTE_INTERVAL_S:
                del self._told_at_by_address[address]

    def report_to(self, address: str, *, local: bool) -> UsageReport:
        """Returns what to tell a peer.

        Args:
            address: Its peer address.
            local: Whether it is in this data centre.
        """
        time_s = self._true_time.own()
        now = self._clock.now()
        receivers = self._current_receivers(now)
        told_at = self._told_at_by_address.get(address, float("-inf"))
        interval_s = LOCAL_INTERVAL_S if local else REMOTE_INTERVAL_S
        if now - told_at < interval_s:
            return UsageReport(time_s)
        gateways, data_centres = [], []
        if local and address in receivers.collectors:
            gateways = self._ledger.own_rows()
        if local and address == receivers.holder:
            data_centres = self._ledger.other_data_centre_rows()
        if not local and address in receivers.remote:
            data_centres = self._ledger.data_centre_rows()
        if gateways or data_centres:
            self._told_at_by_address[address] = now
        return UsageReport(time_s, gateways, data_centres)

    def receive(self, report: GatewayReport) -> None:
        """Applies what a peer's report tells of usage."""
        usage = report.usage
        if not isinstance(usage, UsageReport):
            return
        sender = report.record
        self._true_time.receive(sender.name, sender.incarnation, usage.time_s)
        if sender.data_centre == self._peers.own.data_centre:
            self._ledger.merge_gateways(usage.gateways)
        self._ledger.merge_data_centres(usage.data_centres)

    def _current_receivers(self, now: float) -> _Receivers:
        known = self._receivers
        if known is None or now - known.made_at > RECEIVERS_REUSE_S:
            known = self._find_receivers(now)
            self._receivers = known
        return known

    def _find_receivers(self, now: float) -> _Receivers:
        holder = self.holder()
        names = set(self._peers.hub_candidates(now)[:COLLECTORS_MAX])
        local = {
            peer.record.name: peer.record.peer_address
            for peer in self._peers.local_peers(now)
        }
        holder_address = ""
        remote: set[str] = set()
        if holder is not None:
            names.add(holder.name)
            holder_address = local.get(holder.name, "")
            standby = next(
                name
                for name in [*self._data_centre_order(now), ""]
                if name != holder.data_centre
            )
            remote = self._addresses_in((holder.data_centre, standby), now)
        return _Receivers(
            made_at=now,
            collectors={local[name] for name in names if name in local},
            holder=holder_address,
            remote=remote,
        )

    def _addresses_in(
        self, data_centres: Collection[str], now: float
    ) -> set[str]:
        """Returns the peer addresses in other data centres."""
        return {
            status.peer_address
            for received in self._peers.summaries(now)
            if received.summary.data_centre in data_centres
            for status in received.summary.members
        }
