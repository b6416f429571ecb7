"""Runs every scenario against real processes."""

from pathlib import Path

import pytest

from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.scenario import Scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.scn"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    with Fleet(folder=tmp_path) as fleet:
        Scenario(fleet=fleet).run(path.read_text())
