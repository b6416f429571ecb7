"""Allocation of the accounts' rates and bursts to the entries.

One record in the store has a row for each entry: the accounts whose floor (a
guaranteed share of rate and burst) the entry has claimed, and its loans on top
of the floors. The record changes only by compare-and-swap, and each change
keeps the sum of floors and loans within each account's rate and burst. A floor
does not expire while its entry is configured. A loan expires when its holder
has not renewed it for `loan_ttl_s`; the other entries measure that time with
their own monotonic clocks from when they first saw the last renewal of the row,
so that clocks of different machines are never compared. A holder stops using
what it gives up before it writes, and uses what it gains only after the write.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from kingcupvane.settings import ShareSettings
from kingcupvane.version.items import Account
from kingcupvane.version.rate_division import (
    RateAllocationRecord,
    RateAllocationRow,
    RateDivision,
    RateShare,
    entry_floor,
)

RATE_ALLOCATION_KEY = "shares"
DEMAND_HALF_LIFE_S = 2.0
# Smallest change of a loan that is written, as a share of the account's rate.
RATE_CHANGE_SHARE_MIN = 0.03
RENEWALS_PER_TTL = 3
# Demand below this rate, in requests per second, counts as none.
DEMAND_MIN_PER_S = 0.01


class DemandMeter:
    """Moving average of one account's arrivals at one entry."""

    def __init__(self, *, now: float):
        """Starts without demand at `now`, in monotonic seconds."""
        self._rate = 0.0
        self._count = 0
        self._sampled_at = now

    def count(self) -> None:
        """Counts one arrival."""
        self._count += 1

    def sample(self, now: float) -> float:
        """Returns arrivals per second, smoothed exponentially."""
        elapsed_s = now - self._sampled_at
        if elapsed_s <= 0:
            return self._rate
        decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        current_rate = self._count / elapsed_s
        self._rate = decay * self._rate + (1 - decay) * current_rate
        self._count = 0
        self._sampled_at = now
        return self._rate


@dataclass(kw_only=True, slots=True)
class _ObservedRow:
    serial: int
    incarnation: int
    first_seen_at: float


