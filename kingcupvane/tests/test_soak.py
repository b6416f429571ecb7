"""Tests of the soak's scripts, and a short soak with fixed seeds."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from kingcupvane.soak.runner import play
from kingcupvane.soak.script import WORK_FACTOR, Size, script
from kingcupvane.tests.scenario import PARSER

SIZE = Size()
SEEDS = (1, 2)
ENDING_BY_BEGINNING = {
    "kill": "restart",
    "leave": "restart",
    "freeze": "thaw",
    "cut": "heal",
}


def faults_of(text):
    """Yields each fault statement: its process, whether it begins, its line."""
    for line in text.partition("load")[2].splitlines()[1:]:
        words = line.split()
        if words[0] in ENDING_BY_BEGINNING:
            yield words[1], True, line
        elif words[0] in ENDING_BY_BEGINNING.values():
            yield words[1], False, line
        elif words[0] == "store":
            yield "store", words[1] != "up", line
        elif words[0] == "fault":
            usual = ["slow_factor", str(WORK_FACTOR)]
            yield words[1], words[2:] != usual, line


def test_scripts_are_scenarios_and_equal_for_a_seed():
    texts = [script(seed, size=SIZE) for seed in range(200)]
    assert texts == [script(seed, size=SIZE) for seed in range(200)]
    assert len(set(texts)) == len(texts)
    for text in texts[:20]:
        PARSER.parse(text)


def test_each_fault_ends_before_the_next_one_of_its_process():
    for seed in range(200):
        struck = {}
        for process, begins, line in faults_of(script(seed, size=SIZE)):
            assert bool(struck.get(process)) is not begins, (seed, line)
            struck[process] = begins
        assert not any(struck.values())


def test_faults_of_several_processes_overlap():
    overlapping = 0
    for seed in range(50):
        struck = set()
        for process, begins, _ in faults_of(script(seed, size=SIZE)):
            (struck.add if begins else struck.discard)(process)
            overlapping += len(struck) >= 3
    assert overlapping > 50


@pytest.fixture(scope="module")
def outcomes_by_seed(tmp_path_factory):
    root = tmp_path_factory.mktemp("soak")
    with ThreadPoolExecutor(len(SEEDS)) as pool:
        plays = {
            seed: pool.submit(play, seed, size=SIZE, folder=root / str(seed))
            for seed in SEEDS
        }
        return {seed: done.result() for seed, done in plays.items()}


@pytest.mark.parametrize("seed", SEEDS)
def test_seed_holds(outcomes_by_seed, seed):
    assert outcomes_by_seed[seed].fault == ""
