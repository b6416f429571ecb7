"""Trials of quarantined requests: one copy at a time in the whole fleet.

The ready gateway that ranks first for a request grants its trials. A gateway
that has a copy of it asks there, tells what it knows, and learns what is known
there. While a trial runs, further copies wait for its end for a short time: if
it gets a response, they are served, too.
"""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio
from result import Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    TrialEnded,
    TrialReply,
    TrialRequest,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.load_balancing import rendezvous_rank

# Time for which a grant holds unless its trial ends before, in seconds.
GRANT_TTL_S = 2.5
# Interval at which a waiting copy asks again, in seconds.
POLL_S = 0.1
# Longest wait for a reply of a granting gateway, in seconds, and the number of
# gateways that are asked before a copy is refused.
ASK_TIMEOUT_S = 0.3
GRANTERS_MAX = 2
# Ends of trials that are queued to be told; further ones are dropped, and their
# grants expire.
PENDING_ENDS_MAX = 64


class Admission(enum.Enum):
    """Whether a copy of a suspect request may be sent to a target.

    `FREE`: the request is not quarantined. `TRIAL`: this copy is the trial.
    `REFUSED`: it may not be sent now.
    """

    FREE = enum.auto()
    TRIAL = enum.auto()
    REFUSED = enum.auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Grant:
    holder: str
    ends_at: float


class CrashTrials:
    """Asks for trials of quarantined requests, and grants them."""

    def __init__(
        self,
        *,
        crashes: CrashRegistry,
        peers: PeerTable,
        client: PeerClient,
        is_ready: Callable[[], bool],
        clock: Clock,
        timeline: Timeline,
    ):
        """Creates a component without grants; `run` tells the ends of trials.

        Args:
            crashes: Requests that crash targets.
            peers: The known gateways.
            client: Client for messages to peers.
            is_ready: Returns whether this gateway accepts callers.
            clock: Monotonic clock.
            timeline: Logs trials and refusals.
        """
        self._crashes = crashes
        self._peers = peers
        self._client = client
        self._is_ready = is_ready
        self._clock = clock
        self._timeline = timeline
        self._grants_by_fingerprint: dict[str, _Grant] = {}
        self._sender, self._receiver = trio.open_memory_channel[str](
            PENDING_ENDS_MAX
        )

    async def admit(self, fingerprint: str, *, give_up_at: float) -> Admission:
        """Returns whether a copy of a request may be sent to a target.

        Args:
            fingerprint: Fingerprint of the request.
            give_up_at: Monotonic time until which the copy may wait for the
                trial of another one, in seconds.
        """
        while True:
            now = self._clock.now()
            if not self._crashes.is_quarantined(fingerprint, now):
                return Admission.FREE
            if self._crashes.is_refused(fingerprint, now):
                return Admission.REFUSED
            settles_in_s = self._crashes.trial_wait_s(fingerprint, now)
            if settles_in_s > 0.0:
                await trio.sleep(settles_in_s)
                continue
            if await self._ask(fingerprint):
                self._record("crash-trial-begun", fingerprint)
                return Admission.TRIAL
            if self._clock.now() >= give_up_at:
                self._record("crash-trial-awaited-too-long", fingerprint)
                return Admission.REFUSED
            await trio.sleep(POLL_S)

    def end(self, fingerprint: str) -> None:
        """Ends a trial: another copy may be tried if that is due."""
        self._record("crash-trial-ended", fingerprint)
        try:
            self._sender.send_nowait(fingerprint)
        except trio.WouldBlock:
            self._record("crash-trial-end-dropped", fingerprint)

    async def run(self) -> None:
        """Tells the ends of trials until cancelled."""
        async with trio.open_nursery() as nursery:
            async for fingerprint in self._receiver:
                nursery.start_soon(self._tell_end, fingerprint)

    def reply_to(self, message: TrialRequest | TrialEnded) -> TrialReply:
        """Returns the reply to a message about a trial."""
        now = self._clock.now()
        fingerprint = message.notice.fingerprint
        self._crashes.merge([message.notice], now)
        granted = False
        if isinstance(message, TrialRequest):
            granted = self._grant(fingerprint, message.sender, now)
        else:
            self._release(fingerprint, message.sender)
        return TrialReply(
            granted=granted, notice=self._crashes.notice(fingerprint, now)
        )

    def _grant(self, fingerprint: str, holder: str, now: float) -> bool:
        self._remove_expired(now)
        if (
            fingerprint in self._grants_by_fingerprint
            or not self._crashes.is_quarantined(fingerprint, now)
            or self._crashes.trial_wait_s(fingerprint, now) > 0.0
        ):
            return False
        self._grants_by_fingerprint[fingerprint] = _Grant(
            holder=holder, ends_at=now + GRANT_TTL_S
        )
        return True

    def _release(self, fingerprint: str, holder: str) -> None:
        grant = self._grants_by_fingerprint.get(fingerprint)
        if grant is not None and grant.holder == holder:
            del self._grants_by_fingerprint[fingerprint]

    def _remove_expired(self, now: float) -> None:
        for fingerprint, grant in list(self._grants_by_fingerprint.items()):
            if grant.ends_at <= now:
                del self._grants_by_fingerprint[fingerprint]

    async def _ask(self, fingerprint: str) -> bool:
        """Asks for a trial; returns whether it is granted."""
        request = TrialRequest(
            sender=self._peers.own.name,
            notice=self._crashes.notice(fingerprint, self._clock.now()),
        )
        reply = await self._send(request)
        return reply is not None and reply.granted

    async def _tell_end(self, fingerprint: str) -> None:
        ended = TrialEnded(
            sender=self._peers.own.name,
            notice=self._crashes.notice(fingerprint, self._clock.now()),
        )
        await self._send(ended)

    async def _send(
        self, message: TrialRequest | TrialEnded
    ) -> TrialReply | None:
        """Sends a message to the granting gateway; merges what it knows."""
        for address in self._granters(message.notice.fingerprint):
            if address == self._peers.own.peer_address:
                return self.reply_to(message)
            with trio.move_on_after(ASK_TIMEOUT_S):
                reply = await self._client.ask(address, message)
                if isinstance(reply, Ok) and isinstance(
                    reply.ok_value, TrialReply
                ):
                    self._crashes.merge(
                        [reply.ok_value.notice], self._clock.now()
                    )
                    return reply.ok_value
        return None

    def _granters(self, fingerprint: str) -> Iterator[str]:
        """Yields the peer addresses of the gateways to ask, best first."""
        records = [
            gateway.record
            for gateway in self._peers.live_gateways(self._clock.now())
            if gateway.ready
        ]
        if self._is_ready() or not records:
            records.append(self._peers.own)
        address_by_name = {r.name: r.peer_address for r in records}
        ranked = rendezvous_rank(address_by_name, hash_key=fingerprint)
        for name in ranked[:GRANTERS_MAX]:
            yield address_by_name[name]

    def _record(self, kind: str, fingerprint: str) -> None:
        now = self._clock.now()
        crashes, moments = self._crashes.crash_counts(fingerprint, now)
        self._timeline.record(
            kind,
            fingerprint=fingerprint,
            crashes=crashes,
            moments=moments,
            wait_s=round(self._crashes.trial_wait_s(fingerprint, now), 3),
        )
