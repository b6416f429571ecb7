"""Requests that other gateways have in flight at the targets.

Load pattern: hundreds of gateways send to hundreds of targets, so that each
gets a response of a given target, with its load, only every few seconds.
In between, a popular target's queue grows unseen. Therefore gateways report
which targets their requests are at; the sums are the load by all others, as it
was a fraction of a second ago.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

# Age of a report from which its requests no longer count, in seconds. Without
# further reports it is unknown whether they still run.
REPORT_EXPIRY_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    """The last report of a peer.

    Attributes:
        received_at: Time of the report, in monotonic seconds.
        count_by_target: Requests in flight, by target.
    """

    received_at: float
    count_by_target: Mapping[str, int]


class PeerRequests:
    """Requests in flight of all peers, by target; does no I/O."""

    def __init__(self, *, apply_count: Callable[[str, int], None]):
        """Starts without reports.

        Args:
            apply_count: Called with a target and the number of requests there
                whenever that number changes.
        """
        self._apply_count = apply_count
        self._reports_by_peer: dict[str, _Report] = {}
        self._count_by_target: dict[str, int] = {}

    def count(self, target: str) -> int:
        """Returns the number of requests in flight at a target."""
        return self._count_by_target.get(target, 0)

    def update(
        self, peer: str, count_by_target: Mapping[str, int], now: float
    ) -> None:
        """Replaces what a peer has in flight.

        Args:
            peer: Name of a gateway or of a whole data centre.
            count_by_target: Its requests in flight, by target.
            now: Monotonic seconds.
        """
        previous = self._reports_by_peer.get(peer)
        self._reports_by_peer[peer] = _Report(
            received_at=now, count_by_target=count_by_target
        )
        if previous is not None:
            self._add(previous.count_by_target, sign=-1)
        self._add(count_by_target, sign=1)
        changed = set(count_by_target)
        if previous is not None:
            changed.update(previous.count_by_target)
        self._apply(changed)

    def remove_expired(self, now: float) -> None:
        """Removes the reports that are too old."""
        for peer, report in list(self._reports_by_peer.items()):
            if now - report.received_at > REPORT_EXPIRY_S:
                del self._reports_by_peer[peer]
                self._add(report.count_by_target, sign=-1)
                self._apply(report.count_by_target)

    def _add(self, count_by_target: Mapping[str, int], *, sign: int) -> None:
        for target, count in count_by_target.items():
            total = self._count_by_target.get(target, 0) + sign * count
            if total:
                self._count_by_target[target] = total
            else:
                self._count_by_target.pop(target, None)

    def _apply(self, targets: Iterable[str]) -> None:
        for target in targets:
            self._apply_count(target, self.count(target))
