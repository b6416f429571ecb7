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
        self._saved = float(settings.burst)

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def deposit(self) -> None:
        """Counts a first attempt."""
        settings = self._settings
        self._saved = min(settings.burst, self._saved + settings.share)

    def try_withdraw(self) -> bool:
        """Takes one retry; false when the budget is used up."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
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
    strikes: int
    struck_at: float


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
        self._suspicions_by_print: dict[str, _Suspicion] = {}

    def add(self, fingerprint: str, *, started_at: float, now: float) -> bool:
        """Notes a death; true when the request is refused from now on.

        Args:
            fingerprint: Fingerprint of the request.
            started_at: When the run began, in monotonic seconds.
            now: Monotonic seconds.
        """
        self._forget(now)
        known = self._suspicions_by_print.get(fingerprint)
        if known is None:
            known = _Suspicion(strikes=0, struck_at=float("-inf"))
            self._suspicions_by_print[fingerprint] = known
        if started_at < known.struck_at:
            return False
        known.strikes += 1
        known.struck_at = now
        return known.strikes == self._settings.crash_limit

    def clear(self, fingerprint: str) -> None:
        """Ends a suspicion, since the request got a whole answer."""
        self._suspicions_by_print.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether any target died with this request."""
        self._forget(now)
        return fingerprint in self._suspicions_by_print

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether this request crashed too many targets."""
        self._forget(now)
        known = self._suspicions_by_print.get(fingerprint)
        return known is not None and known.strikes >= self._settings.crash_limit

    def snapshot(self) -> list[str]:
        """Returns what to pass on: `fingerprint strikes` pairs."""
        return [
            f"{fingerprint} {known.strikes}"
            for fingerprint, known in self._suspicions_by_print.items()
        ]

    def merge(self, snapshot: list[str], now: float) -> list[str]:
        """Takes in a peer's crashes; returns newly refused fingerprints.

        Strikes of two entries are not added, for they may be of one time.
        """
        fresh = []
        for text in snapshot:
            fingerprint, _, strikes = text.partition(" ")
            count = int(strikes)
            known = self._suspicions_by_print.get(fingerprint)
            if known is not None and known.strikes >= count:
                continue
            self._suspicions_by_print[fingerprint] = _Suspicion(
                strikes=count, struck_at=now
            )
            if count >= self._settings.crash_limit:
                fresh.append(fingerprint)
        return fresh

    def _forget(self, now: float) -> None:
        oldest = now - self._settings.crash_memory_s
        for fingerprint, known in list(self._suspicions_by_print.items()):
            if known.struck_at < oldest:
                del self._suspicions_by_print[fingerprint]
