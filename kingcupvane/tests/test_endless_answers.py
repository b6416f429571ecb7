"""Tests of targets whose bytes never end, in a head or in a body."""

import contextlib
import resource
import time
from pathlib import Path

import pytest
import trio

from kingcupvane.clock import SystemClock
from kingcupvane.connection.exchange import (
    ConnectionPool,
    ExchangeBrokenError,
    WireRequest,
    abort,
)
from kingcupvane.tests.test_exchange import Script, read_request

MEGABYTE = 1 << 20
# Growth of the process by answers that never end, in bytes: half of the memory
# of the smallest VM in use.
GROWTH_MAX_BYTES = 100 * MEGABYTE
PAGE_BYTES = resource.getpagesize()
# Time that a caller waits, in seconds.
DEADLINE_S = 2.0
# Longest time for which other work of the process may lie, in seconds.
ROUND_MAX_S = 0.25
PIECE = 65536

HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "no-protocol": (b"", b"x" * PIECE),
    "head-line": (HEAD + b"x: ", b"y" * PIECE),
    "head-lines": (HEAD, b"x: y\r\n" * (PIECE // 6)),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE // 25)),
    "body-until-close": (HEAD + b"\r\n", b"x" * PIECE),
    "body-in-chunks": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n",
    ),
    "body-in-tiny-chunks": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * (PIECE // 6),
    ),
    "chunk-size": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"0" * PIECE),
    "trailers": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x: y\r\n" * (PIECE // 6),
    ),
    "length-beyond-measure": (
        HEAD + b"content-length: 99999999999999\r\n\r\n",
        b"x" * PIECE,
    ),
}
REQUEST = WireRequest(
    method=b"GET", path=b"/x", headers=[(b"host", b"h")], body=b""
)


class EndlessTarget:
    """A target that sends one beginning and then the same for ever."""

    def __init__(self, first, again):
        """Takes the beginning and what is repeated."""
        self._first = first
        self._again = again
        self.closed = 0

    async def answer(self, stream):
        await read_request(stream)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(self._first)
            while True:
                await stream.send_all(self._again)
        self.closed += 1


async def ask(pool, script, endings):
    connection = await pool.acquire("t", script.address, fresh=False)
    ending = "deadline"
    with trio.move_on_after(DEADLINE_S):
        try:
            await connection.exchange(REQUEST)
            ending = "answered"
        except ExchangeBrokenError:
            ending = "broken"
    await abort(connection.stream)
    endings.append(ending)


def resident_bytes():
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


async def tick(gaps, sizes):
    while True:
        sizes.append(resident_bytes())
        before = time.monotonic()
        await trio.lowlevel.checkpoint()
        gaps.append(time.monotonic() - before)


@pytest.mark.parametrize("asked", [1, 30])
@pytest.mark.parametrize("kind", sorted(ENDLESS))
def test_endless_answer_is_cut_off(kind, asked):
    """Also of many targets at once, while the process does other work."""
    target = EndlessTarget(*ENDLESS[kind])
    endings, gaps, sizes = [], [], []

    async def main():
        script = Script(target.answer)
        pool = ConnectionPool(clock=SystemClock())
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await nursery.start(script.run)
                async with trio.open_nursery() as asking:
                    nursery.start_soon(tick, gaps, sizes)
                    for _ in range(asked):
                        asking.start_soon(ask, pool, script, endings)
                while target.closed < asked:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert endings == ["broken"] * asked
    assert max(sizes) - sizes[0] < GROWTH_MAX_BYTES
    assert max(gaps) < ROUND_MAX_S
