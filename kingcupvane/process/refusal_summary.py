"""Counts refusals for a summary that the load cannot make too long."""

from collections import Counter
from collections.abc import Iterator

# Least time between two summaries, in seconds.
SUMMARY_PERIOD_S = 1.0


class RefusalSummary:
    """Refusals since the last summary, by reason and plan."""

    def __init__(self) -> None:
        """Starts without refusals."""
        self._counts: Counter[tuple[str, int]] = Counter()
        self._taken_at = float("-inf")

    def add(self, reason: str, *, plan: int) -> None:
        """Counts a refusal.

        Args:
            reason: Stable reason of the refusal; one of a few.
            plan: Number of the plan by which it was refused.
        """
        self._counts[reason, plan] += 1

    def take_due(self, now: float) -> Iterator[dict[str, object]]:
        """Yields the fields of the summaries; none before the next is due.

        Args:
            now: Monotonic seconds.
        """
        if not self._counts or now - self._taken_at < SUMMARY_PERIOD_S:
            return
        self._taken_at = now
        counts, self._counts = self._counts, Counter()
        for (reason, plan), count in sorted(counts.items()):
            yield {"reason": reason, "count": count, "plan": plan}
