"""Token bucket whose rate and burst may change while it is in use.

A new bucket is empty, and a resize never adds tokens, since the previous holder
of a share may have spent them. So all buckets of an account together never hold
more than its burst and never refill faster than its rate.
"""


class TokenBucket:
    """A token bucket, such as one entry's share of an account's rate.

    Attributes:
        rate: Tokens added per second.
        burst: Most tokens held.
    """

    def __init__(self, *, now: float):
        """Creates an empty bucket with rate and burst 0.

        Args:
            now: Monotonic seconds.
        """
        self.rate = 0.0
        self.burst = 0.0
        self._tokens = 0.0
        self._updated_at = now

    def resize(self, *, rate: float, burst: float, now: float) -> None:
        """Sets rate and burst from `now` on; tokens above the burst are lost.

        Args:
            rate: Tokens added per second.
            burst: Most tokens held.
            now: Monotonic seconds.
        """
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def keep_share(self, share: float, now: float) -> None:
        """Drops all but a share of the tokens, 0 to 1."""
        self._refill(now)
        self._tokens *= share

    def try_acquire(self, now: float) -> bool:
        """Takes one token; returns false when there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def add(self, tokens: float, now: float) -> None:
        """Adds tokens; those above the burst are lost."""
        self._refill(now)
        self._tokens = min(self.burst, self._tokens + tokens)

    def take_all(self, now: float) -> float:
        """Takes all tokens; returns their number."""
        tokens = self.tokens(now)
        self._tokens = 0.0
        return tokens

    def tokens(self, now: float) -> float:
        """Returns the tokens held now."""
        self._refill(now)
        return self._tokens

    def wait_s(self, now: float) -> float:
        """Returns the time until a token is available, in seconds.

        It is infinite when rate or burst never yield a whole token.
        """
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
