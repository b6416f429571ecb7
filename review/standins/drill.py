"""A deployment for drills: gateways, a store in trouble, servers, operator."""

import random
from pathlib import Path

from review.standins.drill_store import DrillStore
from review.standins.fleet import GUILD_BOUNDS, Fleet
from review.standins.leaving_server import LeavingServer
from review.standins.operator import SERVICES, Operator
from review.standins.socket_owner import Address, find_owner

ZONES = {
    "delta-a": "delta",
    "delta-b": "delta",
    "gulf-a": "gulf",
    "gulf-b": "gulf",
    "piedmont-a": "piedmont",
    "piedmont-b": "piedmont",
}
SERVERS_PER_SERVICE = 5


class Drill:
    """The platform's side of a drill, and the gateways.

    Attributes:
        fleet: The gateways.
        store: The store.
        servers: All servers.
        operator: The operator.
    """

    def __init__(self, *, gateways: int, seed: int, folder: Path):
        """Makes a deployment; `start` starts it.

        Args:
            gateways: Number of gateways, dealt to six data centres in turn.
            seed: Seed of all that is drawn.
            folder: Folder for settings and logs.
        """
        rng = random.Random(seed)
        self.fleet = Fleet(
            count=gateways, zones=ZONES, folder=folder, bounds=GUILD_BOUNDS
        )
        self.store = DrillStore(
            address=self.fleet.store_address,
            era=rng.randint(1, 9),
            rng=rng,
            name_caller=self._name_caller,
        )
        self.servers = [
            self._make_server(index, rng)
            for index in range(SERVERS_PER_SERVICE * len(SERVICES))
        ]
        self.operator = Operator(store=self.store, now=self.now, rng=rng)

    def now(self) -> float:
        """Returns seconds since the deployment was made."""
        return self.fleet.now()

    def service_of(self, server_id: str) -> str:
        """Returns the service of a server's id."""
        name = server_id.removeprefix("i-").rpartition("-")[0]
        return next(s.service for s in self.servers if s.name == name)

    async def start(self) -> bool:
        """Starts everything; returns whether all gateways become ready."""
        await self.store.start()
        await self.operator.write_first()
        for server in self.servers:
            await server.start()
        await self.fleet.start_all()
        return await self.fleet.wait_ready()

    def _name_caller(self, peer: Address, own: Address) -> str:
        """Returns the gateway that holds the peer's end; empty if none."""
        name_by_pid = {
            gateway.process.pid: gateway.name
            for gateway in self.fleet.gateways
            if gateway.process is not None
        }
        owner = find_owner(peer, own, name_by_pid)
        return name_by_pid.get(owner, "")

    def _make_server(self, index: int, rng: random.Random) -> LeavingServer:
        service = SERVICES[index % len(SERVICES)]
        names = list(ZONES)
        return LeavingServer(
            name=f"{service[:4]}{index}",
            service=service,
            zone=names[index % len(names)],
            address=f"{self.fleet.subnet}.{101 + index}:8080",
            store=self.store,
            now=self.now,
            rng=rng,
            work_s=0.02,
            slots=16,
            back_after_s=3.0,
        )
