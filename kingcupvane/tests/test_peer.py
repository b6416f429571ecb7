"""Tests of messages between daemons over real sockets."""

import socket
import struct
from collections import Counter
from contextlib import suppress

import pytest
import trio

from kingcupvane.connection.messages import (
    Envelope,
    FrameCodec,
    MirrorReply,
    MirrorRequest,
    Stamp,
)
from kingcupvane.connection.peer import (
    MESSAGE_MAX_BYTES,
    WORKER_COUNT,
    PeerClient,
    PeerServer,
)
from kingcupvane.connection.peer_replies import REPLY_TIMEOUT_S
from kingcupvane.process.item import Item
from kingcupvane.process.timeline import HybridClock
from kingcupvane.tests.fakes import TrioClock
from kingcupvane.tests.silent_link import SilentLink

TIMEOUT_S = 0.2


@pytest.fixture
def codec():
    return FrameCodec(secret=b"test")


def make_client(codec):
    return PeerClient(
        codec=codec, clock=HybridClock(clock=TrioClock()), timeout_s=TIMEOUT_S
    )


async def start_server(nursery, codec, *, delay_s=0.0):
    """Starts a server; returns its port."""

    async def reply(request):
        await trio.sleep(delay_s)
        return MirrorReply(items=[], as_of=request.after, whole=False)

    server, port = await make_server(codec, reply)
    await nursery.start(server.run)
    return port


async def make_server(codec, reply):
    """Returns a server and its port."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    server = PeerServer(
        address=f"127.0.0.1:{port}",
        codec=codec,
        clock=HybridClock(clock=TrioClock()),
        handler=reply,
    )
    return server, port


def test_peer_behind_a_silent_connection_is_reached_over_a_new_one(codec):
    """A gateway that lost power and returned was not heard for minutes."""

    async def main():
        async with trio.open_nursery() as nursery:
            link = SilentLink(port=await start_server(nursery, codec))
            await nursery.start(link.run)
            client = make_client(codec)
            first = await client.ask(link.address, MirrorRequest(after=1))
            assert first.is_ok()
            link.silence()
            lost = await client.ask(link.address, MirrorRequest(after=2))
            assert lost.err_value.detail == "TooSlowError"
            again = await client.ask(link.address, MirrorRequest(after=3))
            assert again.is_ok()
            assert again.ok_value.as_of == 3
            client.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


# Readings of counters are cut off before the timeout of a message, so that a
# dead connection was kept for them.
def test_silent_connection_is_given_up_though_each_caller_waits_for_less(codec):
    async def main():
        async with trio.open_nursery() as nursery:
            link = SilentLink(port=await start_server(nursery, codec))
            await nursery.start(link.run)
            client = make_client(codec)
            assert (
                await client.ask(link.address, MirrorRequest(after=1))
            ).is_ok()
            link.silence()
            for _ in range(4):
                with trio.move_on_after(TIMEOUT_S / 3):
                    await client.ask(link.address, MirrorRequest(after=2))
            again = await client.ask(link.address, MirrorRequest(after=3))
            assert again.is_ok()
            client.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_failed_messages_are_counted_by_type_and_error(codec):
    async def main():
        client = make_client(codec)
        reply = await client.ask("127.0.0.1:1", MirrorRequest(after=1))
        assert reply.is_err()
        assert client.failures == {("MirrorRequest", "TooSlowError"): 1}
        client.close()

    trio.run(main)


def test_handler_that_raises_makes_the_server_deaf_to_all_peers(codec):
    """The whole server ended, and was started again a second later."""

    async def reply(request):
        if request.after == 7:
            raise KeyError("odd")
        if request.after == 8:
            return object()
        return MirrorReply(items=[], as_of=request.after, whole=False)

    async def main():
        async with trio.open_nursery() as nursery:
            server, port = await make_server(codec, reply)
            await nursery.start(server.run)
            odd, other = make_client(codec), make_client(codec)
            for _ in range(WORKER_COUNT + 1):
                assert (await ask(odd, port, after=7)).is_err()
                assert (await ask(odd, port, after=8)).is_err()
                assert (await ask(other, port, after=1)).is_ok()
            errors = Counter(error for _, error in server.failures.elements())
            assert errors["KeyError"] == WORKER_COUNT + 1
            assert errors.total() == 2 * (WORKER_COUNT + 1)
            odd.close()
            other.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


async def ask(client, port, *, after):
    return await client.ask(f"127.0.0.1:{port}", MirrorRequest(after=after))


async def open_unread_connection(port):
    """Opens a connection of the request protocol that is never read."""
    connection = trio.socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await connection.connect(("127.0.0.1", port))
    await connection.send(b"\0SP\0\0\x30\0\0")
    assert len(await connection.recv(8)) == 8
    return trio.SocketStream(connection)


def test_peer_that_never_reads_holds_all_workers(codec):
    """Its replies waited for as long as the kernel kept the connection."""
    item = Item(key="k", value="x" * (MESSAGE_MAX_BYTES // 2), revision=1)

    async def reply(request):
        items = [item] if request.after == 7 else []
        return MirrorReply(items=items, as_of=request.after, whole=False)

    async def main():
        async with trio.open_nursery() as nursery:
            server, port = await make_server(codec, reply)
            await nursery.start(server.run)
            other = make_client(codec)
            assert (await ask(other, port, after=1)).is_ok()
            unread = await open_unread_connection(port)
            request = codec.encode(Envelope(Stamp(), MirrorRequest(after=7)))
            for number in range(4 * WORKER_COUNT):
                body = struct.pack(">I", 0x80000000 + number) + request
                await unread.send_all(struct.pack(">Q", len(body)) + body)
            await trio.sleep(TIMEOUT_S)
            with trio.move_on_after(2 * REPLY_TIMEOUT_S):
                while True:
                    assert (await ask(other, port, after=1)).is_ok()
                    await trio.sleep(TIMEOUT_S / 10)
            assert server.failures["MirrorRequest", "PeerStalledError"]
            with trio.fail_after(TIMEOUT_S), suppress(trio.BrokenResourceError):
                while await unread.receive_some():
                    pass
            other.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
