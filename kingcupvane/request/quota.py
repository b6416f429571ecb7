"""One account's rate and burst over all gateways, without a leader.

Load pattern: an account's callers sit at some gateways and move, and most
accounts send little, so that a fixed part for each gateway would be under one
request. Each gateway therefore keeps a copy of the account's one token
bucket. It takes its own requests off at once and those of its peers as they
report them; between reports, and while a peer is silent, it takes off what the
peer sent lately. A request is admitted from the bucket while that is well
filled. Near its end each gateway keeps to its own part of the rate, by its
part of the demand, so that gateways which do not hear each other in time do
not spend the same tokens.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.version.plan import AccountPlan

# Time constant of the smoothed demand, in seconds.
DEMAND_S = 1.0
# Demand that each gateway has in any case, as a share of the account's rate.
FLOOR_SHARE = 0.02
# Silence after which a peer is taken to use its whole part, in seconds.
PEER_SILENCE_S = 0.7
# Time for which a silent peer is taken to go on, in seconds.
PEER_MEMORY_S = 12.0
# Time after a start in which a gateway may not know all peers, in seconds,
# and the part that it takes meanwhile.
SETTLE_S = 2.0
SETTLE_SHARE = 0.1
# Wait that a refused request of a crowded account is told, in seconds.
CROWDED_S = 1.0
# Part of its rate that a gateway uses while the bucket is in debt, or may be
# by what silent peers took.
DEBT_RATE = 0.8
# Part of the burst below which gateways keep to their own part of the rate.
RESERVE_SHARE = 0.25
# Requests that a gateway may take from a well filled bucket in any case
# between two looks at what peers took.
ALLOWANCE_MIN = 2.0
# Requests below which the reserve does not fall.
RESERVE_MIN = 2.0
# Part of its share that a gateway leaves unused while all peers are silent:
# the two sides of a partition noted their parts at different times.
PARTED_MARGIN = 0.2
# Largest debt of a bucket, in seconds of its rate.
DEBT_S = 2.0


class AccountUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells of one account.

    Attributes:
        demand: Requests a second that its callers send.
        admitted: Requests admitted since its start.
    """

    demand: float
    admitted: int


