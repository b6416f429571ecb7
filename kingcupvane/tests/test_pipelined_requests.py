"""Tests of series of requests sent before the first one is answered.

A response that closes the connection leaves the requests behind it unread: no
target runs them, and the caller sends them again. Bytes go over loopback.
"""

import contextlib
import signal
import socket
import struct
from dataclasses import dataclass, field

import h11
import pytest
import trio
import trio.testing

from kingcupvane import asgi
from kingcupvane.connection.inbound import (
    ARRIVALS_MAX,
    DROPPED_MAX_BYTES,
    READ_AHEAD_MAX_BYTES,
    UNREAD_MAX_S,
    InboundConnection,
    ServerState,
)
from kingcupvane.platform.names import NAMES
from kingcupvane.process.gateway import STOP_ACCEPT_MAX_S, GatewayDaemon
from kingcupvane.tests import test_platform_gateway
from kingcupvane.tests.test_disconnected_callers import ReplayStream
from kingcupvane.tests.test_listener import ServerHarness, get_request
from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    plan_document,
    respond_with_account,
)
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
)

SERIES = 10
# Position of the request in whose middle something happens.
MIDDLE = 4
TIMEOUT_S = 20
# Longest time from a caller's leaving until its request is cancelled, seconds.
CANCEL_MAX_S = 0.5
SETTLE_S = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# With it, a series exceeds what is read ahead.
LONG_HEADER = b"x-long: " + b"y" * 20_000 + b"\r\n"


@dataclass(kw_only=True, slots=True)
class Answer:
    """A response as a caller received it.

    Attributes:
        status: HTTP status code.
        closes: Whether it announces the end of the connection.
        body: The body.
    """

    status: int
    closes: bool = False
    body: bytes = b""


@dataclass(kw_only=True)
class SeriesTarget:
    """A target that records what it runs and holds some requests.

    Attributes:
        paths: Paths of the requests it began to run, in order.
        held: Paths that it answers only once released.
        broken: Paths at which it resets the connection.
        released: Lets it answer the held requests.
        cancelled_at: When connections with held requests ended, in trio's time.
    """

    paths: list[str] = field(default_factory=list)
    held: set[str] = field(default_factory=set)
    broken: set[str] = field(default_factory=set)
    released: trio.Event = field(default_factory=trio.Event)
    cancelled_at: list[float] = field(default_factory=list)

    async def handle(self, stream):
        while data := await read_request(stream):
            path = data.split(b" ", 2)[1].decode()
            self.paths.append(path)
            if path in self.broken:
                return
            if path in self.held and not await self._hold(stream):
                return
            await respond_with_account(ReplayStream(stream=stream, data=data))

    async def _hold(self, stream):
        """Returns whether the request was released before its cancellation."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, stream, nursery.cancel_scope)
            await self.released.wait()
            nursery.cancel_scope.cancel()
        return self.released.is_set()

    async def _watch(self, stream, scope):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        self.cancelled_at.append(trio.current_time())
        scope.cancel()


def path_of(number, name="s"):
    return f"/r/{name}-{number}"


def series_bytes(*, name="s", extra=b"", at_middle=None):
    """Returns the bytes of a series of requests.

    Args:
        name: Name of the series in the paths.
        extra: Header lines of each request.
        at_middle: Bytes in place of the middle one.
    """
    parts = [
        b"GET %s HTTP/1.1\r\nhost: h.example\r\n%s: %s-%d\r\n%s: 20000\r\n"
        b"authorization: Token k1\r\n%s\r\n"
        % (
            path_of(number, name).encode(),
            NAMES.attempt,
            name.encode(),
            number,
            NAMES.deadline,
            extra,
        )
        for number in range(SERIES)
    ]
    if at_middle is not None:
        parts[MIDDLE] = at_middle
    return b"".join(parts)


async def read_answers(stream, count):
    """Reads up to `count` responses, fewer if the connection ends before."""
    parser = h11.Connection(h11.CLIENT)
    answers = []
    while len(answers) < count:
        parser.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")])
        )
        parser.send(h11.EndOfMessage())
        answer = await read_answer(parser, stream)
        if answer is None:
            return answers
        answers.append(answer)
        if answer.closes:
            assert await stream.receive_some(65536) == b""
            return answers
        parser.start_next_cycle()
    return answers


async def read_answer(parser, stream):
    answer = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(65536)
            if not data and answer is None:
                return None
            parser.receive_data(bytes(data))
        elif isinstance(event, h11.Response):
            headers = dict(event.headers)
            closes = headers.get(b"connection", b"").lower() == b"close"
            answer = Answer(status=event.status_code, closes=closes)
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        else:
            return answer


class SeriesHarness(GatewayHarness):
    """A gateway whose target records the requests of a series."""

    def __init__(self):
        """Makes the store, the target and the gateway's settings."""
        super().__init__()
        self.series = SeriesTarget()
        self.target = ScriptedTarget(self.series.handle)

    async def start(self):
        document = plan_document(1)
        document["resources"][0]["spec"]["timeoutS"] = TIMEOUT_S
        self.store.put_plan(document)
        await self.wait_until(self.is_ready)

    async def connect(self, data):
        host, _, port = self.settings.caller_address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(data)
        return stream

    async def wait_for_middle(self, name="s"):
        """Waits until the target runs the middle request."""

        async def has_arrived():
            return path_of(MIDDLE, name) in self.series.paths

        await self.wait_until(has_arrived)
        await trio.sleep(SETTLE_S)


