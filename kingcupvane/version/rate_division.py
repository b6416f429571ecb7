"""Division of one account's rate, given what the other entries hold."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from kingcupvane.version.items import Account

# Largest number of floors of one account; further entries hold only loans.
FLOORS_MAX = 16
# Share of an account's rate and burst that all floors take together.
FLOORS_SHARE = 0.5
# Demand that is added to every entry's, as a fraction of an equal share of the
# rate, so that an idle entry gets a loan as well.
IDLE_DEMAND_SHARE = 0.02


class RateShare(msgspec.Struct, frozen=True, array_like=True):
    """Share of an account's rate and burst: a floor, a loan or their sum.

    Attributes:
        rate: Requests per second.
        burst: Token bucket size, in requests.
    """

    rate: float = 0.0
    burst: float = 0.0


class RateAllocationRow(msgspec.Struct, frozen=True, kw_only=True):
    """Floors and loans that one entry holds.

    Attributes:
        holder: Name of the entry.
        incarnation: Start time of its process, in Unix milliseconds.
        serial: Increases with each renewal.
        claims: Names of the accounts whose floor the entry has claimed.
        demand_by_account: Smoothed arrivals, in requests per second, at most
            the account's rate.
        loans_by_account: Loans on top of the floors.
    """

    holder: str
    incarnation: int = 0
    serial: int = 0
    claims: list[str] = []
    demand_by_account: dict[str, float] = {}
    loans_by_account: dict[str, RateShare] = {}


class RateAllocationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The rows of all entries, by the entry's name."""

    rows_by_holder: dict[str, RateAllocationRow] = {}


def entry_floor(account: Account) -> RateShare:
    """Returns the floor: the share of an account guaranteed to one entry.

    A floor whose burst is below one request could never admit any; such an
    account has no floors, and its whole rate is lent.
    """
    burst = account.burst * FLOORS_SHARE / FLOORS_MAX
    if burst < 1.0:
        return RateShare()
    return RateShare(account.rate * FLOORS_SHARE / FLOORS_MAX, burst)


def water_fill(
    pool: float, demand_by_name: Mapping[str, float]
) -> dict[str, float]:
    """Divides a pool by max-min fairness over the demands.

    What exceeds the total demand is divided in proportion to the demands.
    """
    granted: dict[str, float] = {}
    remaining = pool
    ascending = sorted(demand_by_name.items(), key=lambda pair: pair[1])
    for index, (name, demand) in enumerate(ascending):
        granted[name] = min(demand, remaining / (len(ascending) - index))
        remaining -= granted[name]
    total = sum(granted.values())
    if remaining > 0 and total > 0:
        granted = {n: amount / total * pool for n, amount in granted.items()}
    return granted


@dataclass(frozen=True, kw_only=True, slots=True)
class RateDivision:
    """Division of one account's rate and burst, computed at one entry.

    The floors of all configured entries stay reserved, so that an entry that
    starts can claim its floor while the rest is lent.

    Attributes:
        account: The client account.
        other_rows: Rows of the other entries in the record.
        entry_count: Number of configured entries.
    """

    account: Account
    other_rows: tuple[RateAllocationRow, ...]
    entry_count: int

    def floor_fits(self) -> bool:
        """Returns whether one more floor fits beside all claims and loans."""
        floor = entry_floor(self.account)
        if floor.burst <= 0 or self._floors_claimed() >= FLOORS_MAX:
            return False
        unallocated = self._unallocated(floors=self._floors_claimed())
        return (
            unallocated.rate >= floor.rate and unallocated.burst >= floor.burst
        )

    def own_loan(self, demand: float, *, claims_floor: bool) -> RateShare:
        """Returns the loan that this entry should hold.

        Args:
            demand: Requests per second that arrive at this entry.
            claims_floor: Whether this entry also holds its floor.
        """
        account = self.account
        floor = entry_floor(account)
        reserved = max(
            self._floors_claimed() + claims_floor, self._floors_reserved()
        )
        pool = RateShare(
            account.rate - reserved * floor.rate,
            account.burst - reserved * floor.burst,
        )
        if pool.rate <= 0:
            return RateShare()
        loan_demand_by_holder = {
            row.holder: self._row_loan_demand(row) for row in self.other_rows
        }
        loan_demand_by_holder[""] = self._loan_demand(
            demand, claims_floor=claims_floor
        )
        share = water_fill(pool.rate, loan_demand_by_holder)[""] / pool.rate
        unallocated = self._unallocated(
            floors=self._floors_claimed() + claims_floor
        )
        return RateShare(
            max(0.0, min(pool.rate * share, unallocated.rate)),
            max(0.0, min(pool.burst * share, unallocated.burst)),
        )

    def _floors_claimed(self) -> int:
        name = self.account.name
        return sum(1 for row in self.other_rows if name in row.claims)

    def _floors_reserved(self) -> int:
        return min(FLOORS_MAX, self.entry_count)

    def _unallocated(self, *, floors: int) -> RateShare:
        name = self.account.name
        floor = entry_floor(self.account)
        loans = [
            row.loans_by_account.get(name, RateShare())
            for row in self.other_rows
        ]
        return RateShare(
            self.account.rate
            - floors * floor.rate
            - sum(loan.rate for loan in loans),
            self.account.burst
            - floors * floor.burst
            - sum(loan.burst for loan in loans),
        )

    def _row_loan_demand(self, row: RateAllocationRow) -> float:
        name = self.account.name
        demand = row.demand_by_account.get(name, 0.0)
        return self._loan_demand(demand, claims_floor=name in row.claims)

    def _loan_demand(self, demand: float, *, claims_floor: bool) -> float:
        idle_demand = (
            IDLE_DEMAND_SHARE * self.account.rate / max(1, self.entry_count)
        )
        floor = entry_floor(self.account).rate if claims_floor else 0.0
        return max(0.0, demand - floor) + idle_demand
