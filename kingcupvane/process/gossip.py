"""Heartbeats between daemons, which also carry news of configurations.

Each period a daemon talks to two others of its data centre and to one of
another, and each answer carries the peer's news. A daemon that hears of a
newer revision pulls it from that peer, so a data centre that is cut off from
the store still gets it from any peer that it reaches.
"""

import contextlib
import random

import trio
from result import Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Heartbeat,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.membership import Membership
from kingcupvane.process.mover import MoveRegister
from kingcupvane.process.replica import Replica
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.retry import CrashRegistry
from kingcupvane.settings import EntrySettings

NEAR_PEERS = 2
FAR_PEERS = 1
PULLS_WAITING = 4


class Gossip:
    """Sends and answers heartbeats."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        client: PeerClient,
        replica: Replica,
        membership: Membership,
        crashes: CrashRegistry,
        moves: MoveRegister,
        timeline: Timeline,
        clock: Clock,
        seed: int,
    ):
        """Makes the task's state.

        Args:
            settings: This daemon's settings.
            client: Sends to peers.
            replica: Gets newer configurations.
            membership: Gets the beats.
            crashes: Gets requests that crashed targets elsewhere.
            moves: Gets decisions about moves.
            timeline: Gets changes of who is alive.
            clock: Monotonic clock.
            seed: Seed of the choice of peers.
        """
        self._settings = settings
        self._client = client
        self._replica = replica
        self._membership = membership
        self._crashes = crashes
        self._moves = moves
        self._timeline = timeline
        self._clock = clock
        self._random = random.Random(seed)
        self._live: list[str] = []
        self._pulls, self._pull_inbox = trio.open_memory_channel[str](
            PULLS_WAITING
        )

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull_newer)
            while True:
                await self.round()
                await trio.sleep(self._settings.heartbeat.period_s)

    async def round(self) -> None:
        """Sends one round of heartbeats and takes in the answers."""
        self._membership.beat()
        async with trio.open_nursery() as nursery:
            for address in self._addresses():
                nursery.start_soon(self._talk, address)
        self._note_changes()

    def _addresses(self) -> list[str]:
        settings = self._settings
        entries = self._replica.current.items.entries
        others = [entry for entry in entries if entry.name != settings.name]
        if not others:
            seeds = [s for s in settings.seeds if s != settings.peer_address]
            count = min(NEAR_PEERS + FAR_PEERS, len(seeds))
            return self._random.sample(seeds, count)
        near = [
            entry.peer_address
            for entry in others
            if entry.data_centre == settings.data_centre
        ]
        far = [
            entry.peer_address
            for entry in others
            if entry.data_centre != settings.data_centre
        ]
        chosen = self._random.sample(near, min(NEAR_PEERS, len(near)))
        return chosen + self._random.sample(far, min(FAR_PEERS, len(far)))

    async def _talk(self, address: str) -> None:
        reply = await self._client.ask(address, self.heartbeat())
        if isinstance(reply, Ok) and isinstance(reply.ok_value, Heartbeat):
            self.hear(reply.ok_value)

    def heartbeat(self) -> Heartbeat:
        """Returns what this daemon has to tell."""
        current = self._replica.current
        return Heartbeat(
            sender=self._settings.name,
            address=self._settings.peer_address,
            revision=current.revision,
            digest=current.digest,
            beats=self._membership.beats(),
            crashes=self._crashes.shared(),
            moves=list(self._moves.states_by_name.values()),
            leaving_vms=self._membership.listed_leaving(),
            confirmed_age_s=self._replica.age_s(),
        )

    def hear(self, heartbeat: Heartbeat) -> None:
        """Takes in a peer's news."""
        now = self._clock.now()
        self._hear_beats(heartbeat, now)
        for print_ in self._crashes.hear(heartbeat.crashes, now):
            self._timeline.record(
                "request-refused-for-crashes",
                fingerprint=print_,
                source=heartbeat.sender,
            )
        for state in heartbeat.moves:
            self._moves.hear(state)
        current = self._replica.current
        if heartbeat.revision > current.revision:
            with contextlib.suppress(trio.WouldBlock):
                self._pulls.send_nowait(heartbeat.address)
        self._replica.confirm(
            heartbeat.revision, age_s=heartbeat.confirmed_age_s
        )
        same = heartbeat.revision == current.revision
        if same and heartbeat.digest != current.digest:
            self._timeline.record(
                "configuration-digests-differ",
                peer=heartbeat.sender,
                revision=current.revision,
            )

    def _hear_beats(self, heartbeat: Heartbeat, now: float) -> None:
        entries = self._replica.current.entries_by_name
        sender = entries.get(heartbeat.sender)
        own = self._settings.data_centre
        if sender is None or sender.data_centre == own:
            self._membership.hear(heartbeat.beats, now)
            self._membership.hear_listed(heartbeat.leaving_vms, now)
            return
        self._membership.hear_far(heartbeat.beats)

    async def _pull_newer(self) -> None:
        async for address in self._pull_inbox:
            await self._pull(address)

    async def _pull(self, address: str) -> None:
        request = ConfigurationRequest(revision=self._replica.current.revision)
        reply = await self._client.ask(address, request)
        if not isinstance(reply, Ok):
            return
        message = reply.ok_value
        if isinstance(message, ConfigurationReply) and message.document:
            self._replica.offer(message.document, source=address)

    def _note_changes(self) -> None:
        live = self._membership.live(self._clock.now())
        if live != self._live:
            self._live = live
            self._timeline.record("entries-live", names=",".join(live))
