"""Tests of the HTTP/1.1 server with callers on loopback."""

import errno
import socket
import time

import pytest
import trio
import trio.testing

from kingcupvane import asgi
from kingcupvane.connection import listener
from kingcupvane.connection.inbound import InboundConnection, ServerState
from kingcupvane.connection.round_limiter import RoundLimiter

BODY_MAX_BYTES = 1 << 20
# Time for the server to process what was sent, in seconds.
SETTLE_S = 0.05
# Processor time that a request takes, in seconds.
WORK_S = 0.004
# Longest round of the scheduler, in seconds. The cancellation of a request
# whose caller has disconnected takes two rounds and must be done within 0.5 s.
ROUND_MAX_S = 0.25
# Paths of requests that one caller sends without waiting for responses.
PIPELINED = (b"/a", b"/b", b"/c")


async def echo(request, send):
    """Responds with the method, the path and the body."""
    body = await request.read_body(limit=BODY_MAX_BYTES)
    prefix = b"%s %s " % (request.method.encode(), request.raw_path_and_query)
    headers = [(b"content-length", str(len(prefix + body)).encode())]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": prefix + body})


class ServerHarness:
    """A server in the test's event loop, and callers on blocking sockets."""

    def __init__(self, handler, state=None):
        """Makes a server that calls `handler` for each request."""
        self._handler = handler
        self.state = state or ServerState()
        self.stop = trio.Event()
        self.ended = trio.Event()
        self.address = ("127.0.0.1", 0)

    async def _serve(self, task_status):
        await listener.serve(
            self._handler,
            address="127.0.0.1:0",
            stop=self.stop,
            graceful_timeout_s=2.0,
            state=self.state,
            task_status=task_status,
        )
        self.ended.set()

    def connect(self, data=b""):
        caller = socket.create_connection(self.address, timeout=5)
        if data:
            caller.sendall(data)
        return caller

    async def read_until(self, caller, ending):
        """Reads until the data ends with `ending` or the connection closes."""

        def read():
            data = b""
            while not data.endswith(ending):
                part = caller.recv(65536)
                if not part:
                    return data
                data += part
            return data

        return await trio.to_thread.run_sync(read)

    async def read_to_end(self, caller):
        """Reads until the connection closes."""
        return await self.read_until(caller, b"no answer ends like this")

    def run_server(self, check):
        async def main():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    urls = await nursery.start(self._serve)
                    port = int(urls[0].rpartition(":")[2])
                    self.address = ("127.0.0.1", port)
                    await check(self)
                    nursery.cancel_scope.cancel()

        trio.run(main)


def get_request(path, *headers):
    lines = [b"GET %s HTTP/1.1" % path, b"host: h", *headers]
    return b"\r\n".join([*lines, b"", b""])


def test_connection_serves_sequential_and_pipelined_requests():
    async def check(server):
        with server.connect(
            get_request(b"/1?a=%20") + get_request(b"/2")
        ) as caller:
            data = await server.read_until(caller, b"GET /2 ")
            assert b"GET /1?a=%20 HTTP/1.1 200" in data
            caller.sendall(get_request(b"/3", b"connection: close"))
            assert (await server.read_to_end(caller)).endswith(b"GET /3 ")

    ServerHarness(echo).run_server(check)


