"""Tests of messages between daemons over real sockets."""

import pytest
import trio

from kingcupvane.connection.messages import (
    FrameCodec,
    MirrorRequest,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.timeline import HybridClock
from kingcupvane.tests.fakes import TrioClock

TIMEOUT_S = 0.2


@pytest.fixture
def codec():
    return FrameCodec(secret=b"test")


def make_client(codec):
    return PeerClient(
        codec=codec, clock=HybridClock(clock=TrioClock()), timeout_s=TIMEOUT_S
    )


def test_failed_messages_are_counted_by_type_and_error(codec):
    async def main():
        client = make_client(codec)
        reply = await client.ask("127.0.0.1:1", MirrorRequest(after=1))
        assert reply.is_err()
        assert client.failures == {("MirrorRequest", "TooSlowError"): 1}
        client.close()

    trio.run(main)
