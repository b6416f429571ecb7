"""Crowds of hundreds of clients that keep what a process holds for them.

Sizes and numbers are fixed here, so that every run is the same. A client takes
its kind from its number.
"""

import socket
from collections.abc import Iterator
from dataclasses import dataclass

import trio

from kingcupvane.tests.hostile_crowd import (
    CHUNKED,
    HEAD,
    MEGABYTE,
    PAYLOAD,
    SMALL_PIECE_BYTES,
    Crowd,
    CrowdRun,
    announced,
    in_tiny_chunks,
    open_only,
    too_large_announced,
    too_large_sent,
)

# Bodies of a crowd of hundreds, in bytes; all of legal size.
MANY_BODY_BYTES = MEGABYTE
# Bytes of a head, a chunk's extension or trailers that never end: nearly as
# many as the plan allows for a head.
ENDLESS_PART_BYTES = 60_000
LARGE_RESPONSE_BYTES = 4 * MEGABYTE
# A response that counts as small.
SMALL_RESPONSE_BYTES = 250_000
# By the last part of the path, all that an entry's target gets to see.
RESPONSE_BYTES_BY_NAME = {
    b"large": LARGE_RESPONSE_BYTES,
    b"small": SMALL_RESPONSE_BYTES,
}
# Requests to this path are never answered by the target.
HELD_NAME = b"held"
HELD_PATH = b"/r/" + HELD_NAME
HELD_BODY_BYTES = 100_000
PIPELINED_BYTES = 300_000
# Requests of a client that asks until it gets a response.
SERIES_COUNT = 100
# Receive buffer of a client that takes no response, in bytes.
UNREAD_BUFFER_BYTES = 4096
PATH = b"/r/1"


def head_to(path: bytes, client: int) -> bytes:
    """Returns the begin of a request's head."""
    return HEAD.replace(PATH, path) % client


def many_in_pieces(client: int) -> Iterator[bytes]:
    """Yields a body in small pieces; most lack the last byte."""
    return announced(client, size=MANY_BODY_BYTES, piece=SMALL_PIECE_BYTES)


def many_at_once(client: int) -> Iterator[bytes]:
    """Yields a body in large pieces; most lack the last byte."""
    return announced(client, size=MANY_BODY_BYTES)


def many_in_chunks(client: int) -> Iterator[bytes]:
    """Yields a body in large chunks without an end."""
    yield HEAD % client + CHUNKED
    for _ in range(MANY_BODY_BYTES // len(PAYLOAD)):
        yield b"%x\r\n" % len(PAYLOAD) + PAYLOAD + b"\r\n"


def head_without_end(client: int) -> Iterator[bytes]:
    """Yields a header whose value never ends."""
    yield HEAD % client + b"x-long: " + b"y" * ENDLESS_PART_BYTES


def extension_without_end(client: int) -> Iterator[bytes]:
    """Yields a chunk's extension that never ends."""
    yield HEAD % client + CHUNKED + b"1;x=" + b"y" * ENDLESS_PART_BYTES


def trailers_without_end(client: int) -> Iterator[bytes]:
    """Yields trailers of a body that never end."""
    yield HEAD % client + CHUNKED + b"1\r\nx\r\n0\r\n"
    yield b"x-long: " + b"y" * ENDLESS_PART_BYTES


def heads_and_trailers(client: int) -> Iterator[bytes]:
    """Yields a head, an extension or trailers that never end."""
    kinds = (head_without_end, extension_without_end, trailers_without_end)
    return kinds[client % len(kinds)](client)


def of_many_kinds(client: int) -> Iterator[bytes]:
    """Yields what one of the kinds of clients sends."""
    kinds = (
        many_at_once,
        many_in_pieces,
        many_in_chunks,
        in_tiny_chunks,
        too_large_announced,
        too_large_sent,
        open_only,
        head_without_end,
        extension_without_end,
        trailers_without_end,
    )
    return kinds[client % len(kinds)](client // len(kinds))


def large_response(client: int) -> Iterator[bytes]:
    """Yields a request for a large response."""
    yield head_to(b"/r/large", client) + b"content-length: 0\r\n\r\n"


def small_response(client: int) -> Iterator[bytes]:
    """Yields a request for a response that counts as small."""
    yield head_to(b"/r/small", client) + b"content-length: 0\r\n\r\n"


def small_responses_in_series(client: int) -> Iterator[bytes]:
    """Yields requests for small responses, in case the first are refused."""
    for _ in range(SERIES_COUNT):
        yield from small_response(client)


def behind_a_held_body(client: int) -> Iterator[bytes]:
    """Yields a request that is held, and many small ones behind it."""
    yield head_to(HELD_PATH, client) + (
        b"content-length: %d\r\n\r\n" % HELD_BODY_BYTES
    )
    behind = HEAD % client + b"content-length: 1\r\n\r\nx"
    yield bytes(HELD_BODY_BYTES) + behind * (PIPELINED_BYTES // len(behind))


def of_all_uses(client: int) -> Iterator[bytes]:
    """Yields a body, a request whose response is not read, or no end."""
    kinds = (many_at_once, small_response, heads_and_trailers)
    return kinds[client % len(kinds)](client // len(kinds))


def nothing(client: int) -> Iterator[bytes]:
    """Yields nothing at all; the connection only stays open."""
    del client
    return iter(())


@dataclass(frozen=True, kw_only=True)
class LargeCrowd(Crowd):
    """A crowd whose clients may leave their responses unread.

    Attributes:
        takes_responses: Whether they read.
    """

    takes_responses: bool = True


CROWDS_BY_NAME = {
    "of-many-kinds": LargeCrowd(pieces=of_many_kinds, count=300),
    "heads-and-trailers-without-end": LargeCrowd(
        pieces=heads_and_trailers, count=300
    ),
    "large-responses-unread": LargeCrowd(
        pieces=large_response, count=64, takes_responses=False
    ),
    "small-responses-unread": LargeCrowd(
        pieces=small_response, count=300, takes_responses=False
    ),
    "of-all-uses": LargeCrowd(
        pieces=of_all_uses, count=400, takes_responses=False
    ),
    "behind-held-bodies": LargeCrowd(pieces=behind_a_held_body, count=150),
    "more-than-the-descriptors": LargeCrowd(pieces=nothing, count=450),
}


class LargeCrowdRun(CrowdRun):
    """A large crowd at work; a client that cannot connect counts as done."""

    async def _send_and_stay(self, client: int) -> None:
        try:
            stream = await self._connect()
        except OSError:
            self._count()
            return
        async with trio.open_nursery() as nursery:
            if self.crowd.takes_responses:
                nursery.start_soon(self._read_answer, client, stream)
            try:
                for piece in self.crowd.pieces(client):
                    await stream.send_all(piece)
            except trio.BrokenResourceError:
                pass  # A refusal may be unread.
            self._count()
            await trio.sleep_forever()

    async def _connect(self) -> trio.SocketStream:
        host, _, port = self.address.rpartition(":")
        sock = trio.socket.socket()
        if not self.crowd.takes_responses:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        try:
            await sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    def _count(self) -> None:
        self.sent += 1
        if self.sent == self.crowd.count:
            self.all_sent.set()


def response_body_to(head: bytes) -> bytes | None:
    """Returns the target's body for a request; None if it never answers."""
    name = head.split(b" ", 2)[1].rpartition(b"/")[2]
    if name == HELD_NAME:
        return None
    size = RESPONSE_BYTES_BY_NAME.get(name, 2)
    return b"k" * size