def test_body_is_read_with_length_chunked_and_after_expect_continue():
    async def check(server):
        with server.connect() as caller:
            caller.sendall(
                b"POST /l HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
            )
            await server.read_until(caller, b"POST /l abc")
            caller.sendall(
                b"POST /c HTTP/1.1\r\nhost: h\r\n"
                b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n"
            )
            await trio.sleep(SETTLE_S)
            caller.sendall(b"1\r\nc\r\n0\r\n\r\n")
            await server.read_until(caller, b"POST /c abc")
            caller.sendall(
                b"POST /e HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            await server.read_until(caller, b"100 \r\n\r\n")
            caller.sendall(b"abc")
            await server.read_until(caller, b"POST /e abc")

    ServerHarness(echo).run_server(check)


def test_head_request_gets_content_length_and_no_body():
    async def check(server):
        request = get_request(b"/h", b"connection: close").replace(
            b"GET", b"HEAD"
        )
        with server.connect(request) as caller:
            data = await server.read_to_end(caller)
        assert b"content-length: 8" in data
        assert data.endswith(b"\r\n\r\n")

    ServerHarness(echo).run_server(check)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b" 400 "),
        (get_request(b"/", b"x: " + b"y" * 200000), b" 431 "),
    ],
)
def test_malformed_request_gets_an_error_status_and_is_disconnected(
    data, status
):
    async def check(server):
        with server.connect(data) as caller:
            assert (
                status in (await server.read_to_end(caller)).split(b"\r\n")[0]
            )

    ServerHarness(echo).run_server(check)


def test_early_refusal_reaches_a_caller_that_is_still_sending_its_body():
    async def refuse(request, send):
        await asgi.HttpResponse(status=429, body=b"later").send(send)

    async def check(server):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 300000\r\n\r\n"
        with server.connect(head) as caller:
            await trio.to_thread.run_sync(caller.sendall, b"x" * 300000)
            assert b" 429 " in await server.read_until(caller, b"later")
            caller.sendall(get_request(b"/next"))
            assert b" 429 " in await server.read_until(caller, b"later")

    ServerHarness(refuse).run_server(check)


def test_handler_exception_gives_500_and_the_server_keeps_serving():
    async def fail(request, send):
        raise ValueError("broken")

    async def check(server):
        for _ in range(2):
            with server.connect(get_request(b"/")) as caller:
                assert b" 500 " in await server.read_to_end(caller)

    ServerHarness(fail).run_server(check)


def test_truncated_response_ends_with_a_connection_reset():
    async def truncate(request, send):
        await send({"type": "http.response.start", "status": 200})
        await send(
            {"type": "http.response.body", "body": b"ab", "more_body": True}
        )
        raise ValueError("cut")

    async def check(server):
        with server.connect(
            get_request(b"/").replace(b"1.1", b"1.0")
        ) as caller:
            with pytest.raises(ConnectionResetError):
                await server.read_to_end(caller)

    ServerHarness(truncate).run_server(check)


def test_disconnect_is_detected_before_end_of_file_is_read():
    handled = []

    async def handle(request, send):
        if not request.is_disconnected():
            handled.append(request.path)

    async def check(server):
        for _ in range(2):
            for number in range(100):
                server.connect(get_request(b"/%d" % number)).close()
            await trio.testing.wait_all_tasks_blocked(SETTLE_S)
        assert handled == []
        assert server.state.accepted == 200

    ServerHarness(handle).run_server(check)


def test_disconnect_ends_wait_disconnected_also_behind_a_pipelined_request():
    ended = []

    async def handle(request, send):
        await request.read_body(limit=BODY_MAX_BYTES)
        assert not request.is_disconnected()
        await request.wait_disconnected()
        ended.append(request.path)

    async def check(server):
        for data in (
            get_request(b"/a"),
            get_request(b"/b") + get_request(b"/early"),
        ):
            caller = server.connect(data)
            await trio.testing.wait_all_tasks_blocked(SETTLE_S)
            caller.close()
        while len(ended) < 2:
            await trio.sleep(SETTLE_S)
        assert ended == ["/a", "/b"]

    ServerHarness(handle).run_server(check)


class FailingStream:
    """A stream over a real socket that fails at one operation."""

    def __init__(self, transport, *, fault, operation):
        """Makes a stream that raises `fault` at handshake, send or close."""
        self._transport = transport
        self._fault = fault
        self._operation = operation

    async def receive_some(self, max_bytes):
        return await self._transport.receive_some(max_bytes)

    async def send_all(self, data):
        if self._operation == "send":
            raise self._fault
        await self._transport.send_all(data)

    async def aclose(self):
        await self._transport.aclose()
        if self._operation == "close":
            raise self._fault

    async def do_handshake(self):
        if self._operation == "handshake":
            raise self._fault


