"""What targets announce in the headers of their responses.

Load pattern: a target that is about to stop, or that is overloaded, tells each
gateway that sends to it, seconds before the store's records reach that gateway.
A gateway that ignored this would send requests that are cut off or refused.
"""

import math
from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from kingcupvane.connection.target_connection import WireResponse
from kingcupvane.request.placement import ReportedLoad
from kingcupvane.request.target_limits import parse_rate
from kingcupvane.version.plan import RegisteredTarget

RETRY_AFTER_HEADER = b"retry-after"
# Longest deferral that a target may ask for, in seconds; a faulty value must
# not take a target out of use for good.
DEFERRAL_MAX_S = 120.0
# Largest number of requests or slots in a load header that is believed.
REPORTED_LOAD_MAX = 10_000
# Figures of a load header that are always there.
LOAD_FIGURES = 3
# Bounds of the slowdown that a target reports, 1 being its usual speed.
SLOWDOWN_MIN = 0.1
SLOWDOWN_MAX = 20.0
# Leaving instances that a gateway remembers; the oldest are forgotten first.
LEAVING_INSTANCES_MAX = 1024


class TargetInstance(msgspec.Struct, frozen=True, array_like=True):
    """One process of a target, from its start to its end.

    Attributes:
        name: Name of the target; a later process may have the same one.
        address: Host and port.
        started_ms: Start time of the process, in Unix milliseconds.
    """

    name: str
    address: str
    started_ms: int


def instance_of(target: RegisteredTarget) -> TargetInstance:
    """Returns the process that a registration describes."""
    return TargetInstance(target.name, target.address, target.started_ms)


@dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """What a target said of itself in one response.

    Attributes:
        is_leaving: Whether it will stop soon.
        deferral_s: Time for which it wants no requests from this gateway, in
            seconds; 0 for none.
        invalid_retry_after: The value of a Retry-After header that is ignored
            or shortened; empty if the header is valid or missing.
        rate_limit: Requests per second that it takes from all gateways
            together; None if it names no limit.
        lifts_rate_limit: Whether a limit that it named before has ended; only
            a success without the header tells that.
        invalid_rate_limit: The value of a limit header that is ignored; empty
            if the header is valid or missing.
    """

    is_leaving: bool
    deferral_s: float
    invalid_retry_after: str
    rate_limit: float | None = None
    lifts_rate_limit: bool = False
    invalid_rate_limit: str = ""


def read_announcement(
    response: WireResponse,
    leaving_headers: Container[bytes],
    limit_headers: Container[bytes] = (),
) -> Announcement:
    """Returns what a response announces about the target that sent it.

    Args:
        response: A response of the target.
        leaving_headers: Names of the headers that announce the target's stop.
        limit_headers: Names of the headers that hold the target's rate limit.
    """
    deferral_s = 0.0
    invalid = ""
    value = response.header(RETRY_AFTER_HEADER)
    if value is not None and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        requested_s = _parse_seconds(value)
        deferral_s = min(DEFERRAL_MAX_S, max(0.0, requested_s))
        if deferral_s != requested_s:
            invalid = value.decode("latin-1")
    rates = []
    invalid_rate_limit = ""
    for name, limit in response.headers:
        if name not in limit_headers:
            continue
        rate = parse_rate(limit)
        if rate is None:
            invalid_rate_limit = limit.decode("latin-1")
        else:
            rates.append(rate)
    rate_limit = min(rates, default=None)
    return Announcement(
        is_leaving=any(
            name in leaving_headers and flag.strip() != b"0"
            for name, flag in response.headers
        ),
        deferral_s=deferral_s,
        invalid_retry_after=invalid,
        rate_limit=rate_limit,
        lifts_rate_limit=(
            HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES
            and rate_limit is None
            and not invalid_rate_limit
        ),
        invalid_rate_limit=invalid_rate_limit,
    )


def _parse_seconds(value: bytes) -> float:
    """Returns a number of seconds; -1 for anything else, such as a date."""
    try:
        seconds = float(value)
    except ValueError:
        return -1.0
    return -1.0 if math.isnan(seconds) else seconds


def parse_reported_load(value: bytes | None) -> ReportedLoad | None:
    """Returns the load in a load header; None if it is missing or invalid.

    Args:
        value: Running requests, waiting requests and slots, as integers with
            commas between them; a fourth integer, if any, states how long work
            takes at present, in percent of the usual time.
    """
    parts = value.split(b",") if value is not None else []
    counts, slowdown = parts[:LOAD_FIGURES], parts[LOAD_FIGURES:]
    if len(counts) < LOAD_FIGURES or len(slowdown) > 1:
        return None
    if not all(part.strip().isdigit() for part in counts):
        return None
    numbers = [min(REPORTED_LOAD_MAX, float(part)) for part in counts]
    running, waiting, slots = (int(number) for number in numbers)
    return ReportedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=_parse_slowdown(slowdown[0]) if slowdown else None,
    )


def _parse_slowdown(percent: bytes) -> float | None:
    """Returns a slowdown within its bounds; None if it is not a number."""
    if not percent.strip().isdigit():
        return None
    return min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, float(percent) / 100.0))


class LeavingInstances:
    """The instances of targets that have announced their stop.

    An announcement holds for as long as the instance lives, even if its
    registration is removed and written again meanwhile.
    """

    def __init__(self):
        """Starts without instances."""
        self._instances: OrderedDict[TargetInstance, None] = OrderedDict()

    def __contains__(self, instance: TargetInstance) -> bool:
        """Returns whether an instance has announced its stop."""
        return instance in self._instances

    def add(self, instance: TargetInstance) -> bool:
        """Adds an instance; returns whether it is new."""
        if instance in self._instances:
            return False
        self._instances[instance] = None
        if len(self._instances) > LEAVING_INSTANCES_MAX:
            self._instances.popitem(last=False)
        return True
