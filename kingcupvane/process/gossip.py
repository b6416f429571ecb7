"""Gossip of heartbeats, which also announce configuration revisions.

In each period an entry exchanges heartbeats with two peers of its data centre
and one of another: the reply to a heartbeat is the peer's own. An entry that
learns of a newer revision pulls it from the peer that announced it, so a data
centre that is cut off from the store still gets it from any peer that it
reaches.
"""

import contextlib
import random
from collections.abc import Iterator
from functools import partial

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
from kingcupvane.process.move_controller import MoveStates
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.settings import EntrySettings
from kingcupvane.version.items import Entry

LOCAL_PEERS_PER_ROUND = 2
REMOTE_PEERS_PER_ROUND = 1
# Pulls of newer configurations that are queued; further ones are dropped.
PENDING_PULLS_MAX = 4


class Gossip:
    """Exchanges heartbeats with randomly chosen peers."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        client: PeerClient,
        replica: ConfigurationReplica,
        membership: Membership,
        crashes: CrashRegistry,
        move_states: MoveStates,
        timeline: Timeline,
        clock: Clock,
        seed: int,
    ):
        """Creates the gossip task; `run` starts it.

        Args:
            settings: This entry's settings.
            client: Client for messages to peers.
            replica: The configuration, updated from peers.
            membership: Liveness of entries, updated from heartbeats.
            crashes: Fingerprints of requests that crash targets.
            move_states: States of moves.
            timeline: Log of changes in the set of live entries.
            clock: Monotonic clock.
            seed: Random seed for the choice of peers.
        """
        self._settings = settings
        self._client = client
        self._replica = replica
        self._membership = membership
        self._crashes = crashes
        self._move_states = move_states
        self._timeline = timeline
        self._clock = clock
        self._random = random.Random(seed)
        self._live_names: list[str] = []
        self._pull_sender, self._pull_receiver = trio.open_memory_channel[str](
            PENDING_PULLS_MAX
        )

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull_newer)
            while True:
                await self.run_round()
                await trio.sleep(self._settings.heartbeat.period_s)

    async def run_round(self) -> None:
        """Sends one round of heartbeats and merges the replies."""
        self._membership.beat()
        async with trio.open_nursery() as nursery:
            for address, remote in self._choose_peers():
                nursery.start_soon(
                    partial(self._exchange, address, remote=remote)
                )
        self._record_live_changes()

    def _choose_peers(self) -> Iterator[tuple[str, bool]]:
        """Yields peer addresses, and whether each is in another data centre.

        Without other configured entries the seeds are used instead.
        """
        settings = self._settings
        entries = self._replica.current.items.entries
        others = [entry for entry in entries if entry.name != settings.name]
        if not others:
            seeds = [s for s in settings.seeds if s != settings.peer_address]
            for address in self._sample(
                seeds, LOCAL_PEERS_PER_ROUND + REMOTE_PEERS_PER_ROUND
            ):
                yield address, False
        local = [e.peer_address for e in others if self._is_local(e)]
        remote = [e.peer_address for e in others if not self._is_local(e)]
        for address in self._sample(local, LOCAL_PEERS_PER_ROUND):
            yield address, False
        for address in self._sample(remote, REMOTE_PEERS_PER_ROUND):
            yield address, True

    def _is_local(self, entry: Entry) -> bool:
        return entry.data_centre == self._settings.data_centre

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self._random.sample(addresses, min(count, len(addresses)))

    def is_remote(self, name: str) -> bool:
        """Returns whether an entry is known to be in another data centre."""
        entry = self._replica.current.entries_by_name.get(name)
        return entry is not None and not self._is_local(entry)

    async def _exchange(self, address: str, *, remote: bool) -> None:
        reply = await self._client.ask(address, self.heartbeat(remote=remote))
        if isinstance(reply, Ok) and isinstance(reply.ok_value, Heartbeat):
            self.receive(reply.ok_value)

    def heartbeat(self, *, remote: bool) -> Heartbeat:
        """Returns this entry's current heartbeat.

        Args:
            remote: Whether the receiver is in another data centre; it then
                gets only the beats of this entry and of leaving ones.
        """
        current = self._replica.current
        membership = self._membership
        beats = membership.remote_beats() if remote else membership.beats()
        return Heartbeat(
            sender=self._settings.name,
            address=self._settings.peer_address,
            revision=current.revision,
            digest=current.digest,
            beats=beats,
            crashes=self._crashes.snapshot(self._clock.now()),
            moves=list(self._move_states.states_by_name.values()),
            leaving_vms=self._membership.listed_leaving(),
            confirmed_age_s=self._replica.confirmed_age_s(),
        )

    def receive(self, heartbeat: Heartbeat) -> None:
        """Merges a peer's heartbeat; queues a pull of a newer configuration."""
        now = self._clock.now()
        self._merge_membership(heartbeat, now)
        for fingerprint in self._crashes.merge(heartbeat.crashes, now):
            self._timeline.record(
                "request-refused-for-crashes",
                fingerprint=fingerprint,
                source=heartbeat.sender,
            )
        for state in heartbeat.moves:
            self._move_states.merge(state)
        current = self._replica.current
        if heartbeat.revision > current.revision:
            with contextlib.suppress(trio.WouldBlock):
                self._pull_sender.send_nowait(heartbeat.address)
        self._replica.confirm(
            heartbeat.revision, age_s=heartbeat.confirmed_age_s
        )
        same_revision = heartbeat.revision == current.revision
        if same_revision and heartbeat.digest != current.digest:
            self._timeline.record(
                "configuration-digests-differ",
                peer=heartbeat.sender,
                revision=current.revision,
            )

    def _merge_membership(self, heartbeat: Heartbeat, now: float) -> None:
        if self.is_remote(heartbeat.sender):
            self._membership.merge_remote(heartbeat.beats, now)
            return
        self._membership.merge(heartbeat.beats, now)
        self._membership.merge_listed_leaving(heartbeat.leaving_vms, now)

    async def _pull_newer(self) -> None:
        async for address in self._pull_receiver:
            await self._pull(address)

    async def _pull(self, address: str) -> None:
        request = ConfigurationRequest(revision=self._replica.current.revision)
        reply = await self._client.ask(address, request)
        if not isinstance(reply, Ok):
            return
        message = reply.ok_value
        if isinstance(message, ConfigurationReply) and message.document:
            self._replica.offer(message.document, source=address)

    def _record_live_changes(self) -> None:
        live = self._membership.live_names(self._clock.now())
        if live != self._live_names:
            self._live_names = live
            self._timeline.record("entries-live", names=",".join(live))
