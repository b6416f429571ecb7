"""Entry points of the stand-ins; each runs until SIGTERM or SIGINT."""

import signal

import trio

from kingcupvane.settings import (
    LinkStandinSettings,
    StoreStandinSettings,
    TargetGroupStandinSettings,
    TargetStandinSettings,
)
from kingcupvane.standin.link import Link
from kingcupvane.standin.store import StoreServer
from kingcupvane.standin.target import TargetServer


async def run_store(settings: StoreStandinSettings) -> None:
    """Runs the stand-in for the platform's store."""
    await _run_until_signal(StoreServer(settings=settings))


async def run_target(settings: TargetStandinSettings) -> None:
    """Runs the stand-in for a target."""
    await _run_until_signal(TargetServer(settings=settings))


async def run_targets(settings: TargetGroupStandinSettings) -> None:
    """Runs the stand-ins for several targets in one process."""
    servers = [
        TargetServer(settings=target_settings)
        for target_settings in settings.targets
    ]
    await _run_until_signal(*servers)


async def run_link(settings: LinkStandinSettings) -> None:
    """Runs the stand-in for a network link."""
    await Link(settings=settings).run()


async def _run_until_signal(*servers: StoreServer | TargetServer) -> None:
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(server.run, stop)
            async for _ in signals:
                break
            stop.set()
