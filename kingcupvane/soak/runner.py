"""Runs random fault scripts and keeps the logs of those that failed."""

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
    """Result of one seed's script.

    Attributes:
        seed: Seed of the script.
        duration_s: Duration of the run, in seconds.
        failure: Error that ended the run; empty if all checks held.
        folder: Folder of the logs and the script; removed if all checks held.
    """

    seed: int
    duration_s: float
    failure: str
    folder: Path


def run_seed(seed: int, *, size: FleetSize, folder: Path) -> SeedResult:
    """Runs the script of a seed against a fleet of its own.

    Args:
        seed: Seed of the script.
        size: Size of the fleet.
        folder: Folder for the logs and the script.
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
        # Any error that ends a script early counts as a failure of its seed.
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
    """Runs the scripts of consecutive seeds and returns how many failed.

    Args:
        seeds: Number of seeds.
        first: First seed.
        at_once: Number of scripts that run concurrently.
        data_centres: Data centres of each fleet.
        entries: Entries in each data centre.
        targets: Targets in each data centre.
        keep: Folder for logs, by default a temporary one; the logs of seeds
            that succeeded are removed.
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
    """Kills the fleets of running scripts, so that the scripts fail."""
    while _RUNNING_FLEETS:
        for fleet in list(_RUNNING_FLEETS):
            fleet.kill_all()
        time.sleep(KILL_PERIOD_S)


def _report_result(result: SeedResult) -> int:
    """Prints a result and removes its logs on success; returns 1 on failure."""
    if not result.failure:
        print(f"seed={result.seed} passed seconds={result.duration_s:.0f}")
        shutil.rmtree(result.folder)
        return 0
    print(
        f"seed={result.seed} FAILED seconds={result.duration_s:.0f}"
        f" logs={result.folder} why={result.failure}"
    )
    return 1
