"""Runs measurements: `python -m bench shares orders overload slopes`."""

import os
import platform
import sys
from collections.abc import Callable

from bench import fleets, orders, overload, shares, slopes, stops

RUNS: dict[str, Callable[[], None]] = {
    "shares": shares.run,
    "orders": orders.run,
    "overload": overload.run,
    "slopes": slopes.run,
    "fleets": fleets.run,
    "stops": stops.run,
}


def main(words: list[str]) -> int:
    """Runs the named measurements."""
    unknown = [word for word in words if word not in RUNS]
    if unknown or not words:
        print(f"expected some of: {', '.join(RUNS)}", file=sys.stderr)
        return 2
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    for word in words:
        print(f"\n== {word}: python -m bench {word}")
        RUNS[word]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
