"""The things that a release note adds, changes and withdraws."""

from typing import Annotated, ClassVar

from pydantic import AfterValidator, AwareDatetime, Field

from kingcupvane.settings import Address, Name, StrictModel

SHA256_HEX = r"^[0-9a-f]{64}$"
READY = "ready"
LEAVING = "leaving"


def _check_path(value: str) -> str:
    if not value.startswith("/"):
        raise ValueError("expected a path that starts with /")
    return value


Path = Annotated[str, AfterValidator(_check_path)]


class Entry(StrictModel):
    """An entry daemon that belongs to the fleet."""

    KIND: ClassVar[str] = "entries"
    name: Name
    region: Name
    data_centre: Name
    caller_address: Address
    peer_address: Address


class Route(StrictModel):
    """Requests of a service whose path starts with a prefix.

    Attributes:
        prefix: Start of the path within the service.
        open: No key is needed.
        at_most_once: An idempotency key is needed and the work runs once.
    """

    prefix: Path
    open: bool = False
    at_most_once: bool = False


class Service(StrictModel):
    """A service that targets offer."""

    KIND: ClassVar[str] = "services"
    name: Name
    routes: tuple[Route, ...] = ()


class Target(StrictModel):
    """A back-end server.

    Attributes:
        slots: Requests that it serves at a time.
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
    state: str = Field(READY, pattern=f"^({READY}|{LEAVING})$")


class Account(StrictModel):
    """A client account.

    Attributes:
        rate: Requests per second over the whole fleet.
        burst: Requests at once over the whole fleet.
    """

    KIND: ClassVar[str] = "accounts"
    name: Name
    rate: float = Field(gt=0)
    burst: float = Field(ge=1)


class Key(StrictModel):
    """A key of a client account, held as its hash."""

    KIND: ClassVar[str] = "keys"
    name: Name
    account: Name
    sha256: str = Field(pattern=SHA256_HEX)


class Version(StrictModel):
    """A version of a service, and the traffic it may get.

    Attributes:
        name: Name of the version, unique over all services.
        share: Part of the service's traffic, 0 to 1.
    """

    KIND: ClassVar[str] = "versions"
    name: Name
    service: Name
    share: float = Field(1.0, ge=0, le=1)


class Move(StrictModel):
    """A guarded move of a service's traffic from one version to another.

    Attributes:
        cap: Largest share that the new version may have before it is judged
            good, 0 to 1.
        step: Largest growth of the share at a time, 0 to 1.
        hold_s: Shortest time between two steps, in seconds.
        deadline: When the move is done or taken back, with its UTC offset.
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
