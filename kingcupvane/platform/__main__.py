"""Runs a gateway on the users' platform."""

import os
import sys

import trio
from loguru import logger

from kingcupvane import settings
from kingcupvane.errors import UsageError
from kingcupvane.platform.names import NAMES
from kingcupvane.platform.registry import (
    OUTCOME_PREFIX,
    PlatformRegistry,
    encode_outcome,
)
from kingcupvane.platform.store import PlatformStore
from kingcupvane.process.gateway import GatewayDaemon

SETTINGS_VARIABLE = "KINGCUPVANE_CONFIG"
EXIT_USAGE = 2


def load() -> settings.GatewaySettings:
    """Reads the settings file that the platform has rendered.

    Raises:
        UsageError: There is none, or it cannot be checked.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise UsageError(f"{SETTINGS_VARIABLE}: expected a file's path")
    return settings.load(path, settings.GatewaySettings)


def main() -> int:
    """Runs a gateway; returns the exit status."""
    logger.remove()
    logger.add(sys.stdout, format="level={level} {message}", level="INFO")
    try:
        loaded = load()
    except UsageError as error:
        print(f"kingcupvane: {error}", file=sys.stderr)
        return EXIT_USAGE
    store = PlatformStore(
        address=loaded.store.address, timeout_s=loaded.store.timeout_s
    )
    daemon = GatewayDaemon(
        settings=loaded,
        store=store,
        registry=PlatformRegistry(regions=loaded.data_centres),
        names=NAMES,
        encode_outcome=encode_outcome,
        outcome_prefix=OUTCOME_PREFIX,
        reload=load,
    )
    trio.run(daemon.run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
