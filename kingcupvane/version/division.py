"""How one account's rate is divided, given what the other entries hold."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from kingcupvane.version.items import Account

FLOOR_SLOTS = 16
FLOOR_PART = 0.5
IDLE_NEED = 0.02


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


def floor_of(account: Account) -> Loan:
    """Returns the floor of one entry.

    A floor whose burst is below one request could never be used; then the
    whole of the account's rate is lent.
    """
    burst = account.burst * FLOOR_PART / FLOOR_SLOTS
    if burst < 1.0:
        return Loan()
    return Loan(account.rate * FLOOR_PART / FLOOR_SLOTS, burst)


def water_fill(
    pool: float, demand_by_name: Mapping[str, float]
) -> dict[str, float]:
    """Divides a pool by demand, smallest first; the rest goes by demand."""
    granted: dict[str, float] = {}
    left = pool
    remaining = sorted(demand_by_name.items(), key=lambda pair: pair[1])
    for index, (name, demand) in enumerate(remaining):
        granted[name] = min(demand, left / (len(remaining) - index))
        left -= granted[name]
    total = sum(granted.values())
    if left > 0 and total > 0:
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
    others: tuple[Row, ...]
    entries: int

    def floor_fits(self) -> bool:
        """Returns whether one more floor fits beside all floors and loans."""
        floor = floor_of(self.account)
        if floor.burst <= 0 or self._claimed() >= FLOOR_SLOTS:
            return False
        free = self._free(floors=self._claimed())
        return free.rate >= floor.rate and free.burst >= floor.burst

    def own_loan(self, demand: float, *, claims_floor: bool) -> Loan:
        """Returns the loan that this entry should hold.

        Args:
            demand: Requests per second that arrive here.
            claims_floor: Whether this entry holds its floor, too.
        """
        account = self.account
        floor = floor_of(account)
        kept = max(self._claimed() + claims_floor, self._floors_kept())
        pool = Loan(
            account.rate - kept * floor.rate, account.burst - kept * floor.burst
        )
        if pool.rate <= 0:
            return Loan()
        needs = {row.holder: self._need_of(row) for row in self.others}
        needs[""] = self._need(demand, claims_floor=claims_floor)
        part = water_fill(pool.rate, needs)[""] / pool.rate
        free = self._free(floors=self._claimed() + claims_floor)
        return Loan(
            max(0.0, min(pool.rate * part, free.rate)),
            max(0.0, min(pool.burst * part, free.burst)),
        )

    def _claimed(self) -> int:
        name = self.account.name
        return sum(1 for row in self.others if name in row.claims)

    def _floors_kept(self) -> int:
        return min(FLOOR_SLOTS, self.entries)

    def _free(self, *, floors: int) -> Loan:
        name = self.account.name
        floor = floor_of(self.account)
        loans = [row.loans_by_account.get(name, Loan()) for row in self.others]
        return Loan(
            self.account.rate
            - floors * floor.rate
            - sum(loan.rate for loan in loans),
            self.account.burst
            - floors * floor.burst
            - sum(loan.burst for loan in loans),
        )

    def _need_of(self, row: Row) -> float:
        name = self.account.name
        demand = row.demand_by_account.get(name, 0.0)
        return self._need(demand, claims_floor=name in row.claims)

    def _need(self, demand: float, *, claims_floor: bool) -> float:
        idle = IDLE_NEED * self.account.rate / max(1, self.entries)
        floor = floor_of(self.account).rate if claims_floor else 0.0
        return max(0.0, demand - floor) + idle
