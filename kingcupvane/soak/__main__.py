"""Command line of the soak test: `python -m kingcupvane.soak`."""

import sys

import fire

from kingcupvane.soak.runner import soak

if __name__ == "__main__":
    sys.exit(fire.Fire(soak))
