"""Tests of the soak's scripts, and a short soak with fixed seeds."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from kingcupvane.soak.runner import run_seed
from kingcupvane.soak.script import BASE_SLOW_FACTOR, FleetSize, generate_script
from kingcupvane.tests.scenario import PARSER

SIZE = FleetSize()
SEEDS = (1, 2)
REVERSAL_BY_OPERATION = {
    "kill": "restart",
    "leave": "restart",
    "freeze": "thaw",
    "cut": "heal",
}


def fault_statements(text):
    """Yields each fault statement: its process, whether it begins, its line."""
    for line in text.partition("load")[2].splitlines()[1:]:
        words = line.split()
        if words[0] in REVERSAL_BY_OPERATION:
            yield words[1], True, line
        elif words[0] in REVERSAL_BY_OPERATION.values():
            yield words[1], False, line
        elif words[0] == "store":
            yield "store", words[1] != "up", line
        elif words[0] == "fault":
            normal_arguments = ["slow_factor", str(BASE_SLOW_FACTOR)]
            yield words[1], words[2:] != normal_arguments, line


def test_scripts_parse_and_depend_on_the_seed_alone():
    texts = [generate_script(seed, size=SIZE) for seed in range(200)]
    assert texts == [generate_script(seed, size=SIZE) for seed in range(200)]
    assert len(set(texts)) == len(texts)
    for text in texts[:20]:
        PARSER.parse(text)


def test_process_has_one_fault_at_a_time_and_every_fault_ends():
    for seed in range(200):
        is_faulty_by_process = {}
        for process, begins, line in fault_statements(
            generate_script(seed, size=SIZE)
        ):
            assert bool(is_faulty_by_process.get(process)) is not begins, (
                seed,
                line,
            )
            is_faulty_by_process[process] = begins
        assert not any(is_faulty_by_process.values())


def test_faults_of_several_processes_overlap():
    overlapping = 0
    for seed in range(50):
        faulty_processes = set()
        for process, begins, _ in fault_statements(
            generate_script(seed, size=SIZE)
        ):
            (faulty_processes.add if begins else faulty_processes.discard)(
                process
            )
            overlapping += len(faulty_processes) >= 3
    assert overlapping > 50


@pytest.fixture(scope="module")
def results_by_seed(tmp_path_factory):
    root = tmp_path_factory.mktemp("soak")
    with ThreadPoolExecutor(len(SEEDS)) as pool:
        futures = {
            seed: pool.submit(
                run_seed, seed, size=SIZE, folder=root / str(seed)
            )
            for seed in SEEDS
        }
        return {seed: future.result() for seed, future in futures.items()}


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_check(results_by_seed, seed):
    assert results_by_seed[seed].failure == ""
