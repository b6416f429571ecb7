"""Rate limits across all gateways, without a leader.

The limits are those of client accounts and those that targets name; what is
said of accounts here holds for targets, too.

Load pattern: an account's callers use some of the gateways and move between
them, and most accounts send little, so that a fixed share per gateway would be
below one request. Each gateway therefore keeps a copy of the account's
single token bucket. It takes tokens for its own requests at once and for those
of its peers as they report them. Between reports it takes tokens at the rate
that a peer last had, and while a peer is silent, at that peer's whole share of
the rate. While the copy holds more than a reserve, requests are admitted from
it; if the demand exceeds the rate, only a share of them, since hundreds of
gateways would else take the same tokens before they hear of each other. Below
the reserve, each gateway keeps to its own share of the rate, in proportion to
demand, so that gateways whose reports are delayed do not spend the same tokens.

Most accounts have no callers at a given gateway. Their copies are brought up to
date only by reports of their use elsewhere, while a peer is silent, and when a
request arrives, so that the cost of a gateway follows the accounts that it
serves and not all accounts of the fleet.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from kingcupvane.hashing import stable_hash
from kingcupvane.process.process_history import ProcessHistory
from kingcupvane.request.quota_peer import (
    Peer,
    PeerDemands,
    PeerEstimate,
)
from kingcupvane.request.rate_limit import (
    AccountUsage,
    DemandEstimator,
    RateLimit,
)
from kingcupvane.request.token_bucket import TokenBucket

# Demand that every gateway is assumed to have at least, as a share of the
# account's rate: for each, and for all of them together.
DEMAND_FLOOR_SHARE = 0.02
DEMAND_FLOOR_TOTAL_SHARE = 0.2
# Demand below which an account counts as idle at a gateway, in requests per
# second.
ACTIVE_DEMAND_MIN = 0.01
# Silence after which a peer is assumed to use its whole share, in seconds.
PEER_SILENCE_S = 0.7
# Silence after which a peer is dropped, in seconds.
PEER_EXPIRY_S = 12.0
# Time after a gateway's start in which it may not know all peers, in seconds,
# and the largest share that it uses meanwhile. Neither applies to an initial
# deployment.
STARTUP_S = 2.0
STARTUP_SHARE_MAX = 0.1
# Demand from which a limit counts as exceeded, relative to its rate; the
# estimate of a demand within the rate varies by less.
EXCEEDED_RATIO = 1.25
# Requests that a gateway may take from a bucket above its reserve between two
# updates of the shares, however small its share is, unless the limit is
# exceeded.
ALLOWANCE_MIN = 2.0
# Time over which the tokens above the reserve are spent while the limit is
# exceeded, in seconds.
SURPLUS_S = 1.0
HASH_RANGE = 2.0**64
# Retry-After for an account whose demand exceeds its rate, in seconds.
OVERLOADED_RETRY_S = 1.0
# Factor on a gateway's rate while the bucket is in debt, or would be if silent
# peers had spent their shares of the burst.
DEBT_RATE_FACTOR = 0.8
# Share of the burst below which gateways keep to their own share of the rate.
RESERVE_SHARE = 0.25
# Lower bound of the reserve, in requests.
RESERVE_MIN = 2.0
# Fraction of its share that a gateway leaves unused when all peers are silent,
# less in proportion when some are: the two sides of a partition fixed their
# shares at different times, so that these may add up to more than 1.
PARTITION_MARGIN_SHARE = 0.2
# Most tokens that all gateways together may save up in their local buckets
# while an account is idle there: one at each of hundreds of gateways would be a
# multiple of a small account's burst.
SAVED_TOKENS_MAX = 12.0
# Largest debt of a bucket, as seconds of the account's rate.
DEBT_MAX_S = 2.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """This gateway's copy of an account's token bucket.

    Attributes:
        plan: Its limits.
        demand: Demand of this gateway's callers.
        local_bucket: This gateway's own share of the limit.
        tokens: Tokens in the copy; negative for a debt.
        updated_at: Time up to which the copy is refilled, in monotonic seconds.
        allowance: Requests that may still be taken from the copy before the
            next update of the shares, unless the limit is exceeded.
        fraction: Part of a request that was saved up while the limit is
            exceeded: only one in several may be taken from the copy then.
        peer_demand: Demand of all peers that report, in requests per second.
        reserve: Tokens below which only `local_bucket` is used.
        admitted: Requests admitted since the start.
        share: This gateway's share of the limit, 0 to 1.
        is_active: Whether callers use the account here, so that `share` and
            what follows from it are kept up to date.
        estimates_by_peer: Assumed usage of each peer.
    """

    plan: RateLimit
    demand: DemandEstimator
    local_bucket: TokenBucket
    tokens: float
    updated_at: float
    allowance: float = 0.0
    fraction: float = 0.0
    peer_demand: float = 0.0
    reserve: float = 0.0
    admitted: int = 0
    share: float = 0.0
    is_active: bool = False
    estimates_by_peer: dict[str, PeerEstimate] = field(default_factory=dict)


class DistributedQuota:
    """Admits requests within the rate limits of accounts and targets.

    Attributes:
        announced_rates: Rates to tell the peers, by limit, since they have no
            other source of them.
    """

    def __init__(
        self,
        *,
        now: float,
        name: str = "",
        is_initial_deployment: bool = False,
    ):
        """Starts without peers and demand.

        Args:
            now: Monotonic seconds.
            name: Name of this gateway, by which it differs from others in the
                requests that it takes first from an exceeded limit.
            is_initial_deployment: Whether all gateways start for the first
                time: nothing was spent yet, so buckets start full, not empty.
        """
        self._name = name
        self._initial_fill_share = 1.0 if is_initial_deployment else 0.0
        startup_s = 0.0 if is_initial_deployment else STARTUP_S
        self._startup_ends_at = now + startup_s
        self._accounts_by_name: dict[str, _Account] = {}
        self._peers_by_name: dict[str, Peer] = {}
        self._peer_demand_by_account: dict[str, float] = {}
        self._gateway_count = 1
        self._heard_share = 1.0
        self.announced_rates: Mapping[str, float] = {}

    def update_peer(
        self,
        peer: str,
        usage_by_account: Mapping[str, AccountUsage],
        *,
        source: str,
        incarnation: int,
        now: float,
        silence_timeout_s: float = PEER_SILENCE_S,
        gateway_count: int = 1,
    ) -> None:
        """Applies a peer's report to the copies of the buckets.

        Args:
            peer: Name of a gateway or of a whole data centre. A peer that has
                never reported any usage is ignored.
            usage_by_account: Usage that the peer reports.
            source: Name of the gateway whose counters the report contains; the
                counters of two gateways cannot be compared.
            incarnation: Start time of that gateway, at which its counters
                began, in Unix milliseconds.
            now: Monotonic seconds.
            silence_timeout_s: Silence after which the peer is assumed to use
                its whole share, in seconds.
            gateway_count: Number of gateways that the peer stands for.
        """
        previous_peer = self._peers_by_name.get(peer)
        if previous_peer is None and not usage_by_account:
            return
        history = ProcessHistory()
        if previous_peer is not None and previous_peer.source == source:
            history = previous_peer.history
        if not history.accepts(incarnation, now):
            return
        same_process = history.incarnation == incarnation
        previous = history.last(incarnation) or {}
        history.receive(incarnation, usage_by_account, now)
        self._add_demand(usage_by_account, sign=1)
        if previous_peer is not None:
            self._add_demand(previous_peer.usage_by_account, sign=-1)
        if previous_peer is not None and previous_peer.source != source:
            self._change_source(
                peer,
                usage_by_account,
                source=source,
                history=history,
                now=now,
            )
            return
        self._peers_by_name[peer] = Peer(
            received_at=now,
            source=source,
            history=history,
            silence_timeout_s=silence_timeout_s,
            gateway_count=gateway_count,
            usage_by_account=usage_by_account,
        )
        if previous_peer is None:
            return
        for name in previous_peer.usage_by_account:
            account = self._accounts_by_name.get(name)
            if account is not None and name not in usage_by_account:
                account.estimates_by_peer.pop(peer, None)
        # The counters of a restarted peer begin at 0.
        since_s = (
            max(0.1, now - previous_peer.received_at) if same_process else 0.0
        )
        for name, usage in usage_by_account.items():
            account = self._accounts_by_name.get(name)
            if account is None:
                continue
            before = previous.get(name)
            admitted = usage.admitted - (before.admitted if before else 0)
            self._reconcile(
                account, peer, max(0, admitted), since_s=since_s, now=now
            )

    def _add_demand(
        self, usage_by_account: Mapping[str, AccountUsage], *, sign: int
    ) -> None:
        """Adds a peer's demands to the sums, or takes them off."""
        sums = self._peer_demand_by_account
        for name, usage in usage_by_account.items():
            if usage.demand:
                sums[name] = sums.get(name, 0.0) + sign * usage.demand

    def _change_source(
        self,
        name: str,
        usage_by_account: Mapping[str, AccountUsage],
        *,
        source: str,
        history: ProcessHistory[Mapping[str, AccountUsage]],
        now: float,
    ) -> None:
        """Applies a report whose counters are those of another gateway.

        Tokens taken for the peer since its last report stay taken, since no
        counter replaces that estimate.
        """
        peer = self._peers_by_name[name]
        peer.received_at = now
        peer.source = source
        peer.history = history
        peer.usage_by_account = usage_by_account
        peer.share_by_account = {}
        peer.demands = None
        for account in self._accounts_by_name.values():
            estimate = account.estimates_by_peer.get(name)
            if estimate is not None:
                estimate.assumed_admitted = 0.0

    def _reconcile(
        self,
        account: _Account,
        peer: str,
        admitted: int,
        *,
        since_s: float,
        now: float,
    ) -> None:
        """Replaces a peer's assumed usage by the reported one.

        Args:
            account: The account.
            peer: Name of the peer.
            admitted: Requests that it admitted since its last report.
            since_s: Time since that report, in seconds; 0 when unknown.
            now: Monotonic seconds.
        """
        estimate = account.estimates_by_peer.get(peer)
        if estimate is None:
            if not admitted:
                return
            estimate = PeerEstimate()
            account.estimates_by_peer[peer] = estimate
        elif not (
            admitted or estimate.admitted_rate or estimate.assumed_admitted
        ):
            return
        if not account.is_active:
            self._advance(account, now)
        account.tokens -= admitted - estimate.assumed_admitted
        estimate.assumed_admitted = 0.0
        if since_s > 0.0:
            estimate.admitted_rate = admitted / since_s

    def remove_peer(self, peer: str) -> None:
        """Removes a peer that has left for good."""
        removed = self._peers_by_name.pop(peer, None)
        if removed is not None:
            self._add_demand(removed.usage_by_account, sign=-1)
        for account in self._accounts_by_name.values():
            account.estimates_by_peer.pop(peer, None)

    def usage_by_account(self, now: float) -> dict[str, AccountUsage]:
        """Returns this gateway's usage by account, for its peers."""
        usage_by_account = {}
        for name, account in self._accounts_by_name.items():
            demand = account.demand.rate(now) if account.is_active else 0.0
            rate = self.announced_rates.get(name, 0.0)
            if account.admitted or rate or demand > ACTIVE_DEMAND_MIN:
                usage_by_account[name] = AccountUsage(
                    round(demand, 2), account.admitted, rate
                )
        return usage_by_account

    def announced_by_peers(self) -> dict[str, float]:
        """Returns the lowest rate that peers tell, by limit."""
        rates: dict[str, float] = {}
        for peer in self._peers_by_name.values():
            for name, usage in peer.usage_by_account.items():
                if usage.rate > 0.0:
                    rates[name] = min(usage.rate, rates.get(name, math.inf))
        return rates

    def has_room(self, limit: RateLimit, now: float) -> bool:
        """Returns whether `admit` would admit a request.

        One that it would refuse counts as demand.
        """
        if limit.rate <= 0.0:
            return True
        account = self._active_account(limit, now)
        self._advance(account, now)
        has_room = self._has_room(account, now)
        if not has_room:
            self._record_refusal(account, now)
        return has_room

    def admit(self, plan: RateLimit, now: float) -> bool:
        """Counts a request and returns whether it is within the limit."""
        account = self._active_account(plan, now)
        if plan.rate <= 0.0:
            account.demand.add(now)
            return True
        self._advance(account, now)
        if self._may_take(account, now):
            self._take(account, now)
        elif not account.local_bucket.try_acquire(now):
            self._record_refusal(account, now)
            return False
        account.demand.add(now)
        account.tokens -= 1.0
        account.admitted += 1
        return True

    def _active_account(self, limit: RateLimit, now: float) -> _Account:
        account = self._account(limit, now)
        if not account.is_active and limit.rate > 0.0:
            account.local_bucket.keep_share(
                min(1.0, SAVED_TOKENS_MAX / self._gateway_count), now
            )
            self._update_share(account, now)
        account.is_active = True
        return account

    def _has_room(self, account: _Account, now: float) -> bool:
        return (
            self._may_take(account, now)
            or account.local_bucket.wait_s(now) <= 0.0
        )

    def _record_refusal(self, account: _Account, now: float) -> None:
        if self._is_copy_usable(account, now):
            saved = account.fraction + self._admitted_share(account, now)
            account.fraction = min(1.0, saved)
        account.demand.add(now)

    def _is_copy_usable(self, account: _Account, now: float) -> bool:
        return (
            account.tokens >= account.reserve and now >= self._startup_ends_at
        )

    def _may_take(self, account: _Account, now: float) -> bool:
        """Returns whether a request may be taken from the copy now."""
        if not self._is_copy_usable(account, now):
            return False
        share = self._admitted_share(account, now)
        if share >= 1.0:
            return account.allowance >= 1.0
        return account.fraction + share >= 1.0

    def _take(self, account: _Account, now: float) -> None:
        share = self._admitted_share(account, now)
        account.allowance -= 1.0
        account.fraction = max(0.0, account.fraction + share - 1.0)

    def _admitted_share(self, account: _Account, now: float) -> float:
        """Returns the share of requests that may be taken from the copy.

        It is below 1 while the limit is exceeded. Gateways that do not know of
        each other's latest requests would else take the same tokens.
        """
        demand = account.peer_demand + account.demand.rate(now)
        if demand <= EXCEEDED_RATIO * account.plan.rate:
            return 1.0
        surplus = max(0.0, account.tokens - account.reserve)
        return min(1.0, (account.plan.rate + surplus / SURPLUS_S) / demand)

    def wait_s(self, plan: RateLimit, now: float) -> float:
        """Returns the delay before a refused request's retry, in seconds.

        It is 0 when a request would be admitted now. While the demand exceeds
        the account's rate, a fixed delay is returned: requests that are retried
        sooner would find the tokens spent.
        """
        if plan.rate <= 0.0:
            return 0.0
        account = self._account(plan, now)
        if self._has_room(account, now):
            return 0.0
        if self._reported_demand(plan, now) > plan.rate:
            return OVERLOADED_RETRY_S
        return account.local_bucket.wait_s(now)

    def tokens_by_account(self) -> dict[str, float]:
        """Returns the tokens left in each account's bucket, by account."""
        return {
            name: account.tokens
            for name, account in self._accounts_by_name.items()
        }

    def explain(self, plan: RateLimit, now: float) -> str:
        """Returns the figures behind an admission decision, as text."""
        account = self._account(plan, now)
        return (
            f"account {plan.name} rate {plan.rate:g} burst {plan.burst:g}"
            f" left {account.tokens:.1f} own share"
            f" {account.share:.3f}"
            f" demand {account.demand.rate(now):.1f}"
            f" peers {len(account.estimates_by_peer)}"
        )

    def update_shares(
        self,
        plans: Iterable[RateLimit],
        now: float,
        *,
        heard_share: float = 1.0,
    ) -> None:
        """Recomputes this gateway's share of each limit; drops stale peers.

        Args:
            plans: All limits; others are removed.
            now: Monotonic seconds.
            heard_share: Share of the known gateways that this one hears of, 0
                to 1. It takes no larger share of a limit.
        """
        self._heard_share = heard_share
        for name, peer in list(self._peers_by_name.items()):
            if now - peer.received_at > PEER_EXPIRY_S:
                self.remove_peer(name)
        self._gateway_count = 1 + sum(
            peer.gateway_count for peer in self._peers_by_name.values()
        )
        any_silent = any(
            peer.is_silent(now) for peer in self._peers_by_name.values()
        )
        names = set()
        for plan in plans:
            names.add(plan.name)
            account = self._account(plan, now)
            if account.is_active:
                account.is_active = account.demand.rate(now) > ACTIVE_DEMAND_MIN
            if plan.rate > 0.0 and (account.is_active or any_silent):
                self._update_share(account, now)
        for name in list(self._accounts_by_name):
            if name not in names:
                del self._accounts_by_name[name]
        self._snapshot_demands()

    def _snapshot_demands(self) -> None:
        """Keeps the present demands with the peers that reported lately."""
        new = [p for p in self._peers_by_name.values() if p.demands is None]
        if new:
            demands = PeerDemands(
                gateway_count=self._gateway_count,
                demand_by_account=dict(self._peer_demand_by_account),
            )
            for peer in new:
                peer.demands = demands

    def _demand_floor(self, plan: RateLimit) -> float:
        """Returns the demand that each gateway has at least, per second."""
        share = min(
            DEMAND_FLOOR_SHARE, DEMAND_FLOOR_TOTAL_SHARE / self._gateway_count
        )
        return share * plan.rate

    def _own_demand(self, plan: RateLimit, now: float) -> float:
        account = self._accounts_by_name.get(plan.name)
        demand = account.demand.rate(now) if account is not None else 0.0
        return self._demand_floor(plan) + demand

    def _reported_demand(self, plan: RateLimit, now: float) -> float:
        """Returns the demand at this gateway and all peers that report."""
        floor = self._demand_floor(plan)
        demand = self._own_demand(plan, now)
        for peer in self._peers_by_name.values():
            if not peer.is_silent(now):
                demand += peer.demand(plan.name, floor)
        return demand

    def _account(self, plan: RateLimit, now: float) -> _Account:
        account = self._accounts_by_name.get(plan.name)
        if account is None:
            account = _Account(
                plan=plan,
                demand=DemandEstimator(now=now),
                local_bucket=TokenBucket(now=now),
                tokens=self._initial_fill_share * plan.burst,
                fraction=stable_hash(f"{self._name}/{plan.name}") / HASH_RANGE,
                updated_at=now,
            )
            self._accounts_by_name[plan.name] = account
        elif account.plan is not plan:
            self._advance(account, now)
            account.plan = plan
        else:
            return account
        if plan.rate > 0.0:
            self._update_share(account, now)
        return account

    def _advance(self, account: _Account, now: float) -> None:
        """Refills the copy and takes tokens for the usage of peers."""
        plan = account.plan
        elapsed = max(0.0, now - account.updated_at)
        account.updated_at = now
        account.tokens += elapsed * plan.rate
        for estimate in account.estimates_by_peer.values():
            account.tokens -= elapsed * estimate.admitted_rate
            estimate.assumed_admitted += elapsed * estimate.admitted_rate
        tokens_max = plan.burst if now >= self._startup_ends_at else 0.0
        account.tokens = min(tokens_max, account.tokens)
        account.tokens = max(-DEBT_MAX_S * plan.rate, account.tokens)

    def _update_share(self, account: _Account, now: float) -> None:
        """Recomputes the share; sets reserve, allowance and local bucket."""
        self._advance(account, now)
        plan = account.plan
        silent_share = self._divide(account, now)
        reserve = max(RESERVE_MIN, RESERVE_SHARE * plan.burst)
        silent_burst = silent_share * plan.burst
        account.reserve = reserve + silent_burst
        surplus = account.tokens - account.reserve
        account.allowance = max(ALLOWANCE_MIN, account.share * surplus)
        rate_factor = (
            1.0 if account.tokens >= silent_burst else DEBT_RATE_FACTOR
        )
        account.local_bucket.resize(
            rate=rate_factor * account.share * plan.rate,
            burst=max(1.0, account.share * RESERVE_SHARE * plan.burst),
            now=now,
        )

    def _divide(self, account: _Account, now: float) -> float:
        """Divides an account's limit among this gateway and its peers.

        A peer's share is fixed from one report to the next: demand that grows
        here takes from a peer only after its next report, since its demand may
        have grown as well. Silent peers are assumed to use theirs fully.

        Returns:
            The sum of the silent peers' shares, at most 1.
        """
        plan = account.plan
        floor = self._demand_floor(plan)
        own = self._own_demand(plan, now)
        fixed_share = silent_share = 0.0
        reported_demand = own
        unfixed_demand_by_peer: dict[str, float] = {}
        for name, peer in self._peers_by_name.items():
            share = peer.share_by_account.get(plan.name)
            if share is None and peer.demands is None:
                unfixed_demand_by_peer[name] = peer.demand(plan.name, floor)
                continue
            if share is None:
                share = peer.demand(plan.name, floor) / (
                    peer.demands.with_floors(plan.name, floor)
                )
                peer.share_by_account[plan.name] = share
            fixed_share += share
            if not peer.is_silent(now):
                reported_demand += peer.demand(plan.name, floor)
                continue
            silent_share += share
            _assume_usage(account, name, share)
        unfixed_demand = sum(unfixed_demand_by_peer.values())
        reported_demand += unfixed_demand
        reporting_share = max(0.0, 1.0 - silent_share)
        for name, demand in unfixed_demand_by_peer.items():
            peer = self._peers_by_name[name]
            share = reporting_share * demand / reported_demand
            peer.share_by_account[plan.name] = share
            if peer.is_silent(now):
                silent_share += share
                _assume_usage(account, name, share)
        silent_share = min(1.0, silent_share)
        share = max(0.0, 1.0 - fixed_share) * own / (own + unfixed_demand)
        share *= 1.0 - PARTITION_MARGIN_SHARE * silent_share
        account.peer_demand = reported_demand - own
        if now < self._startup_ends_at:
            share = min(STARTUP_SHARE_MAX, share)
        account.share = min(self._heard_share, share)
        return silent_share


def _assume_usage(account: _Account, peer: str, share: float) -> None:
    """Assumes that a silent peer uses its whole share from now on."""
    estimate = account.estimates_by_peer.get(peer)
    if estimate is None:
        estimate = account.estimates_by_peer[peer] = PeerEstimate()
    estimate.admitted_rate = share * account.plan.rate