@pytest.fixture
def harness():
    return SeriesHarness()


def paths(last):
    """Returns the paths of a series up to a position, it included."""
    return [path_of(number) for number in range(last + 1)]


@pytest.mark.parametrize("extra", [b"", LONG_HEADER])
def test_series_is_run_and_answered_in_order(harness, extra):
    async def check(harness):
        await harness.start()
        stream = await harness.connect(series_bytes(extra=extra))
        answers = await read_answers(stream, SERIES)
        assert [a.status for a in answers] == [200] * SERIES
        assert harness.series.paths == paths(SERIES - 1)

    harness.run_gateway(check)


@pytest.mark.parametrize("extra", [b"", LONG_HEADER])
def test_stop_in_a_series_runs_nothing_behind_the_closing_response(
    harness, extra
):
    harness.series.held = {path_of(MIDDLE)}

    async def check(harness):
        await harness.start()
        stream = await harness.connect(series_bytes(extra=extra))
        await harness.wait_for_middle()
        signal.raise_signal(signal.SIGTERM)
        await trio.sleep(STOP_ACCEPT_MAX_S + 0.3)
        harness.series.released.set()
        answers = await read_answers(stream, SERIES)
        assert [a.status for a in answers] == [200] * (MIDDLE + 1)
        assert [a.closes for a in answers] == [False] * MIDDLE + [True]
        await harness.ended.wait()
        assert harness.series.paths == paths(MIDDLE)

    harness.run_gateway(check)


def test_reload_in_a_series_leaves_it_whole(harness, monkeypatch):
    harness.series.held = {path_of(MIDDLE)}
    reloads = []

    def reload():
        reloads.append(True)
        return harness.settings

    def make_daemon(**arguments):
        return GatewayDaemon(**arguments, reload=reload)

    monkeypatch.setattr(test_platform_gateway, "GatewayDaemon", make_daemon)

    async def check(harness):
        await harness.start()
        stream = await harness.connect(series_bytes())
        await harness.wait_for_middle()
        signal.raise_signal(signal.SIGHUP)
        harness.store.put_plan(plan_document(2))
        await trio.sleep(2 * SETTLE_S)
        harness.series.released.set()
        answers = await read_answers(stream, SERIES)
        assert reloads
        assert [a.status for a in answers] == [200] * SERIES
        assert not any(a.closes for a in answers)
        assert harness.series.paths == paths(SERIES - 1)

    harness.run_gateway(check)


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("extra", [b"", LONG_HEADER])
def test_caller_that_leaves_in_a_series_has_nothing_more_run(
    harness, extra, is_reset
):
    """Also while what it sent behind lies unread in the kernel."""
    harness.series.held = {path_of(MIDDLE)}

    async def check(harness):
        await harness.start()
        stream = await harness.connect(series_bytes(extra=extra))
        assert len(await read_answers(stream, MIDDLE)) == MIDDLE
        await harness.wait_for_middle()
        if is_reset:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        left_at = trio.current_time()
        await stream.aclose()

        async def is_cancelled():
            return bool(harness.series.cancelled_at)

        await harness.wait_until(is_cancelled)
        assert harness.series.cancelled_at[0] - left_at < CANCEL_MAX_S
        harness.series.released.set()
        await trio.sleep(CANCEL_MAX_S)
        assert harness.series.paths == paths(MIDDLE)

    harness.run_gateway(check)


