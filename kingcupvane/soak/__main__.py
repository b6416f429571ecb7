"""`python -m kingcupvane.soak`: random faults against real processes."""

import sys

import fire

from kingcupvane.soak.runner import soak

if __name__ == "__main__":
    sys.exit(fire.Fire(soak))
