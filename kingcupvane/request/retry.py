"""Retries: the budget, and requests that crash the targets that run them."""

import hashlib
from dataclasses import dataclass

from kingcupvane.settings import RetrySettings

FINGERPRINT_BYTES = 16
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class RetryBudget:
    """Retries as a share of requests.

    When everything fails, retries add at most that share to the load.
    """

    def __init__(self, *, settings: RetrySettings):
        """Starts with the full burst."""
        self._settings = settings
        self._tokens = float(settings.burst)

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def deposit(self) -> None:
        """Counts a first attempt."""
        settings = self._settings
        self._tokens = min(settings.burst, self._tokens + settings.share)

    def try_withdraw(self) -> bool:
        """Takes one retry; false when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_fingerprint(
    *, account: str, service: str, method: str, path: str, body: bytes
) -> str:
    """Returns a digest that is equal for repeats of a request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (account, service, method, path):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()


@dataclass(kw_only=True, slots=True)
class _Suspicion:
    crash_count: int
    last_crash_at: float


class CrashRegistry:
    """Requests in whose presence targets died.

    A request is suspect after one death, and refused after another death in
    a run that began when it was suspect already. Deaths of the same time do
    not add up: when a rack is lost, a frequent request is in flight at
    several of its targets. A whole answer ends the suspicion.
    """

    def __init__(self, *, settings: RetrySettings):
        """Starts without crashes."""
        self._settings = settings
        self._suspicions_by_fingerprint: dict[str, _Suspicion] = {}

    def add(self, fingerprint: str, *, started_at: float, now: float) -> bool:
        """Notes a death; true when the request is refused from now on.

        Args:
            fingerprint: Fingerprint of the request.
            started_at: When the run began, in monotonic seconds.
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

    def clear(self, fingerprint: str) -> None:
        """Ends a suspicion, since the request got a whole answer."""
        self._suspicions_by_fingerprint.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether any target died with this request."""
        self._expire(now)
        return fingerprint in self._suspicions_by_fingerprint

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether this request crashed too many targets."""
        self._expire(now)
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        return (
            suspicion is not None
            and suspicion.crash_count >= self._settings.crash_limit
        )

    def snapshot(self) -> list[str]:
        """Returns what to pass on: `fingerprint strikes` pairs."""
        return [
            f"{fingerprint} {suspicion.crash_count}"
            for fingerprint, suspicion in (
                self._suspicions_by_fingerprint.items()
            )
        ]

    def merge(self, snapshot: list[str], now: float) -> list[str]:
        """Takes in a peer's crashes; returns newly refused fingerprints.

        Strikes of two entries are not added, for they may be of one time.
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
        oldest = now - self._settings.crash_memory_s
        for fingerprint, suspicion in list(
            self._suspicions_by_fingerprint.items()
        ):
            if suspicion.last_crash_at < oldest:
                del self._suspicions_by_fingerprint[fingerprint]
