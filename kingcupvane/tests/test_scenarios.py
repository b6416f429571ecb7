"""Runs every scenario against real processes, several in parallel."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.scn"))
AT_ONCE = 4


def run(path, folder):
    with Fleet(folder=folder) as fleet:
        Scenario(fleet=fleet).run(path.read_text())


@pytest.fixture(scope="session")
def runs_by_path(request, tmp_path_factory):
    """Starts all selected scenarios and returns their futures."""
    chosen = [
        item.callspec.params["path"]
        for item in request.session.items
        if "runs_by_path" in getattr(item, "fixturenames", ())
    ]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {
            path: pool.submit(run, path, tmp_path_factory.mktemp(path.stem))
            for path in chosen
        }


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, runs_by_path):
    runs_by_path[path].result()
