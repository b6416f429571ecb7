"""Cost of control as entries grow at a fixed number of data centres."""

import tempfile
import time
from pathlib import Path

import httpcore
import msgspec

from bench.fit import report
from bench.slopes import cpu_s, resident_mb
from kingcupvane.standin.fleet import Fleet
from kingcupvane.standin.store import CallCounts
from kingcupvane.tests.scenario import Scenario

CENTRES = 3
SIZES = (1, 5, 10, 20)
WATCHED_S = 12.0
CHANGES = 3


def peer_bytes(address: str) -> float:
    """Returns the bytes that a daemon has exchanged as the asking side."""
    text = httpcore.request("GET", f"http://{address}/metrics").content.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith("kingcupvane_peer_bytes{")
    )


def counts(fleet: Fleet) -> CallCounts:
    """Returns the store's calls so far."""
    return msgspec.json.decode(
        fleet.post_control("store", "counts"), type=CallCounts
    )


def measure(per_centre: int) -> tuple[float, float, float, float, float]:
    """Returns costs of one size.

    Returns:
        Store calls per second, cores per entry, bytes per second and entry,
        megabytes per entry, seconds until a change was in force.
    """
    with Fleet(folder=Path(tempfile.mkdtemp())) as fleet:
        scenario = Scenario(fleet=fleet)
        scenario.run(
            f"fleet {CENTRES} data centres, {per_centre} entries, 1 targets"
        )
        time.sleep(5.0)
        pids = [
            fleet.processes_by_name[entry.name].popen.pid
            for entry in fleet.entries
        ]
        before = counts(fleet)
        cpu_before = sum(map(cpu_s, pids))
        bytes_before = sum(
            peer_bytes(entry.metrics_address) for entry in fleet.entries
        )
        time.sleep(WATCHED_S)
        after = counts(fleet)
        calls = after.reads + after.writes - before.reads - before.writes
        cores = sum(map(cpu_s, pids)) - cpu_before
        exchanged = (
            sum(peer_bytes(entry.metrics_address) for entry in fleet.entries)
            - bytes_before
        )
        memory = sum(map(resident_mb, pids))
        size = len(pids)
        return (
            calls / WATCHED_S,
            cores / WATCHED_S / size,
            2 * exchanged / WATCHED_S / size,
            memory / size,
            in_force_s(scenario),
        )


def in_force_s(scenario: Scenario) -> float:
    """Returns the longest time until a change was in force everywhere."""
    longest = 0.0
    for number in range(CHANGES):
        note = (
            f'change_id = "bench-{number}"\n[[add.accounts]]\n'
            f'name = "b{number}"\nrate = 1\nburst = 1\n'
        )
        done = scenario.fleet.apply(note)
        times = [
            float(line.rsplit(" ", 2)[1])
            for line in done.stdout.splitlines()
            if line.startswith("in force")
        ]
        longest = max(longest, *times)
    return longest


def run() -> None:
    """Prints the costs of all sizes."""
    sizes, calls, cores, sent, memory, force = [], [], [], [], [], []
    for per_centre in SIZES:
        found = measure(per_centre)
        sizes.append(per_centre * CENTRES)
        for column, value in zip(
            (calls, cores, sent, memory, force), found, strict=True
        ):
            column.append(value)
    report("store calls/s in total", "entries", sizes, calls, (60, 1200))
    report("cores an entry", "entries", sizes, cores, (84,))
    report("peer bytes/s an entry", "entries", sizes, sent, (84,))
    report("MB resident an entry", "entries", sizes, memory, (84,))
    report("s until in force", "entries", sizes, force, (60,))
