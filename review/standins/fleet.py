"""Starts the project's gateways as the deploy file does, and ends them."""

import asyncio
import os
import random
import signal
import socket
import sys
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from kingcupvane.tests.template import render
from review.standins import client

ROOT = Path(__file__).resolve().parents[2]
RESTART_DELAY_S = 0.5
READY_TIMEOUT_S = 20.0
# Bounds of rts-bordereaux; secdtg-diag differs in the two below.
BOUNDS = {
    "seedLagS": 3,
    "contactS": 3,
    "drainS": 2.5,
    "graceS": 6,
    "configApplyS": 2.5,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 60,
    "exposeShare": 0.1,
    "coldOver": 1.5,
    "coldSlack": 5,
    "evacS": 5,
    "recoverS": 15,
    "ttl_max_s": 5,
}
GUILD_BOUNDS = BOUNDS | {"contactS": 4, "budgetExtra": 58}
LIMITS = {"maxFds": 4100, "memoryMb": 300, "linkMbps": 1000.0}


def free_subnet() -> str:
    """Returns the start of loopback addresses on which nothing listens."""
    while True:
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{subnet}.1", 7740))
            except OSError:
                continue
            return subnet


@dataclass
class Gateway:
    """One gateway process on a loopback address of its own.

    Attributes:
        name: Name of its machine.
        ip: Its loopback address.
        zone: Its zone.
        process: The running process; None while there is none.
        ends: Time and exit status of each process that ended by itself.
    """

    name: str
    ip: str
    zone: str
    process: asyncio.subprocess.Process | None = None
    ends: list[tuple[float, int]] = field(default_factory=list)
    started_at: list[float] = field(default_factory=list)
    kept: bool = True

    @property
    def address(self) -> str:
        """Address for clients."""
        return f"{self.ip}:8686"


class Fleet:
    """The gateways of a small deployment, restarted when they end.

    Attributes:
        gateways: All gateways.
    """

    def __init__(
        self,
        *,
        count: int,
        zones: dict[str, str],
        folder: Path,
        bounds: dict[str, float],
    ):
        """Makes a fleet; `start` starts its processes.

        Args:
            count: Number of gateways, dealt to the zones in turn.
            zones: Region by zone.
            folder: Temporary folder for settings and logs.
            bounds: Bounds of the site, for the settings.
        """
        self.subnet = free_subnet()
        self.store_address = f"{self.subnet}.200:8682"
        self._zones = zones
        self._folder = folder
        self._bounds = bounds
        self._started = time.monotonic()
        self._keepers: list[asyncio.Task] = []
        names = list(zones)
        self.gateways = [
            Gateway(
                name=f"edge-{names[i % len(names)]}-{i // len(names) + 1}",
                ip=f"{self.subnet}.{i + 1}",
                zone=names[i % len(names)],
            )
            for i in range(count)
        ]

    def now(self) -> float:
        """Returns seconds since the fleet was made."""
        return time.monotonic() - self._started

    def _settings(self, gateway: Gateway, *, first_start: bool) -> str:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = ROOT / deploy["roles"]["entry"]["template"]
        values = {
            "nodeName": gateway.name,
            "region": self._zones[gateway.zone],
            "zone": gateway.zone,
            "ip": gateway.ip,
            "listen": {
                "frontend": gateway.address,
                "readiness": f"{gateway.ip}:8680",
                "control": f"{gateway.ip}:8688",
                "directory": f"{gateway.ip}:8684",
            },
            "internalPorts": [7740, 7755],
            "bootstrap": first_start,
            "seeds": [f"{g.ip}:8688" for g in self.gateways[:3]],
            "bounds": self._bounds,
            "limits": LIMITS,
            "platform": {"address": self.store_address, "ttlMinS": 1},
            "zones": self._zones,
        }
        return render(template.read_text(), values)

    async def start(self, gateway: Gateway, *, first_start: bool) -> None:
        """Starts the process of a gateway with its settings file."""
        path = self._folder / f"{gateway.name}.toml"
        path.write_text(self._settings(gateway, first_start=first_start))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        # Where the deploy file was not built, the libraries are those of the
        # interpreter that runs this.
        own_bin = Path(sys.executable).parent
        environment["PATH"] = f"{own_bin}:{environment.get('PATH', '')}"
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["KINGCUPVANE_CONFIG"] = str(path)
        with (self._folder / f"{gateway.name}.log").open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        gateway.started_at.append(self.now())

    async def start_all(self) -> None:
        """Starts all gateways for the first time and keeps them running."""
        for gateway in self.gateways:
            await self.start(gateway, first_start=True)
            self._keepers.append(asyncio.create_task(self._keep(gateway)))

    async def _keep(self, gateway: Gateway) -> None:
        """Restarts the process a short delay after it ended."""
        while gateway.kept:
            status = await gateway.process.wait()
            gateway.ends.append((self.now(), status))
            await asyncio.sleep(RESTART_DELAY_S)
            if gateway.kept:
                await self.start(gateway, first_start=False)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Returns whether a gateway's readiness check answers 200."""
        attempt = await client.send(
            f"{gateway.ip}:8680", "/readyz", now=self.now, host="r", key="r"
        )
        return attempt.status == 200

    async def wait_ready(self) -> bool:
        """Returns whether all gateways become ready in time."""
        deadline = self.now() + READY_TIMEOUT_S
        while self.now() < deadline:
            ready = [await self.is_ready(g) for g in self.gateways]
            if all(ready):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self) -> None:
        """Ends all processes that this fleet started."""
        for gateway in self.gateways:
            gateway.kept = False
        for keeper in self._keepers:
            keeper.cancel()
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