@pytest.mark.parametrize(
    "fault", [trio.BrokenResourceError(), ValueError("unforeseen")]
)
@pytest.mark.parametrize("operation", ["handshake", "send", "close"])
@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", get_request(b"/")])
def test_exception_on_one_connection_does_not_reach_the_server(
    fault, operation, data
):
    """An exception that left the connection's task would end the process."""

    async def send_no_response(request, send):
        """Returns without a response, so that the server sends its own."""

    async def main():
        server_socket, caller_socket = socket.socketpair()
        with caller_socket:
            caller_socket.sendall(data)
            transport = trio.SocketStream(
                trio.socket.from_stdlib_socket(server_socket)
            )
            connection = InboundConnection(
                stream=FailingStream(
                    transport, fault=fault, operation=operation
                ),
                transport=transport,
                handler=send_no_response,
                state=ServerState(keep_alive_s=0.1),
                client_address="test",
            )
            await connection.run()
            assert server_socket.fileno() < 0

    trio.run(main)


def test_idle_connection_is_closed_after_the_keep_alive_timeout():
    async def check(server):
        with server.connect(get_request(b"/1")) as caller:
            await server.read_until(caller, b"GET /1 ")
            assert await server.read_to_end(caller) == b""

    ServerHarness(echo, ServerState(keep_alive_s=0.1)).run_server(check)


def test_stop_serves_arrived_requests_and_closes_idle_connections():
    async def check(server):
        idle = server.connect(get_request(b"/idle"))
        await server.read_until(idle, b"GET /idle ")
        waiting = server.connect(get_request(b"/waiting"))
        late = server.connect(get_request(b"/late"))
        server.stop.set()
        data = await server.read_to_end(waiting)
        assert data.endswith(b"GET /waiting ")
        assert b"connection: close" in data.lower()
        assert (await server.read_to_end(late)).endswith(b"GET /late ")
        assert await server.read_to_end(idle) == b""
        await server.ended.wait()
        with pytest.raises(ConnectionRefusedError):
            server.connect()

    ServerHarness(echo).run_server(check)


def test_burst_of_requests_keeps_scheduler_rounds_short():
    """All open connections send a request at once, as after a suspension."""
    gaps = []

    async def work(request, send):
        time.sleep(WORK_S)
        await asgi.HttpResponse(body=b"done").send(send)

    async def measure_rounds():
        while True:
            before = time.monotonic()
            await trio.lowlevel.checkpoint()
            gaps.append(time.monotonic() - before)

    async def check(server):
        callers = []
        for _ in range(3):
            callers += [server.connect() for _ in range(50)]
            await trio.testing.wait_all_tasks_blocked(SETTLE_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(measure_rounds)
            await trio.sleep(SETTLE_S)
            for caller in callers:
                caller.sendall(get_request(b"/"))
            for caller in callers:
                await server.read_until(caller, b"done")
            nursery.cancel_scope.cancel()
        assert max(gaps) < ROUND_MAX_S

    ServerHarness(work).run_server(check)


def test_wait_at_the_round_limiter_is_reported_in_queued_s():
    waits = []

    async def work(request, send):
        time.sleep(WORK_S)
        waits.append(request.queued_s)
        await asgi.HttpResponse(body=b"done").send(send)

    async def check(server):
        callers = [server.connect(get_request(b"/")) for _ in range(60)]
        for caller in callers:
            await server.read_until(caller, b"done")
        assert waits[0] < WORK_S
        assert max(waits) > 20 * WORK_S

    ServerHarness(work).run_server(check)


def test_cancelled_waiter_takes_no_turn_from_other_requests():
    async def main():
        limiter = RoundLimiter(starts_max=1)
        begun = []

        async def begin(name):
            await limiter.enter()
            begun.append(name)

        async with trio.open_nursery() as nursery:
            await limiter.enter()
            with trio.CancelScope() as scope:
                scope.cancel()
                await limiter.enter()
            for name in "abc":
                nursery.start_soon(begin, name)
            await trio.testing.wait_all_tasks_blocked(SETTLE_S)
            assert limiter.waiting == 3
            nursery.start_soon(limiter.run)
            while limiter.waiting:
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        assert sorted(begun) == ["a", "b", "c"]

    trio.run(main)


@pytest.mark.parametrize("sent_together", [True, False])
def test_time_behind_the_response_before_counts_as_queued(sent_together):
    """A caller's deadline runs from when it sent its pipelined request."""
    waits = {}

    async def work(request, send):
        await request.read_body(limit=BODY_MAX_BYTES)
        waits[request.path] = request.queued_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                request.cancel_when_disconnected, nursery.cancel_scope
            )
            await trio.sleep(4 * SETTLE_S)
            nursery.cancel_scope.cancel()
        await asgi.HttpResponse(body=b"end" + request.path.encode()).send(send)

    async def check(server):
        pause_s = 0.0 if sent_together else 1.5 * SETTLE_S
        with server.connect() as caller:
            if sent_together:
                caller.sendall(b"".join(get_request(p) for p in PIPELINED))
            else:
                for path in PIPELINED:
                    caller.sendall(get_request(path))
                    await trio.sleep(pause_s)
            data = await server.read_until(caller, b"end/c")
        assert data.index(b"end/a") < data.index(b"end/b")
        assert waits["/a"] < SETTLE_S
        b_wait_s = 4 * SETTLE_S - pause_s
        assert waits["/b"] == pytest.approx(b_wait_s, abs=SETTLE_S)
        c_wait_s = 8 * SETTLE_S - 2 * pause_s
        assert waits["/c"] == pytest.approx(c_wait_s, abs=SETTLE_S)

    ServerHarness(work).run_server(check)