def test_target_that_fails_in_a_series_costs_that_request_only(harness):
    harness.series.broken = {path_of(MIDDLE)}

    async def check(harness):
        await harness.start()
        stream = await harness.connect(series_bytes())
        answers = await read_answers(stream, SERIES)
        statuses = [a.status for a in answers]
        assert statuses[:MIDDLE] == [200] * MIDDLE
        assert statuses[MIDDLE] == 502
        # The target may be left out for a while: such requests are not run.
        assert set(statuses[MIDDLE + 1 :]) <= {200, 503}
        assert len(statuses) == SERIES
        run = [
            path_of(number)
            for number, status in enumerate(statuses)
            if status != 503
        ]
        assert harness.series.paths == run

    harness.run_gateway(check)


MALFORMED = b"nonsense\r\n\r\n"
LAST_ONE = (
    b"GET %s HTTP/1.1\r\nhost: h.example\r\n%s: last\r\nconnection: close\r\n"
    b"authorization: Token k1\r\n\r\n"
    % (path_of(MIDDLE).encode(), NAMES.attempt)
)


@pytest.mark.parametrize(
    ("middle", "status", "last_run"),
    [(MALFORMED, 400, MIDDLE - 1), (LAST_ONE, 200, MIDDLE)],
)
def test_request_that_closes_the_connection_ends_the_series(
    harness, middle, status, last_run
):
    async def check(harness):
        await harness.start()
        stream = await harness.connect(series_bytes(at_middle=middle))
        answers = await read_answers(stream, SERIES)
        assert [a.status for a in answers] == [200] * MIDDLE + [status]
        assert answers[-1].closes
        await trio.sleep(SETTLE_S)
        assert harness.series.paths == paths(last_run)

    harness.run_gateway(check)


def test_slow_request_at_the_head_holds_back_its_own_connection_only(harness):
    harness.series.held = {path_of(0, "slow")}

    async def check(harness):
        await harness.start()
        slow = await harness.connect(series_bytes(name="slow"))
        for name in ("a", "b"):
            stream = await harness.connect(series_bytes(name=name))
            assert len(await read_answers(stream, SERIES)) == SERIES
        ran = [path for path in harness.series.paths if "slow" in path]
        assert ran == [path_of(0, "slow")]
        harness.series.released.set()
        assert len(await read_answers(slow, SERIES)) == SERIES

    harness.run_gateway(check)


@pytest.mark.parametrize("position", range(SERIES))
@pytest.mark.parametrize("extra", [(), (LONG_HEADER.strip(),)])
def test_stop_at_any_request_of_a_series_leaves_the_rest_unread(
    position, extra
):
    handled = []

    async def work(request, send):
        await request.read_body(limit=0)
        handled.append(request.path)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                request.cancel_when_disconnected, nursery.cancel_scope
            )
            await trio.sleep(0.002)
            nursery.cancel_scope.cancel()
        if len(handled) == position + 1:
            server.stop.set()
        await asgi.HttpResponse(body=request.path.encode()).send(send)

    async def check(server):
        series = b"".join(
            get_request(b"/%d" % number, *extra) for number in range(SERIES)
        )
        with server.connect(series) as caller:
            data = await server.read_to_end(caller)
        assert handled == [f"/{number}" for number in range(position + 1)]
        assert data.endswith(b"/%d" % position)
        assert data.lower().count(b"connection: close") == 1

    server = ServerHarness(work)
    server.run_server(check)


