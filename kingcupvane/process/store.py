"""The platform's store: the interface, and an adapter over HTTP.

Only an adapter knows the wire format. Another platform needs another adapter
with the same methods.
"""

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote, urlencode

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from kingcupvane.connection import bounded_response
from kingcupvane.connection.bounded_response import BoundedResponse
from kingcupvane.connection.response_buffer import (
    AnswerTooLargeError,
    ResponseMemoryBudget,
)
from kingcupvane.errors import StoreError
from kingcupvane.process.item import ABSENT_REVISION as ABSENT_REVISION
from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.item import Item as Item
from kingcupvane.process.store_era import StoreEra

# HTTP status codes of the store.
CONFLICT = 409
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
SUCCESS_STATUS_MAX = 299
CONNECTIONS_MAX = 32
# Timeout of a watch call beyond the wait that it asks for, in seconds.
WATCH_TIMEOUT_MARGIN_S = 2.0


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Items under a prefix, and the store's position when they were read.

    Attributes:
        items: The items.
        revision: Revision of the store.
        era: Era of the store.
        age_s: Time since the items were asked for, in seconds; 0 if it took
            one call.
    """

    items: list[Item]
    revision: int
    era: int = 0
    age_s: float = 0.0

    @property
    def position(self) -> Position:
        """The store's position when the items were read."""
        return Position(self.era, self.revision)

    def in_era(self, era: int) -> "Listing":
        """Returns the same listing as one of an era."""
        if era == self.era:
            return self
        items = [msgspec.structs.replace(item, era=era) for item in self.items]
        return msgspec.structs.replace(self, items=items, era=era)


class VmRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of the platform's list, which lags behind the VMs' real state."""

    name: str
    state: str


class VmListing(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of all VMs."""

    vms: list[VmRecord]


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A lease that the store has granted."""

    lease: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A compare-and-swap that the store refused.

    The expected revision was not the key's. `HttpStore` returns it also if the
    lease of the write has ended.

    Attributes:
        current: Present item of the key; revision 0 if it does not exist.
    """

    current: Item


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryCompacted:
    """A watch from a revision whose history the store has compacted.

    Attributes:
        after: The revision after which changes were requested.
    """

    after: int


class Store(Protocol):
    """Interface of a platform's store.

    Attributes:
        calls: Calls made since the start, by operation.
        era: Highest known era of the store; each item and listing has its own.
    """

    calls: dict[str, int]
    era: StoreEra

    async def get(self, key: str) -> Result[Item, StoreError]:
        """Returns the item; revision `ABSENT_REVISION` when there is none."""

    async def scan(
        self, prefix: str, *, at_least: Position = LOWEST
    ) -> Result[Listing, StoreError]:
        """Returns all items whose key starts with `prefix`.

        Args:
            prefix: Start of the keys.
            at_least: Position below which a listing that was cut is begun
                anew; the store's own position may be lower.
        """

    async def compare_and_swap(
        self, key: str, value: str, *, expected: int, lease: int = 0
    ) -> Result[Item, Conflict | StoreError]:
        """Writes `value` if the key's revision is `expected`.

        With a `lease` the key is removed when the lease ends; 0 for none.
        """

    async def grant(self, ttl_s: float) -> Result[int, StoreError]:
        """Returns the id of a new lease with a TTL of `ttl_s` seconds."""

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Renews a lease; false when it has ended."""

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """Ends a lease and removes its keys; false when it had ended before."""

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Listing, HistoryCompacted | StoreError]:
        """Waits for items under `prefix` newer than revision `after`.

        Args:
            prefix: Start of the keys to watch.
            after: Store revision; only items with a higher one are returned.
            wait_s: Longest wait at the store, in seconds.

        Returns:
            The items, none if the wait ended first; `HistoryCompacted` if the
            store no longer has all changes since `after`.
        """

    async def list_vms(self) -> Result[list[VmRecord], StoreError]:
        """Returns the platform's list of VMs, which lags behind reality."""


