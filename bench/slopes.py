"""Cost of one daemon by look-ups, requests, address blocks and entries."""

import random
import resource
import tempfile
import time
import tracemalloc
from pathlib import Path

import msgspec

from bench.fit import report_fit
from kingcupvane.connection.messages import (
    Envelope,
    FrameCodec,
    Heartbeat,
    MemberBeat,
    Stamp,
)
from kingcupvane.request.lookup import AddressBlockTable
from kingcupvane.settings import ShareSettings
from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario
from kingcupvane.version.configuration import Configuration, Items
from kingcupvane.version.items import Account, Entry, Target
from kingcupvane.version.rate_allocator import RateAllocator
from kingcupvane.version.rate_division import RateAllocationRecord

SEED = 7
CLOCK_TICKS_PER_S = 100
PAGE_KIB = 4
CODEC_ROUNDS = 200


def cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    stat_fields = (
        Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    )
    return (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_KIB / 1024


def measure_daemon() -> None:
    """Measures an entry's CPU time: idle, for look-ups and for requests."""
    with Fleet(folder=Path(tempfile.mkdtemp())) as fleet:
        scenario = Scenario(fleet=fleet)
        scenario.run("fleet 1 data centres, 1 entries, 4 targets")
        pid = fleet.processes_by_name["e-a1"].popen.pid
        print(f"entry's resident memory when idle: {resident_mb(pid):.1f} MB")
        idle_cores = measure_cores(pid, 5.0)
        print(f"entry's processor time when idle: {idle_cores:.2%} of a core")
        measure_lookups(scenario, pid)
        measure_requests(scenario, pid)


def measure_cores(pid: int, seconds: float) -> float:
    """Returns the average number of cores that a process uses."""
    before = cpu_s(pid)
    time.sleep(seconds)
    return (cpu_s(pid) - before) / seconds


def measure_lookups(scenario: Scenario, pid: int) -> None:
    """Fits CPU time to look-ups per second."""
    import threading

    import httpcore

    url = scenario.url("e-a1") + "/v1/entries?service=treaty"
    headers = {"authorization": f"Bearer {scenario.keys_by_name['k1']}"}
    rates, costs = [], []
    for rate in (100, 200, 400):
        stop = threading.Event()
        sent_by_thread = []

        def send_lookups(
            rate=rate, stop=stop, sent_by_thread=sent_by_thread
        ) -> None:
            sent = 0
            next_at = time.monotonic()
            with httpcore.ConnectionPool() as pool:
                while not stop.wait(max(0.0, next_at - time.monotonic())):
                    next_at += 4 / rate
                    pool.request("GET", url, headers=headers)
                    sent += 1
            sent_by_thread.append(sent)

        threads = [threading.Thread(target=send_lookups) for _ in range(4)]
        started_at = time.monotonic()
        for thread in threads:
            thread.start()
        cost = measure_cores(pid, 5.0)
        stop.set()
        for thread in threads:
            thread.join()
        rates.append(sum(sent_by_thread) / (time.monotonic() - started_at))
        costs.append(cost)
    report_fit("look-ups, cores", "look-ups/s", rates, costs, (708,))


def measure_requests(scenario: Scenario, pid: int) -> None:
    """Fits CPU time to forwarded requests per second."""
    rates, costs = [], []
    for rate in (50, 100, 200):
        scenario.run(f"load {rate} /s reads at e-a1")
        time.sleep(1.0)
        cost = measure_cores(pid, 5.0)
        scenario.run("stop load")
        rates.append(float(rate))
        costs.append(cost)
    report_fit("carried requests, cores", "requests/s", rates, costs, (708,))


def measure_blocks() -> None:
    """Fits memory and look-up time of the address block table to its size."""
    sizes, memory, microseconds = [], [], []
    for size in (100_000, 300_000, 690_000):
        rng = random.Random(SEED)
        starts = sorted(rng.sample(range(2**32), size))
        data_centres = [rng.randrange(170) for _ in range(size)]
        tracemalloc.start()
        table = AddressBlockTable(starts=starts, data_centres=data_centres)
        memory.append(tracemalloc.get_traced_memory()[0] / 2**20)
        tracemalloc.stop()
        addresses = [
            ".".join(str(rng.randrange(256)) for _ in range(4))
            for _ in range(2000)
        ]
        started_at = time.perf_counter()
        for address in addresses:
            table.find_data_centre(address)
        microseconds.append(
            (time.perf_counter() - started_at) / len(addresses) * 1e6
        )
        sizes.append(size)
    report_fit("client blocks, MB", "blocks", sizes, memory, (690_000,))
    report_fit(
        "client blocks, us/look-up", "blocks", sizes, microseconds, (690_000,)
    )


def measure_messages() -> None:
    """Fits size and codec time of a heartbeat to its number of members."""
    codec = FrameCodec(secret=b"bench")
    sizes, lengths, microseconds = [], [], []
    for size in (3, 14, 28):
        beats = [
            MemberBeat(f"entry-data-centre-{n}", 1_800_000_000_000 + n, n * 997)
            for n in range(size)
        ]
        message = Heartbeat(
            sender="entry-data-centre-1",
            address="10.0.0.1:8000",
            revision=10_000,
            digest="0" * 32,
            beats=beats,
            confirmed_age_s=1.5,
        )
        envelope = Envelope(Stamp(1_800_000_000_000, 3), message)
        started_at = time.process_time()
        for _ in range(CODEC_ROUNDS):
            frame = codec.encode(envelope)
            codec.decode(frame)
        microseconds.append(
            (time.process_time() - started_at) / CODEC_ROUNDS * 1e6
        )
        lengths.append(len(frame))
        sizes.append(size)
    report_fit("heartbeat, bytes", "members", sizes, lengths, (28,))
    report_fit("heartbeat, us both ways", "members", sizes, microseconds, (28,))


def make_configuration(size: int) -> Configuration:
    """Returns a configuration of `size` entries and four targets for each."""
    entries = tuple(
        Entry(
            name=f"entry-{number}",
            region=f"region-{number % 19}",
            data_centre=f"dc-{number % 43}",
            caller_address="10.0.0.1:8000",
            peer_address="10.0.0.1:8001",
        )
        for number in range(size)
    )
    targets = tuple(
        Target(
            name=f"target-{number}",
            service="s",
            version="v1",
            region=f"region-{number % 19}",
            data_centre=f"dc-{number % 43}",
            address="10.0.0.1:9000",
        )
        for number in range(size * 4)
    )
    return Configuration(
        revision=1, items=Items(entries=entries, targets=targets)
    )


def measure_configuration() -> None:
    """Fits size, memory and decoding time of the configuration to entries."""
    sizes, lengths, milliseconds, memory = [], [], [], []
    for size in (100, 400, 1200):
        document = make_configuration(size).model_dump_json()
        tracemalloc.start()
        started_at = time.process_time()
        decoded = Configuration.model_validate_json(document)
        _ = decoded.digest, decoded.targets_by_name
        milliseconds.append((time.process_time() - started_at) * 1000)
        memory.append(tracemalloc.get_traced_memory()[0] / 2**20)
        tracemalloc.stop()
        lengths.append(len(document) / 1024)
        sizes.append(size)
    report_fit("configuration, KB", "entries", sizes, lengths, (1200,))
    report_fit(
        "configuration, ms to take in", "entries", sizes, milliseconds, (1200,)
    )
    report_fit("configuration, MB held", "entries", sizes, memory, (1200,))


def measure_rate_record() -> None:
    """Fits size and planning time of the rate record to entries."""
    sizes, lengths, milliseconds = [], [], []
    for size in (10, 40, 160):
        names = [f"entry-{n}" for n in range(size)]
        accounts = [
            Account(name=f"account-{n}", rate=100, burst=200) for n in range(8)
        ]
        record = RateAllocationRecord()
        now = 100.0
        planning_s = 0.0
        for name in names:
            allocator = RateAllocator(
                name=name, incarnation=1, settings=ShareSettings()
            )
            for account in accounts:
                allocator.count_arrival(account.name, now)
            started_at = time.process_time()
            record = (
                allocator.next_record(record, accounts, names, now + 1)
                or record
            )
            planning_s = time.process_time() - started_at
        lengths.append(len(msgspec.json.encode(record)) / 1024)
        milliseconds.append(planning_s * 1000)
        sizes.append(size)
    report_fit("rate record, KB", "entries", sizes, lengths, (1200,))
    report_fit(
        "rate record, ms to plan", "entries", sizes, milliseconds, (1200,)
    )


def run() -> None:
    """Runs all measurements of this module."""
    print(f"seed {SEED}")
    measure_blocks()
    measure_messages()
    measure_configuration()
    measure_rate_record()
    measure_daemon()
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"this run's own peak: {peak_mb:.0f} MB")
