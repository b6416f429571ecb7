"""Plays seeded scripts against gateways of the users' platform."""

import asyncio
import random
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

from kingcupvane.soak.gateway_callers import Callers
from kingcupvane.soak.gateway_faults import Faults
from kingcupvane.soak.gateway_judge import Bounds, judge
from kingcupvane.soak.gateway_record import (
    Arrival,
    FinalState,
    Leaving,
    Life,
    Record,
)
from kingcupvane.soak.gateway_script import Script, generate
from review.standins.drill import Drill
from review.standins.fleet import GUILD_BOUNDS, Gateway

BOUNDS = Bounds(
    apply_s=GUILD_BOUNDS["configApplyS"],
    drain_s=GUILD_BOUNDS["drainS"],
    contact_s=GUILD_BOUNDS["contactS"],
    grace_s=GUILD_BOUNDS["graceS"],
)
# Calm time at the end before the last questions, in seconds: all bounds hold.
CALM_S = BOUNDS.contact_s + BOUNDS.apply_s + 0.5
READY_S = 15.0
READY_POLL_S = 0.3
SEED_LIMIT_S = 180.0
SCRIPT_FILE_NAME = "script.json"
RECORD_FILE_NAME = "record.jsonl"
RESULT_FILE_NAME = "result.txt"
OUTPUT_FILE_NAME = "output.txt"
FAILED_TASK = b"event=task-failed"
FAULTS_PRINTED_MAX = 12
PASSED = 0
FAILED = 1
NOT_RUN = 2
LATENESS_PERIOD_S = 0.05

_RUNNING: set[subprocess.Popen] = set()


class Lateness:
    """How late this process is scheduled, as a sign of a busy machine.

    Attributes:
        worst_s: Longest delay so far, in seconds.
    """

    def __init__(self):
        """Starts without a delay."""
        self.worst_s = 0.0

    async def watch(self) -> None:
        """Measures until cancelled."""
        while True:
            due_at = time.monotonic() + LATENESS_PERIOD_S
            await asyncio.sleep(LATENESS_PERIOD_S)
            self.worst_s = max(self.worst_s, time.monotonic() - due_at)


class NotRunError(Exception):
    """The gateways did not start, so that the seed shows nothing."""


async def play(script: Script, *, folder: Path, lateness: Lateness) -> Record:
    """Plays a script and returns what was seen.

    Args:
        script: The script.
        folder: Folder for the gateways' settings and logs.
        lateness: Notes how busy the machine was.

    Raises:
        NotRunError: The gateways do not become ready.
    """
    drill = Drill(gateways=script.gateways, seed=script.seed, folder=folder)
    record = Record(gateways=[g.name for g in drill.fleet.gateways])
    rng = random.Random(script.seed + 1)
    callers = Callers(drill=drill, record=record, rng=rng)
    watch = asyncio.create_task(lateness.watch())
    try:
        if not await drill.start():
            raise NotRunError("the gateways do not become ready")
        callers.start()
        await _play_steps(script, Faults(drill=drill, record=record, rng=rng))
        await asyncio.sleep(CALM_S)
        await _wait_until_ready(drill)
        record.calm_at = drill.now()
        await asyncio.gather(
            *(callers.ask_finally(g) for g in drill.fleet.gateways)
        )
        await callers.stop()
        await _fill_record(record, drill, folder)
    finally:
        watch.cancel()
        await drill.fleet.stop()
    return record


async def _play_steps(script: Script, faults: Faults) -> None:
    start = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for step in script.steps:
            await asyncio.sleep(start + step.at - time.monotonic())
            group.create_task(faults.play(step))


async def _wait_until_ready(drill: Drill) -> None:
    deadline = drill.now() + READY_S
    while drill.now() < deadline:
        ready = [await drill.fleet.is_ready(g) for g in drill.fleet.gateways]
        if all(ready):
            return
        await asyncio.sleep(READY_POLL_S)


async def _fill_record(record: Record, drill: Drill, folder: Path) -> None:
    record.plans = list(drill.operator.writes)
    record.leavings = [
        Leaving(at=at, target=target)
        for server in drill.servers
        for target, at in server.leavings
    ]
    record.arrivals = [
        Arrival(
            at=arrival.at,
            ask_id=arrival.attempt_id,
            target=arrival.server,
            service=server.service,
            has_run=arrival.has_run,
        )
        for server in drill.servers
        for arrival in server.arrivals
    ]
    for gateway in drill.fleet.gateways:
        record.lives.extend(_lives(gateway))
        log = (folder / f"{gateway.name}.log").read_bytes()
        state = FinalState(
            gateway=gateway.name,
            is_ready=await drill.fleet.is_ready(gateway),
            failed_tasks=log.count(FAILED_TASK),
        )
        record.finals.append(state)


