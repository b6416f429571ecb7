"""The relay: the one daemon of a data centre that watches the store.

The relay is a leased role. The other daemons get configurations from it and
from each other by gossip, so store calls grow with the number of data centres
and not of daemons.
"""

from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok

from kingcupvane.process.move_controller import MoveStates
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.role import Role
from kingcupvane.process.store import Item, Store
from kingcupvane.settings import StoreSettings
from kingcupvane.version.configuration import (
    LIVE_CONFIGURATION_KEY,
    LIVE_PREFIX,
)
from kingcupvane.version.move import MoveState

# Pause after a failed watch, and between checks of the role, in seconds.
RETRY_PAUSE_S = 0.5
# Number of live daemons of a data centre that try to win the role.
RELAY_CANDIDATES = 2


class Relay:
    """Watches the configuration and moves while this daemon holds the role."""

    def __init__(
        self,
        *,
        role: Role,
        store: Store,
        replica: ConfigurationReplica,
        move_states: MoveStates,
        settings: StoreSettings,
    ):
        """Creates the relay; `run` starts it.

        Args:
            role: The leased role.
            store: The platform's store.
            replica: The configuration to update.
            move_states: States of moves to update.
            settings: Longest wait of a watch call.
        """
        self._role = role
        self._store = store
        self._replica = replica
        self._move_states = move_states
        self._settings = settings
        self._seen_revision = 0

    async def run(self) -> None:
        """Watches the store whenever the role is held, until cancelled."""
        while True:
            if not self._role.holds():
                self._seen_revision = 0
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self.watch_once()

    async def watch_once(self) -> None:
        """Makes one watch call and applies the returned items."""
        reply = await self._store.watch(
            LIVE_PREFIX,
            after=self._seen_revision,
            wait_s=self._settings.watch_s,
        )
        if isinstance(reply, Err):
            await trio.sleep(RETRY_PAUSE_S)
            return
        listing = reply.ok_value
        for item in listing.items:
            self._seen_revision = max(self._seen_revision, item.revision)
            self._apply_item(item)
        self._replica.confirm(self._replica.current.revision)

    def _apply_item(self, item: Item) -> None:
        if item.key == LIVE_CONFIGURATION_KEY:
            self._replica.offer(item.value, source="store")
        else:
            state = msgspec.json.decode(item.value, type=MoveState)
            self._move_states.merge(state)


async def maintain_role(role: Role, is_candidate: Callable[[], bool]) -> None:
    """Keeps trying to win or renew a role until cancelled."""
    while True:
        wait_s = await role.step(candidate=is_candidate())
        await trio.sleep(wait_s)


async def fetch_configuration(
    store: Store, replica: ConfigurationReplica
) -> None:
    """Makes one attempt to read the configuration from the store.

    A daemon that starts repeats it until it has a configuration.
    """
    found = await store.get(LIVE_CONFIGURATION_KEY)
    if isinstance(found, Ok) and found.ok_value.value:
        replica.offer(found.ok_value.value, source="store")
        replica.confirm(replica.current.revision)
