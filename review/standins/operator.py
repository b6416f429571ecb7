"""Stand-in for the operator, who changes the configuration all the while."""

import random
from collections.abc import Callable

from kingcupvane.soak.gateway_record import PlanWrite
from review.standins import plan
from review.standins.drill_store import DrillStore

CONFIG_KEY = "op/config"
SERVICES = ("lookup-desk", "parcel-desk")
FIRST_ROUTES = 4
ROUTES_MIN = 2
VERSION_STEP_MAX = 3


class Operator:
    """Writes configurations and remembers all that it wrote.

    Attributes:
        writes: All acknowledged writes, in order.
        recent_prefixes: Prefixes ever used, those changed last at the end.
        recent_keys: The same of keys.
    """

    def __init__(
        self,
        *,
        store: DrillStore,
        now: Callable[[], float],
        rng: random.Random,
    ):
        """Makes an operator that has written nothing."""
        self.writes: list[PlanWrite] = []
        self.recent_prefixes: list[str] = []
        self.recent_keys: list[str] = []
        self._store = store
        self._now = now
        self._rng = rng
        self._version = rng.randint(3, 40)
        self._made = 0
        self._service_by_prefix: dict[str, str] = {}
        self._keys: list[str] = [plan.KEY]

    async def write_first(self) -> None:
        """Writes the first configuration."""
        for _ in range(FIRST_ROUTES):
            self._add_route()
        self._add_key()
        await self.write()

    async def change(self, kind: str) -> None:
        """Changes the configuration and writes it.

        Args:
            kind: `route_added`, `route_removed`, `route_moved`, `key_added` or
                `key_revoked`.
        """
        {
            "route_added": self._add_route,
            "route_removed": self._remove_route,
            "route_moved": self._move_route,
            "key_added": self._add_key,
            "key_revoked": self._revoke_key,
        }[kind]()
        self._version += self._rng.randint(1, VERSION_STEP_MAX)
        await self.write()

    async def write(self) -> None:
        """Writes the newest configuration, once more if it was lost."""
        await self._store.put(CONFIG_KEY, self._configuration())
        self.writes.append(
            PlanWrite(
                at=self._now(),
                version=self._version,
                service_by_prefix=dict(self._service_by_prefix),
                keys=frozenset(self._keys),
            )
        )

    def _configuration(self) -> dict:
        routes = [
            plan.route(prefix.strip("/"), prefix, service=service)
            for prefix, service in self._service_by_prefix.items()
        ]
        services = [plan.service(name) for name in SERVICES]
        tenants = [plan.tenant(keys=tuple(self._keys))]
        return plan.configuration(
            [*routes, *services, *tenants], version=self._version
        )

    def _add_route(self) -> None:
        self._made += 1
        prefix = f"/r{self._made}/"
        self._service_by_prefix[prefix] = self._rng.choice(SERVICES)
        self._touch(self.recent_prefixes, prefix)

    def _remove_route(self) -> None:
        if len(self._service_by_prefix) <= ROUTES_MIN:
            return self._add_route()
        prefix = self._rng.choice(list(self._service_by_prefix))
        del self._service_by_prefix[prefix]
        return self._touch(self.recent_prefixes, prefix)

    def _move_route(self) -> None:
        prefix = self._rng.choice(list(self._service_by_prefix))
        others = [s for s in SERVICES if s != self._service_by_prefix[prefix]]
        self._service_by_prefix[prefix] = self._rng.choice(others)
        self._touch(self.recent_prefixes, prefix)

    def _add_key(self) -> None:
        self._made += 1
        key = f"key{self._made:06d}{self._rng.getrandbits(32):08x}"
        self._keys.append(key)
        self._touch(self.recent_keys, key)

    def _revoke_key(self) -> None:
        if len(self._keys) == 1:
            return self._add_key()
        # The first key stays, for requests that are to be allowed.
        key = self._rng.choice(self._keys[1:])
        self._keys.remove(key)
        return self._touch(self.recent_keys, key)

    def _touch(self, known: list[str], name: str) -> None:
        if name in known:
            known.remove(name)
        known.append(name)
