"""Tests that a response which breaks off or has no valid status is no response.

Each holds for the gateway's and the entry's client alike. The targets are
scripted, on a loopback socket.
"""

import contextlib
import re

import pytest
import trio
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from kingcupvane.clock import ManualClock
from kingcupvane.connection.target_client import (
    ExchangeFailure,
    TargetClient,
    TargetRequest,
    TargetResponse,
)
from kingcupvane.connection.target_connection import (
    ConnectionPool,
    ExchangeBrokenError,
    WireResponse,
    abort,
)
from kingcupvane.tests.builders import target as entry_target
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
    request,
)

# More than the sockets' buffers hold, so that its sending takes until the end.
LONG_BODY = b"x" * 30_000_000
# Large enough to be sent while the response is read, and held by the buffers.
SENT_BODY = b"x" * 20_000
# Enough that either of the two tasks of an exchange learns first of a reset.
RESET_ROUNDS = 20
PAUSE_S = 0.01
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\n"
BODY = b"hello world!"
RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n" + BODY,
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n7\r\n world!\r\n0\r\n\r\n",
    "no-length": ENDLESS + BODY,
}
BODIES = {"none": b"", "sent": SENT_BODY, "unfinished": LONG_BODY}


class GatewayCaller:
    """Sends requests as a gateway does, over kept connections."""

    def __init__(self, address):
        """Makes a caller of the target at an address."""
        self._address = address
        self._pool = ConnectionPool(clock=ManualClock())

    async def exchange(self, body):
        """Returns the response; None if there is no complete one."""
        connection = await self._pool.acquire(
            "t", self._address, is_idempotent=True
        )
        try:
            response = await connection.exchange(request(body))
        except ExchangeBrokenError:
            await abort(connection.stream)
            return None
        await self._pool.release("t", connection)
        assert isinstance(response, WireResponse)
        return response


class EntryCaller:
    """Sends requests as an entry does, each over a connection of its own."""

    def __init__(self, address):
        """Makes a caller of the target at an address."""
        self._target = entry_target("t1").model_copy(
            update={"address": address}
        )
        self._client = TargetClient(whole_max_bytes=1 << 20)

    async def exchange(self, body):
        """Returns the response; None if there is no complete one."""
        outcome = await self._client.exchange(
            self._target,
            TargetRequest(method="POST", path="/x", headers={}, body=body),
            None,
        )
        if isinstance(outcome, ExchangeFailure):
            return None
        assert isinstance(outcome, TargetResponse)
        return outcome


both_callers = pytest.mark.parametrize("make", [GatewayCaller, EntryCaller])


def run_exchanges(make, handle, check):
    """Runs `check(caller)` against a target that calls `handle`."""

    async def main():
        target = ScriptedTarget(handle)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                await check(make(target.address))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def read_whole_request(stream):
    """Reads a request with its body; returns whether it is complete."""
    data = await read_request(stream)
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    if length is None:
        return False
    missing = int(length[1]) - len(body)
    while missing > 0:
        part = await stream.receive_some(1 << 20)
        if not part:
            return False
        missing -= len(part)
    return True


@both_callers
@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S])
@pytest.mark.parametrize("part", [b"", BODY])
def test_response_without_length_that_is_reset_during_the_upload_is_none(
    make, pause_s, part
):
    """The reset may be reported to the sender alone; the reader gets an EOF."""

    async def handle(stream):
        await read_request(stream)
        await stream.send_all(ENDLESS + part)
        await trio.sleep(pause_s)
        await abort(stream)

    async def check(caller):
        for _ in range(RESET_ROUNDS):
            assert await caller.exchange(LONG_BODY) is None

    run_exchanges(make, handle, check)


@both_callers
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("form", RESPONSES)
def test_whole_response_before_or_after_the_upload_is_passed_on(
    make, body, form
):
    """A target that answers early reads on; only its own side is closed."""

    async def handle(stream):
        await read_request(stream)
        await stream.send_all(RESPONSES[form])
        await stream.send_eof()
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(1 << 20):
                pass

    async def check(caller):
        response = await caller.exchange(BODIES[body])
        assert response.body == BODY

    run_exchanges(make, handle, check)


@both_callers
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("form", RESPONSES)
@hypothesis_settings(max_examples=12)
@given(data=st.data())
def test_response_that_is_reset_at_any_byte_is_none(make, body, form, data):
    """The upload has ended or is still being written at the reset."""
    whole = RESPONSES[form]
    last = len(whole) if form == "no-length" else len(whole) - 1
    cut = data.draw(st.integers(0, last))
    is_reused = make is GatewayCaller and data.draw(st.booleans())

    async def handle(stream):
        if is_reused:
            await read_whole_request(stream)
            await stream.send_all(RESPONSES["length"])
        if body == "unfinished":
            await read_request(stream)
        else:
            await read_whole_request(stream)
        await stream.send_all(whole[:cut])
        await abort(stream)

    async def check(caller):
        if is_reused:
            assert (await caller.exchange(b"")).body == BODY
        assert await caller.exchange(BODIES[body]) is None

    run_exchanges(make, handle, check)


@both_callers
@pytest.mark.parametrize("form", RESPONSES)
@hypothesis_settings(max_examples=12)
@given(data=st.data())
def test_response_that_is_closed_at_any_byte_is_none(make, form, data):
    """Without a length, it is complete from the end of its head on."""
    whole = RESPONSES[form]
    last = len(ENDLESS) - 1 if form == "no-length" else len(whole) - 1
    cut = data.draw(st.integers(0, last))

    async def handle(stream):
        await read_whole_request(stream)
        await stream.send_all(whole[:cut])

    async def check(caller):
        assert await caller.exchange(SENT_BODY) is None

    run_exchanges(make, handle, check)


@both_callers
@pytest.mark.parametrize("body", [b"", LONG_BODY])
@pytest.mark.parametrize(
    "status",
    [b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"-20", b"2x0"],
)
def test_response_with_an_invalid_status_is_none(make, body, status):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 %s X\r\ncontent-length: 0" % status)
        await stream.send_all(b"\r\n\r\n")
        await trio.sleep(PAUSE_S)

    async def check(caller):
        assert await caller.exchange(body) is None

    run_exchanges(make, handle, check)


@both_callers
@pytest.mark.parametrize("status", [200, 204, 302, 404, 500, 599])
def test_response_with_a_valid_status_is_passed_on(make, status):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 %d X\r\n" % status)
        await stream.send_all(b"content-length: 0\r\n\r\n")
        await trio.sleep(PAUSE_S)

    async def check(caller):
        assert (await caller.exchange(b"")).status == status

    run_exchanges(make, handle, check)


@both_callers
def test_interim_response_precedes_the_response(make):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 103 Early\r\n\r\n")
        await stream.send_all(RESPONSES["length"])
        await trio.sleep(PAUSE_S)

    async def check(caller):
        assert (await caller.exchange(b"")).body == BODY

    run_exchanges(make, handle, check)


@both_callers
def test_switch_of_protocols_that_nobody_asked_for_is_none(make):
    async def handle(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 101 Switch\r\n\r\n")
        await trio.sleep(PAUSE_S)

    async def check(caller):
        assert await caller.exchange(b"") is None

    run_exchanges(make, handle, check)
