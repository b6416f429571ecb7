"""Counts of the requests that targets began, by window and client account.

Each gateway counts its own requests. Within a data centre gateways exchange
these counts, between data centres their sums. All counts only grow, and of two
that are known for the same source the higher one holds, so that a message that
is repeated or comes late adds nothing.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from kingcupvane.connection.messages import UsageRow
from kingcupvane.process.true_time import TrueTime

# Windows of a peer's clock that may lie ahead of this gateway's present one.
WINDOWS_AHEAD_MAX = 1
# Largest number of open windows; older ones are dropped.
OPEN_WINDOWS_MAX = 32


@dataclass(kw_only=True, slots=True)
class Tally:
    """Requests of one source in one window, by client account.

    Attributes:
        begun: Requests passed on to targets.
        refused: Those among them that turned out not to have run.
    """

    begun: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)

    def raise_to(self, begun: Mapping[str, int], refused: Mapping[str, int]):
        """Raises each count to another one if that is higher."""
        _raise(self.begun, begun)
        _raise(self.refused, refused)

    def add(self, other: "Tally") -> None:
        """Adds the counts of another source."""
        _add(self.begun, other.begun)
        _add(self.refused, other.refused)

    def net(self) -> dict[str, int]:
        """Returns the requests that ran, without accounts that have none."""
        counts = {
            account: count - self.refused.get(account, 0)
            for account, count in sorted(self.begun.items())
        }
        return {
            account: count for account, count in counts.items() if count > 0
        }


@dataclass(kw_only=True, slots=True)
class _Window:
    """Counts of one window.

    Attributes:
        own: Counts of this process.
        tallies_by_gateway: Counts of other gateways of this data centre, by
            name and incarnation.
        tallies_by_data_centre: Sums of whole data centres, by name.
    """

    own: Tally = field(default_factory=Tally)
    tallies_by_gateway: dict[tuple[str, int], Tally] = field(
        default_factory=dict
    )
    tallies_by_data_centre: dict[str, Tally] = field(default_factory=dict)


class UsageLedger:
    """What this gateway knows of the open windows; does no I/O.

    Attributes:
        data_centre: The data centre of this gateway.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        data_centre: str,
        window_s: float,
        true_time: TrueTime,
    ):
        """Makes a ledger without counts.

        Args:
            name: Name of this gateway.
            incarnation: Start time of its process, in Unix milliseconds.
            data_centre: Its data centre.
            window_s: Length of a window, in seconds.
            true_time: Tells in which window a request falls.
        """
        self._name = name
        self._incarnation = incarnation
        self.data_centre = data_centre
        self._window_s = window_s
        self._true_time = true_time
        self._windows_by_number: dict[int, _Window] = {}
        self._closed_before = 0

    def current_window(self) -> int:
        """Returns the number of the present window."""
        return int(self._true_time.now() // self._window_s)

    def first_window(self) -> int:
        """Returns the first window that has counts, else the present one."""
        return min(self._windows_by_number, default=self.current_window())

    def begin(self, account: str) -> int:
        """Counts a request that is passed on; returns its window."""
        number = self.current_window()
        begun = self._open(number).own.begun
        begun[account] = begun.get(account, 0) + 1
        return number

    def refuse(self, account: str, window: int) -> None:
        """Notes that a request counted in a window has not run after all."""
        refused = self._open(window).own.refused
        refused[account] = refused.get(account, 0) + 1

    def close_before(self, window: int) -> None:
        """Drops all windows before one; their counts no longer change."""
        self._closed_before = max(self._closed_before, window)
        for number in list(self._windows_by_number):
            if number < self._closed_before:
                del self._windows_by_number[number]

    def counts(self, window: int) -> dict[str, int]:
        """Returns the known requests of all gateways, by client account."""
        known = self._windows_by_number.get(window)
        if known is None:
            return {}
        total = self._data_centre_tally(known)
        for name, tally in known.tallies_by_data_centre.items():
            if name != self.data_centre:
                total.add(tally)
        return total.net()

    def own_rows(self) -> list[UsageRow]:
        """Returns the counts of this process."""
        return [
            _make_row(self._name, self._incarnation, number, known.own)
            for number, known in sorted(self._windows_by_number.items())
            if known.own.begun
        ]

    def data_centre_rows(self) -> list[UsageRow]:
        """Returns the sums of this data centre."""
        rows = [
            _make_row(
                self.data_centre, 0, number, self._data_centre_tally(known)
            )
            for number, known in sorted(self._windows_by_number.items())
        ]
        return [row for row in rows if row.begun]

    def other_data_centre_rows(self) -> list[UsageRow]:
        """Returns the known sums of the other data centres."""
        return [
            _make_row(name, 0, number, tally)
            for number, known in sorted(self._windows_by_number.items())
            for name, tally in sorted(known.tallies_by_data_centre.items())
            if name != self.data_centre
        ]

    def merge_gateways(self, rows: Iterable[UsageRow]) -> None:
        """Takes counts of gateways of this data centre."""
        for row in rows:
            own = (self._name, self._incarnation)
            key = (row.source, row.incarnation)
            if key != own and self._accepts(row.window):
                tallies = self._open(row.window).tallies_by_gateway
                tally = tallies.setdefault(key, Tally())
                tally.raise_to(row.begun, row.refused)

    def merge_data_centres(self, rows: Iterable[UsageRow]) -> None:
        """Takes sums of whole data centres."""
        for row in rows:
            if self._accepts(row.window):
                tallies = self._open(row.window).tallies_by_data_centre
                tally = tallies.setdefault(row.source, Tally())
                tally.raise_to(row.begun, row.refused)

    def _accepts(self, window: int) -> bool:
        latest = self.current_window() + WINDOWS_AHEAD_MAX
        earliest = max(self._closed_before, latest - OPEN_WINDOWS_MAX)
        return earliest <= window <= latest

    def _open(self, number: int) -> _Window:
        known = self._windows_by_number.get(number)
        if known is None:
            known = _Window()
            if number < self._closed_before:
                return known
            self._windows_by_number[number] = known
            while len(self._windows_by_number) > OPEN_WINDOWS_MAX:
                del self._windows_by_number[min(self._windows_by_number)]
        return known

    def _data_centre_tally(self, known: _Window) -> Tally:
        total = Tally()
        total.add(known.own)
        for tally in known.tallies_by_gateway.values():
            total.add(tally)
        # An earlier hub may have known of a gateway that has been killed.
        summed = known.tallies_by_data_centre.get(self.data_centre)
        if summed is not None:
            total.raise_to(summed.begun, summed.refused)
        return total


def _make_row(
    source: str, incarnation: int, window: int, tally: Tally
) -> UsageRow:
    return UsageRow(
        source=source,
        incarnation=incarnation,
        window=window,
        begun=dict(tally.begun),
        refused=dict(tally.refused),
    )


def _raise(counts: dict[str, int], others: Mapping[str, int]) -> None:
    for account, count in others.items():
        if count > counts.get(account, 0):
            counts[account] = count


def _add(counts: dict[str, int], others: Mapping[str, int]) -> None:
    for account, count in others.items():
        counts[account] = counts.get(account, 0) + count
