"""Runs one gateway as a process, with a store in memory and one target.

It prints the address for callers once it is ready. Arguments: the address of
the target, and optionally `Limits` as JSON.
"""

import sys
from dataclasses import dataclass

import httpcore
import msgspec
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


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of the gateway; the defaults are those of the other tests.

    Attributes:
        memory_mb: Memory limit in the settings.
        descriptors: Descriptor limit in the settings.
        body_max_bytes: Largest request body in the plan.
        timeout_s: Timeout of the plan's route and for a request's head.
    """

    memory_mb: int = 300
    descriptors: int = 4096
    body_max_bytes: int = 64 * 1024 * 1024
    timeout_s: float = 2.0


def plan_with(limits: Limits) -> dict:
    """Returns the plan of one route with the given limits."""
    plan = plan_document(1)
    for resource in plan["resources"]:
        if resource["resourceKind"] == "routes":
            resource["spec"]["timeoutS"] = limits.timeout_s
    spec = {
        "maxBodyBytes": limits.body_max_bytes,
        "headerTimeoutS": limits.timeout_s,
    }
    plan["resources"].append(
        {
            "resourceKind": "limits",
            "metadata": {"name": "limits"},
            "spec": spec,
        }
    )
    return plan


async def run(target_address: str, limits: Limits) -> None:
    """Runs until killed."""
    store = HistoryStore()
    store.put_plan(plan_with(limits))
    record = target_record(target_address)
    record["info"]["slots"] = SLOTS
    store.put("servers/i-1", record)
    gateway_settings = settings("g1", free_ports(5)).model_copy(
        update={
            "memory_mb": limits.memory_mb,
            "descriptors": limits.descriptors,
        }
    )
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
    given = sys.argv[2] if len(sys.argv) > 2 else "{}"
    trio.run(run, sys.argv[1], msgspec.json.decode(given, type=Limits))
