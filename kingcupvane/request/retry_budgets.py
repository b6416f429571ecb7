"""A gateway's part of the retries that the whole fleet may make.

The fleet may retry a share of the callers' requests for a service, and a number
of retries beyond it in each window. The share needs no agreement: each gateway
earns it from its own requests. The number is divided by the gateways' demand,
so that it is where the requests are, and the parts add up to no more than the
whole whatever each gateway sees of the others:

- A gateway counts its own demand only once all others have heard of it, and
  theirs as last heard. Gateways that start together thus have no part at first.
- It takes its part of the live gateways' demand only as far as it hears of all
  gateways that it knows of, live or registered in the store. Two sides of a cut
  divide the number between them.
- One that may have lost its registration without hearing of all others has no
  part, since those with the store no longer count it.

A new process has nothing saved up, since its predecessor may have spent it.
Where less than one retry may be saved up, it is spent by chance, so that
hundreds of such gateways together make as many as they may.
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from kingcupvane.request.token_bucket import TokenBucket

# Part of the share of requests that is earned; the rest covers what is saved up
# and the time between a caller's request and its retry.
EARNED_PART = 0.85
# Parts of the extra number that may be saved up, and that come back in each
# window. The rest covers views that differ, and the chance in small parts.
SAVED_PART = 0.34
REFILLED_PART = 0.56
# Time for which earned retries are kept beyond the saved part, in seconds.
EARNED_KEPT_S = 0.5
# Time after which all live gateways have heard of a demand, in seconds.
DEMAND_KNOWN_AFTER_S = 2.0
# Demand that every gateway is assumed to have at least, in requests per second.
DEMAND_FLOOR = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryAllowance:
    """Retries on one service that all gateways may make together.

    Attributes:
        share: Retries for each request.
        extra: Further retries in each window.
        window_s: Length of a window, in seconds.
    """

    share: float
    extra: float
    window_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetView:
    """What a gateway knows of the fleet.

    Attributes:
        live_count: Number of gateways that it hears of, itself included.
        known_count: Number of gateways that are live or registered in the
            store, itself included.
        is_registered: Whether the store is sure to list this gateway.
        demand_by_service: Demand of the other live gateways, in requests per
            second.
    """

    live_count: int
    known_count: int
    is_registered: bool
    demand_by_service: Mapping[str, float]

    @property
    def heard_share(self) -> float:
        """Share of the known gateways that this one hears of, 0 to 1."""
        return min(1.0, self.live_count / self.known_count)

    @property
    def covered_share(self) -> float:
        """Share of the extra retries that the live gateways may divide.

        It is 0 if others may divide them without counting this gateway.
        """
        if self.heard_share < 1.0 and not self.is_registered:
            return 0.0
        return self.heard_share


@dataclass(kw_only=True, slots=True)
class _ServiceBudget:
    """Budget of one service.

    Attributes:
        bucket: Retries that the gateway may make now.
        own_demands: This gateway's latest demands, oldest first, each with its
            time in monotonic seconds.
        part: Its part of the extra retries, 0 to 1.
    """

    bucket: TokenBucket
    own_demands: deque[tuple[float, float]] = field(default_factory=deque)
    part: float = 0.0


class RetryBudgets:
    """Retry budgets of this gateway, one for each service."""

    def __init__(
        self,
        *,
        allowance: RetryAllowance,
        now: float,
        draw: Callable[[], float],
    ):
        """Starts with empty budgets.

        Args:
            allowance: What the fleet may do for each service.
            now: Monotonic seconds.
            draw: Returns a random number, 0 to 1.
        """
        self._allowance = allowance
        self._started_at = now
        self._draw = draw
        self._budget_by_service: dict[str, _ServiceBudget] = {}
        self._counts: Counter[tuple[str, str]] = Counter()

    def update(
        self, view: FleetView, own_demand: Mapping[str, float], now: float
    ) -> None:
        """Divides the extra retries anew; to be called several times a second.

        Args:
            view: What this gateway knows of the others.
            own_demand: Its own demand by service, in requests per second.
            now: Monotonic seconds.
        """
        for service in {*own_demand, *self._budget_by_service}:
            budget = self._budget(service, now)
            demand = own_demand.get(service, 0.0)
            known = self._known_demand(budget, demand, now)
            total = (
                max(demand, known)
                + view.demand_by_service.get(service, 0.0)
                + DEMAND_FLOOR * view.live_count
            )
            is_known = now - self._started_at >= DEMAND_KNOWN_AFTER_S
            own = known + DEMAND_FLOOR if is_known else 0.0
            budget.part = view.covered_share * own / total
            self._resize(budget, demand, now)

    def _known_demand(
        self, budget: _ServiceBudget, demand: float, now: float
    ) -> float:
        """Returns the own demand that all live gateways have heard of."""
        demands = budget.own_demands
        demands.append((now, demand))
        known_at = now - DEMAND_KNOWN_AFTER_S
        while len(demands) > 1 and demands[1][0] <= known_at:
            demands.popleft()
        oldest_at, oldest = demands[0]
        return oldest if oldest_at <= known_at else 0.0

    def _resize(
        self, budget: _ServiceBudget, demand: float, now: float
    ) -> None:
        allowance = self._allowance
        earned = EARNED_PART * allowance.share
        kept = earned * max(1.0, demand * EARNED_KEPT_S)
        extra = allowance.extra * budget.part
        budget.bucket.resize(
            rate=REFILLED_PART * extra / allowance.window_s,
            burst=SAVED_PART * extra + kept,
            now=now,
        )

    def _budget(self, service: str, now: float) -> _ServiceBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = _ServiceBudget(bucket=TokenBucket(now=now))
            self._budget_by_service[service] = budget
            self._resize(budget, 0.0, now)
        return budget

    def count_request(self, service: str, now: float) -> None:
        """Adds what a caller's request earns."""
        earned = EARNED_PART * self._allowance.share
        self._budget(service, now).bucket.add(earned, now)

    def try_withdraw(self, service: str, now: float) -> bool:
        """Takes one retry; returns false if the budget does not allow it.

        Where a whole one can never be saved up, what there is is granted by
        chance, and is gone either way.
        """
        bucket = self._budget(service, now).bucket
        granted = bucket.try_acquire(now)
        if not granted and bucket.burst < 1.0:
            granted = self._draw() < bucket.take_all(now)
        self.count(service, "paid" if granted else "denied")
        return granted

    def count(self, service: str, payment: str) -> None:
        """Counts a retry of a request.

        Args:
            service: The service.
            payment: `paid` or `denied` by the budget; for a free retry, the
                outcome of the attempt before it.
        """
        self._counts[service, payment] += 1

    def counts(self) -> dict[tuple[str, str], int]:
        """Returns the retries since the start, by service and payment."""
        return dict(self._counts)

    def remaining(self, now: float) -> dict[str, float]:
        """Returns the number of retries that remain, by service."""
        return {
            service: budget.bucket.tokens(now)
            for service, budget in self._budget_by_service.items()
        }

    def parts(self) -> dict[str, float]:
        """Returns this gateway's part of the extra retries, by service."""
        return {
            service: budget.part
            for service, budget in self._budget_by_service.items()
        }
