"""Items of the configuration, which release notes add, change and withdraw."""

from typing import Annotated, ClassVar

from pydantic import AfterValidator, AwareDatetime, Field

from kingcupvane.settings import Address, Name, StrictModel

SHA256_HEX = r"^[0-9a-f]{64}$"
TARGET_READY = "ready"
TARGET_LEAVING = "leaving"


def _check_path(value: str) -> str:
    if not value.startswith("/"):
        raise ValueError("expected a path that starts with a slash (/)")
    return value


UrlPath = Annotated[str, AfterValidator(_check_path)]


class Entry(StrictModel):
    """An entry daemon of the fleet.

    Attributes:
        caller_address: Address for callers.
        peer_address: Address for other daemons.
    """

    KIND: ClassVar[str] = "entries"
    name: Name
    region: Name
    data_centre: Name
    caller_address: Address
    peer_address: Address


class Route(StrictModel):
    """A route: requests of a service whose path starts with a prefix.

    Attributes:
        prefix: Prefix of the path within the service.
        open: Whether requests are served without an account's key.
        at_most_once: Whether requests need an idempotency key and run at most
            once.
    """

    prefix: UrlPath
    open: bool = False
    at_most_once: bool = False


class Service(StrictModel):
    """A service that targets serve, and its routes."""

    KIND: ClassVar[str] = "services"
    name: Name
    routes: tuple[Route, ...] = ()


class Target(StrictModel):
    """A server that serves one version of a service.

    Attributes:
        slots: Largest number of concurrent requests.
        state: `ready` or `leaving`.
    """

    KIND: ClassVar[str] = "targets"
    name: Name
    service: Name
    version: Name
    region: Name
    data_centre: Name
    address: Address
    slots: int = Field(4, ge=1)
    state: str = Field(
        TARGET_READY, pattern=f"^({TARGET_READY}|{TARGET_LEAVING})$"
    )


class Account(StrictModel):
    """A client account.

    Attributes:
        rate: Requests per second allowed over the whole fleet.
        burst: Token bucket size over the whole fleet, in requests.
    """

    KIND: ClassVar[str] = "accounts"
    name: Name
    rate: float = Field(gt=0)
    burst: float = Field(ge=1)


class Key(StrictModel):
    """A key of a client account, stored as its SHA-256 hash."""

    KIND: ClassVar[str] = "keys"
    name: Name
    account: Name
    sha256: str = Field(pattern=SHA256_HEX)


class Version(StrictModel):
    """A version of a service, and its share of the service's traffic.

    Attributes:
        name: Name of the version, unique over all services.
        share: Largest share of the service's traffic, 0 to 1; 1 is no limit.
    """

    KIND: ClassVar[str] = "versions"
    name: Name
    service: Name
    share: float = Field(1.0, ge=0, le=1)


class Move(StrictModel):
    """A guarded move of a service's traffic from one version to another.

    Attributes:
        cap: Largest share of the new version until it is first judged good, 0
            to 1.
        step: Largest increase of the share in one step until the move is
            completed, 0 to 1.
        hold_s: Shortest time between two steps, in seconds.
        deadline: Time by which the move is completed or taken back; needs a
            UTC offset.
    """

    KIND: ClassVar[str] = "moves"
    name: Name
    service: Name
    old: Name
    new: Name
    cap: float = Field(0.05, gt=0, le=1)
    step: float = Field(0.2, gt=0, le=1)
    hold_s: float = Field(5.0, gt=0)
    deadline: AwareDatetime

    @property
    def deadline_s(self) -> float:
        """The deadline in Unix seconds."""
        return self.deadline.timestamp()
