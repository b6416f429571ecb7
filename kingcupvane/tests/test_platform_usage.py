"""Tests of usage reports in the platform's format."""

import json

import pytest
import trio

from kingcupvane.platform.__main__ import make_usage_receiver
from kingcupvane.platform.usage import PlatformUsageReceiver
from kingcupvane.process.usage_receiver import UsageReply
from kingcupvane.settings import UsageSettings
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
)

TIMEOUT_S = 0.3


async def read_all(stream):
    """Returns a request with its body, which may follow its head."""
    data = await read_request(stream)
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"content-length":
            while len(body) < int(value):
                body += await stream.receive_some(4096)
    return head, body


def send(respond, *, may_send=lambda: True):
    """Sends one report to a platform that calls `respond`."""
    replies = []

    async def main():
        platform = ScriptedTarget(respond)
        async with trio.open_nursery() as nursery:
            await nursery.start(platform.run)
            receiver = PlatformUsageReceiver(address=platform.address)
            replies.append(
                await receiver.send(
                    window=353445120,
                    counts={"cuka620": 412},
                    holder="g1",
                    token=12,
                    may_send=may_send,
                    timeout_s=TIMEOUT_S,
                )
            )
            nursery.cancel_scope.cancel()

    trio.run(main)
    return replies[0]


def answering(status):
    async def respond(stream):
        await read_all(stream)
        await stream.send_all(
            b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status
        )

    return respond


def test_report_has_the_platforms_form():
    requests = []

    async def respond(stream):
        requests.append(await read_all(stream))
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    assert send(respond) is UsageReply.ACCEPTED
    ((head, body),) = requests
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /usage HTTP/1.1"
    fields = {line.lower() for line in lines[1:]}
    assert b"kingcupvane-duty-holder: g1" in fields
    assert b"kingcupvane-fence-token: 12" in fields
    assert b"content-type: application/json" in fields
    assert json.loads(body) == {
        "windowId": 353445120,
        "counts": {"cuka620": 412},
    }


@pytest.mark.parametrize(
    ("status", "reply"),
    [
        (200, UsageReply.ACCEPTED),
        (409, UsageReply.SUPERSEDED),
        (429, UsageReply.THROTTLED),
        (503, UsageReply.FAILED),
        (302, UsageReply.FAILED),
    ],
)
def test_status_becomes_a_reply(status, reply):
    assert send(answering(status)) is reply


def test_nothing_is_sent_once_the_holder_may_not():
    received = []

    async def respond(stream):
        received.append(await stream.receive_some(100))

    reply = send(respond, may_send=lambda: False)
    assert reply is UsageReply.NOT_SENT
    assert b"".join(received) == b""


@pytest.mark.parametrize(
    "data", [b"", b"nonsense\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"]
)
def test_broken_or_missing_response_counts_as_unknown(data):
    async def respond(stream):
        await read_all(stream)
        if data:
            await stream.send_all(data)

    assert send(respond) is UsageReply.FAILED


def test_silent_platform_is_given_up_in_time():
    async def respond(stream):
        await read_all(stream)
        await trio.sleep_forever()

    assert send(respond) is UsageReply.FAILED


def test_unreachable_platform_gets_nothing():
    async def main():
        receiver = PlatformUsageReceiver(address="127.0.0.1:1")
        return await receiver.send(
            window=1,
            counts={},
            holder="g1",
            token=1,
            may_send=lambda: True,
            timeout_s=TIMEOUT_S,
        )

    assert trio.run(main) is UsageReply.NOT_SENT


def test_receiver_exists_only_where_the_duty_is_asked_for():
    address = "127.0.0.1:9"
    asked = UsageSettings(address=address, duties=("x", "usage_report"))
    assert make_usage_receiver(asked) is not None
    assert make_usage_receiver(UsageSettings(address=address)) is None
    assert make_usage_receiver(None) is None
