"""Tests of the reading of request bodies within a budget."""

import hashlib
from dataclasses import replace

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane import asgi
from kingcupvane.connection.memory_budget import STALL_MAX_S, BodyBudget
from kingcupvane.connection.request_body import (
    BLOCK_BYTES,
    ROOM_WAIT_S,
    BodyBuffer,
    HeldBody,
    blocks_of,
)
from kingcupvane.request.retry import compute_fingerprint

MAX_BYTES = 4 * BLOCK_BYTES
LIMIT = 3 * BLOCK_BYTES


def budget():
    return BodyBudget(max_bytes=MAX_BYTES, small_bytes=BLOCK_BYTES)


def request(parts, *, announced=0, stall=False, is_disconnected=False):
    """Returns a request whose body comes in parts; it may then stall."""
    messages = iter(parts)

    async def receive():
        await trio.lowlevel.checkpoint()
        part = next(messages, None)
        if part is not None:
            return {"type": "http.request", "body": part, "more_body": True}
        if stall:
            await trio.sleep_forever()
        return {"type": "http.request", "body": b"", "more_body": False}

    headers = {"transfer-encoding": "chunked"}
    if announced:
        headers = {"content-length": str(announced)}
    return asgi.HttpRequest(
        method="POST",
        path="/",
        query="",
        headers=headers,
        receive=receive,
        is_disconnected=lambda: is_disconnected,
    )


def run(check):
    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


def collect(parts):
    buffer = BodyBuffer()
    for part in parts:
        buffer.add(part)
    return buffer.take()


PARTS = st.lists(st.integers(0, 2 * BLOCK_BYTES), max_size=8)


@given(sizes=PARTS)
def test_body_is_the_same_in_any_parts(sizes):
    parts = [bytes([n % 251]) * size for n, size in enumerate(sizes)]
    body = collect(parts)
    whole = b"".join(parts)
    assert b"".join(blocks_of(body)) == whole
    assert len(body) == len(whole)
    digest = compute_fingerprint(
        account="a", service="s", method="POST", path="/", body=body
    )
    assert digest == compute_fingerprint(
        account="a", service="s", method="POST", path="/", body=whole
    )


@pytest.mark.parametrize("before", [0, BLOCK_BYTES - 3, BLOCK_BYTES, 200_000])
def test_bytes_are_found_across_blocks(before):
    body = collect([b"x" * before, b"secret", b"x" * BLOCK_BYTES])
    assert b"secret" in body
    assert b"secreT" not in body


def test_room_is_held_until_the_end_and_then_free():
    room = budget()

    async def check():
        with HeldBody(budget=room) as held:
            parts = [b"x" * BLOCK_BYTES] * 2
            body = await held.read(request(parts), limit=LIMIT)
            assert len(body) == 2 * BLOCK_BYTES
            assert room.used_bytes >= len(body)
        assert room.used_bytes == 0

    run(check)


def test_announced_body_is_not_read_without_room_or_beyond_the_limit():
    room = budget()
    unread = request([], stall=True, announced=LIMIT)
    too_large = request([], stall=True, announced=LIMIT + 1)

    async def check():
        with HeldBody(budget=room) as first, HeldBody(budget=room) as second:
            await first.read(request([b"x"], announced=LIMIT), limit=LIMIT)
            with pytest.raises(asgi.NoRoomError):
                await second.read(unread, limit=LIMIT)
        with HeldBody(budget=room) as held:
            with pytest.raises(asgi.BodyTooLargeError):
                await held.read(too_large, limit=LIMIT)
        assert room.used_bytes == 0

    run(check)


def test_stalled_body_ends_once_another_needs_its_room():
    room = budget()
    ended = []

    async def stall():
        stalled = request([b"x" * BLOCK_BYTES], stall=True, announced=LIMIT)
        with HeldBody(budget=room) as held:
            with pytest.raises(asgi.BodyTooSlowError):
                await held.read(stalled, limit=LIMIT)
        ended.append(trio.current_time())

    async def check():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stall)
            await trio.sleep(2 * STALL_MAX_S)
            assert not ended
            with HeldBody(budget=room) as held:
                await held.read(request([b"x"], announced=LIMIT), limit=LIMIT)
        assert room.used_bytes == 0

    run(check)


def test_body_that_is_not_complete_in_time_is_given_up():
    room = budget()
    stalled = request([b"x"], stall=True)

    async def check():
        with HeldBody(budget=room) as held:
            with pytest.raises(asgi.BodyTooSlowError):
                await held.read(stalled, limit=LIMIT, give_up_at=30.0)
        assert trio.current_time() == 30.0
        assert room.used_bytes == 0

    run(check)


@pytest.mark.parametrize(
    ("is_disconnected", "error"),
    [(False, asgi.NoRoomError), (True, asgi.CallerDisconnectedError)],
)
def test_body_of_unknown_length_waits_for_room_for_a_while(
    is_disconnected, error
):
    room = budget()
    chunked = request([b"x" * BLOCK_BYTES] * 3, is_disconnected=is_disconnected)

    async def check():
        with HeldBody(budget=room) as first, HeldBody(budget=room) as second:
            parts = [b"x" * BLOCK_BYTES] * 2
            await first.read(request(parts), limit=LIMIT)
            started_at = trio.current_time()
            with pytest.raises(error):
                await second.read(chunked, limit=LIMIT)
            waited_s = trio.current_time() - started_at
            assert waited_s <= ROOM_WAIT_S + 0.1
            assert (waited_s > 0) != is_disconnected

    run(check)


def test_body_goes_on_when_room_is_free_again():
    room = budget()
    chunked = request([b"x" * BLOCK_BYTES] * 3)

    async def hold_for_a_while():
        with HeldBody(budget=room) as held:
            parts = [b"x" * BLOCK_BYTES] * 2
            await held.read(request(parts), limit=LIMIT)
            await trio.sleep(ROOM_WAIT_S / 2)

    async def check():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_for_a_while)
            await trio.sleep(ROOM_WAIT_S / 4)
            with HeldBody(budget=room) as held:
                body = await held.read(chunked, limit=LIMIT)
        assert hashlib.sha256(b"".join(body)).digest() == (
            hashlib.sha256(b"x" * LIMIT).digest()
        )

    run(check)


# The kernel held up to 35 MB of bodies that were not read for want of room.
@pytest.mark.parametrize(("size", "limited"), [(1, 0), (BLOCK_BYTES + 1, 1)])
def test_the_kernel_holds_little_of_bodies_while_room_is_short(size, limited):
    calls = []
    sent = request([bytes(size), b"x", b"x"])
    sent = replace(sent, limit_unread=lambda: calls.append(None))

    async def check():
        with HeldBody(budget=budget()) as held:
            await held.read(sent, limit=LIMIT)

    run(check)
    assert len(calls) == limited
