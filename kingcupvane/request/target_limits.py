"""Rate limits that targets name in their responses, held by all gateways.

Load pattern: a target in need names the requests per second that it takes from
all gateways together. Each gateway hears of that only in the responses that it
gets itself, and alone sends far less than the limit. The limits are therefore
divided among the gateways, and their use told to them, as the limits of client
accounts are: a limit of a target is one more limit in `DistributedQuota`. A
gateway that has not heard a limit itself keeps to the one that its peers tell.
"""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kingcupvane.request.quota import DistributedQuota
from kingcupvane.version.plan import RegisteredTarget

# Bounds of a limit, in requests per second. A target that takes nothing is
# still asked now and then, since only its responses tell when it takes more.
RATE_MIN = 0.25
RATE_MAX = 1e6
# Burst of a limit: a number of requests, plus the limit over a time in seconds.
BURST_REQUESTS = 3.0
BURST_S = 0.5
# Time for which peers are told a limit after it was last heard, in seconds.
TELL_S = 10.0
# Time for which a response without a limit outweighs what peers tell, in
# seconds.
LIFTED_S = 5.0
# Time after which a limit that was not heard again is forgotten, in seconds.
FORGET_S = 300.0
# Start of the names of these limits. No account has such a name, since it is
# sent in a header.
NAME_PREFIX = "\n"

DECIMAL = re.compile(rb"\s*([0-9]+(?:\.[0-9]*)?|\.[0-9]+)\s*")


def parse_rate(value: bytes) -> float | None:
    """Returns the rate in a limit header, within bounds; None if invalid.

    Args:
        value: Requests per second, as a decimal number.
    """
    match = DECIMAL.fullmatch(value)
    if match is None:
        return None
    return min(RATE_MAX, max(RATE_MIN, float(match[1])))


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLimit:
    """A limit in force.

    Attributes:
        name: Name among all limits; differs for each process of a target.
        rate: Requests per second from all gateways together.
        burst: Token bucket size over all gateways, in requests.
    """

    name: str
    rate: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Heard:
    """What a target last said: a rate, or 0 for no limit, and when."""

    rate: float
    at: float


class TargetLimits:
    """The limits of targets that this gateway knows; does no I/O."""

    def __init__(
        self, *, quota: DistributedQuota, log_event: Callable[..., None]
    ):
        """Starts without limits.

        Args:
            quota: Divides the limits among the gateways.
            log_event: Logs an event; takes its kind and fields.
        """
        self._quota = quota
        self._log_event = log_event
        self._heard_by_name: dict[str, _Heard] = {}
        self._limits_by_name: dict[str, TargetLimit] = {}

    def hear(
        self,
        target: RegisteredTarget,
        rate: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Notes what a response of a target says.

        Args:
            target: The target.
            rate: The limit that it names; None if it names none.
            sent_at: Monotonic time at which the request was sent, in seconds.
                A response to an earlier request than the one that told of a
                limit does not lift it.
            now: Monotonic seconds.
        """
        name = _limit_name(target)
        if rate is None:
            heard = self._heard_by_name.get(name)
            if heard is None and name not in self._limits_by_name:
                return
            if heard is not None and heard.rate and sent_at < heard.at:
                return
        self._heard_by_name[name] = _Heard(rate=rate or 0.0, at=now)
        self._set(name, rate or 0.0, source=target.name)

    def update(self, now: float) -> None:
        """Applies the limits that peers tell, and tells them this gateway's."""
        for name, heard in list(self._heard_by_name.items()):
            if now - heard.at > FORGET_S:
                del self._heard_by_name[name]
        told = self._quota.announced_by_peers()
        for name in {*told, *self._limits_by_name}:
            self._set(
                name,
                self._effective_rate(name, told.get(name, 0.0), now),
                source="peers",
            )
        self._quota.announced_rates = {
            name: heard.rate
            for name, heard in self._heard_by_name.items()
            if heard.rate and now - heard.at <= TELL_S
        }

    def _effective_rate(self, name: str, told: float, now: float) -> float:
        heard = self._heard_by_name.get(name)
        if heard is None:
            return told
        if not heard.rate and now - heard.at > LIFTED_S:
            return told
        return heard.rate

    def _set(self, name: str, rate: float, *, source: str) -> None:
        """Puts a limit in force; a rate of 0 lifts it."""
        known = self._limits_by_name.get(name)
        if not rate:
            if self._limits_by_name.pop(name, None) is not None:
                self._log_event(
                    "target-limit-lifted", target=_target_name(name)
                )
            return
        if known is not None and known.rate == rate:
            return
        self._limits_by_name[name] = TargetLimit(
            name=name, rate=rate, burst=BURST_REQUESTS + BURST_S * rate
        )
        if known is None:
            self._log_event(
                "target-limited",
                target=_target_name(name),
                rate=rate,
                source=source,
            )

    def limits(self) -> Iterator[TargetLimit]:
        """Yields all limits in force."""
        return iter(self._limits_by_name.values())

    def may_use(self, target: RegisteredTarget, now: float) -> bool:
        """Returns whether a request to a target is within its limit.

        One that is not counts as demand, by which the limit is divided.
        """
        limit = self._limit(target)
        return limit is None or self._quota.has_room(limit, now)

    def record_request(self, target: RegisteredTarget, now: float) -> None:
        """Counts a request that is sent to a target against its limit."""
        limit = self._limit(target)
        if limit is not None:
            self._quota.admit(limit, now)

    def wait_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the delay until a target has room within its limit."""
        limit = self._limit(target)
        return 0.0 if limit is None else self._quota.wait_s(limit, now)

    def is_limited(self, target: RegisteredTarget) -> bool:
        """Returns whether a target has a limit."""
        return self._limit(target) is not None

    def rate(self, target: RegisteredTarget) -> float:
        """Returns a target's limit in requests per second, infinite if none."""
        limit = self._limit(target)
        return float("inf") if limit is None else limit.rate

    def _limit(self, target: RegisteredTarget) -> TargetLimit | None:
        if not self._limits_by_name:
            return None
        return self._limits_by_name.get(_limit_name(target))


def _limit_name(target: RegisteredTarget) -> str:
    return f"{NAME_PREFIX}{target.name}/{target.started_ms}"


def _target_name(limit_name: str) -> str:
    return limit_name.removeprefix(NAME_PREFIX).rpartition("/")[0]
