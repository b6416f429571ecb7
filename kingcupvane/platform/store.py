"""Client of the platform's key-value store; implements `Store`.

Values are base64 on the wire and text in an `Item`.
"""

import base64
import binascii
import functools
from dataclasses import dataclass
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
from kingcupvane.platform.hedge import first_success
from kingcupvane.platform.partial_listing import PartialListing
from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.store import (
    ABSENT_REVISION,
    NOT_FOUND,
    TOO_MANY_REQUESTS,
    Conflict,
    HistoryCompacted,
    Item,
    Listing,
    VmRecord,
)
from kingcupvane.process.store_era import StoreEra

CONNECTIONS_MAX = 8
KEEP_ALIVE_S = 30.0
PRECONDITION_FAILED = 412
GONE = 410
SERVICE_UNAVAILABLE = 503
SUCCESS_STATUS_MAX = 299
ERA_HEADER = b"store-era"
# Time that the reply to a watch may take beyond the watch's own wait.
WATCH_TIMEOUT_MARGIN_S = 1.0
# Time beyond the watch's own wait after which its answer counts as overdue, in
# seconds; longer than an answer of a sound store takes.
WATCH_SILENCE_S = 0.3
MILLISECONDS_PER_SECOND = 1000


class WireItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item of the store; `tombstone` marks a removed key."""

    key: str
    value: str = ""
    revision: int = ABSENT_REVISION
    tombstone: bool = False


class WireRange(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a listing; pages are read at different revisions."""

    items: list[WireItem]
    morePages: bool = False  # noqa: N815
    asOf: int = 0  # noqa: N815


class WireEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of the items under a prefix."""

    events: list[WireItem]
    asOf: int = 0  # noqa: N815


class WireCondition(msgspec.Struct, frozen=True, kw_only=True):
    """Condition of a transaction: a key's expected revision."""

    key: str
    revision: int


class WirePut(msgspec.Struct, frozen=True, kw_only=True):
    """A value that a transaction writes."""

    key: str
    value: str
    lease: int = 0


class WireTransaction(msgspec.Struct, frozen=True, kw_only=True):
    """A transaction that is committed only if all conditions hold."""

    expected: list[WireCondition]
    puts: list[WirePut]
    remove: list[str] = []


