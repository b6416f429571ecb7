"""Checks whether a target lives after a request got no response from it."""

import trio

from kingcupvane.clock import Clock
from kingcupvane.connection.target_connection import ConnectFailedError, connect
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.gateway_request import (
    SuspectedCrash,
    UnansweredExchange,
)

PENDING_SUSPICIONS_MAX = 64
# Longest time for which a request waits for the check of its target, in
# seconds.
CHECK_WAIT_MAX_S = 0.2
# A dying process may close its connections before its listener, so a target
# that listens is checked once more after this time, in seconds.
RECHECK_AFTER_S = 0.1


class CrashVerifier:
    """Attributes a crash to a request only if its target no longer listens.

    A timeout, on the other hand, counts against the version of the target only
    if the target listens.
    """

    def __init__(
        self,
        *,
        crashes: CrashRegistry,
        evidence: EvidenceCounter,
        clock: Clock,
        timeline: Timeline,
    ):
        """Creates a verifier; `run` checks the reported suspicions.

        Args:
            crashes: Receives requests whose target has crashed.
            evidence: Receives timeouts of targets that live.
            clock: Monotonic clock.
            timeline: Records crashes of targets, and suspicions dropped because
                the queue was full.
        """
        self._crashes = crashes
        self._evidence = evidence
        self._clock = clock
        self._timeline = timeline
        self._sender, self._receiver = trio.open_memory_channel[
            SuspectedCrash | UnansweredExchange
        ](PENDING_SUSPICIONS_MAX)

    def report(self, suspicion: SuspectedCrash | UnansweredExchange) -> None:
        """Queues a suspicion; drops it when the queue is full."""
        try:
            self._sender.send_nowait(suspicion)
        except trio.WouldBlock:
            self._timeline.record("suspicion-dropped", target=suspicion.target)

    async def check(self, suspicion: SuspectedCrash) -> None:
        """Checks a suspicion, for `CHECK_WAIT_MAX_S` at most.

        Without a result it is queued, as it is when the caller is cancelled.
        """
        has_died = False
        try:
            with trio.move_on_after(CHECK_WAIT_MAX_S):
                has_died = not await self._listens(suspicion.address)
        finally:
            if has_died:
                self._record_crash(suspicion)
            else:
                self.report(suspicion)

    async def run(self) -> None:
        """Checks suspicions until cancelled."""
        async with trio.open_nursery() as nursery:
            async for suspicion in self._receiver:
                nursery.start_soon(self._verify, suspicion)

    async def _verify(
        self, suspicion: SuspectedCrash | UnansweredExchange
    ) -> None:
        listens = await self._listens(suspicion.address)
        if isinstance(suspicion, UnansweredExchange):
            if listens:
                self._evidence.add(suspicion.sample)
            return
        if listens:
            await trio.sleep(RECHECK_AFTER_S)
            listens = await self._listens(suspicion.address)
        if not listens:
            self._record_crash(suspicion)

    async def _listens(self, address: str) -> bool:
        try:
            stream = await connect(address)
        except ConnectFailedError:
            return False
        await trio.aclose_forcefully(stream)
        return True

    def _record_crash(self, suspicion: SuspectedCrash) -> None:
        now = self._clock.now()
        refused = self._crashes.record_crash(
            suspicion.fingerprint,
            started_at=suspicion.started_at,
            now=now,
            process=suspicion.process,
        )
        crashes, moments = self._crashes.crash_counts(
            suspicion.fingerprint, now
        )
        self._timeline.record(
            "target-died-with-request",
            target=suspicion.target,
            fingerprint=suspicion.fingerprint,
            refused=refused,
            crashes=crashes,
            moments=moments,
        )
