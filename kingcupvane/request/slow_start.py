"""Rate limit of cold targets, without messages.

Load pattern: a target that has just started, or came back, tolerates only a
few requests a second of all gateways together and crashes well above that. A
few gateways, chosen alike everywhere, share its rate; the others leave it
alone until it is warm.
"""

from collections.abc import Sequence

from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.request.token_bucket import TokenBucket

# Part of the tolerated rate that is used.
COLD_RATE_SHARE = 0.6
# Gateways that may use one cold target.
GATEWAYS_PER_COLD_TARGET = 4
# Time after the end of the cold phase for which the limit still holds, in s.
COLD_MARGIN_S = 0.3


class SlowStartLimiter:
    """Admits requests to cold targets.

    A target is cold until a time that this gateway has noted for it.
    """

    def __init__(self, *, name: str):
        """Starts without cold targets.

        Args:
            name: Name of this gateway.
        """
        self._name = name
        self._cold_until_by_target: dict[str, float] = {}
        self._buckets_by_target: dict[str, TokenBucket] = {}

    def note(self, target: str, *, left_s: float, now: float) -> None:
        """Notes that a target stays cold for some time.

        Args:
            target: Its name.
            left_s: How much longer it is cold, in seconds.
            now: Monotonic seconds.
        """
        if left_s <= 0.0:
            return
        until = now + left_s + COLD_MARGIN_S
        if until > self._cold_until_by_target.get(target, 0.0):
            self._cold_until_by_target[target] = until

    def is_cold(self, target: str, now: float) -> bool:
        """Returns whether a target is cold."""
        return now < self._cold_until_by_target.get(target, 0.0)

    def may_use(self, target: str, gateways: Sequence[str], now: float) -> bool:
        """Returns whether this gateway may send a cold target anything.

        Args:
            target: Its name.
            gateways: All live gateways.
            now: Monotonic seconds.
        """
        if not self.is_cold(target, now):
            return True
        allowed = rendezvous_rank(gateways, hash_key=target)[
            :GATEWAYS_PER_COLD_TARGET
        ]
        if self._name not in allowed:
            return False
        bucket = self._buckets_by_target.get(target)
        return bucket is None or bucket.wait_s(now) <= 0.0

    def count(self, target: str, *, rate: float, now: float) -> None:
        """Counts a request that a cold target gets.

        Args:
            target: Its name.
            rate: Requests a second that it tolerates.
            now: Monotonic seconds.
        """
        if not self.is_cold(target, now):
            return
        bucket = self._buckets_by_target.get(target)
        if bucket is None:
            bucket = TokenBucket(now=now)
            self._buckets_by_target[target] = bucket
        bucket.resize(
            rate=COLD_RATE_SHARE * rate / GATEWAYS_PER_COLD_TARGET,
            burst=1.0,
            now=now,
        )
        bucket.try_acquire(now)

    def forget(self, targets: Sequence[str]) -> None:
        """Drops targets that are gone."""
        for target in targets:
            self._cold_until_by_target.pop(target, None)
            self._buckets_by_target.pop(target, None)
