"""Retries: the budget, and requests that crash the targets that run them."""

import hashlib

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

    def earn(self) -> None:
        """Counts a first attempt."""
        settings = self._settings
        self._saved = min(settings.burst, self._saved + settings.share)

    def spend(self) -> bool:
        """Takes one retry; false when the budget is used up."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def fingerprint(
    *, account: str, service: str, method: str, path: str, body: bytes
) -> str:
    """Returns a digest that is equal for repeats of a request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (account, service, method, path):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()


class CrashRegistry:
    """Requests in whose presence targets died.

    Peers share what each of them has seen, so a request that killed one
    target behind each of two entries is refused by both.
    """

    def __init__(self, *, settings: RetrySettings):
        """Starts without crashes."""
        self._settings = settings
        self._targets_by_print: dict[str, set[str]] = {}
        self._seen_at_by_print: dict[str, float] = {}

    def add(self, print_: str, target: str, now: float) -> bool:
        """Notes that a target died; true when the request is now refused."""
        before = self.is_refused(print_, now)
        self._targets_by_print.setdefault(print_, set()).add(target)
        self._seen_at_by_print[print_] = now
        return self.is_refused(print_, now) and not before

    def is_suspect(self, print_: str, now: float) -> bool:
        """Returns whether any target died with this request."""
        self._forget(now)
        return print_ in self._targets_by_print

    def is_refused(self, print_: str, now: float) -> bool:
        """Returns whether this request crashed too many targets."""
        self._forget(now)
        targets = self._targets_by_print.get(print_, set())
        return len(targets) >= self._settings.crash_limit

    def shared(self) -> list[str]:
        """Returns what to pass on: `fingerprint target` pairs."""
        return [
            f"{print_} {target}"
            for print_, targets in self._targets_by_print.items()
            for target in sorted(targets)
        ]

    def hear(self, shared: list[str], now: float) -> list[str]:
        """Takes in a peer's crashes; returns newly refused fingerprints."""
        fresh = []
        for text in shared:
            print_, _, target = text.partition(" ")
            if target in self._targets_by_print.get(print_, set()):
                continue
            if self.add(print_, target, now):
                fresh.append(print_)
        return fresh

    def _forget(self, now: float) -> None:
        oldest = now - self._settings.crash_memory_s
        for print_, seen_at in list(self._seen_at_by_print.items()):
            if seen_at < oldest:
                del self._seen_at_by_print[print_]
                del self._targets_by_print[print_]
