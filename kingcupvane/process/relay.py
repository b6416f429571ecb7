"""The relay: the one daemon of a data centre that watches the store.

It holds a leased role. Others get configurations from it and from each other
by heartbeats, so store calls grow with data centres and not with daemons.
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
from kingcupvane.version.configuration import STORE_KEY, STORE_PREFIX
from kingcupvane.version.move import MoveState

RETRY_PAUSE_S = 0.5
CANDIDATES = 2


class Relay:
    """Watches configuration and moves while it holds the role."""

    def __init__(
        self,
        *,
        role: Role,
        store: Store,
        replica: ConfigurationReplica,
        register: MoveStates,
        settings: StoreSettings,
    ):
        """Makes the task's state.

        Args:
            role: The leased role.
            store: The platform's store.
            replica: Gets newer configurations.
            register: Gets decisions about moves.
            settings: Longest wait of a watch.
        """
        self._role = role
        self._store = store
        self._replica = replica
        self._moves = register
        self._settings = settings
        self._seen_revision = 0

    async def run(self) -> None:
        """Watches whenever the role is held, until cancelled."""
        while True:
            if not self._role.holds():
                self._seen_revision = 0
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self.watch_once()

    async def watch_once(self) -> None:
        """Makes one watch call and takes in what it returns."""
        reply = await self._store.watch(
            STORE_PREFIX,
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
        if item.key == STORE_KEY:
            self._replica.offer(item.value, source="store")
        else:
            state = msgspec.json.decode(item.value, type=MoveState)
            self._moves.merge(state)


async def maintain_role(role: Role, is_candidate: Callable[[], bool]) -> None:
    """Keeps trying to win or renew a role until cancelled."""
    while True:
        wait_s = await role.step(candidate=is_candidate())
        await trio.sleep(wait_s)


async def fetch_configuration(
    store: Store, replica: ConfigurationReplica
) -> None:
    """Reads the configuration once, at the start of a daemon."""
    found = await store.get(STORE_KEY)
    if isinstance(found, Ok) and found.ok_value.value:
        replica.offer(found.ok_value.value, source="store")
        replica.confirm(replica.current.revision)