def test_response_that_closes_leaves_pipelined_requests_unread():
    """Unread bytes must not reset the connection under the last response."""
    handled = []
    body = b"x" * 3_000_000

    async def work(request, send):
        handled.append(request.path)
        await trio.sleep(SETTLE_S)
        server.stop.set()
        await asgi.HttpResponse(body=body).send(send)

    async def check(server):
        with server.connect(get_request(b"/first")) as caller:
            await trio.sleep(SETTLE_S / 2)
            caller.sendall(get_request(b"/behind") * 3)
            data = await server.read_to_end(caller)
        assert data.endswith(body)
        assert handled == ["/first"]

    server = ServerHarness(work)
    server.run_server(check)


@pytest.mark.parametrize(
    ("behind", "status"),
    [
        (b"nonsense\r\n\r\n", b" 400 "),
        (get_request(b"/", b"x: " + b"y" * 200000), b" 431 "),
    ],
)
def test_malformed_pipelined_request_is_refused_after_earlier_responses(
    behind, status
):
    async def check(server):
        with server.connect(get_request(b"/1") + behind) as caller:
            data = await server.read_to_end(caller)
        first, _, second = data.partition(b"GET /1 ")
        assert b" 200 " in first
        assert status in second.split(b"\r\n")[0]
        assert b"connection: close" in second.lower()

    ServerHarness(echo).run_server(check)


def test_pipelined_requests_of_many_callers_get_their_own_responses():
    async def work(request, send):
        await trio.sleep(0.001 * (hash(request.path) % 5))
        await asgi.HttpResponse(body=b"[%s]" % request.path.encode()).send(send)

    async def check(server):
        callers = [server.connect() for _ in range(10)]
        for number, caller in enumerate(callers):
            for part in range(5):
                caller.sendall(get_request(b"/%d-%d" % (number, part)))
        for number, caller in enumerate(callers):
            data = await server.read_until(caller, b"[/%d-4]" % number)
            bodies = [part.split(b"]")[0] for part in data.split(b"[")[1:]]
            assert bodies == [b"/%d-%d" % (number, part) for part in range(5)]
            caller.close()

    ServerHarness(work).run_server(check)


