"""Slow start: rate limit of cold targets, without messages between gateways.

Load pattern: a target that has just started or come back tolerates only a few
requests per second from all gateways together, and crashes well above that. A
few gateways, which all gateways determine alike by rendezvous hashing, share
its rate; the others send it nothing until it is warm. Cold and warm refer to
the whole target here, but to one affinity key at a target in `placement`.
"""

from collections.abc import Sequence

from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.request.token_bucket import TokenBucket

# Fraction of the tolerated rate that the gateways use together.
COLD_RATE_SHARE = 0.6
# Gateways that may send requests to one cold target.
GATEWAYS_PER_COLD_TARGET = 4
# Time for which the limit still holds after the cold phase, in seconds.
COLD_MARGIN_S = 0.3


class SlowStartLimiter:
    """Limits the rate of requests from one gateway to cold targets.

    A target is cold until the latest time that `mark_cold` has set for it.
    """

    def __init__(self, *, name: str):
        """Starts without cold targets.

        Args:
            name: Name of this gateway.
        """
        self._name = name
        self._cold_until_by_target: dict[str, float] = {}
        self._buckets_by_target: dict[str, TokenBucket] = {}

    def mark_cold(self, target: str, *, left_s: float, now: float) -> None:
        """Marks a target as cold for some time; never shortens that time.

        Args:
            target: Name of the target.
            left_s: Remaining time of its cold phase, in seconds.
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
        """Returns whether this gateway may send a request to a target now.

        Args:
            target: Name of the target; a warm one may always be used.
            gateways: Names of all advertised gateways.
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

    def record_request(self, target: str, *, rate: float, now: float) -> None:
        """Records a request that is sent to a target, if the target is cold.

        Args:
            target: Name of the target.
            rate: Requests per second that it tolerates while cold.
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

    def remove_targets(self, targets: Sequence[str]) -> None:
        """Removes targets that are no longer registered."""
        for target in targets:
            self._cold_until_by_target.pop(target, None)
            self._buckets_by_target.pop(target, None)
