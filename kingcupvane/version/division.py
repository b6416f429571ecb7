"""How one account's rate is divided, given what the other entries hold."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from kingcupvane.version.items import Account

FLOORS_MAX = 16
FLOORS_SHARE = 0.5
IDLE_DEMAND_SHARE = 0.02


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Rate in requests per second, and burst in requests."""

    rate: float = 0.0
    burst: float = 0.0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """What one entry holds.

    Attributes:
        holder: Name of the entry.
        incarnation: Start time of its process, in Unix milliseconds.
        serial: Grows with each renewal.
        claims: Accounts whose floor the entry may use.
        demand_by_account: Requests per second that it would serve.
        loans_by_account: Loans on top of the floors.
    """

    holder: str
    incarnation: int = 0
    serial: int = 0
    claims: list[str] = []
    demand_by_account: dict[str, float] = {}
    loans_by_account: dict[str, Loan] = {}


class RateAllocationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The rows of all entries, by the entry's name."""

    rows_by_holder: dict[str, Row] = {}


def entry_floor(account: Account) -> Loan:
    """Returns the floor of one entry.

    A floor whose burst is below one request could never be used; then the
    whole of the account's rate is lent.
    """
    burst = account.burst * FLOORS_SHARE / FLOORS_MAX
    if burst < 1.0:
        return Loan()
    return Loan(account.rate * FLOORS_SHARE / FLOORS_MAX, burst)


def water_fill(
    pool: float, demand_by_name: Mapping[str, float]
) -> dict[str, float]:
    """Divides a pool by demand, smallest first; the rest goes by demand."""
    granted: dict[str, float] = {}
    remaining = pool
    ascending = sorted(demand_by_name.items(), key=lambda pair: pair[1])
    for index, (name, demand) in enumerate(ascending):
        granted[name] = min(demand, remaining / (len(ascending) - index))
        remaining -= granted[name]
    total = sum(granted.values())
    if remaining > 0 and total > 0:
        granted = {n: part / total * pool for n, part in granted.items()}
    return granted


@dataclass(frozen=True, kw_only=True, slots=True)
class Division:
    """One account as an entry sees it in the record of rates.

    Room is kept for the floors of all configured entries, so that an entry
    that starts can claim its floor while the rest is lent.

    Attributes:
        account: The account.
        others: Rows of the other entries.
        entries: Number of configured entries.
    """

    account: Account
    other_rows: tuple[Row, ...]
    entry_count: int

    def floor_fits(self) -> bool:
        """Returns whether one more floor fits beside all floors and loans."""
        floor = entry_floor(self.account)
        if floor.burst <= 0 or self._floors_claimed() >= FLOORS_MAX:
            return False
        unallocated = self._unallocated(floors=self._floors_claimed())
        return (
            unallocated.rate >= floor.rate and unallocated.burst >= floor.burst
        )

    def own_loan(self, demand: float, *, claims_floor: bool) -> Loan:
        """Returns the loan that this entry should hold.

        Args:
            demand: Requests per second that arrive here.
            claims_floor: Whether this entry holds its floor, too.
        """
        account = self.account
        floor = entry_floor(account)
        reserved = max(
            self._floors_claimed() + claims_floor, self._floors_reserved()
        )
        pool = Loan(
            account.rate - reserved * floor.rate,
            account.burst - reserved * floor.burst,
        )
        if pool.rate <= 0:
            return Loan()
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
        return Loan(
            max(0.0, min(pool.rate * share, unallocated.rate)),
            max(0.0, min(pool.burst * share, unallocated.burst)),
        )

    def _floors_claimed(self) -> int:
        name = self.account.name
        return sum(1 for row in self.other_rows if name in row.claims)

    def _floors_reserved(self) -> int:
        return min(FLOORS_MAX, self.entry_count)

    def _unallocated(self, *, floors: int) -> Loan:
        name = self.account.name
        floor = entry_floor(self.account)
        loans = [
            row.loans_by_account.get(name, Loan()) for row in self.other_rows
        ]
        return Loan(
            self.account.rate
            - floors * floor.rate
            - sum(loan.rate for loan in loans),
            self.account.burst
            - floors * floor.burst
            - sum(loan.burst for loan in loans),
        )

    def _row_loan_demand(self, row: Row) -> float:
        name = self.account.name
        demand = row.demand_by_account.get(name, 0.0)
        return self._loan_demand(demand, claims_floor=name in row.claims)

    def _loan_demand(self, demand: float, *, claims_floor: bool) -> float:
        idle_demand = (
            IDLE_DEMAND_SHARE * self.account.rate / max(1, self.entry_count)
        )
        floor = entry_floor(self.account).rate if claims_floor else 0.0
        return max(0.0, demand - floor) + idle_demand
