"""Runs one gateway as a process, with a store in memory and one target.

It prints the address for callers once it is ready.
"""

import sys

import httpcore
import trio

from kingcupvane.platform.names import NAMES
from kingcupvane.tests.test_platform_gateway import (
    HistoryStore,
    free_ports,
    make_gateway,
    plan_document,
    settings,
    target_record,
)

SLOTS = 200


async def run(target_address: str) -> None:
    """Runs until killed."""
    store = HistoryStore()
    store.put_plan(plan_document(1))
    record = target_record(target_address)
    record["info"]["slots"] = SLOTS
    store.put("servers/i-1", record)
    gateway_settings = settings("g1", free_ports(5))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_gateway(gateway_settings, store).run)
        async with httpcore.AsyncConnectionPool() as http:
            await wait_until_ready(http, gateway_settings)
        print(gateway_settings.caller_address, flush=True)


async def wait_until_ready(http, gateway_settings) -> None:
    """Polls the gateway's readiness."""
    url = f"http://{gateway_settings.readiness_address}{NAMES.ready_path}"
    while True:
        try:
            if (await http.request("GET", url)).status == 200:
                return
        except httpcore.ConnectError:
            pass
        await trio.sleep(0.05)


if __name__ == "__main__":
    trio.run(run, sys.argv[1])
