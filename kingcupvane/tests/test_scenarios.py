"""Runs every scenario against real processes, several in parallel."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.scn"))
PARALLEL_RUNS = 4


def run_scenario(path, folder):
    with Fleet(folder=folder) as fleet:
        Scenario(fleet=fleet).run(path.read_text())


@pytest.fixture(scope="session")
def futures_by_path(request, tmp_path_factory):
    """Starts all selected scenarios and returns their futures."""
    selected_paths = [
        item.callspec.params["path"]
        for item in request.session.items
        if "futures_by_path" in getattr(item, "fixturenames", ())
    ]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        yield {
            path: pool.submit(
                run_scenario, path, tmp_path_factory.mktemp(path.stem)
            )
            for path in selected_paths
        }


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, futures_by_path):
    futures_by_path[path].result()
