"""Moves traffic between versions while this daemon holds the role.

Entries count their exchanges with targets by version. The holder of the role
(`judge` in the store) reads these counters, decides on each move, and writes
each decision by compare-and-swap. A new holder first writes its fencing token
into the record of a move, so that a late write of an earlier holder that was
paused fails because the revision has changed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
import trio
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import EvidenceReply, EvidenceRequest
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.role import Role
from kingcupvane.process.store import ABSENT_REVISION, Conflict, Item, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.version.canary_analysis import (
    CanaryAnalysis,
    Tally,
    counts_since,
)
from kingcupvane.version.items import Entry, Move
from kingcupvane.version.move import (
    MOVE_STATE_PREFIX,
    MoveState,
    Phase,
    next_move_state,
    supersedes,
)

PERIOD_S = 0.5


class MoveStates:
    """Latest known state of each move; states may arrive in any order."""

    def __init__(self, *, timeline: Timeline):
        """Starts empty.

        Args:
            timeline: Records each newly known decision.
        """
        self._timeline = timeline
        self.states_by_name: dict[str, MoveState] = {}

    def merge(self, state: MoveState) -> bool:
        """Stores a state; returns false unless it supersedes the known one."""
        if not supersedes(state, self.states_by_name.get(state.name)):
            return False
        self.states_by_name[state.name] = state
        self._timeline.record(
            "move-state",
            move=state.name,
            phase=state.phase.name.lower(),
            share=state.share,
            number=state.number,
            reason=state.reason,
        )
        return True

    def retain(self, moves: Mapping[str, object]) -> None:
        """Drops moves that are no longer configured."""
        for name in list(self.states_by_name):
            if name not in moves:
                del self.states_by_name[name]


@dataclass(kw_only=True, slots=True)
class _ActiveMove:
    """A move that this controller has taken over."""

    analysis: CanaryAnalysis
    item: Item
    state: MoveState | None
    step_started_at: float
    last_tallies_by_source: dict[tuple, Tally] = field(default_factory=dict)


class MoveController:
    """Runs canary analysis and decides on moves while it holds the role."""

    def __init__(
        self,
        *,
        role: Role,
        store: Store,
        client: PeerClient,
        replica: ConfigurationReplica,
        move_states: MoveStates,
        clock: Clock,
        timeline: Timeline,
    ):
        """Creates a controller; `run` starts it.

        Args:
            role: The leased role of the controller.
            store: Client of the platform's store, which holds the decisions.
            client: Reads the counters of the entries.
            replica: Provides the configured moves and entries.
            move_states: Receives each decision immediately.
            clock: Monotonic and wall clock.
            timeline: Records decisions that the store refused as stale.
        """
        self._role = role
        self._store = store
        self._client = client
        self._replica = replica
        self._move_states = move_states
        self._clock = clock
        self._timeline = timeline
        self._active_moves_by_name: dict[str, _ActiveMove] = {}

    async def run(self) -> None:
        """Evaluates moves until cancelled."""
        while True:
            await trio.sleep(PERIOD_S)
            if self._role.holds():
                await self.run_round()
            else:
                self._active_moves_by_name.clear()

    async def run_round(self) -> None:
        """Reads the counters and decides on each move."""
        moves = self._replica.current.items.moves
        if not moves:
            return
        for move in moves:
            if move.name not in self._active_moves_by_name:
                await self._take_over(move)
        tallies = await self._read_counters(moves)
        for move in moves:
            active_move = self._active_moves_by_name.get(move.name)
            if active_move is not None:
                active_move.analysis.add(_new_counts(active_move, tallies))
                await self._decide(move, active_move)

    async def _take_over(self, move: Move) -> None:
        """Takes a move over by writing the own fencing token to its record."""
        current = await self._store.get(MOVE_STATE_PREFIX + move.name)
        if isinstance(current, Err):
            return
        item = current.ok_value
        state = None
        if item.revision != ABSENT_REVISION:
            state = msgspec.json.decode(item.value, type=MoveState)
            self._move_states.merge(state)
            fenced = msgspec.structs.replace(state, fence=self._role.fence)
            written = await self._write(item, fenced)
            if written is None:
                return
            item = written
        self._active_moves_by_name[move.name] = _ActiveMove(
            analysis=CanaryAnalysis(
                service=move.service, old=move.old, new=move.new
            ),
            item=item,
            state=state,
            step_started_at=self._clock.now(),
        )

    async def _write(self, item: Item, state: MoveState) -> Item | None:
        if not self._role.holds():
            return None
        value = msgspec.json.encode(state).decode()
        reply = await self._store.compare_and_swap(
            item.key, value, expected=item.revision
        )
        match reply:
            case Ok(written):
                return Item(
                    key=item.key, value=value, revision=written.revision
                )
            case Err(Conflict()):
                self._timeline.record("stale-decision-refused", move=item.key)
        return None

    async def _read_counters(
        self, moves: tuple[Move, ...]
    ) -> dict[tuple, Tally]:
        services = sorted({move.service for move in moves})
        tallies: dict[tuple, Tally] = {}

        async def read(entry: Entry) -> None:
            reply = await self._client.ask(
                entry.peer_address, EvidenceRequest(services=services)
            )
            message = reply.ok_value if isinstance(reply, Ok) else None
            if not isinstance(message, EvidenceReply):
                return
            source = (entry.name, message.incarnation)
            for tally in message.tallies:
                key = (*source, tally.service, tally.version, tally.route)
                tallies[key] = tally

        async with trio.open_nursery() as nursery:
            for entry in self._replica.current.items.entries:
                nursery.start_soon(read, entry)
        return tallies

    async def _decide(self, move: Move, active_move: _ActiveMove) -> None:
        now = self._clock.now()
        decided = next_move_state(
            move,
            active_move.state,
            active_move.analysis.evaluate(),
            step_elapsed_s=now - active_move.step_started_at,
            wall_s=self._clock.wall(),
            fence=self._role.fence,
        )
        if decided is None:
            return
        item = await self._write(active_move.item, decided)
        if item is None:
            if decided.phase is Phase.TAKEN_BACK and self._role.holds():
                self._move_states.merge(decided)
            del self._active_moves_by_name[move.name]
            return
        self._move_states.merge(decided)
        active_move.item = item
        active_move.state = decided
        active_move.step_started_at = now
        active_move.analysis.reset_step_count()


def _new_counts(
    active_move: _ActiveMove, tallies: Mapping[tuple, Tally]
) -> list[Tally]:
    """Returns what was counted since the last reading for this move.

    The first reading of a process only sets the baseline, since its counters
    include exchanges from before this controller took the move over.
    """
    known_sources = {key[:2] for key in active_move.last_tallies_by_source}
    new_counts = [
        counts_since(tally, active_move.last_tallies_by_source.get(key))
        for key, tally in tallies.items()
        if key[:2] in known_sources
    ]
    active_move.last_tallies_by_source.update(tallies)
    return new_counts
