"""Tests of messages between daemons over real sockets."""

import pytest
import trio

from kingcupvane.connection.messages import (
    FrameCodec,
    MirrorReply,
    MirrorRequest,
)
from kingcupvane.connection.peer import PeerClient, PeerServer
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

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    server = PeerServer(
        address=f"127.0.0.1:{port}",
        codec=codec,
        clock=HybridClock(clock=TrioClock()),
        handler=reply,
    )
    await nursery.start(server.run)
    return port


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
