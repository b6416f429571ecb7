"""Token bucket whose rate and size may change while it runs.

A new bucket is empty, and a change never adds tokens: whoever had the share
before may have spent them. So the tokens of all buckets of an account never
exceed its burst, and they grow no faster than its rate.
"""


class TokenBucket:
    """Tokens of one client account at one entry.

    Attributes:
        rate: Tokens gained per second.
        burst: Most tokens held.
    """

    def __init__(self, *, now: float):
        """Makes an empty bucket without a rate.

        Args:
            now: Monotonic seconds.
        """
        self.rate = 0.0
        self.burst = 0.0
        self._tokens = 0.0
        self._updated_at = now

    def resize(self, *, rate: float, burst: float, now: float) -> None:
        """Changes rate and size from `now` on."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def try_acquire(self, now: float) -> bool:
        """Takes one token; false when there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Returns the time until one token is there, in seconds."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._tokens)
        if missing == 0.0:
            return 0.0
        if self.rate <= 0.0 or self.burst < 1.0:
            return float("inf")
        return missing / self.rate

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._updated_at) * self.rate
        self._tokens = min(self.burst, self._tokens + gained)
        self._updated_at = max(self._updated_at, now)
