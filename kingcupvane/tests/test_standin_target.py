"""Tests of the stand-in for a target."""

import socket

import trio
import trio.testing

from kingcupvane import asgi
from kingcupvane.settings import TargetStandinSettings
from kingcupvane.standin.fleet import free_address
from kingcupvane.standin.target import TargetServer

TIMEOUT_S = 0.5


def test_request_past_its_timeout_gets_no_response():
    """A response at that time would race with the caller's own timeout."""
    server = TargetServer(
        settings=TargetStandinSettings(
            name="t",
            address="127.0.0.1:1",
            version="v1",
            slots=1,
            service_s=100 * TIMEOUT_S,
            cold_s=0.0,
        )
    )
    sent_messages = []
    disconnected_at = 4 * TIMEOUT_S
    ended_at = []

    async def send(message):
        sent_messages.append(message)

    async def receive():
        if not receive.called:
            receive.called = True
            return {"type": "http.request", "body": b""}
        await trio.sleep_until(disconnected_at)
        return {"type": "http.disconnect"}

    receive.called = False
    request = asgi.HttpRequest(
        method="GET",
        path="/treaty/pos/1",
        query="",
        headers={"request-timeout": str(TIMEOUT_S)},
        receive=receive,
    )

    async def main():
        await server.handle(request, send)
        ended_at.append(trio.current_time())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert sent_messages == []
    assert ended_at == [disconnected_at]


def test_peak_excludes_requests_of_disconnected_callers():
    """A caller that disconnects and retries has one request, not two."""
    slots = 4
    peaks = []

    async def main():
        host, port = free_address().split(":")
        server = TargetServer(
            settings=TargetStandinSettings(
                name="t",
                address=f"{host}:{port}",
                version="v1",
                slots=slots,
                service_s=100 * TIMEOUT_S,
                cold_s=0.0,
            )
        )
        stop = trio.Event()

        def open_caller():
            caller = socket.create_connection((host, int(port)))
            caller.sendall(b"GET /treaty/pos/1 HTTP/1.1\r\nhost: h\r\n\r\n")
            return caller

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, stop)
            await trio.testing.wait_all_tasks_blocked(0.05)
            callers = []
            for _ in range(10):
                for caller in callers:
                    caller.close()
                callers = [open_caller() for _ in range(slots)]
                await trio.testing.wait_all_tasks_blocked(0.05)
            peaks.append(server.report.peak)
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert peaks == [slots]