class WireRevision(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a committed transaction: the new revision."""

    revision: int


class WireConflict(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a refused transaction: the current items of its keys."""

    items: list[WireItem | None] = []


class WireLease(msgspec.Struct, frozen=True, kw_only=True):
    """A lease; `ttlS_time` is its TTL in seconds, as the platform names it."""

    ttlS_time: float  # noqa: N815
    lease: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """An answer of the store that is not a failure.

    Attributes:
        status: HTTP status code.
        body: The body.
        era: Era of the store that gave it.
    """

    status: int
    body: bytes
    era: int


class StoreConnections:
    """Kept connections to the store, given up together once one is silent."""

    def __init__(self):
        """Makes an empty pool."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MAX, keepalive_expiry=KEEP_ALIVE_S
        )
        self._memory = ResponseMemoryBudget()
        self._in_flight = 0
        self._is_retired = False

    async def request(
        self, method: str, url: str, *, content: bytes, headers: dict[str, str]
    ) -> BoundedResponse:
        """Sends a request and returns the response.

        Raises:
            AnswerTooLargeError: The response exceeds a limit.
        """
        self._in_flight += 1
        try:
            return await bounded_response.request(
                self._pool,
                method,
                url,
                content=content,
                headers=headers,
                memory=self._memory,
            )
        finally:
            self._in_flight -= 1
            await self._close_if_unused()

    async def retire(self) -> None:
        """Closes the connections as soon as no request uses them."""
        self._is_retired = True
        await self._close_if_unused()

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def _close_if_unused(self) -> None:
        if self._is_retired and not self._in_flight:
            with trio.CancelScope(shield=True):
                await self._pool.aclose()


class PlatformStore:
    """Client of the platform's store.

    Attributes:
        calls: Number of calls since the start, by operation.
        era: Highest known era of the store.
    """

    def __init__(self, *, address: str, timeout_s: float):
        """Makes a client.

        Args:
            address: Host and port of the store.
            timeout_s: Longest wait for one call, in seconds.
        """
        self._address = address
        self._timeout_s = timeout_s
        self._connections = StoreConnections()
        self._partial: PartialListing | None = None
        self.calls: dict[str, int] = {}
        self.era = StoreEra()

    async def close(self) -> None:
        """Closes all connections."""
        await self._connections.close()

    async def get(self, key: str) -> Result[Item, StoreError]:
        """Returns an item; revision `ABSENT_REVISION` if the key is missing."""
        query = urlencode({"key": key})
        reply = await self._call("get", "GET", f"/kv-key?{query}")
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.status == NOT_FOUND:
            return Ok(Item(key=key, era=answer.era))
        decoded = self._decode("get", answer.body, WireItem)
        return decoded.map(lambda wire: _to_item(wire, answer.era))

    async def scan(
        self, prefix: str, *, at_least: Position = LOWEST
    ) -> Result[Listing, StoreError]:
        """Returns all items whose key starts with `prefix`.

        The listing's revision is that of the first page, so that a watch from
        there repeats the changes made while later pages were read. A listing
        of which a page had no answer is continued by the next call.

        Args:
            prefix: Prefix of the keys.
            at_least: Position below which a listing isn't continued, but begun
                anew.
        """
        partial = self._take_partial(prefix, at_least)
        while True:
            query = {"pathPrefix": prefix}
            if partial.after:
                query["after"] = partial.after
            path = f"/kv-range?{urlencode(query)}"
            reply = await self._call("scan", "GET", path)
            if isinstance(reply, Err):
                self._partial = partial
                return reply
            answer = reply.ok_value
            decoded = self._decode("scan", answer.body, WireRange)
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value
            problem = partial.add(
                [_to_item(item, answer.era) for item in page.items],
                as_of=Position(answer.era, page.asOf),
                size_bytes=len(answer.body),
            )
            if problem:
                return self._fail("scan", problem, had_no_effect=True)
            if not page.morePages or not page.items:
                return Ok(partial.complete(trio.current_time()))

    def _take_partial(self, prefix: str, at_least: Position) -> PartialListing:
        """Returns the kept part of a listing, or the beginning of a new one."""
        now = trio.current_time()
        kept, self._partial = self._partial, None
        if kept is not None and kept.can_continue(
            prefix, era=self.era.current, at_least=at_least, now=now
        ):
            return kept
        return PartialListing(prefix=prefix, begun_at=now)

    async def compare_and_swap(
        self, key: str, value: str, *, expected: int, lease: int = 0
    ) -> Result[Item, Conflict | StoreError]:
        """Writes `value` if the key's revision is `expected`.

        With a `lease` the key is removed when the lease ends; 0 for none.
        """
        encoded = base64.b64encode(value.encode()).decode()
        body = WireTransaction(
            expected=[WireCondition(key=key, revision=expected)],
            puts=[WirePut(key=key, value=encoded, lease=lease)],
        )
        reply = await self._call(
            "swap", "POST", "/kv-txn", msgspec.json.encode(body)
        )
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.status == PRECONDITION_FAILED:
            return self._conflict(key, answer)
        if answer.status == NOT_FOUND:
            return self._fail("swap", "no such lease", had_no_effect=True)
        decoded = self._decode("swap", answer.body, WireRevision)
        return decoded.map(
            lambda written: Item(
                key=key, value=value, revision=written.revision, era=answer.era
            )
        )

    async def grant(self, ttl_s: float) -> Result[int, StoreError]:
        """Returns the id of a new lease with a TTL of `ttl_s` seconds."""
        body = msgspec.json.encode({"ttlS_time": ttl_s})
        reply = await self._call("grant", "POST", "/kv-lease", body)
        if isinstance(reply, Err):
            return reply
        decoded = self._decode("grant", reply.ok_value.body, WireLease)
        return decoded.map(lambda grant: grant.lease)

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Renews a lease; returns false if it has ended."""
        reply = await self._call("renew", "POST", f"/kv-keep/{lease}")
        return reply.map(lambda answer: answer.status != NOT_FOUND)

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """Ends a lease and removes its items; returns false if it had ended."""
        reply = await self._call("revoke", "DELETE", f"/kv-lease-end/{lease}")
        return reply.map(lambda answer: answer.status != NOT_FOUND)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Listing, HistoryCompacted | StoreError]:
        """Returns changes under `prefix` after a revision, once there are any.

        A watch whose answer is overdue is repeated on a new connection, without
        a wait; its own answer still counts if it comes first.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait_s: Time after which the reply may be empty, in seconds.
        """
        connections = self._connections
        watch_path = functools.partial(_watch_path, prefix, after)

        async def ask() -> Result[Answer, StoreError]:
            # Both may be answered until the same moment.
            timeout_s = wait_s + WATCH_SILENCE_S + WATCH_TIMEOUT_MARGIN_S
            return await self._call(
                "watch", "GET", watch_path(wait_s), timeout_s=timeout_s
            )

        async def ask_again() -> Result[Answer, StoreError]:
            await self._replace(connections)
            return await self._call(
                "watch-again",
                "GET",
                watch_path(0.0),
                timeout_s=WATCH_TIMEOUT_MARGIN_S,
            )

        reply = await first_success(
            ask, ask_again, after_s=wait_s + WATCH_SILENCE_S
        )
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.status == GONE:
            return Err(HistoryCompacted(after=after))
        decoded = self._decode("watch", answer.body, WireEvents)
        return decoded.map(
            lambda page: Listing(
                items=[_to_item(event, answer.era) for event in page.events],
                revision=page.asOf,
                era=answer.era,
            )
        )

    async def list_vms(self) -> Result[list[VmRecord], StoreError]:
        """Returns an empty list: this platform has no list of VMs."""
        return Ok([])

    def _conflict(self, key: str, answer: Answer) -> Err:
        decoded = self._decode("swap", answer.body, WireConflict)
        if isinstance(decoded, Err):
            return decoded
        for item in decoded.ok_value.items:
            if item is not None and item.key == key:
                return Err(Conflict(current=_to_item(item, answer.era)))
        return Err(Conflict(current=Item(key=key, era=answer.era)))

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float = 0.0,
    ) -> Result[Answer, StoreError]:
        self.calls[operation] = self.calls.get(operation, 0) + 1
        headers = {"content-length": str(len(body))}
        if body:
            headers["content-type"] = "application/json"
        detail = "timeout"
        connections = self._connections
        asked_in = self.era.current
        with trio.move_on_after(timeout_s or self._timeout_s) as scope:
            try:
                response = await connections.request(
                    method,
                    f"http://{self._address}{path}",
                    content=body,
                    headers=headers,
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
                return self._check(operation, response, asked_in=asked_in)
        if scope.cancelled_caught:
            await self._replace(connections)
        return self._fail(operation, detail, had_no_effect=False)

    async def _replace(self, connections: StoreConnections) -> None:
        """Makes the next call open a new connection.

        The other kept connections may be as silent as the one that timed out.
        """
        if connections is self._connections:
            self._connections = StoreConnections()
        await connections.retire()

    def _check(
        self, operation: str, response: BoundedResponse, *, asked_in: int
    ) -> Result[Answer, StoreError]:
        named = response.headers.get(ERA_HEADER)
        era = self.era.resolve(
            named.decode("latin-1") if named is not None else None,
            asked_in=asked_in,
        )
        if era is None:
            return self._fail(
                operation, "answer of an earlier era", had_no_effect=False
            )
        status = response.status
        is_expected = status in (NOT_FOUND, PRECONDITION_FAILED, GONE)
        if status <= SUCCESS_STATUS_MAX or is_expected:
            return Ok(Answer(status=status, body=response.content, era=era))
        had_no_effect = status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)
        return self._fail(
            operation, f"status {status}", had_no_effect=had_no_effect
        )

    def _decode(self, operation: str, body: bytes, kind: type) -> Result:
        try:
            return Ok(msgspec.json.decode(body, type=kind))
        except (msgspec.MsgspecError, RecursionError) as error:
            return self._fail(operation, str(error), had_no_effect=False)

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


def _watch_path(prefix: str, after: int, wait_s: float) -> str:
    query = {
        "pathPrefix": prefix,
        "after": after,
        "waitMs": max(1, int(wait_s * MILLISECONDS_PER_SECOND)),
    }
    return f"/kv-watch?{urlencode(query, quote_via=quote)}"


def _to_item(wire: WireItem, era: int) -> Item:
    return Item(
        key=wire.key,
        value=_decode_value(wire.value),
        revision=wire.revision,
        deleted=wire.tombstone,
        era=era,
    )


def _decode_value(value: str) -> str:
    """Returns a base64 value as text.

    Bytes that are not UTF-8 and values that are not base64 give U+FFFD instead
    of an error.
    """
    try:
        return base64.b64decode(value, validate=True).decode(errors="replace")
    except (binascii.Error, ValueError):
        return "\ufffd"
