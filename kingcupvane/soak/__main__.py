"""Command line of the soak tests.

`python -m kingcupvane.soak` plays the product's entries, with `gateways` as the
first word those of the users' platform.
"""

import sys

import fire

from kingcupvane.soak.runner import soak

GATEWAY_COMMANDS = ("gateways", "gateway_seed")


def main() -> None:
    """Runs the command of the first word."""
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    if word not in GATEWAY_COMMANDS:
        sys.exit(fire.Fire(soak))
    # It needs the stand-ins beside the package, which entries do not.
    from kingcupvane.soak import gateway_runner

    commands = {
        "gateways": gateway_runner.soak,
        "gateway_seed": gateway_runner.gateway_seed,
    }
    sys.exit(fire.Fire(commands))


if __name__ == "__main__":
    main()