def test_few_pipelined_bytes_are_read_ahead():
    """The memory of a connection is bounded while its first request runs."""

    async def work(request, send):
        await request.read_body(limit=BODY_MAX_BYTES)
        await request.wait_disconnected()

    async def check(server):
        with server.connect(get_request(b"/first")) as caller:
            caller.setblocking(False)
            sent = 0
            chunk = get_request(b"/behind") * 1000
            for _ in range(400):
                try:
                    sent += caller.send(chunk)
                except BlockingIOError:
                    await trio.sleep(SETTLE_S / 10)
            assert sent < 400 * len(chunk)

    ServerHarness(work).run_server(check)


@pytest.mark.parametrize("with_tls", [True, False])
def test_close_after_a_response_sends_no_bare_eof_below_tls(
    monkeypatch, with_tls
):
    """A TLS caller must get the closure alert before the EOF."""
    eofs = []

    async def record_eof(transport):
        eofs.append(transport)

    monkeypatch.setattr(trio.SocketStream, "send_eof", record_eof)

    async def main():
        server_socket, caller_socket = socket.socketpair()
        with caller_socket:
            caller_socket.sendall(get_request(b"/", b"connection: close"))
            caller_socket.shutdown(socket.SHUT_WR)
            transport = trio.SocketStream(
                trio.socket.from_stdlib_socket(server_socket)
            )
            stream = FailingStream(transport, fault=None, operation="none")
            connection = InboundConnection(
                stream=stream if with_tls else transport,
                transport=transport,
                handler=echo,
                state=ServerState(keep_alive_s=0.1),
                client_address="test",
            )
            await connection.run()
            assert caller_socket.recv(65536).endswith(b"GET / ")
            assert bool(eofs) is not with_tls

    trio.run(main)


# Connections had no bound but the descriptors of the process.
def test_new_connection_takes_the_place_of_the_longest_idle_one():
    async def check(server):
        callers = []
        for number in range(4):
            callers.append(server.connect(get_request(b"/%d" % number)))
            answer = await server.read_until(callers[-1], b"GET /%d " % number)
            assert b" 200 " in answer
        assert await server.read_to_end(callers[0]) == b""
        assert await server.read_to_end(callers[1]) == b""
        callers[3].sendall(get_request(b"/again"))
        assert b" 200 " in await server.read_until(callers[3], b"GET /again ")
        assert server.state.open_count <= 2
        for caller in callers:
            caller.close()

    ServerHarness(echo, ServerState(connections_max=2)).run_server(check)


# The end of the process: accepting at a stop met no free descriptor.
def test_stop_without_free_descriptors_ends_cleanly(monkeypatch):
    def accept(*_, **__):
        raise OSError(errno.EMFILE, "too many open files")

    async def check(server):
        monkeypatch.setattr(listener.Listener, "_accept_pending", accept)
        server.stop.set()
        with trio.fail_after(5):
            await server.ended.wait()

    ServerHarness(echo).run_server(check)


def test_refusal_of_a_large_unread_body_closes_the_connection():
    async def refuse(request, send):
        await asgi.HttpResponse(status=413, body=b"no").send(send)

    async def check(server):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9999999\r\n\r\n"
        with server.connect(head + b"x" * 300000) as caller:
            answer = await server.read_to_end(caller)
            assert b" 413 " in answer
            assert b"connection: close" in answer.lower()

    ServerHarness(refuse).run_server(check)


# Each chunk was kept as an object of its own, and each read with its time.
def test_tiny_chunks_and_tiny_reads_give_the_whole_body():
    head = b"POST /t HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
    body = bytes(range(97, 123)) * 100

    async def check(server):
        with server.connect(head) as caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
            for start in range(0, 3000, 7):
                caller.sendall(chunks[start : start + 7])
                await trio.lowlevel.checkpoint()
            caller.sendall(chunks[start + 7 :] + b"0\r\n\r\n")
            caller.sendall(get_request(b"/next"))
            answer = await server.read_until(caller, b"GET /next ")
            assert b"POST /t " + body in answer

    ServerHarness(echo).run_server(check)
