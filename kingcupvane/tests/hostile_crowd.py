"""Clients that send what a gateway must survive; most never end their body.

A crowd's requests and sizes are fixed here, so that every run is the same.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import trio

from kingcupvane.platform.names import NAMES

MEGABYTE = 1 << 20
# Largest body of the plan of these tests, in bytes.
BODY_MAX_BYTES = 8 * MEGABYTE
PIECE_BYTES = 65536
SMALL_PIECE_BYTES = 4096
# One of so many clients sends its whole body; the others stop short of its end.
WHOLE_EACH = 4
# Chunks of a body in tiny chunks, of 1 to 16 bytes.
TINY_CHUNKS = 48_000
TINY_CHUNK_MAX_BYTES = 16
# Bytes after which a client with an endless body gives up.
ENDLESS_BYTES = 4 * BODY_MAX_BYTES
ANSWER_MAX_BYTES = 65536
HEAD = (
    b"POST /r/1 HTTP/1.1\r\n"
    b"host: h.example\r\n"
    b"authorization: Token k1\r\n" + NAMES.attempt + b": %d\r\n"
)
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
PAYLOAD = bytes(PIECE_BYTES)

Pieces = Callable[[int], Iterator[bytes]]


def announced(client: int, *, size: int, piece: int = PIECE_BYTES):
    """Yields a body with a length; most lack the last byte."""
    yield HEAD % client + b"content-length: %d\r\n\r\n" % size
    remaining = size if client % WHOLE_EACH == 0 else size - 1
    while remaining:
        part = min(piece, remaining)
        yield PAYLOAD[:part]
        remaining -= part


def whole(client: int) -> Iterator[bytes]:
    """Yields a body of the largest size, to its end."""
    return announced(WHOLE_EACH * client, size=BODY_MAX_BYTES)


def short_of_the_end(client: int) -> Iterator[bytes]:
    """Yields a body of the largest size in large pieces."""
    return announced(client, size=BODY_MAX_BYTES)


def piece_by_piece(client: int) -> Iterator[bytes]:
    """Yields a body of the largest size in small pieces."""
    return announced(client, size=BODY_MAX_BYTES, piece=SMALL_PIECE_BYTES)


def in_chunks(client: int) -> Iterator[bytes]:
    """Yields a chunked body of the largest size; most lack their end."""
    yield HEAD % client + CHUNKED
    for _ in range(BODY_MAX_BYTES // PIECE_BYTES):
        yield b"%x\r\n" % PIECE_BYTES + PAYLOAD + b"\r\n"
    if client % WHOLE_EACH == 0:
        yield b"0\r\n\r\n"


def in_tiny_chunks(client: int) -> Iterator[bytes]:
    """Yields a body in chunks of a few bytes; most lack their end."""
    yield HEAD % client + CHUNKED
    sizes = range(1, TINY_CHUNK_MAX_BYTES + 1)
    chunks = b"".join(
        b"%x\r\n" % size + PAYLOAD[:size] + b"\r\n" for size in sizes
    )
    for _ in range(TINY_CHUNKS // len(sizes)):
        yield chunks
    if client % WHOLE_EACH == 0:
        yield b"0\r\n\r\n"


def too_large_announced(client: int) -> Iterator[bytes]:
    """Yields a body that announces more than is allowed, and sends it."""
    return announced(client, size=ENDLESS_BYTES)


def too_large_sent(client: int) -> Iterator[bytes]:
    """Yields chunks until far over the limit."""
    yield HEAD % client + CHUNKED
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield b"%x\r\n" % PIECE_BYTES + PAYLOAD + b"\r\n"


def open_only(client: int) -> Iterator[bytes]:
    """Yields the beginning of a head, or of a small body."""
    if client % 2:
        yield HEAD % client
    else:
        yield HEAD % client + b"content-length: 100\r\n\r\nx"


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """Some clients that send at once.

    Attributes:
        pieces: Yields what a client sends; called with the client's number.
        count: Number of clients.
    """

    pieces: Pieces
    count: int


CROWDS_BY_NAME = {
    "whole": Crowd(pieces=whole, count=24),
    "short-of-the-end": Crowd(pieces=short_of_the_end, count=24),
    "piece-by-piece": Crowd(pieces=piece_by_piece, count=24),
    "in-chunks": Crowd(pieces=in_chunks, count=24),
    "in-tiny-chunks": Crowd(pieces=in_tiny_chunks, count=32),
    "too-large-announced": Crowd(pieces=too_large_announced, count=24),
    "too-large-sent": Crowd(pieces=too_large_sent, count=24),
    "open-only": Crowd(pieces=open_only, count=160),
}


@dataclass(kw_only=True)
class CrowdRun:
    """A crowd at work; its connections stay open until the nursery ends.

    Attributes:
        address: Host and port of the gateway.
        crowd: The clients.
        sent: Number of clients that have sent all, or were cut off.
        answers: First bytes of the answers, by client.
    """

    address: str
    crowd: Crowd
    sent: int = 0
    answers: dict[int, bytes] = field(default_factory=dict)
    all_sent: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Sends everything at once and then only keeps the connections."""
        async with trio.open_nursery() as nursery:
            for client in range(self.crowd.count):
                nursery.start_soon(self._send_and_stay, client)

    async def _send_and_stay(self, client: int) -> None:
        host, _, port = self.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_answer, client, stream)
            try:
                for piece in self.crowd.pieces(client):
                    await stream.send_all(piece)
            except trio.BrokenResourceError:
                pass  # A refusal may be unread.
            self.sent += 1
            if self.sent == self.crowd.count:
                self.all_sent.set()
            await trio.sleep_forever()

    async def _read_answer(self, client: int, stream: trio.SocketStream):
        try:
            answer = await stream.receive_some(ANSWER_MAX_BYTES)
        except trio.BrokenResourceError:
            answer = b""
        self.answers[client] = bytes(answer)


async def send_ordinary(address: str, *, body: bytes) -> bytes:
    """Sends one request on a new connection; returns the answer's first line.

    It is empty if the connection is closed without an answer.
    """
    host, _, port = address.rpartition(":")
    head = HEAD % 0 + b"content-length: %d\r\n\r\n" % len(body)
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(head)
        for start in range(0, len(body), PIECE_BYTES):
            await stream.send_all(body[start : start + PIECE_BYTES])
        answer = b""
        while b"\r\n" not in answer:
            part = await stream.receive_some(ANSWER_MAX_BYTES)
            if not part:
                break
            answer += part
    return answer.partition(b"\r\n")[0]