def _lives(gateway: Gateway) -> list[Life]:
    ends = [*gateway.ends, (float("inf"), 0)]
    return [
        Life(gateway=gateway.name, start=start, end=end, status=status)
        for start, (end, status) in zip(gateway.started_at, ends, strict=False)
    ]


def run_seed(seed: int, *, folder: Path, script: Script | None = None) -> int:
    """Plays a seed, judges it, and writes script, record and result.

    Args:
        seed: The seed.
        folder: Folder for all files.
        script: The script, if not the one of the seed.

    Returns:
        `PASSED`, `FAILED` or `NOT_RUN`.
    """
    # Gateways inherit it: the platform starts them with the default action.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    folder.mkdir(parents=True, exist_ok=True)
    script = script or generate(seed)
    (folder / SCRIPT_FILE_NAME).write_text(script.to_json())
    lateness = Lateness()
    playing = play(script, folder=folder, lateness=lateness)
    try:
        record = asyncio.run(asyncio.wait_for(playing, SEED_LIMIT_S))
    except Exception as error:
        # Whatever ends a seed early, it was not judged.
        details = traceback.format_exc()
        (folder / RESULT_FILE_NAME).write_text(f"not run: {error!r}\n{details}")
        return NOT_RUN
    record.write(folder / RECORD_FILE_NAME)
    faults = judge(record, bounds=BOUNDS)
    summary = (
        f"gateways={script.gateways} plans={len(record.plans)}"
        f" asks={len(record.asks)} leavings={len(record.leavings)}"
        f" disruptions={len(record.disruptions)}"
        f" late_s={lateness.worst_s:.2f} faults={len(faults)}"
    )
    lines = [summary, *map(str, faults)]
    (folder / RESULT_FILE_NAME).write_text("\n".join(lines) + "\n")
    return FAILED if faults else PASSED


def soak(
    seeds: int = 5,
    first: int = 1,
    at_once: int = 2,
    keep: str = "",
    only_restores: bool = False,
) -> int:
    """Plays consecutive seeds and returns how many failed or were not run.

    Args:
        seeds: Number of seeds.
        first: First seed.
        at_once: Number of seeds that are played concurrently.
        keep: Folder for the files, by default a temporary one; the logs of
            seeds that passed are removed.
        only_restores: Whether to leave out seeds whose store never comes back
            from an older copy.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    root = Path(keep or tempfile.mkdtemp(prefix="kingcupvane-soak-"))
    chosen = [
        seed
        for seed in range(first, first + seeds)
        if not only_restores or generate(seed).restores()
    ]
    bad = 0
    with ThreadPoolExecutor(at_once) as pool:
        futures = [pool.submit(_run_process, seed, root) for seed in chosen]
        try:
            for future in as_completed(futures):
                bad += future.result() != PASSED
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            # They end their gateways themselves.
            for process in list(_RUNNING):
                process.terminate()
            raise
    print(f"{len(chosen)} seeds, {bad} failed or not run")
    return bad


def _run_process(seed: int, root: Path) -> int:
    """Plays a seed in a process of its own and prints its result."""
    folder = root / str(seed)
    started_at = time.monotonic()
    command = [sys.executable, "-m", "kingcupvane.soak", "gateway_seed"]
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / OUTPUT_FILE_NAME).open("wb") as output:
        process = subprocess.Popen(
            [*command, f"--seed={seed}", f"--folder={folder}"],
            stdout=output,
            stderr=output,
        )
        _RUNNING.add(process)
        status = process.wait()
        _RUNNING.discard(process)
    result = folder / RESULT_FILE_NAME
    lines = result.read_text().splitlines() if result.exists() else ["ended"]
    word = {PASSED: "passed", FAILED: "FAILED"}.get(status, "NOT RUN")
    seconds = time.monotonic() - started_at
    print(f"seed={seed} {word} seconds={seconds:.0f} {lines[0]}", flush=True)
    for line in lines[1:FAULTS_PRINTED_MAX]:
        print(f"    {line}", flush=True)
    if status == PASSED:
        for log in folder.glob("*.log"):
            log.unlink()
    return status


def gateway_seed(seed: int, folder: str) -> int:
    """Plays one seed in this process; exits with its status.

    Args:
        seed: The seed.
        folder: Folder for its files.
    """
    return run_seed(seed, folder=Path(folder))
