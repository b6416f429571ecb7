"""Division of an account's rate and burst among gateways, without a leader.

Load pattern: an account's callers sit at some gateways and move. Each gateway
tells its peers how much each account asks of it, and takes the part of rate
and burst that is its part of the demand. A peer that falls silent keeps its
part for a while, so two sides of a network partition do not both take the
whole.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from kingcupvane.request.bucket import Bucket
from kingcupvane.version.plan import AccountPlan

# Time constant of the smoothed demand, in seconds.
DEMAND_S = 1.0
# Demand that each gateway has in any case, as a share of the account's rate.
FLOOR_SHARE = 0.02
# Time for which a silent peer keeps its part, in seconds.
PEER_MEMORY_S = 20.0
# Part of rate and burst that is handed out; the rest covers demand that moves
# faster than peers hear of it.
HANDED_OUT = 0.98


class DemandMeter:
    """Smoothed requests a second of one account at one gateway."""

    def __init__(self, *, now: float):
        """Starts without demand."""
        self._rate = 0.0
        self._at = now

    def add(self, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self._rate += 1.0 / DEMAND_S

    def rate(self, now: float) -> float:
        """Returns the demand, in requests a second."""
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        age = max(0.0, now - self._at)
        self._rate *= math.exp(-age / DEMAND_S)
        self._at = now


@dataclass(kw_only=True, slots=True)
class _Peer:
    heard_at: float
    demand_by_account: Mapping[str, float] = field(default_factory=dict)


class QuotaDivision:
    """The part of each account's limit that this gateway may use."""

    def __init__(self, *, now: float):
        """Starts knowing no peer and no demand."""
        self._now = now
        self._meters_by_account: dict[str, DemandMeter] = {}
        self._buckets_by_account: dict[str, Bucket] = {}
        self._peers_by_name: dict[str, _Peer] = {}

    def hear(self, peer: str, demand: Mapping[str, float], now: float) -> None:
        """Takes in what a peer's callers ask for."""
        self._peers_by_name[peer] = _Peer(
            heard_at=now, demand_by_account=demand
        )

    def drop(self, peer: str) -> None:
        """Forgets a peer that has left for good."""
        self._peers_by_name.pop(peer, None)

    def demand(self, now: float) -> dict[str, float]:
        """Returns what this gateway's callers ask for, to tell peers."""
        return {
            account: round(meter.rate(now), 2)
            for account, meter in self._meters_by_account.items()
            if meter.rate(now) > 0.01
        }

    def admit(self, account: AccountPlan, now: float) -> bool:
        """Counts a request and returns whether it is within the limit."""
        meter = self._meters_by_account.get(account.name)
        if meter is None:
            meter = DemandMeter(now=now)
            self._meters_by_account[account.name] = meter
        meter.add(now)
        if account.rate <= 0.0:
            return True
        return self._bucket(account, now).take(now)

    def wait_s(self, account: AccountPlan, now: float) -> float:
        """Returns the time until the account may send again, in seconds."""
        if account.rate <= 0.0:
            return 0.0
        return self._bucket(account, now).wait_s(now)

    def refresh(self, accounts: Iterable[AccountPlan], now: float) -> None:
        """Sizes the parts by the demand that is known now."""
        for name, peer in list(self._peers_by_name.items()):
            if now - peer.heard_at > PEER_MEMORY_S:
                del self._peers_by_name[name]
        names = set()
        for account in accounts:
            names.add(account.name)
            if account.rate > 0.0:
                self._resize(self._bucket(account, now), account, now)
        for name in list(self._buckets_by_account):
            if name not in names:
                del self._buckets_by_account[name]

    def share(self, account: AccountPlan, now: float) -> float:
        """Returns this gateway's part of an account's limit, 0 to 1."""
        floor = FLOOR_SHARE * account.rate
        meter = self._meters_by_account.get(account.name)
        own = floor + (meter.rate(now) if meter else 0.0)
        total = own
        for peer in self._peers_by_name.values():
            total += floor + peer.demand_by_account.get(account.name, 0.0)
        return own / total if total > 0.0 else 1.0

    def _bucket(self, account: AccountPlan, now: float) -> Bucket:
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            bucket = Bucket(now=now)
            self._buckets_by_account[account.name] = bucket
            self._resize(bucket, account, now)
        return bucket

    def _resize(self, bucket: Bucket, account: AccountPlan, now: float) -> None:
        share = HANDED_OUT * self.share(account, now)
        bucket.resize(
            rate=share * account.rate,
            size=max(1.0, share * account.burst),
            now=now,
        )
