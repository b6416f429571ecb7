"""Tests of exchanges with late, early, duplicate and partial responses.

The targets send scripted bytes on a loopback socket.
"""

import contextlib

import pytest
import trio

from kingcupvane.connection.target_connection import (
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


class ScriptedTarget:
    """A target that calls a function for each connection."""

    def __init__(self, handle):
        """Makes a target; `run` opens its port.

        Args:
            handle: Called with the stream of each connection.
        """
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


def run_with_target(clock, handle, check):
    """Runs `check(pool, target)` with a target that calls `handle`."""

    async def main():
        target = ScriptedTarget(handle)
        pool = ConnectionPool(clock=clock)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                await check(pool, target)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def exchange(pool, target, body=b""):
    connection = await pool.acquire("t", target.address, is_idempotent=True)
    response = await connection.exchange(request(body))
    await pool.release("t", connection)
    return response


async def read_request(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some(65536)
        if not part:
            return b""
        data += part
    return data


def respond_with(*responses):
    """Returns a handler that sends the responses, one for each request."""

    async def handle(stream):
        for response in responses:
            if not await read_request(stream):
                return
            await stream.send_all(response)
        await stream.receive_some(1)

    return handle


def test_connection_is_reused_after_a_complete_response(clock):
    async def check(pool, target):
        for _ in range(3):
            assert (await exchange(pool, target)).body == b"ok"
        assert target.connections == 1

    run_with_target(clock, respond_with(OK, OK, OK), check)


def test_bytes_after_a_response_never_reach_the_next_request(clock):
    two_responses = OK + b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore"

    async def check(pool, target):
        for _ in range(3):
            assert (await exchange(pool, target)).body == b"ok"
        assert target.connections == 3

    run_with_target(clock, respond_with(two_responses, two_responses), check)


def test_idle_connection_that_got_a_second_response_is_not_reused(clock):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(OK)
        await trio.sleep(0.01)
        await stream.send_all(OK.replace(b"ok", b"no"))
        await stream.receive_some(1)

    async def check(pool, target):
        await exchange(pool, target)
        await trio.sleep(0.1)
        assert (await exchange(pool, target)).body == b"ok"
        assert target.connections == 2

    run_with_target(clock, handle, check)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"no answer in the protocol\r\n\r\n",
        b"",
    ],
)
def test_incomplete_or_malformed_response_raises_exchange_broken(
    clock, response
):
    async def handle(stream):
        await read_request(stream)
        if response:
            await stream.send_all(response)

    async def check(pool, target):
        with pytest.raises(ExchangeBrokenError):
            await exchange(pool, target)

    run_with_target(clock, handle, check)


def test_response_without_length_ends_when_the_connection_closes(clock):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nall of it")

    async def check(pool, target):
        response = await exchange(pool, target)
        assert response.body == b"all of it"
        await exchange(pool, target)
        assert target.connections == 2

    run_with_target(clock, handle, check)


def test_connection_is_not_reused_if_the_response_precedes_the_body_end(clock):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(OK)
        await trio.sleep(5)

    async def check(pool, target):
        body = b"x" * 30_000_000
        assert (await exchange(pool, target, body)).body == b"ok"
        assert (await exchange(pool, target)).body == b"ok"
        assert target.connections == 2

    run_with_target(clock, handle, check)


def test_non_idempotent_request_skips_a_connection_idle_for_long(clock):
    async def check(pool, target):
        await exchange(pool, target)
        clock.advance(2.0)
        connection = await pool.acquire(
            "t", target.address, is_idempotent=False
        )
        await connection.exchange(request())
        assert target.connections == 2

    run_with_target(clock, respond_with(OK, OK), check)


def test_keep_alive_timeout_of_the_target_limits_connection_reuse(clock):
    response = OK.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=2\r\n\r\n", 1)

    async def check(pool, target):
        await exchange(pool, target)
        clock.advance(1.5)
        await exchange(pool, target)
        assert target.connections == 2

    run_with_target(clock, respond_with(response, response), check)


def test_refused_connection_raises_connect_failed(clock):
    async def check(pool, target):
        with pytest.raises(ConnectFailedError):
            await pool.acquire("u", "127.0.0.1:1", is_idempotent=True)

    run_with_target(clock, respond_with(), check)


def test_hop_by_hop_headers_are_removed():
    headers = [
        (b"connection", b"close, x-own"),
        (b"x-own", b"1"),
        (b"keep-alive", b"timeout=3"),
        (b"x-kept", b"2"),
    ]
    assert end_to_end_headers(headers) == [(b"x-kept", b"2")]


def test_abort_resets_the_connection_instead_of_closing_it(clock):
    """After a close, a healed partition would still deliver the request."""
    received = []

    async def handle(stream):
        await read_request(stream)
        try:
            received.append(await stream.receive_some(1))
        except trio.BrokenResourceError:
            received.append("reset")

    async def check(pool, target):
        connection = await pool.acquire("t", target.address, is_idempotent=True)
        with trio.move_on_after(0.05):
            await connection.exchange(request())
        await abort(connection.stream)
        while not received:
            await trio.sleep(0.01)
        assert received == ["reset"]

    run_with_target(clock, handle, check)


REFUSED = b"HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"


def test_non_idempotent_request_avoids_a_connection_with_a_refusal(clock):
    """A faulty target may repeat the refusal after the next request."""

    async def handle(stream):
        await read_request(stream)
        await stream.send_all(REFUSED)
        while await read_request(stream):
            await stream.send_all(REFUSED + OK)

    async def check(pool, target):
        connection = await pool.acquire("t", target.address, is_idempotent=True)
        assert (await connection.exchange(request())).status == 503
        connection.has_carried_refusal = True
        await pool.release("t", connection)
        fresh = await pool.acquire("t", target.address, is_idempotent=False)
        assert fresh is not connection
        assert (await fresh.exchange(request())).status == 503
        assert target.connections == 2

    run_with_target(clock, handle, check)


def test_response_that_ends_within_its_head_or_body_is_never_complete(clock):
    """Half a head must not become a success with a short body."""
    whole = (
        b"HTTP/1.1 200 OK\r\nstamp: s\r\ncontent-length: 12\r\n\r\nhello world!"
    )
    cuts = iter(range(len(whole)))

    async def handle(stream):
        if await read_request(stream):
            await stream.send_all(whole)
        if await read_request(stream):
            await stream.send_all(whole[: next(cuts)])

    async def check(pool, target):
        for _ in range(len(whole)):
            assert (await exchange(pool, target)).body == b"hello world!"
            connection = await pool.acquire(
                "t", target.address, is_idempotent=True
            )
            with pytest.raises(ExchangeBrokenError):
                await connection.exchange(request())
            await abort(connection.stream)

    run_with_target(clock, handle, check)


def test_head_without_a_length_that_breaks_off_is_never_complete(clock):
    """Such a body ends with the connection, but only after a whole head."""
    whole = b"HTTP/1.1 200 OK\r\nstamp: s\r\nconnection: close\r\n\r\n"
    cuts = iter(range(len(whole)))

    async def handle(stream):
        await read_request(stream)
        await stream.send_all(whole[: next(cuts)])

    async def check(pool, target):
        for _ in range(len(whole)):
            with pytest.raises(ExchangeBrokenError):
                await exchange(pool, target)

    run_with_target(clock, handle, check)
