"""Store writes per order, and the latency that writing order records adds.

Eight accounts have unequal rates. 90 % of an account's orders arrive at its
first entry, since look-up responses tell callers to use that one first.
"""

import random
import statistics
import tempfile
import time
from pathlib import Path

import trio
import uuid6
from result import Ok

from kingcupvane.clock import SystemClock
from kingcupvane.process.order_writer import OrderRecordWriter
from kingcupvane.process.store import HttpStore
from kingcupvane.request.order import (
    DONE,
    CompleteRecord,
    CreateRecord,
    OrderRecord,
    segment_key,
)
from kingcupvane.settings import OrderSettings
from kingcupvane.standin.fleet import Fleet

SEED = 5
DURATION_S = 6.0
ENTRIES = 3
RATES = (50, 200, 500)
ACCOUNT_WEIGHTS = (30, 25, 15, 10, 8, 6, 4, 2)
FIRST_ENTRY_SHARE = 0.9
DRAIN_S = 2.0


async def measure(address: str, settings: OrderSettings, rate: int) -> None:
    """Writes the records of random orders; prints one line of results.

    Args:
        address: Address of the store.
        settings: Decides whether several records share a store value.
        rate: Mean number of orders per second, all entries together.
    """
    rng = random.Random(SEED)
    latencies: list[float] = []
    refused = 0
    stores = [HttpStore(address=address, timeout_s=1.0) for _ in range(ENTRIES)]

    async def record_order(writer: OrderRecordWriter, account: str) -> None:
        nonlocal refused
        key = uuid6.uuid7()
        segment = segment_key(account, key, settings=settings)
        record_key = f"{account}/{key}"
        started_at = time.monotonic()
        record = OrderRecord(token=str(key))
        reply = await writer.submit(
            segment, CreateRecord(key=record_key, record=record)
        )
        latencies.append(time.monotonic() - started_at)
        if not isinstance(reply, Ok):
            refused += 1
            return
        done = OrderRecord(token=str(key), state=DONE, status=200)
        await writer.submit(
            segment, CompleteRecord(key=record_key, record=done)
        )

    async with trio.open_nursery() as nursery:
        writers = [
            OrderRecordWriter(
                store=store,
                clock=SystemClock(),
                settings=settings,
                nursery=nursery,
            )
            for store in stores
        ]
        ends_at = time.monotonic() + DURATION_S
        count = 0
        while time.monotonic() < ends_at:
            await trio.sleep(rng.expovariate(rate))
            account_numbers = range(len(ACCOUNT_WEIGHTS))
            account_number = rng.choices(account_numbers, ACCOUNT_WEIGHTS)[0]
            at_first_entry = rng.random() < FIRST_ENTRY_SHARE
            writer = writers[
                (account_number + (0 if at_first_entry else 1)) % ENTRIES
            ]
            nursery.start_soon(
                record_order, writer, f"account-{account_number}"
            )
            count += 1
        await trio.sleep(DRAIN_S)
        nursery.cancel_scope.cancel()
    writes = sum(writer.writes for writer in writers)
    percentiles = statistics.quantiles(latencies, n=100)
    print(
        f"  {rate}/s: {count} orders, {writes / count:.2f} writes/order,"
        f" record p50 {percentiles[49] * 1000:.1f} ms,"
        f" p99 {percentiles[98] * 1000:.1f} ms,"
        f" refused {refused}"
    )
    for store in stores:
        await store.close()


def run() -> None:
    """Measures single-record and grouped writes at each rate."""
    print(
        f"seed {SEED}, {DURATION_S} s, {ENTRIES} entries, 400 writes/s allowed"
    )
    for label, buckets in (("one record a value", 0), ("group commit", 1)):
        print(f"{label}:")
        for rate in RATES:
            with Fleet(folder=Path(tempfile.mkdtemp())) as fleet:
                fleet.add_store()
                fleet.wait_ready()
                settings = OrderSettings(buckets=buckets)
                trio.run(measure, fleet.store_address, settings, rate)
