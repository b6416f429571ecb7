"""Entry point of the `kingcupvane` command."""

import sys

from kingcupvane import cli


def run() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(cli.main(sys.argv[1:]))


if __name__ == "__main__":
    run()
