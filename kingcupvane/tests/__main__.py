"""Runs pytest without the tests that KNOWN-RED.txt lists."""

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"


def known_red() -> Iterator[str]:
    """Yields the listed test ids: first words of lines that contain `::`."""
    for line in KNOWN_RED.read_text().splitlines():
        word = line.partition(" ")[0]
        if "::" in word:
            yield word


def run(words: list[str]) -> int:
    """Runs pytest with the given arguments and returns its exit status."""
    red = list(known_red())
    for test in red:
        print(f"deselected, listed in KNOWN-RED.txt: {test}")
    deselected = [f"--deselect={test}" for test in red]
    return pytest.main([*deselected, *words])


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