class DemandEstimator:
    """Smoothed requests a second."""

    def __init__(self, *, now: float, constant_s: float = DEMAND_S):
        """Starts without demand.

        Args:
            now: Monotonic seconds.
            constant_s: Time constant of the smoothing, in seconds.
        """
        self._constant_s = constant_s
        self._rate = 0.0
        self._at = now

    def add(self, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self._rate += 1.0 / self._constant_s

    def rate(self, now: float) -> float:
        """Returns the demand, in requests a second."""
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        age = max(0.0, now - self._at)
        self._rate *= math.exp(-age / self._constant_s)
        self._at = now


@dataclass(kw_only=True, slots=True)
class _Peer:
    received_at: float
    source: str
    incarnation: int
    silence_timeout_s: float
    usage_by_account: Mapping[str, AccountUsage] = field(default_factory=dict)
    part_by_account: dict[str, float] = field(default_factory=dict)
    is_noted: bool = False

    def is_silent(self, now: float) -> bool:
        """Returns whether its reports have stopped."""
        return now - self.received_at > self.silence_timeout_s

    def demand(self, plan: AccountPlan) -> float:
        """Returns its demand with the floor, in requests a second."""
        told = self.usage_by_account.get(plan.name)
        floor = FLOOR_SHARE * plan.rate
        return floor + (told.demand if told is not None else 0.0)


@dataclass(kw_only=True, slots=True)
class _PeerUse:
    """What is assumed of a peer since its last report.

    Attributes:
        rate: Requests a second that it is taken to admit.
        assumed: Requests taken off since the last report.
    """

    rate: float = 0.0
    assumed: float = 0.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """This gateway's copy of an account's bucket."""

    meter: DemandEstimator
    own: TokenBucket
    tokens: float
    at: float
    allowance: float = 0.0
    reserve: float = 0.0
    admitted: int = 0
    uses_by_peer: dict[str, _PeerUse] = field(default_factory=dict)


class DistributedQuota:
    """Admits requests of client accounts within their limits."""

    def __init__(self, *, now: float, is_initial_deployment: bool = False):
        """Starts knowing no peer and no demand.

        Args:
            now: Monotonic seconds.
            is_initial_deployment: All gateways start for the first time, so
                nothing was spent yet.
        """
        self._fresh_share = 1.0 if is_initial_deployment else 0.0
        settle_s = 0.0 if is_initial_deployment else SETTLE_S
        self._settled_at = now + settle_s
        self._accounts_by_name: dict[str, _Account] = {}
        self._peers_by_name: dict[str, _Peer] = {}

    def update_peer(
        self,
        peer: str,
        use: Mapping[str, AccountUsage],
        *,
        source: str,
        incarnation: int,
        now: float,
        silence_timeout_s: float = PEER_SILENCE_S,
    ) -> None:
        """Takes in what a peer's callers ask for and what it admitted.

        Args:
            peer: A gateway, or a whole data centre. One that has never had
                callers takes no part.
            use: What it tells.
            source: Gateway that has counted; counters of two of them cannot
                be compared.
            incarnation: Start of that gateway, at which its counters began.
            now: Monotonic seconds.
            silence_timeout_s: Silence after which the peer is taken to use its
                whole part, in seconds.
        """
        before = self._peers_by_name.get(peer)
        if before is None and not use:
            return
        if before is not None and before.source != source:
            self._change_source(
                peer, use, source=source, incarnation=incarnation, now=now
            )
            return
        self._peers_by_name[peer] = _Peer(
            received_at=now,
            source=source,
            incarnation=incarnation,
            silence_timeout_s=silence_timeout_s,
            usage_by_account=use,
            part_by_account=before.part_by_account if before else {},
        )
        same = before is not None and before.incarnation == incarnation
        for name, account in self._accounts_by_name.items():
            told = use.get(name)
            if told is None:
                account.uses_by_peer.pop(peer, None)
                continue
            last = before.usage_by_account.get(name) if same else None
            since_s = max(0.1, now - before.received_at) if same else 0.0
            base = last.admitted if last is not None else 0
            if before is None:
                base = told.admitted
            self._settle(account, peer, max(0, told.admitted - base), since_s)

    def _change_source(
        self,
        name: str,
        use: Mapping[str, AccountUsage],
        *,
        source: str,
        incarnation: int,
        now: float,
    ) -> None:
        """Goes on with another gateway's counters.

        What was assumed of the peer meanwhile stands, since no figure replaces
        it.
        """
        peer = self._peers_by_name[name]
        peer.received_at = now
        peer.source = source
        peer.incarnation = incarnation
        peer.usage_by_account = use
        peer.is_noted = False
        for account in self._accounts_by_name.values():
            known = account.uses_by_peer.get(name)
            if known is not None:
                known.assumed = 0.0

    def _settle(
        self,
        account: _Account,
        peer: str,
        admitted: int,
        since_s: float,
    ) -> None:
        """Replaces what was assumed of a peer by what it did."""
        use = account.uses_by_peer.setdefault(peer, _PeerUse())
        account.tokens -= admitted - use.assumed
        use.assumed = 0.0
        if since_s > 0.0:
            use.rate = admitted / since_s

    def drop(self, peer: str) -> None:
        """Forgets a peer that has left for good."""
        self._peers_by_name.pop(peer, None)
        for account in self._accounts_by_name.values():
            account.uses_by_peer.pop(peer, None)

    def use(self, now: float) -> dict[str, AccountUsage]:
        """Returns what this gateway tells its peers."""
        return {
            name: AccountUsage(
                round(account.meter.rate(now), 2), account.admitted
            )
            for name, account in self._accounts_by_name.items()
            if account.admitted or account.meter.rate(now) > 0.01
        }

    def admit(self, plan: AccountPlan, now: float) -> bool:
        """Counts a request and returns whether it is within the limit."""
        account = self._account(plan, now)
        account.meter.add(now)
        if plan.rate <= 0.0:
            return True
        self._advance(account, plan, now)
        shared = account.tokens >= account.reserve and account.allowance >= 1.0
        if shared and now >= self._settled_at:
            account.allowance -= 1.0
        elif not account.own.try_acquire(now):
            return False
        account.tokens -= 1.0
        account.admitted += 1
        return True

    def wait_s(self, plan: AccountPlan, now: float) -> float:
        """Returns the time until the account may send again, in seconds.

        While an account asks for more than its rate, whoever returns soon
        finds others before it.
        """
        if plan.rate <= 0.0:
            return 0.0
        account = self._account(plan, now)
        if self._heard_demand(plan, now) > plan.rate:
            return CROWDED_S
        return account.own.wait_s(now)

    def left(self) -> dict[str, float]:
        """Returns the requests left in each account's bucket."""
        return {
            name: account.tokens
            for name, account in self._accounts_by_name.items()
        }

    def explain(self, plan: AccountPlan, now: float) -> str:
        """Returns the figures that decide about an account now."""
        account = self._account(plan, now)
        return (
            f"account {plan.name} rate {plan.rate:g} burst {plan.burst:g}"
            f" left {account.tokens:.1f} own share"
            f" {self.share(plan, now):.3f}"
            f" demand {account.meter.rate(now):.1f}"
            f" peers {len(account.uses_by_peer)}"
        )

    def refresh(self, plans: Iterable[AccountPlan], now: float) -> None:
        """Sizes the parts by the demand that is known now."""
        for name, peer in list(self._peers_by_name.items()):
            if now - peer.received_at > PEER_MEMORY_S:
                self.drop(name)
        names = set()
        for plan in plans:
            names.add(plan.name)
            if plan.rate > 0.0:
                self._resize(self._account(plan, now), plan, now)
        for peer in self._peers_by_name.values():
            peer.is_noted = True
        for name in list(self._accounts_by_name):
            if name not in names:
                del self._accounts_by_name[name]

    def share(self, plan: AccountPlan, now: float) -> float:
        """Returns this gateway's part of an account's limit, 0 to 1.

        The part of a peer is that of its last report: demand that grows here
        takes from a peer only once news of it have come, since it may have
        grown there too.
        """
        own = self._own_demand(plan, now)
        kept = 0.0
        asked = own
        for peer in self._peers_by_name.values():
            if peer.is_noted:
                kept += peer.part_by_account.get(plan.name, 0.0)
            else:
                asked += peer.demand(plan)
        share = max(0.0, 1.0 - kept) * own / asked
        share *= 1.0 - PARTED_MARGIN * self._silent_part(plan, now)
        if now < self._settled_at:
            return min(SETTLE_SHARE, share)
        return share

    def _own_demand(self, plan: AccountPlan, now: float) -> float:
        floor = max(0.01, FLOOR_SHARE * plan.rate)
        account = self._accounts_by_name.get(plan.name)
        return floor + (account.meter.rate(now) if account else 0.0)

    def _heard_demand(self, plan: AccountPlan, now: float) -> float:
        """Returns the demand at all gateways that report."""
        total = self._own_demand(plan, now)
        for peer in self._peers_by_name.values():
            if not peer.is_silent(now):
                total += peer.demand(plan)
        return total

    def _silent_part(self, plan: AccountPlan, now: float) -> float:
        """Returns the part that silent peers had when last heard."""
        parts = [
            peer.part_by_account.get(plan.name, 0.0)
            for peer in self._peers_by_name.values()
            if peer.is_silent(now)
        ]
        return min(1.0, sum(parts))

    def _account(self, plan: AccountPlan, now: float) -> _Account:
        account = self._accounts_by_name.get(plan.name)
        if account is None:
            account = _Account(
                meter=DemandEstimator(now=now),
                own=TokenBucket(now=now),
                tokens=self._fresh_share * plan.burst,
                at=now,
            )
            self._accounts_by_name[plan.name] = account
            self._resize(account, plan, now)
        return account

    def _advance(
        self, account: _Account, plan: AccountPlan, now: float
    ) -> None:
        """Refills the bucket and takes off what peers are taken to send."""
        elapsed = max(0.0, now - account.at)
        account.at = now
        account.tokens += elapsed * plan.rate
        for use in account.uses_by_peer.values():
            account.tokens -= elapsed * use.rate
            use.assumed += elapsed * use.rate
        most = plan.burst if now >= self._settled_at else 0.0
        account.tokens = min(most, account.tokens)
        account.tokens = max(-DEBT_S * plan.rate, account.tokens)

    def _resize(self, account: _Account, plan: AccountPlan, now: float) -> None:
        self._advance(account, plan, now)
        self._note_parts(account, plan, now)
        share = self.share(plan, now)
        reserve = max(RESERVE_MIN, RESERVE_SHARE * plan.burst)
        hidden = self._silent_part(plan, now) * plan.burst
        account.reserve = reserve + hidden
        spare = account.tokens - account.reserve
        account.allowance = max(ALLOWANCE_MIN, share * spare)
        pace = 1.0 if account.tokens >= hidden else DEBT_RATE
        account.own.resize(
            rate=pace * share * plan.rate,
            burst=max(1.0, share * RESERVE_SHARE * plan.burst),
            now=now,
        )

    def _note_parts(
        self, account: _Account, plan: AccountPlan, now: float
    ) -> None:
        """Keeps the parts of peers; a silent one is taken to use its part.

        The part is that of the time of the peer's report: later our own
        demand may have grown while the peer's is no longer heard.
        """
        total = self._heard_demand(plan, now)
        rest = 1.0 - self._silent_part(plan, now)
        for name, peer in self._peers_by_name.items():
            if not peer.is_noted:
                part = rest * peer.demand(plan) / total
                peer.part_by_account[plan.name] = part
            if not peer.is_silent(now):
                continue
            use = account.uses_by_peer.setdefault(name, _PeerUse())
            part = peer.part_by_account.get(plan.name, 0.0)
            use.rate = part * plan.rate