class HttpStore:
    """Adapter to a store that speaks the HTTP protocol described in docs.

    Attributes:
        calls: Calls made since the start, by operation.
        era: The era, always 0: this store has no older copies.
    """

    def __init__(self, *, address: str, timeout_s: float):
        """Makes an adapter.

        Args:
            address: Host and port of the store.
            timeout_s: Longest wait for one call, in seconds.
        """
        self._address = address
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MAX
        )
        self._memory = ResponseMemoryBudget()
        self.calls: dict[str, int] = {}
        self.era = StoreEra()

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> Result[Item, StoreError]:
        """Returns the item; revision `ABSENT_REVISION` when there is none."""
        reply = await self._call("get", "GET", f"/v1/kv/{quote(key)}")
        return _decode(reply, Item)

    async def scan(
        self, prefix: str, *, at_least: Position = LOWEST
    ) -> Result[Listing, StoreError]:
        """Returns all items whose key starts with `prefix`, in one call."""
        query = urlencode({"prefix": prefix})
        reply = await self._call("scan", "GET", f"/v1/list?{query}")
        return _decode(reply, Listing)

    async def compare_and_swap(
        self, key: str, value: str, *, expected: int, lease: int = 0
    ) -> Result[Item, Conflict | StoreError]:
        """Writes `value` if the key's revision is `expected`.

        With a `lease` the key is removed when the lease ends; 0 for none.
        """
        query = urlencode({"expected": expected, "lease": lease})
        reply = await self._call(
            "swap", "PUT", f"/v1/kv/{quote(key)}?{query}", value.encode()
        )
        if isinstance(reply, Err):
            return reply
        status, body = reply.ok_value
        item = msgspec.json.decode(body, type=Item)
        if status == CONFLICT:
            return Err(Conflict(current=item))
        return Ok(item)

    async def grant(self, ttl_s: float) -> Result[int, StoreError]:
        """Returns the id of a new lease with a TTL of `ttl_s` seconds."""
        query = urlencode({"ttl_s": ttl_s})
        reply = await self._call("grant", "POST", f"/v1/leases?{query}")
        return _decode(reply, LeaseGrant).map(lambda grant: grant.lease)

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Renews a lease; false when it has ended."""
        reply = await self._call("renew", "PUT", f"/v1/leases/{lease}")
        return reply.map(lambda answer: answer[0] != NOT_FOUND)

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """Ends a lease and removes its keys; false when it had ended before."""
        reply = await self._call("revoke", "DELETE", f"/v1/leases/{lease}")
        return reply.map(lambda answer: answer[0] != NOT_FOUND)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Listing, StoreError]:
        """Waits for items under `prefix` newer than revision `after`.

        Args:
            prefix: Start of the keys to watch.
            after: Store revision; only items with a higher one are returned.
            wait_s: Longest wait at the store, in seconds.
        """
        query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
        reply = await self._call(
            "watch",
            "GET",
            f"/v1/watch?{query}",
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        return _decode(reply, Listing)

    async def list_vms(self) -> Result[list[VmRecord], StoreError]:
        """Returns the platform's list of VMs, which lags behind reality."""
        reply = await self._call("vms", "GET", "/v1/vms")
        return _decode(reply, VmListing).map(lambda listing: listing.vms)

    async def _call(
        self,
        operation: str,
        method: str,
        raw_path_and_query: str,
        body: bytes = b"",
        *,
        timeout_s: float = 0.0,
    ) -> Result[tuple[int, bytes], StoreError]:
        self.calls[operation] = self.calls.get(operation, 0) + 1
        detail = "timeout"
        with trio.move_on_after(timeout_s or self._timeout_s):
            try:
                response = await bounded_response.request(
                    self._pool,
                    method,
                    f"http://{self._address}{raw_path_and_query}",
                    content=body,
                    headers={"content-length": str(len(body))},
                    memory=self._memory,
                )
            except httpcore.ConnectError as error:
                return self._fail(operation, str(error), had_no_effect=True)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                detail = type(error).__name__
            except AnswerTooLargeError as error:
                detail = f"{type(error).__name__}: {error}"
            else:
                return self._check_status(operation, response)
        return self._fail(operation, detail, had_no_effect=False)

    def _check_status(
        self, operation: str, response: BoundedResponse
    ) -> Result[tuple[int, bytes], StoreError]:
        status = response.status
        if status <= SUCCESS_STATUS_MAX or status in (CONFLICT, NOT_FOUND):
            return Ok((status, response.content))
        had_no_effect = status == TOO_MANY_REQUESTS
        return self._fail(
            operation, f"status {status}", had_no_effect=had_no_effect
        )

    def _fail(
        self, operation: str, detail: str, *, had_no_effect: bool
    ) -> Err[StoreError]:
        return Err(
            StoreError(
                step=operation,
                peer=self._address,
                detail=detail,
                may_have_taken_effect=not had_no_effect,
            )
        )


def _decode(
    reply: Result[tuple[int, bytes], StoreError],
    struct_type: type[msgspec.Struct],
) -> Result:
    return reply.map(
        lambda answer: msgspec.json.decode(answer[1], type=struct_type)
    )
