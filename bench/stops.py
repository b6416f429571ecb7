"""Duration of an entry's graceful stop under light and heavy load."""

import statistics
import tempfile
import time
from pathlib import Path

from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario

RUNS_PER_LOAD = 3
LOOKUP_TTL_S = 1.0


def measure(load: str) -> None:
    """Prints stop times under a load and how many requests were cut.

    Args:
        load: A `load` statement of the scenario language.
    """
    stop_times_s = []
    cut = total = 0
    for _ in range(RUNS_PER_LOAD):
        with Fleet(folder=Path(tempfile.mkdtemp())) as fleet:
            scenario = Scenario(fleet=fleet)
            scenario.run("fleet 1 data centres, 2 entries, 3 targets")
            scenario.run(load)
            time.sleep(1.0)
            started_at = time.monotonic()
            fleet.stop("e-a1")
            stop_times_s.append(time.monotonic() - started_at)
            scenario.run("stop load")
            cut += scenario.load.reply_counts["failed"]
            total += scenario.load.reply_counts.total()
    print(
        f"  {load}: stop took {statistics.mean(stop_times_s):.2f} s on average,"
        f" {max(stop_times_s):.2f} s at most; {cut} of {total} requests cut"
    )


def run() -> None:
    """Measures the stop under two loads."""
    print(f"{RUNS_PER_LOAD} runs each; look-up answers live {LOOKUP_TTL_S} s")
    measure("load 10 /s reads via e-a1, e-a2")
    measure("load 80 /s mixed via e-a1, e-a2")
