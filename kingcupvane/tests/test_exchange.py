"""Tests of exchanges with targets that answer late, early, twice or in part.

The target is a script of raw bytes on a loopback socket.
"""

import contextlib

import pytest
import trio

from kingcupvane.connection.exchange import (
    ConnectFailedError,
    ConnectionPool,
    ExchangeBrokenError,
    WireRequest,
    abort,
    end_to_end_headers,
)

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def request(body=b""):
    return WireRequest(
        method=b"POST", path=b"/x", headers=[(b"host", b"h")], body=body
    )


class Script:
    """A target that handles each connection by a function."""

    def __init__(self, handle):
        """Takes the function that handles a connection."""
        self._handle = handle
        self.connections = 0
        self.address = ""

    async def _serve(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await self._handle(stream)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await trio.serve_listeners(
            self._serve, listeners, task_status=task_status
        )


def play(clock, handle, use):
    """Runs `use(pool, script)` against a target."""

    async def main():
        script = Script(handle)
        pool = ConnectionPool(clock=clock)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await nursery.start(script.run)
                await use(pool, script)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def exchange(pool, script, body=b""):
    connection = await pool.acquire("t", script.address, fresh=False)
    answer = await connection.exchange(request(body))
    await pool.release("t", connection)
    return answer


async def read_request(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some(65536)
        if not part:
            return b""
        data += part
    return data


def answering(*answers):
    """Returns a handler that gives the answers one after the other."""

    async def handle(stream):
        for answer in answers:
            if not await read_request(stream):
                return
            await stream.send_all(answer)
        await stream.receive_some(1)

    return handle


def test_connection_is_used_again_after_a_whole_answer(clock):
    async def use(pool, script):
        for _ in range(3):
            assert (await exchange(pool, script)).body == b"ok"
        assert script.connections == 1

    play(clock, answering(OK, OK, OK), use)


def test_bytes_after_an_answer_never_reach_the_next_request(clock):
    extra = OK + b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore"

    async def use(pool, script):
        for _ in range(3):
            assert (await exchange(pool, script)).body == b"ok"
        assert script.connections == 3

    play(clock, answering(extra, extra), use)


def test_late_second_answer_closes_the_idle_connection(clock):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(OK)
        await trio.sleep(0.01)
        await stream.send_all(OK.replace(b"ok", b"no"))
        await stream.receive_some(1)

    async def use(pool, script):
        await exchange(pool, script)
        await trio.sleep(0.1)
        assert (await exchange(pool, script)).body == b"ok"
        assert script.connections == 2

    play(clock, handle, use)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"no answer in the protocol\r\n\r\n",
        b"",
    ],
)
def test_answer_in_part_is_broken(clock, answer):
    async def handle(stream):
        await read_request(stream)
        if answer:
            await stream.send_all(answer)

    async def use(pool, script):
        with pytest.raises(ExchangeBrokenError):
            await exchange(pool, script)

    play(clock, handle, use)


def test_answer_without_length_ends_with_its_connection(clock):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nall of it")

    async def use(pool, script):
        answer = await exchange(pool, script)
        assert answer.body == b"all of it"
        await exchange(pool, script)
        assert script.connections == 2

    play(clock, handle, use)


def test_answer_before_a_long_body_is_in_ends_the_connection(clock):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(OK)
        await trio.sleep(5)

    async def use(pool, script):
        body = b"x" * 30_000_000
        assert (await exchange(pool, script, body)).body == b"ok"
        assert (await exchange(pool, script)).body == b"ok"
        assert script.connections == 2

    play(clock, handle, use)


def test_connection_that_was_idle_for_long_carries_no_order(clock):
    async def use(pool, script):
        await exchange(pool, script)
        clock.advance(2.0)
        connection = await pool.acquire("t", script.address, fresh=True)
        await connection.exchange(request())
        assert script.connections == 2

    play(clock, answering(OK, OK), use)


def test_idle_time_that_the_target_names_is_kept(clock):
    answer = OK.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=2\r\n\r\n", 1)

    async def use(pool, script):
        await exchange(pool, script)
        clock.advance(1.5)
        await exchange(pool, script)
        assert script.connections == 2

    play(clock, answering(answer, answer), use)


def test_no_listener_means_that_nothing_was_sent(clock):
    async def use(pool, script):
        with pytest.raises(ConnectFailedError):
            await pool.acquire("u", "127.0.0.1:1", fresh=False)

    play(clock, answering(), use)


def test_headers_of_one_connection_are_not_passed_on():
    headers = [
        (b"connection", b"close, x-own"),
        (b"x-own", b"1"),
        (b"keep-alive", b"timeout=3"),
        (b"x-kept", b"2"),
    ]
    assert end_to_end_headers(headers) == [(b"x-kept", b"2")]


def test_aborted_connection_is_reset_and_not_just_closed(clock):
    """A partition that heals must not deliver what nobody waits for."""
    seen = []

    async def handle(stream):
        await read_request(stream)
        try:
            seen.append(await stream.receive_some(1))
        except trio.BrokenResourceError:
            seen.append("reset")

    async def use(pool, script):
        connection = await pool.acquire("t", script.address, fresh=False)
        with trio.move_on_after(0.05):
            await connection.exchange(request())
        await abort(connection.stream)
        while not seen:
            await trio.sleep(0.01)
        assert seen == ["reset"]

    play(clock, handle, use)
