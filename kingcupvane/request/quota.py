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
DEMAND_TIME_CONSTANT_S = 1.0
# Demand that each gateway has in any case, as a share of the account's rate.
DEMAND_FLOOR_SHARE = 0.02
# Silence after which a peer is taken to use its whole part, in seconds.
PEER_SILENCE_S = 0.7
# Time for which a silent peer is taken to go on, in seconds.
PEER_EXPIRY_S = 12.0
# Time after a start in which a gateway may not know all peers, in seconds,
# and the part that it takes meanwhile.
STARTUP_S = 2.0
STARTUP_SHARE_MAX = 0.1
# Wait that a refused request of a crowded account is told, in seconds.
OVERLOADED_RETRY_S = 1.0
# Part of its rate that a gateway uses while the bucket is in debt, or may be
# by what silent peers took.
DEBT_RATE_FACTOR = 0.8
# Part of the burst below which gateways keep to their own part of the rate.
RESERVE_SHARE = 0.25
# Requests that a gateway may take from a well filled bucket in any case
# between two looks at what peers took.
ALLOWANCE_MIN = 2.0
# Requests below which the reserve does not fall.
RESERVE_MIN = 2.0
# Part of its share that a gateway leaves unused while all peers are silent:
# the two sides of a partition noted their parts at different times.
PARTITION_MARGIN_SHARE = 0.2
# Largest debt of a bucket, in seconds of its rate.
DEBT_MAX_S = 2.0


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

    def __init__(
        self, *, now: float, constant_s: float = DEMAND_TIME_CONSTANT_S
    ):
        """Starts without demand.

        Args:
            now: Monotonic seconds.
            constant_s: Time constant of the smoothing, in seconds.
        """
        self._time_constant_s = constant_s
        self._rate = 0.0
        self._updated_at = now

    def add(self, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self._rate += 1.0 / self._time_constant_s

    def rate(self, now: float) -> float:
        """Returns the demand, in requests a second."""
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        age = max(0.0, now - self._updated_at)
        self._rate *= math.exp(-age / self._time_constant_s)
        self._updated_at = now


@dataclass(kw_only=True, slots=True)
class _Peer:
    received_at: float
    source: str
    incarnation: int
    silence_timeout_s: float
    usage_by_account: Mapping[str, AccountUsage] = field(default_factory=dict)
    share_by_account: dict[str, float] = field(default_factory=dict)
    is_share_fixed: bool = False

    def is_silent(self, now: float) -> bool:
        """Returns whether its reports have stopped."""
        return now - self.received_at > self.silence_timeout_s

    def demand(self, plan: AccountPlan) -> float:
        """Returns its demand with the floor, in requests a second."""
        usage = self.usage_by_account.get(plan.name)
        floor = DEMAND_FLOOR_SHARE * plan.rate
        return floor + (usage.demand if usage is not None else 0.0)


@dataclass(kw_only=True, slots=True)
class _PeerEstimate:
    """What is assumed of a peer since its last report.

    Attributes:
        rate: Requests a second that it is taken to admit.
        assumed: Requests taken off since the last report.
    """

    admitted_rate: float = 0.0
    assumed_admitted: float = 0.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """This gateway's copy of an account's bucket."""

    demand: DemandEstimator
    local_bucket: TokenBucket
    tokens: float
    updated_at: float
    allowance: float = 0.0
    reserve: float = 0.0
    admitted: int = 0
    estimates_by_peer: dict[str, _PeerEstimate] = field(default_factory=dict)


class DistributedQuota:
    """Admits requests of client accounts within their limits."""

    def __init__(self, *, now: float, is_initial_deployment: bool = False):
        """Starts knowing no peer and no demand.

        Args:
            now: Monotonic seconds.
            is_initial_deployment: All gateways start for the first time, so
                nothing was spent yet.
        """
        self._initial_fill_share = 1.0 if is_initial_deployment else 0.0
        startup_s = 0.0 if is_initial_deployment else STARTUP_S
        self._startup_ends_at = now + startup_s
        self._accounts_by_name: dict[str, _Account] = {}
        self._peers_by_name: dict[str, _Peer] = {}

    def update_peer(
        self,
        peer: str,
        usage_by_account: Mapping[str, AccountUsage],
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
            usage_by_account: What it reports.
            source: Gateway that has counted; counters of two of them cannot
                be compared.
            incarnation: Start of that gateway, at which its counters began.
            now: Monotonic seconds.
            silence_timeout_s: Silence after which the peer is taken to use its
                whole part, in seconds.
        """
        before = self._peers_by_name.get(peer)
        if before is None and not usage_by_account:
            return
        if before is not None and before.source != source:
            self._change_source(
                peer,
                usage_by_account,
                source=source,
                incarnation=incarnation,
                now=now,
            )
            return
        self._peers_by_name[peer] = _Peer(
            received_at=now,
            source=source,
            incarnation=incarnation,
            silence_timeout_s=silence_timeout_s,
            usage_by_account=usage_by_account,
            share_by_account=before.share_by_account if before else {},
        )
        is_same_start = before is not None and before.incarnation == incarnation
        for name, account in self._accounts_by_name.items():
            usage = usage_by_account.get(name)
            if usage is None:
                account.estimates_by_peer.pop(peer, None)
                continue
            previous = (
                before.usage_by_account.get(name) if is_same_start else None
            )
            since_s = (
                max(0.1, now - before.received_at) if is_same_start else 0.0
            )
            counted = previous.admitted if previous is not None else 0
            if before is None:
                counted = usage.admitted
            self._reconcile(
                account, peer, max(0, usage.admitted - counted), since_s
            )

    def _change_source(
        self,
        name: str,
        usage_by_account: Mapping[str, AccountUsage],
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
        peer.usage_by_account = usage_by_account
        peer.is_share_fixed = False
        for account in self._accounts_by_name.values():
            estimate = account.estimates_by_peer.get(name)
            if estimate is not None:
                estimate.assumed_admitted = 0.0

    def _reconcile(
        self,
        account: _Account,
        peer: str,
        admitted: int,
        since_s: float,
    ) -> None:
        """Replaces what was assumed of a peer by what it did."""
        estimate = account.estimates_by_peer.setdefault(peer, _PeerEstimate())
        account.tokens -= admitted - estimate.assumed_admitted
        estimate.assumed_admitted = 0.0
        if since_s > 0.0:
            estimate.admitted_rate = admitted / since_s

    def drop(self, peer: str) -> None:
        """Forgets a peer that has left for good."""
        self._peers_by_name.pop(peer, None)
        for account in self._accounts_by_name.values():
            account.estimates_by_peer.pop(peer, None)

    def use(self, now: float) -> dict[str, AccountUsage]:
        """Returns what this gateway tells its peers."""
        return {
            name: AccountUsage(
                round(account.demand.rate(now), 2), account.admitted
            )
            for name, account in self._accounts_by_name.items()
            if account.admitted or account.demand.rate(now) > 0.01
        }

    def admit(self, plan: AccountPlan, now: float) -> bool:
        """Counts a request and returns whether it is within the limit."""
        account = self._account(plan, now)
        account.demand.add(now)
        if plan.rate <= 0.0:
            return True
        self._advance(account, plan, now)
        within_allowance = (
            account.tokens >= account.reserve and account.allowance >= 1.0
        )
        if within_allowance and now >= self._startup_ends_at:
            account.allowance -= 1.0
        elif not account.local_bucket.try_acquire(now):
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
        if self._reported_demand(plan, now) > plan.rate:
            return OVERLOADED_RETRY_S
        return account.local_bucket.wait_s(now)

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
            f" demand {account.demand.rate(now):.1f}"
            f" peers {len(account.estimates_by_peer)}"
        )

    def refresh(self, plans: Iterable[AccountPlan], now: float) -> None:
        """Sizes the parts by the demand that is known now."""
        for name, peer in list(self._peers_by_name.items()):
            if now - peer.received_at > PEER_EXPIRY_S:
                self.drop(name)
        names = set()
        for plan in plans:
            names.add(plan.name)
            if plan.rate > 0.0:
                self._resize_bucket(self._account(plan, now), plan, now)
        for peer in self._peers_by_name.values():
            peer.is_share_fixed = True
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
        fixed_share = 0.0
        demand = own
        for peer in self._peers_by_name.values():
            if peer.is_share_fixed:
                fixed_share += peer.share_by_account.get(plan.name, 0.0)
            else:
                demand += peer.demand(plan)
        share = max(0.0, 1.0 - fixed_share) * own / demand
        share *= 1.0 - PARTITION_MARGIN_SHARE * self._silent_share(plan, now)
        if now < self._startup_ends_at:
            return min(STARTUP_SHARE_MAX, share)
        return share

    def _own_demand(self, plan: AccountPlan, now: float) -> float:
        floor = max(0.01, DEMAND_FLOOR_SHARE * plan.rate)
        account = self._accounts_by_name.get(plan.name)
        return floor + (account.demand.rate(now) if account else 0.0)

    def _reported_demand(self, plan: AccountPlan, now: float) -> float:
        """Returns the demand at all gateways that report."""
        demand = self._own_demand(plan, now)
        for peer in self._peers_by_name.values():
            if not peer.is_silent(now):
                demand += peer.demand(plan)
        return demand

    def _silent_share(self, plan: AccountPlan, now: float) -> float:
        """Returns the part that silent peers had when last heard."""
        shares = [
            peer.share_by_account.get(plan.name, 0.0)
            for peer in self._peers_by_name.values()
            if peer.is_silent(now)
        ]
        return min(1.0, sum(shares))

    def _account(self, plan: AccountPlan, now: float) -> _Account:
        account = self._accounts_by_name.get(plan.name)
        if account is None:
            account = _Account(
                demand=DemandEstimator(now=now),
                local_bucket=TokenBucket(now=now),
                tokens=self._initial_fill_share * plan.burst,
                updated_at=now,
            )
            self._accounts_by_name[plan.name] = account
            self._resize_bucket(account, plan, now)
        return account

    def _advance(
        self, account: _Account, plan: AccountPlan, now: float
    ) -> None:
        """Refills the bucket and takes off what peers are taken to send."""
        elapsed = max(0.0, now - account.updated_at)
        account.updated_at = now
        account.tokens += elapsed * plan.rate
        for estimate in account.estimates_by_peer.values():
            account.tokens -= elapsed * estimate.admitted_rate
            estimate.assumed_admitted += elapsed * estimate.admitted_rate
        tokens_max = plan.burst if now >= self._startup_ends_at else 0.0
        account.tokens = min(tokens_max, account.tokens)
        account.tokens = max(-DEBT_MAX_S * plan.rate, account.tokens)

    def _resize_bucket(
        self, account: _Account, plan: AccountPlan, now: float
    ) -> None:
        self._advance(account, plan, now)
        self._update_peer_shares(account, plan, now)
        share = self.share(plan, now)
        reserve = max(RESERVE_MIN, RESERVE_SHARE * plan.burst)
        silent_burst = self._silent_share(plan, now) * plan.burst
        account.reserve = reserve + silent_burst
        surplus = account.tokens - account.reserve
        account.allowance = max(ALLOWANCE_MIN, share * surplus)
        rate_factor = (
            1.0 if account.tokens >= silent_burst else DEBT_RATE_FACTOR
        )
        account.local_bucket.resize(
            rate=rate_factor * share * plan.rate,
            burst=max(1.0, share * RESERVE_SHARE * plan.burst),
            now=now,
        )

    def _update_peer_shares(
        self, account: _Account, plan: AccountPlan, now: float
    ) -> None:
        """Keeps the parts of peers; a silent one is taken to use its part.

        The part is that of the time of the peer's report: later our own
        demand may have grown while the peer's is no longer heard.
        """
        demand = self._reported_demand(plan, now)
        reporting_share = 1.0 - self._silent_share(plan, now)
        for name, peer in self._peers_by_name.items():
            if not peer.is_share_fixed:
                share = reporting_share * peer.demand(plan) / demand
                peer.share_by_account[plan.name] = share
            if not peer.is_silent(now):
                continue
            estimate = account.estimates_by_peer.setdefault(
                name, _PeerEstimate()
            )
            share = peer.share_by_account.get(plan.name, 0.0)
            estimate.admitted_rate = share * plan.rate
