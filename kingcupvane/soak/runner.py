"""Plays scripts of random faults and keeps what failed."""

import shutil
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from kingcupvane.soak.script import FleetSize, generate_script
from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario

SCRIPT_FILE_NAME = "script.scn"
KILL_PERIOD_S = 0.2

_RUNNING_FLEETS: set[Fleet] = set()


@dataclass(frozen=True, kw_only=True)
class SeedResult:
    """What became of a seed.

    Attributes:
        seed: Its seed.
        seconds: Time that it took.
        fault: What did not hold; empty when all did.
        folder: Logs and script, kept where it failed.
    """

    seed: int
    duration_s: float
    failure: str
    folder: Path


def run_seed(seed: int, *, size: FleetSize, folder: Path) -> SeedResult:
    """Plays a seed's script against processes of its own.

    Args:
        seed: Seed of the script.
        size: Size of the fleet.
        folder: Where logs and script go.
    """
    folder.mkdir(parents=True, exist_ok=True)
    script_text = generate_script(seed, size=size)
    (folder / SCRIPT_FILE_NAME).write_text(script_text)
    started_at = time.monotonic()
    failure = ""
    fleet = Fleet(folder=folder)
    _RUNNING_FLEETS.add(fleet)
    try:
        with fleet:
            Scenario(fleet=fleet).run(script_text)
    except Exception as error:
        # Whatever ends a script early is a finding of its seed.
        failure = f"{type(error).__name__}: {error}"
    finally:
        _RUNNING_FLEETS.discard(fleet)
    duration_s = time.monotonic() - started_at
    return SeedResult(
        seed=seed, duration_s=duration_s, failure=failure, folder=folder
    )


def soak(
    seeds: int = 5,
    first: int = 1,
    at_once: int = 2,
    data_centres: int = 2,
    entries: int = 2,
    targets: int = 2,
    keep: str = "",
) -> int:
    """Plays seeds one after the other; returns how many failed.

    Args:
        seeds: How many seeds.
        first: The first one.
        at_once: Scripts that run at the same time.
        data_centres: Data centres of each fleet.
        entries: Entries in each data centre.
        targets: Targets in each data centre.
        keep: Folder for logs; those of seeds that held are removed.
    """
    size = FleetSize(
        data_centres=data_centres, entries=entries, targets=targets
    )
    root = Path(keep or tempfile.mkdtemp(prefix="kingcupvane-soak-"))
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    failed = 0
    with ThreadPoolExecutor(at_once) as pool:
        futures = [
            pool.submit(run_seed, seed, size=size, folder=root / str(seed))
            for seed in range(first, first + seeds)
        ]
        try:
            for future in as_completed(futures):
                failed += _report_result(future.result())
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            _kill_processes()
            raise
    print(f"{seeds} seeds, {failed} failed")
    return failed


def _kill_processes() -> None:
    """Ends what the running scripts have started, so that they fail."""
    while _RUNNING_FLEETS:
        for fleet in list(_RUNNING_FLEETS):
            fleet.kill_all()
        time.sleep(KILL_PERIOD_S)


def _report_result(result: SeedResult) -> int:
    """Shows an outcome; returns one for a failure."""
    if not result.failure:
        print(f"seed={result.seed} held seconds={result.duration_s:.0f}")
        shutil.rmtree(result.folder)
        return 0
    print(
        f"seed={result.seed} FAILED seconds={result.duration_s:.0f}"
        f" logs={result.folder} why={result.failure}"
    )
    return 1
