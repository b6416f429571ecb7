"""Plays scripts of random faults and keeps what failed."""

import shutil
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from kingcupvane.soak.script import Size, script
from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario

SCRIPT_NAME = "script.scn"
END_POLL_S = 0.2

_FLEETS: set[Fleet] = set()


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What became of a seed.

    Attributes:
        seed: Its seed.
        seconds: Time that it took.
        fault: What did not hold; empty when all did.
        folder: Logs and script, kept where it failed.
    """

    seed: int
    seconds: float
    fault: str
    folder: Path


def play(seed: int, *, size: Size, folder: Path) -> Outcome:
    """Plays a seed's script against processes of its own.

    Args:
        seed: Seed of the script.
        size: Size of the fleet.
        folder: Where logs and script go.
    """
    folder.mkdir(parents=True, exist_ok=True)
    text = script(seed, size=size)
    (folder / SCRIPT_NAME).write_text(text)
    started = time.monotonic()
    found = ""
    fleet = Fleet(folder=folder)
    _FLEETS.add(fleet)
    try:
        with fleet:
            Scenario(fleet=fleet).run(text)
    except Exception as error:
        # Whatever ends a script early is a finding of its seed.
        found = f"{type(error).__name__}: {error}"
    finally:
        _FLEETS.discard(fleet)
    seconds = time.monotonic() - started
    return Outcome(seed=seed, seconds=seconds, fault=found, folder=folder)


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
    size = Size(data_centres=data_centres, entries=entries, targets=targets)
    root = Path(keep or tempfile.mkdtemp(prefix="kingcupvane-soak-"))
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    failed = 0
    with ThreadPoolExecutor(at_once) as pool:
        plays = [
            pool.submit(play, seed, size=size, folder=root / str(seed))
            for seed in range(first, first + seeds)
        ]
        try:
            for done in as_completed(plays):
                failed += _log_event(done.result())
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            _end_processes()
            raise
    print(f"{seeds} seeds, {failed} failed")
    return failed


def _end_processes() -> None:
    """Ends what the running scripts have started, so that they fail."""
    while _FLEETS:
        for fleet in list(_FLEETS):
            fleet.end()
        time.sleep(END_POLL_S)


def _log_event(outcome: Outcome) -> int:
    """Shows an outcome; returns one for a failure."""
    if not outcome.fault:
        print(f"seed={outcome.seed} held seconds={outcome.seconds:.0f}")
        shutil.rmtree(outcome.folder)
        return 0
    print(
        f"seed={outcome.seed} FAILED seconds={outcome.seconds:.0f}"
        f" logs={outcome.folder} why={outcome.fault}"
    )
    return 1
