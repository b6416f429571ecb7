"""Tests of the entry's client for targets, with scripted responses."""

import pytest
import trio

from kingcupvane.connection.target_client import (
    ExchangeFailure,
    ExchangeFailureKind,
    TargetClient,
    TargetRequest,
)
from kingcupvane.tests.builders import target
from kingcupvane.tests.test_target_connection import (
    OK,
    ScriptedTarget,
    read_request,
)

OTHER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"


def run_with_target(handle, check):
    """Runs `check(exchange)` with a target that calls `handle`."""

    async def main():
        scripted = ScriptedTarget(handle)
        client = TargetClient(whole_max_bytes=1000)

        async def exchange():
            destination = target("t1").model_copy(
                update={"address": scripted.address}
            )
            request = TargetRequest(
                method="GET", path="/x", headers={}, body=b""
            )
            return await client.exchange(destination, request, None)

        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await nursery.start(scripted.run)
                await check(exchange)
                await client.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("delay_s", [0.0, 0.01])
def test_second_copy_of_a_response_never_reaches_the_next_request(delay_s):
    """The copy comes with the response itself or while the connection idles."""

    async def handle(stream):
        await read_request(stream)
        if delay_s:
            await stream.send_all(OK)
            await trio.sleep(delay_s)
            await stream.send_all(OTHER)
        else:
            await stream.send_all(OK + OTHER)
        while await read_request(stream):
            await stream.send_all(OK)

    async def check(exchange):
        for _ in range(3):
            assert (await exchange()).body == b"ok"
            await trio.sleep(0.05)

    run_with_target(handle, check)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ],
)
def test_response_that_breaks_off_is_a_failure(response):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(response)

    async def check(exchange):
        outcome = await exchange()
        assert isinstance(outcome, ExchangeFailure)
        assert outcome.kind is ExchangeFailureKind.BROKEN

    run_with_target(handle, check)


def test_response_that_ends_within_its_head_is_a_failure():
    """Half a head must not become a success with a short body."""
    whole = b"HTTP/1.1 200 OK\r\nx-stamp: s\r\nconnection: close\r\n\r\n"
    cuts = iter(range(len(whole)))

    async def handle(stream):
        await read_request(stream)
        await stream.send_all(whole[: next(cuts)])

    async def check(exchange):
        for _ in range(len(whole)):
            assert isinstance(await exchange(), ExchangeFailure)

    run_with_target(handle, check)
