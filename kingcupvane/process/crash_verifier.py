"""Checks whether a target crashed when the connection of a request broke."""

import trio

from kingcupvane.clock import Clock
from kingcupvane.connection.target_connection import ConnectFailedError, connect
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.gateway_request import SuspectedCrash
from kingcupvane.request.retry import CrashRegistry

PENDING_SUSPICIONS_MAX = 64


class CrashVerifier:
    """Attributes a crash to a request only if its target no longer listens."""

    def __init__(
        self, *, crashes: CrashRegistry, clock: Clock, timeline: Timeline
    ):
        """Creates a verifier; `run` checks the reported suspicions.

        Args:
            crashes: Receives requests whose target has crashed.
            clock: Monotonic clock.
            timeline: Records crashes of targets, and suspicions dropped because
                the queue was full.
        """
        self._crashes = crashes
        self._clock = clock
        self._timeline = timeline
        self._sender, self._receiver = trio.open_memory_channel[SuspectedCrash](
            PENDING_SUSPICIONS_MAX
        )

    def report(self, suspicion: SuspectedCrash) -> None:
        """Queues a suspicion; drops it when the queue is full."""
        try:
            self._sender.send_nowait(suspicion)
        except trio.WouldBlock:
            self._timeline.record("suspicion-dropped", target=suspicion.target)

    async def run(self) -> None:
        """Checks suspicions until cancelled."""
        async with trio.open_nursery() as nursery:
            async for suspicion in self._receiver:
                nursery.start_soon(self._verify, suspicion)

    async def _verify(self, suspicion: SuspectedCrash) -> None:
        try:
            stream = await connect(suspicion.address)
        except ConnectFailedError:
            refused = self._crashes.record_crash(
                suspicion.fingerprint,
                started_at=suspicion.started_at,
                now=self._clock.now(),
            )
            self._timeline.record(
                "target-died-with-request",
                target=suspicion.target,
                fingerprint=suspicion.fingerprint,
                refused=refused,
            )
            return
        await trio.aclose_forcefully(stream)
