"""Retry budget, and fingerprints of requests."""

import hashlib

from kingcupvane.connection.request_body import Body, blocks_of
from kingcupvane.settings import RetrySettings

FINGERPRINT_BYTES = 16
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Even if every attempt fails, retries add at most that share to the load,
    apart from a burst.
    """

    def __init__(self, *, settings: RetrySettings):
        """Starts with a full bucket.

        Args:
            settings: Share and burst of retries.
        """
        self._settings = settings
        self._tokens = float(settings.burst)

    @property
    def remaining(self) -> float:
        """Retries that the budget allows now."""
        return self._tokens

    def deposit(self) -> None:
        """Adds what one first attempt allows: `settings.share` of a retry."""
        settings = self._settings
        self._tokens = min(settings.burst, self._tokens + settings.share)

    def try_withdraw(self) -> bool:
        """Takes one retry; returns false when the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_fingerprint(
    *, account: str, service: str, method: str, path: str, body: Body
) -> str:
    """Returns a digest that is equal for repetitions of a request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (account, service, method, path):
        digest.update(part.encode() + b"\0")
    for block in blocks_of(body):
        digest.update(block)
    return digest.hexdigest()
