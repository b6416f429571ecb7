"""Control-plane cost by number of entries; data centres stay constant."""

import tempfile
import time
from pathlib import Path

import httpcore
import msgspec

from bench.fit import report_fit
from bench.slopes import cpu_s, resident_mb
from kingcupvane.standin.fleet import Fleet
from kingcupvane.standin.store import CallCounts
from kingcupvane.tests.scenario import Scenario

DATA_CENTRES = 3
ENTRIES_PER_DATA_CENTRE = (1, 5, 10, 20)
MEASURED_S = 12.0
CHANGE_COUNT = 3


def peer_bytes(address: str) -> float:
    """Returns the bytes of the exchanges that a daemon has initiated.

    Args:
        address: Address of the daemon's metrics.

    Returns:
        Bytes sent to and received from other daemons since its start; the
        responder of an exchange doesn't count it.
    """
    text = httpcore.request("GET", f"http://{address}/metrics").content.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith("kingcupvane_peer_bytes{")
    )


def store_call_counts(fleet: Fleet) -> CallCounts:
    """Returns the store's counts of calls since its start."""
    return msgspec.json.decode(
        fleet.post_control("store", "counts"), type=CallCounts
    )


def measure(
    entries_per_data_centre: int,
) -> tuple[float, float, float, float, float]:
    """Measures the costs of one fleet size.

    Returns:
        Store calls per second, cores per entry, peer bytes per second and
        entry (sent and received, as initiator and as responder), resident
        memory per entry in MiB, and seconds until a change was in force
        everywhere.
    """
    with Fleet(folder=Path(tempfile.mkdtemp())) as fleet:
        scenario = Scenario(fleet=fleet)
        scenario.run(
            f"fleet {DATA_CENTRES} data centres,"
            f" {entries_per_data_centre} entries, 1 targets"
        )
        time.sleep(5.0)
        pids = [
            fleet.processes_by_name[entry.name].popen.pid
            for entry in fleet.entries
        ]
        before = store_call_counts(fleet)
        cpu_before = sum(map(cpu_s, pids))
        bytes_before = sum(
            peer_bytes(entry.metrics_address) for entry in fleet.entries
        )
        time.sleep(MEASURED_S)
        after = store_call_counts(fleet)
        calls = after.reads + after.writes - before.reads - before.writes
        cores = sum(map(cpu_s, pids)) - cpu_before
        exchanged = (
            sum(peer_bytes(entry.metrics_address) for entry in fleet.entries)
            - bytes_before
        )
        memory = sum(map(resident_mb, pids))
        size = len(pids)
        return (
            calls / MEASURED_S,
            cores / MEASURED_S / size,
            2 * exchanged / MEASURED_S / size,
            memory / size,
            measure_in_force_s(scenario),
        )


def measure_in_force_s(scenario: Scenario) -> float:
    """Applies `CHANGE_COUNT` changes, one after the other.

    Returns:
        The longest time until one of them was in force in all data centres,
        in seconds.
    """
    longest = 0.0
    for number in range(CHANGE_COUNT):
        note = (
            f'change_id = "bench-{number}"\n[[add.accounts]]\n'
            f'name = "b{number}"\nrate = 1\nburst = 1\n'
        )
        completed = scenario.fleet.apply(note)
        times = [
            float(line.rsplit(" ", 2)[1])
            for line in completed.stdout.splitlines()
            if line.startswith("in force")
        ]
        longest = max(longest, *times)
    return longest


def run() -> None:
    """Measures all fleet sizes and prints a fit of each cost."""
    sizes, calls, cores, traffic, memory, delays = [], [], [], [], [], []
    for entries_per_data_centre in ENTRIES_PER_DATA_CENTRE:
        costs = measure(entries_per_data_centre)
        sizes.append(entries_per_data_centre * DATA_CENTRES)
        for column, value in zip(
            (calls, cores, traffic, memory, delays),
            costs,
            strict=True,
        ):
            column.append(value)
    report_fit("store calls/s in total", "entries", sizes, calls, (60, 1200))
    report_fit("cores an entry", "entries", sizes, cores, (84,))
    report_fit("peer bytes/s an entry", "entries", sizes, traffic, (84,))
    report_fit("MB resident an entry", "entries", sizes, memory, (84,))
    report_fit("s until in force", "entries", sizes, delays, (60,))
