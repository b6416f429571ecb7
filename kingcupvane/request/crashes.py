"""Requests during which targets crashed, and when they may be tried again.

Each crash is known by the process that it ended, so that the knowledge of all
daemons adds up to the same set, however often it is passed on. A request with
fewer crashes than `crash_limit` is served as any other. From then on it is
quarantined: one copy at a time may be tried in the whole fleet, on one target.
A complete response ends the quarantine, and peers pass that on, too. A crash
makes the next trial wait longer.

Crashes of one moment count as one for that wait: when a rack loses power, a
frequent request is in flight at several of its targets. The next copy is then
tried at once, and an innocent request is not refused.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from kingcupvane.settings import RetrySettings

# Time from a crash to the start of an exchange within which the next crash
# belongs to the same moment, in seconds.
SAME_MOMENT_S = 0.1
# Wait that a copy of a request is held for rather than refused, in seconds.
SETTLING_S = 0.15
# Waits between the last crash and the next trial, in seconds, after one, two
# and three moments of crashes; after more, `crash_memory_s`. A request that
# crashes its targets is thus tried three times at most.
TRIAL_WAITS_S = (SETTLING_S, 3.0, 20.0)
# Crashes kept for one request, and requests that are remembered.
CRASHES_MAX = 12
SUSPICIONS_MAX = 500
# Time for which a crash or a clearance is news that every report tells, in
# seconds; quarantined requests are told for as long as they are.
NEWS_S = 6.0
# Quarantined requests told in one report.
TOLD_QUARANTINED_MAX = 64


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """A crash during a request, as told to peers.

    Attributes:
        process: Identifies the process of the target.
        age_s: Time since the crash, in seconds.
        exchange_s: Time from the start of the exchange to the crash, in
            seconds.
    """

    process: str
    age_s: float
    exchange_s: float


class SuspicionNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows of one request that may crash targets.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Its crashes since the last complete response.
        cleared_age_s: Time since the last complete response, in seconds;
            infinite without one.
    """

    fingerprint: str
    crashes: list[CrashNotice] = []
    cleared_age_s: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class _Crash:
    process: str
    started_at: float
    crashed_at: float


