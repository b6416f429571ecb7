"""Runs a gateway on the users' platform."""

import os
import sys

import trio

from kingcupvane import settings
from kingcupvane.clock import SystemClock
from kingcupvane.errors import UsageError
from kingcupvane.platform.names import NAMES
from kingcupvane.platform.records import (
    ROLLOUT_RECORD_PREFIX,
    PlatformItemDecoder,
    encode_rollout_record,
)
from kingcupvane.platform.store import PlatformStore
from kingcupvane.platform.usage import USAGE_DUTY, PlatformUsageReceiver
from kingcupvane.process.gateway import GatewayDaemon
from kingcupvane.process.logs import install_log_buffer

SETTINGS_VARIABLE = "KINGCUPVANE_CONFIG"
EXIT_USAGE = 2


def load_settings() -> settings.GatewaySettings:
    """Reads the settings file that the platform has rendered.

    Raises:
        UsageError: No file is named, or it is unreadable or invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise UsageError(
            f"{SETTINGS_VARIABLE}: not set, expected the path of the"
            " settings file"
        )
    return settings.load(path, settings.GatewaySettings)


def make_usage_receiver(
    usage: settings.UsageSettings | None,
) -> PlatformUsageReceiver | None:
    """Returns the receiver of usage reports; None where none are asked for."""
    if usage is None or USAGE_DUTY not in usage.duties:
        return None
    return PlatformUsageReceiver(address=usage.address)


def main() -> int:
    """Runs a gateway until it stops; returns the exit status."""
    clock = SystemClock()
    log_buffer = install_log_buffer(clock, sys.stdout.fileno())
    try:
        gateway_settings = load_settings()
    except UsageError as error:
        print(f"kingcupvane: {error}", file=sys.stderr)
        return EXIT_USAGE
    store = PlatformStore(
        address=gateway_settings.store.address,
        timeout_s=gateway_settings.store.timeout_s,
    )
    daemon = GatewayDaemon(
        settings=gateway_settings,
        store=store,
        decoder=PlatformItemDecoder(regions=gateway_settings.data_centres),
        names=NAMES,
        encode_rollout_record=encode_rollout_record,
        rollout_record_prefix=ROLLOUT_RECORD_PREFIX,
        usage_receiver=make_usage_receiver(gateway_settings.usage),
        reload=load_settings,
        log_buffer=log_buffer,
        clock=clock,
    )
    trio.run(daemon.run)
    log_buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
