"""Runs one case: sets it up, keeps its record and ends what it started."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.fleet import BOUNDS, Fleet
from review.standins.server import Server
from review.standins.store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2
TIME_LIMIT_S = 112.0


class NotRunError(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """The case's `record.txt`: what was sent, answered and run."""

    def __init__(self, *, path: Path):
        """Starts an empty record."""
        self._file = path.open("w", encoding="utf-8")

    def write(self, line: str) -> None:
        """Adds one line."""
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, line: str) -> None:
        """Adds one line and prints it."""
        self.write(line)
        print(line, flush=True)


class Setting:
    """A small deployment: store, servers and gateways.

    Attributes:
        fleet: The gateways.
        store: The platform's store.
        servers: The servers.
        record: The case's record.
        has_trouble: Whether the disruption is to be made.
        folder: Temporary folder; logs of the gateways lie there.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        store: Store,
        record: Record,
        has_trouble: bool,
        folder: Path,
    ):
        """Makes a deployment without servers."""
        self.fleet = fleet
        self.store = store
        self.servers: list[Server] = []
        self.record = record
        self.has_trouble = has_trouble
        self.folder = folder

    def now(self) -> float:
        """Returns seconds since the start of the case."""
        return self.fleet.now()

    async def add_servers(
        self, count: int, *, service: str, zones: list[str], **options
    ) -> list[Server]:
        """Starts servers of a service, dealt to the zones in turn."""
        added = []
        for i in range(count):
            number = len(self.servers) + 1
            server = Server(
                name=f"{service[:4]}-{number}",
                service=service,
                zone=zones[i % len(zones)],
                address=f"{self.fleet.subnet}.{100 + number}:8080",
                store=self.store,
                now=self.now,
                **options,
            )
            await server.start()
            self.servers.append(server)
            added.append(server)
        return added

    async def start_gateways(self) -> None:
        """Starts all gateways and waits until they are ready.

        Raises:
            NotRunError: They do not become ready.
        """
        await self.fleet.start_all()
        if not await self.fleet.wait_ready():
            raise NotRunError("the gateways do not become ready")


Script = Callable[[Setting], Awaitable[bool]]


async def _run(
    script: Script,
    folder: Path,
    gateways: int,
    zones: dict[str, str],
    bounds: dict[str, float],
) -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(
            count=gateways, zones=zones, folder=Path(temporary), bounds=bounds
        )
        store = Store(address=fleet.store_address)
        setting = Setting(
            fleet=fleet,
            store=store,
            record=record,
            has_trouble=has_trouble,
            folder=Path(temporary),
        )
        record.say(f"trouble: {'yes' if has_trouble else 'no'}")
        try:
            await store.start()
            async with asyncio.timeout(TIME_LIMIT_S):
                held = await script(setting)
        except (NotRunError, TimeoutError, OSError) as error:
            record.say(f"not run: {error!r}")
            record.write(traceback.format_exc())
            return NOT_RUN
        finally:
            await fleet.stop()
            if os.environ.get("KEEP_LOGS"):
                for log in Path(temporary).glob("*.log"):
                    target = Path(os.environ["KEEP_LOGS"]) / log.name
                    target.write_bytes(log.read_bytes())
        record.say("the rule held" if held else "the rule was BROKEN")
        return HELD if held else BROKEN


def main(
    script: Script,
    file: str,
    *,
    gateways: int,
    zones: dict[str, str],
    bounds: dict[str, float] = BOUNDS,
) -> None:
    """Runs a case and exits with its status.

    Args:
        script: Plays the case; returns whether the rule held.
        file: Path of the case's program; the record goes beside it.
        gateways: Number of gateways.
        zones: Region by zone.
        bounds: Bounds of the site.
    """
    folder = Path(file).resolve().parent
    # The gateways inherit it: the platform starts processes with the default
    # action, also where this script runs below `nohup`.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    sys.exit(asyncio.run(_run(script, folder, gateways, zones, bounds)))
