"""Retry budget, and registry of requests that crash targets."""

import hashlib
from dataclasses import dataclass

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
    *, account: str, service: str, method: str, path: str, body: bytes
) -> str:
    """Returns a digest that is equal for repetitions of a request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (account, service, method, path):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()


@dataclass(kw_only=True, slots=True)
class _Suspicion:
    """Crashes attributed to one request.

    Attributes:
        crash_count: Number of crashes.
        last_crash_at: Time of the last one, in monotonic seconds.
    """

    crash_count: int
    last_crash_at: float


class CrashRegistry:
    """Requests during which targets crashed.

    A request is suspect after one crash, and refused once it reaches
    `crash_limit`. A crash counts only if its exchange began after the previous
    crash: when a rack fails, a frequent request is in flight at several of its
    targets, and those crashes count as one. A complete response ends the
    suspicion.
    """

    def __init__(self, *, settings: RetrySettings):
        """Starts without suspicions.

        Args:
            settings: Crash limit, and how long crashes are remembered.
        """
        self._settings = settings
        self._suspicions_by_fingerprint: dict[str, _Suspicion] = {}

    def record_crash(
        self, fingerprint: str, *, started_at: float, now: float
    ) -> bool:
        """Records a crash; returns true if the request is now to be refused.

        Args:
            fingerprint: Fingerprint of the request.
            started_at: Start of the exchange, in monotonic seconds.
            now: Monotonic seconds.
        """
        self._expire(now)
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None:
            suspicion = _Suspicion(crash_count=0, last_crash_at=float("-inf"))
            self._suspicions_by_fingerprint[fingerprint] = suspicion
        if started_at < suspicion.last_crash_at:
            return False
        suspicion.crash_count += 1
        suspicion.last_crash_at = now
        return suspicion.crash_count == self._settings.crash_limit

    def clear_suspicion(self, fingerprint: str) -> None:
        """Ends a suspicion, since the request got a complete response."""
        self._suspicions_by_fingerprint.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether any crash is attributed to the request."""
        self._expire(now)
        return fingerprint in self._suspicions_by_fingerprint

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether the request has reached the crash limit."""
        self._expire(now)
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        return (
            suspicion is not None
            and suspicion.crash_count >= self._settings.crash_limit
        )

    def snapshot(self) -> list[str]:
        """Returns the suspicions for peers, as `fingerprint count` pairs."""
        return [
            f"{fingerprint} {suspicion.crash_count}"
            for fingerprint, suspicion in (
                self._suspicions_by_fingerprint.items()
            )
        ]

    def merge(self, snapshot: list[str], now: float) -> list[str]:
        """Merges a peer's snapshot; returns newly refused fingerprints.

        The larger crash count wins. Counts are not added up, since both may
        stem from one failure, such as that of a rack.
        """
        newly_refused = []
        for pair in snapshot:
            fingerprint, _, crash_count = pair.partition(" ")
            reported_count = int(crash_count)
            suspicion = self._suspicions_by_fingerprint.get(fingerprint)
            if (
                suspicion is not None
                and suspicion.crash_count >= reported_count
            ):
                continue
            self._suspicions_by_fingerprint[fingerprint] = _Suspicion(
                crash_count=reported_count, last_crash_at=now
            )
            if reported_count >= self._settings.crash_limit:
                newly_refused.append(fingerprint)
        return newly_refused

    def _expire(self, now: float) -> None:
        """Removes suspicions whose last crash is too long ago."""
        oldest = now - self._settings.crash_memory_s
        for fingerprint, suspicion in list(
            self._suspicions_by_fingerprint.items()
        ):
            if suspicion.last_crash_at < oldest:
                del self._suspicions_by_fingerprint[fingerprint]