class RateAllocator:
    """Allocation of the accounts' rates to one entry; does no I/O.

    In each round the task that uses the allocator reads the record, gets the
    next one from `next_record`, writes it by compare-and-swap, and calls
    `confirm` once the write is known to have taken effect.
    """

    def __init__(self, *, name: str, incarnation: int, settings: ShareSettings):
        """Starts without floors or loans.

        Args:
            name: Name of this entry.
            incarnation: Start time of its process, in Unix milliseconds.
            settings: Time to live of loans, and the margin before expiry.
        """
        self._name = name
        self._incarnation = incarnation
        self._settings = settings
        self._demand_by_account: dict[str, DemandMeter] = {}
        self._observed_by_holder: dict[str, _ObservedRow] = {}
        self._claims: frozenset[str] = frozenset()
        self._usable_loans_by_account: dict[str, RateShare] = {}
        self._renewed_at = float("-inf")
        self._released = False

    def count_arrival(self, account: str, now: float) -> None:
        """Counts one request of an account, whether or not it is admitted."""
        meter = self._demand_by_account.get(account)
        if meter is None:
            meter = DemandMeter(now=now)
            self._demand_by_account[account] = meter
        meter.count()

    def share(self, account: Account, now: float) -> RateShare:
        """Returns the rate and burst that this entry may use at `now`."""
        floor = RateShare()
        if account.name in self._claims:
            floor = entry_floor(account)
        loan = RateShare()
        if now < self.loans_expire_at():
            loan = self._usable_loans_by_account.get(account.name, loan)
        return RateShare(floor.rate + loan.rate, floor.burst + loan.burst)

    def loans_expire_at(self) -> float:
        """Returns when the loans end if not renewed, in monotonic seconds."""
        settings = self._settings
        return self._renewed_at + settings.loan_ttl_s - settings.margin_s

    def release(self) -> None:
        """Gives up all loans and floors for good, for a graceful shutdown.

        The next record that is written no longer contains them.
        """
        self._released = True
        self._usable_loans_by_account = {}
        self._claims = frozenset()

    def observe(self, record: RateAllocationRecord, now: float) -> None:
        """Records when the current serial of each row was first seen."""
        for name, row in record.rows_by_holder.items():
            observed = self._observed_by_holder.get(name)
            key = (row.serial, row.incarnation)
            if (
                observed is None
                or (observed.serial, observed.incarnation) != key
            ):
                self._observed_by_holder[name] = _ObservedRow(
                    serial=row.serial,
                    incarnation=row.incarnation,
                    first_seen_at=now,
                )

    def next_record(
        self,
        record: RateAllocationRecord,
        accounts: Iterable[Account],
        entries: Iterable[str],
        now: float,
    ) -> RateAllocationRecord | None:
        """Returns the record to write, or None if no write is needed.

        From this call on, the entry no longer uses what that record gives up.

        Args:
            record: The record as last read.
            accounts: All client accounts.
            entries: Names of all configured entries.
            now: Monotonic seconds.
        """
        self.observe(record, now)
        accounts = tuple(accounts)
        rows = dict(self._retained_rows(record, set(entries), now))
        previous = rows.pop(self._name, RateAllocationRow(holder=self._name))
        names = set(entries) | {self._name}
        other_rows = tuple(rows.values())
        own = self._own_row(previous, other_rows, accounts, len(names), now)
        unchanged = len(rows) + 1 == len(record.rows_by_holder)
        if unchanged and not self._needs_write(previous, own, accounts, now):
            self._restrict_to(previous)
            return None
        self._restrict_to(own)
        rows[self._name] = own
        return RateAllocationRecord(rows_by_holder=rows)

    def confirm(
        self, record: RateAllocationRecord, *, started_at: float
    ) -> None:
        """Starts to use this entry's row of a record that was written.

        Args:
            record: The record that `next_record` returned.
            started_at: Time before the write began, in monotonic seconds.
        """
        if self._released:
            return
        own = record.rows_by_holder[self._name]
        self._claims = frozenset(own.claims)
        self._usable_loans_by_account = dict(own.loans_by_account)
        self._renewed_at = max(self._renewed_at, started_at)

    def _retained_rows(
        self, record: RateAllocationRecord, entries: set[str], now: float
    ) -> Iterator[tuple[str, RateAllocationRow]]:
        """Yields the rows to keep, by the entry's name.

        An expired row loses its loans; it is removed if its entry is no longer
        configured.
        """
        for name, row in record.rows_by_holder.items():
            if name == self._name:
                yield name, row
                continue
            first_seen_at = self._observed_by_holder[name].first_seen_at
            expired = now - first_seen_at >= self._settings.loan_ttl_s
            if not expired:
                yield name, row
            elif name in entries:
                yield (
                    name,
                    RateAllocationRow(
                        holder=name,
                        incarnation=row.incarnation,
                        serial=row.serial,
                        claims=row.claims,
                    ),
                )

    def _own_row(
        self,
        previous: RateAllocationRow,
        other_rows: tuple[RateAllocationRow, ...],
        accounts: Iterable[Account],
        entry_count: int,
        now: float,
    ) -> RateAllocationRow:
        demand: dict[str, float] = {}
        loans: dict[str, RateShare] = {}
        claims: list[str] = []
        for account in accounts:
            meter = self._demand_by_account.get(account.name)
            demand_rate = meter.sample(now) if meter else 0.0
            if demand_rate >= DEMAND_MIN_PER_S:
                demand[account.name] = round(min(demand_rate, account.rate), 3)
            if self._released:
                continue
            division = RateDivision(
                account=account, other_rows=other_rows, entry_count=entry_count
            )
            claims_floor = (
                account.name in previous.claims or division.floor_fits()
            )
            if claims_floor:
                claims.append(account.name)
            loan = division.own_loan(
                demand.get(account.name, 0.0), claims_floor=claims_floor
            )
            if loan.rate > 0:
                loans[account.name] = loan
        return RateAllocationRow(
            holder=self._name,
            incarnation=self._incarnation,
            serial=previous.serial + 1,
            claims=claims,
            demand_by_account=demand,
            loans_by_account=loans,
        )

    def _restrict_to(self, own: RateAllocationRow) -> None:
        """Stops using floors and loans that `own` does not contain."""
        self._claims = self._claims & frozenset(own.claims)
        usable: dict[str, RateShare] = {}
        for name, loan in self._usable_loans_by_account.items():
            planned = own.loans_by_account.get(name, RateShare())
            usable[name] = RateShare(
                min(loan.rate, planned.rate), min(loan.burst, planned.burst)
            )
        self._usable_loans_by_account = usable

    def _needs_write(
        self,
        previous: RateAllocationRow,
        own: RateAllocationRow,
        accounts: Iterable[Account],
        now: float,
    ) -> bool:
        renewal_s = self._settings.loan_ttl_s / RENEWALS_PER_TTL
        if now - self._renewed_at >= renewal_s or previous.claims != own.claims:
            return True
        if previous.incarnation != own.incarnation:
            return True
        return any(
            _changed_significantly(previous, own, account.name, account.rate)
            for account in accounts
        )


def _changed_significantly(
    previous: RateAllocationRow, own: RateAllocationRow, name: str, rate: float
) -> bool:
    """Returns whether an account's loan or demand changed enough to be written.

    That is more than `RATE_CHANGE_SHARE_MIN` of the rate for the loan, and more
    than three times as much for the demand.

    Args:
        previous: The row as last read.
        own: The row planned now.
        name: Name of the account.
        rate: The account's rate, in requests per second.
    """
    before = previous.loans_by_account.get(name, RateShare()).rate
    after = own.loans_by_account.get(name, RateShare()).rate
    demand_before = previous.demand_by_account.get(name, 0.0)
    demand_after = own.demand_by_account.get(name, 0.0)
    threshold = rate * RATE_CHANGE_SHARE_MIN
    loan_changed = abs(after - before) > threshold
    return loan_changed or abs(demand_after - demand_before) > 3 * threshold