@dataclass(kw_only=True, slots=True)
class _Suspicion:
    """Crashes attributed to one request, by monotonic time, in seconds."""

    crashes: list[_Crash] = field(default_factory=list)
    cleared_at: float = float("-inf")

    @property
    def last_at(self) -> float:
        """Time of the last crash or clearance."""
        crashed_at = [crash.crashed_at for crash in self.crashes]
        return max([self.cleared_at, *crashed_at])

    def add(self, crash: _Crash) -> bool:
        """Adds a crash; returns false if it is known or cleared."""
        if crash.crashed_at <= self.cleared_at:
            return False
        is_known = any(known.process == crash.process for known in self.crashes)
        if crash.process and is_known:
            return False
        self.crashes.append(crash)
        self.crashes.sort(key=lambda known: known.crashed_at)
        if len(self.crashes) > CRASHES_MAX:
            # The first and the last ones tell how often it was tried.
            del self.crashes[CRASHES_MAX // 2]
        return True

    def clear(self, at: float) -> None:
        """Drops the crashes before a complete response."""
        self.cleared_at = max(self.cleared_at, at)
        self.crashes = [c for c in self.crashes if c.crashed_at > at]

    def moments(self) -> int:
        """Returns the number of moments at which targets crashed."""
        count = 0
        last_at = float("-inf")
        for crash in self.crashes:
            if crash.started_at > last_at + SAME_MOMENT_S:
                count += 1
            last_at = crash.crashed_at
        return count


class CrashRegistry:
    """Requests during which targets crashed; does no I/O."""

    def __init__(self, *, settings: RetrySettings):
        """Starts without suspicions.

        Args:
            settings: Crash limit, and how long crashes are remembered.
        """
        self._settings = settings
        self._suspicions_by_fingerprint: dict[str, _Suspicion] = {}

    def record_crash(
        self,
        fingerprint: str,
        *,
        started_at: float,
        now: float,
        process: str = "",
    ) -> bool:
        """Records a crash; returns true if the request is now to be refused.

        Args:
            fingerprint: Fingerprint of the request.
            started_at: Start of the exchange, in monotonic seconds.
            now: Monotonic seconds.
            process: Identifies the process of the target, in all daemons and
                however late they are told; empty if it is unknown.
        """
        self._expire(now)
        was_refused = self.is_refused(fingerprint, now)
        self._suspicion(fingerprint).add(
            _Crash(process=process, started_at=started_at, crashed_at=now)
        )
        return not was_refused and self.is_refused(fingerprint, now)

    def clear_suspicion(self, fingerprint: str, now: float) -> bool:
        """Ends a suspicion, since the request got a complete response.

        Args:
            fingerprint: Fingerprint of the request.
            now: Monotonic seconds.

        Returns:
            Whether there was a suspicion.
        """
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None or not suspicion.crashes:
            return False
        suspicion.clear(now)
        return True

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether any crash is attributed to the request."""
        return bool(self._crashes(fingerprint, now))

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether only one copy of the request may be tried."""
        crashes = self._crashes(fingerprint, now)
        return len(crashes) >= self._settings.crash_limit

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether no copy of the request may be tried soon."""
        return self.trial_wait_s(fingerprint, now) > SETTLING_S

    def trial_wait_s(self, fingerprint: str, now: float) -> float:
        """Returns the time until the request may be tried, in seconds."""
        if not self.is_quarantined(fingerprint, now):
            return 0.0
        suspicion = self._suspicions_by_fingerprint[fingerprint]
        moments = suspicion.moments()
        wait_s = self._settings.crash_memory_s
        if moments <= len(TRIAL_WAITS_S):
            wait_s = TRIAL_WAITS_S[moments - 1]
        return max(0.0, suspicion.last_at + wait_s - now)

    def crash_counts(self, fingerprint: str, now: float) -> tuple[int, int]:
        """Returns the numbers of crashes, and of moments of them."""
        if not self._crashes(fingerprint, now):
            return 0, 0
        suspicion = self._suspicions_by_fingerprint[fingerprint]
        return len(suspicion.crashes), suspicion.moments()

    def snapshot(self, now: float) -> list[SuspicionNotice]:
        """Returns what peers have to know: news, and what is quarantined."""
        self._expire(now)
        news = []
        quarantined = []
        for fingerprint, suspicion in self._suspicions_by_fingerprint.items():
            if now - suspicion.last_at < NEWS_S:
                news.append(fingerprint)
            elif self.is_quarantined(fingerprint, now):
                quarantined.append(fingerprint)
        told = [*news, *quarantined[-TOLD_QUARANTINED_MAX:]]
        return [self.notice(fingerprint, now) for fingerprint in told]

    def notice(self, fingerprint: str, now: float) -> SuspicionNotice:
        """Returns what is known of one request."""
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return SuspicionNotice(fingerprint)
        return SuspicionNotice(
            fingerprint,
            [
                CrashNotice(
                    crash.process,
                    round(now - crash.crashed_at, 3),
                    round(crash.crashed_at - crash.started_at, 3),
                )
                for crash in suspicion.crashes
            ],
            round(now - suspicion.cleared_at, 3),
        )

    def merge(
        self, notices: Iterable[SuspicionNotice], now: float
    ) -> list[str]:
        """Adds what a peer knows; returns newly refused fingerprints."""
        newly_refused = []
        for notice in notices:
            fingerprint = notice.fingerprint
            was_refused = self.is_refused(fingerprint, now)
            suspicion = self._suspicion(fingerprint)
            if notice.cleared_age_s != float("inf"):
                suspicion.clear(now - notice.cleared_age_s)
            for crash in notice.crashes:
                crashed_at = now - crash.age_s
                suspicion.add(
                    _Crash(
                        process=crash.process,
                        started_at=crashed_at - crash.exchange_s,
                        crashed_at=crashed_at,
                    )
                )
            if not was_refused and self.is_refused(fingerprint, now):
                newly_refused.append(fingerprint)
        return newly_refused

    def _crashes(self, fingerprint: str, now: float) -> list[_Crash]:
        """Returns the crashes of a request that are still remembered."""
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return []
        if suspicion.last_at < now - self._settings.crash_memory_s:
            return []
        return suspicion.crashes

    def _suspicion(self, fingerprint: str) -> _Suspicion:
        """Returns the suspicion of a request; makes one where needed."""
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None:
            suspicion = _Suspicion()
            self._suspicions_by_fingerprint[fingerprint] = suspicion
        return suspicion

    def _expire(self, now: float) -> None:
        """Removes suspicions that are too old, and the oldest of too many."""
        oldest = now - self._settings.crash_memory_s
        suspicions = self._suspicions_by_fingerprint
        for fingerprint, suspicion in list(suspicions.items()):
            is_told = now - suspicion.last_at < NEWS_S
            is_empty = not suspicion.crashes and not is_told
            if suspicion.last_at < oldest or is_empty:
                del suspicions[fingerprint]
        while len(suspicions) > SUSPICIONS_MAX:
            del suspicions[min(suspicions, key=lambda f: suspicions[f].last_at)]