def test_connection_is_closed_only_behind_a_response_that_announces_it():
    """The stop comes after the head of the first response was sent."""
    handled = []

    async def work(request, send):
        handled.append(request.path)
        headers = [(b"content-length", b"4")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send(
            {"type": "http.response.body", "body": b"ab", "more_body": True}
        )
        server.stop.set()
        await send({"type": "http.response.body", "body": b"cd"})

    async def check(server):
        series = b"".join(get_request(b"/%d" % number) for number in range(3))
        with server.connect(series) as caller:
            data = await server.read_to_end(caller)
        first, second = data.split(b"abcd")[:2]
        assert b"connection: close" not in first.lower()
        assert b"connection: close" in second.lower()
        assert handled == ["/0", "/1"]

    server = ServerHarness(work)
    server.run_server(check)


def test_bytes_read_ahead_one_by_one_take_bounded_memory():
    """The arrival time of each piece was kept until its request's turn."""
    pieces = 20 * ARRIVALS_MAX

    async def hold(request, send):
        await request.read_body(limit=0)
        await request.wait_disconnected()

    async def main():
        server_socket, caller_socket = socket.socketpair()
        transport = trio.SocketStream(
            trio.socket.from_stdlib_socket(server_socket)
        )
        connection = InboundConnection(
            stream=transport,
            transport=transport,
            handler=hold,
            state=ServerState(),
            client_address="test",
        )
        async with trio.open_nursery() as nursery:
            with caller_socket:
                nursery.start_soon(connection.run)
                caller_socket.sendall(get_request(b"/held"))
                await trio.testing.wait_all_tasks_blocked()
                for _ in range(pieces):
                    caller_socket.sendall(b"x")
                    await trio.testing.wait_all_tasks_blocked()
                assert len(connection._chunks) <= ARRIVALS_MAX

    trio.run(main)


def test_bytes_read_ahead_are_bounded_while_the_caller_keeps_sending():
    """Dropped ones are not kept, and past their bound none are read."""

    async def hold(request, send):
        await request.read_body(limit=0)
        await request.wait_disconnected()

    async def main():
        server_socket, caller_socket = socket.socketpair()
        transport = trio.SocketStream(
            trio.socket.from_stdlib_socket(server_socket)
        )
        connection = InboundConnection(
            stream=transport,
            transport=transport,
            handler=hold,
            state=ServerState(),
            client_address="test",
        )
        caller_socket.setblocking(False)
        sent = 0
        async with trio.open_nursery() as nursery:
            with caller_socket:
                nursery.start_soon(connection.run)
                caller_socket.sendall(get_request(b"/held"))
                await trio.testing.wait_all_tasks_blocked()
                ends_at = trio.current_time() + 3 * UNREAD_MAX_S
                while trio.current_time() < ends_at:
                    with contextlib.suppress(BlockingIOError):
                        sent += caller_socket.send(b"x" * 65536)
                    kept = len(connection._parser.trailing_data[0])
                    assert kept <= 2 * READ_AHEAD_MAX_BYTES
                    await trio.sleep(0.001)
                assert sent > DROPPED_MAX_BYTES
                assert connection._dropped_bytes <= (
                    DROPPED_MAX_BYTES + READ_AHEAD_MAX_BYTES
                )

    trio.run(main)


def test_arrival_of_a_request_behind_a_body_in_many_pieces_is_its_own():
    waits = {}

    async def note_wait(request, send):
        waits[request.path] = request.queued_s
        await request.read_body(limit=1 << 20)
        await asgi.HttpResponse(body=b"end").send(send)

    async def check(server):
        pieces = 3 * ARRIVALS_MAX
        with server.connect() as caller:
            caller.sendall(
                b"POST /long HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
                % pieces
            )
            for _ in range(pieces):
                caller.sendall(b"x")
                await trio.sleep(0.001)
            await server.read_until(caller, b"end")
            caller.sendall(get_request(b"/next"))
            await server.read_until(caller, b"end")
        assert waits["/next"] < SETTLE_S

    ServerHarness(note_wait).run_server(check)


def test_bytes_that_were_dropped_belong_to_no_request():
    """The response announces the close, so the caller sends them again."""
    handled = []

    async def work(request, send):
        await request.read_body(limit=0)
        handled.append(request.path)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                request.cancel_when_disconnected, nursery.cancel_scope
            )
            await trio.sleep(3 * UNREAD_MAX_S)
            nursery.cancel_scope.cancel()
        assert not request.is_disconnected()
        await asgi.HttpResponse(body=b"end").send(send)

    async def check(server):
        header = LONG_HEADER.strip()
        series = [
            get_request(b"/%d" % number, header) for number in range(SERIES)
        ]
        with server.connect() as caller:
            await trio.to_thread.run_sync(caller.sendall, b"".join(series))
            await trio.sleep(2 * UNREAD_MAX_S)
            # Half a request more, dropped or not, begins no other one.
            caller.sendall(series[0][:100])
            data = await server.read_to_end(caller)
        assert data.endswith(b"end")
        assert data.lower().count(b"connection: close") == 1
        assert handled == ["/0"]

    ServerHarness(work).run_server(check)


def test_nothing_behind_dropped_bytes_is_parsed_once_there_is_memory_again():
    """The rest of a request whose beginning was dropped ran as another one."""
    state = ServerState()
    handled = []

    async def work(request, send):
        handled.append(request.path)
        used_bytes = state.memory.used_bytes
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                request.cancel_when_disconnected, nursery.cancel_scope
            )
            state.memory.used_bytes = state.memory.max_bytes
            await trio.sleep(4 * UNREAD_MAX_S)
            state.memory.used_bytes = used_bytes
            await trio.sleep(2 * UNREAD_MAX_S)
            nursery.cancel_scope.cancel()
        await asgi.HttpResponse(body=b"end").send(send)

    async def check(server):
        with server.connect(get_request(b"/0")) as caller:
            await trio.sleep(UNREAD_MAX_S)
            caller.sendall(b"GET /dropped HTTP/1.1\r\nHost: h\r\nx-value: ")
            await trio.sleep(4 * UNREAD_MAX_S)
            caller.sendall(b"1\r\n\r\n" + get_request(b"/1"))
            data = await server.read_to_end(caller)
        assert data.lower().count(b"connection: close") == 1
        assert data.endswith(b"end")
        assert handled == ["/0"]

    ServerHarness(work, state).run_server(check)


@pytest.mark.parametrize("delay_s", [0.0, 0.003, 0.006, 0.012, 0.05])
def test_response_sent_while_bytes_are_dropped_closes_or_nothing_is_lost(
    delay_s,
):
    """The caller keeps sending around the moment of the response."""
    handled = []
    body_of_first = b"[first]"

    async def work(request, send):
        await request.read_body(limit=0)
        handled.append(request.path)
        if request.path != "/0":
            await asgi.HttpResponse(body=b"[later]").send(send)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                request.cancel_when_disconnected, nursery.cancel_scope
            )
            await trio.sleep(UNREAD_MAX_S + delay_s)
            await asgi.HttpResponse(body=body_of_first).send(send)
            nursery.cancel_scope.cancel()

    async def check(server):
        series = b"".join(
            get_request(b"/%d" % number, LONG_HEADER.strip())
            for number in range(SERIES)
        )
        with server.connect() as caller:
            await trio.to_thread.run_sync(caller.sendall, series)
            data = b""
            while data.count(b"[later]") < SERIES - 1:
                part = await trio.to_thread.run_sync(caller.recv, 65536)
                if not part:
                    break
                data += part
        assert data.count(body_of_first) == 1
        if b"connection: close" in data.lower():
            assert handled == ["/0"]
        else:
            assert handled == [f"/{number}" for number in range(SERIES)]

    ServerHarness(work).run_server(check)


def test_reset_is_noticed_while_the_caller_has_filled_the_kernel():
    """Nothing more is read ahead then, and no close can arrive, but a reset."""
    ended_at = []

    async def hold(request, send):
        await request.read_body(limit=0)
        await request.wait_disconnected()
        ended_at.append(trio.current_time())

    async def check(server):
        caller = server.connect(get_request(b"/first"))
        caller.setblocking(False)
        chunk = get_request(b"/behind") * 1000
        for _ in range(200):
            try:
                caller.send(chunk)
            except BlockingIOError:
                await trio.sleep(0.001)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        left_at = trio.current_time()
        caller.close()
        while not ended_at:
            await trio.sleep(0.01)
        assert ended_at[0] - left_at < CANCEL_MAX_S

    ServerHarness(hold).run_server(check)
