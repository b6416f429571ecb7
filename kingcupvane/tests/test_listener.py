"""Tests of serving HTTP/1.1 to callers on loopback."""

import socket
import time

import pytest
import trio
import trio.testing

from kingcupvane import asgi
from kingcupvane.connection import listener
from kingcupvane.connection.inbound import InboundConnection, ServerState
from kingcupvane.connection.rounds import RoundLimiter

BODY_MAX_BYTES = 1 << 20
QUIET_S = 0.05
# What a request costs the process, in seconds.
WORK_S = 0.004
# Longest round in which the end of a caller's connection may lie, in seconds:
# its request is cancelled in two, within half a second.
ROUND_MAX_S = 0.25


async def echo(request, send):
    """Answers with the method, the path and the body."""
    body = await request.read_body(limit=BODY_MAX_BYTES)
    words = b"%s %s " % (request.method.encode(), request.raw_target)
    headers = [(b"content-length", str(len(words + body)).encode())]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": words + body})


class Server:
    """A server in the test's loop, and callers that block."""

    def __init__(self, handler, state=None):
        """Takes what answers."""
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

    def caller(self, data=b""):
        caller = socket.create_connection(self.address, timeout=5)
        if data:
            caller.sendall(data)
        return caller

    async def answer(self, caller, ending):
        """Reads until the answer ends with some bytes."""

        def read():
            data = b""
            while not data.endswith(ending):
                part = caller.recv(65536)
                if not part:
                    return data
                data += part
            return data

        return await trio.to_thread.run_sync(read)

    async def rest(self, caller):
        """Reads until the connection ends."""
        return await self.answer(caller, b"no answer ends like this")

    def play(self, use):
        async def main():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    urls = await nursery.start(self._serve)
                    port = int(urls[0].rpartition(":")[2])
                    self.address = ("127.0.0.1", port)
                    await use(self)
                    nursery.cancel_scope.cancel()

        trio.run(main)


def get(path, *headers):
    lines = [b"GET %s HTTP/1.1" % path, b"host: h", *headers]
    return b"\r\n".join([*lines, b"", b""])


def test_connection_carries_many_requests_also_sent_early():
    async def use(server):
        with server.caller(get(b"/1?a=%20") + get(b"/2")) as caller:
            data = await server.answer(caller, b"GET /2 ")
            assert b"GET /1?a=%20 HTTP/1.1 200" in data
            caller.sendall(get(b"/3", b"connection: close"))
            assert (await server.rest(caller)).endswith(b"GET /3 ")

    Server(echo).play(use)


def test_bodies_come_with_a_length_in_chunks_and_after_a_question():
    async def use(server):
        with server.caller() as caller:
            caller.sendall(
                b"POST /l HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
            )
            await server.answer(caller, b"POST /l abc")
            caller.sendall(
                b"POST /c HTTP/1.1\r\nhost: h\r\n"
                b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n"
            )
            await trio.sleep(QUIET_S)
            caller.sendall(b"1\r\nc\r\n0\r\n\r\n")
            await server.answer(caller, b"POST /c abc")
            caller.sendall(
                b"POST /e HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            await server.answer(caller, b"100 \r\n\r\n")
            caller.sendall(b"abc")
            await server.answer(caller, b"POST /e abc")

    Server(echo).play(use)


def test_head_gets_the_length_and_no_body():
    async def use(server):
        request = get(b"/h", b"connection: close").replace(b"GET", b"HEAD")
        with server.caller(request) as caller:
            data = await server.rest(caller)
        assert b"content-length: 8" in data
        assert data.endswith(b"\r\n\r\n")

    Server(echo).play(use)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b" 400 "),
        (get(b"/", b"x: " + b"y" * 200000), b" 431 "),
    ],
)
def test_bytes_that_are_no_request_get_an_error_and_the_end(data, status):
    async def use(server):
        with server.caller(data) as caller:
            assert status in (await server.rest(caller)).split(b"\r\n")[0]

    Server(echo).play(use)


def test_refusal_before_the_body_reaches_a_caller_that_still_sends():
    async def refuse(request, send):
        await asgi.HttpResponse(status=429, body=b"later").send(send)

    async def use(server):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 300000\r\n\r\n"
        with server.caller(head) as caller:
            await trio.to_thread.run_sync(caller.sendall, b"x" * 300000)
            assert b" 429 " in await server.answer(caller, b"later")
            caller.sendall(get(b"/next"))
            assert b" 429 " in await server.answer(caller, b"later")

    Server(refuse).play(use)


def test_fault_of_a_handler_is_an_error_and_the_server_goes_on():
    async def fail(request, send):
        raise ValueError("broken")

    async def use(server):
        for _ in range(2):
            with server.caller(get(b"/")) as caller:
                assert b" 500 " in await server.rest(caller)

    Server(fail).play(use)


def test_answer_that_is_cut_ends_with_a_reset():
    async def cut(request, send):
        await send({"type": "http.response.start", "status": 200})
        await send(
            {"type": "http.response.body", "body": b"ab", "more_body": True}
        )
        raise ValueError("cut")

    async def use(server):
        with server.caller(get(b"/").replace(b"1.1", b"1.0")) as caller:
            with pytest.raises(ConnectionResetError):
                await server.rest(caller)

    Server(cut).play(use)


def test_end_of_a_caller_is_known_before_it_is_read():
    acted = []

    async def handle(request, send):
        if not request.is_disconnected():
            acted.append(request.path)

    async def use(server):
        for _ in range(2):
            for number in range(100):
                server.caller(get(b"/%d" % number)).close()
            await trio.testing.wait_all_tasks_blocked(QUIET_S)
        assert acted == []
        assert server.state.accepted == 200

    Server(handle).play(use)


def test_end_of_a_caller_cancels_its_request_also_behind_an_early_one():
    ended = []

    async def handle(request, send):
        await request.read_body(limit=BODY_MAX_BYTES)
        assert not request.is_disconnected()
        await request.wait_closed()
        ended.append(request.path)

    async def use(server):
        for data in (get(b"/a"), get(b"/b") + get(b"/early")):
            caller = server.caller(data)
            await trio.testing.wait_all_tasks_blocked(QUIET_S)
            caller.close()
        while len(ended) < 2:
            await trio.sleep(QUIET_S)
        assert ended == ["/a", "/b"]

    Server(handle).play(use)


class DeafStream:
    """A stream over a real socket that fails to send or to close."""

    def __init__(self, transport, *, fault, at):
        """Raises the fault at the call that is named."""
        self._transport = transport
        self._fault = fault
        self._at = at

    async def receive_some(self, most):
        return await self._transport.receive_some(most)

    async def send_all(self, data):
        if self._at == "send":
            raise self._fault
        await self._transport.send_all(data)

    async def aclose(self):
        await self._transport.aclose()
        if self._at == "close":
            raise self._fault

    async def do_handshake(self):
        if self._at == "handshake":
            raise self._fault


@pytest.mark.parametrize(
    "fault", [trio.BrokenResourceError(), ValueError("unforeseen")]
)
@pytest.mark.parametrize("at", ["handshake", "send", "close"])
@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", get(b"/")])
def test_fault_of_one_connection_does_not_reach_the_others(fault, at, data):
    """Raised in a task of the server, it would end the whole process."""

    async def answer_nothing(request, send):
        """Leaves the answer to the server."""

    async def main():
        near, far = socket.socketpair()
        with far:
            far.sendall(data)
            transport = trio.SocketStream(trio.socket.from_stdlib_socket(near))
            connection = InboundConnection(
                stream=DeafStream(transport, fault=fault, at=at),
                transport=transport,
                handler=answer_nothing,
                state=ServerState(keep_alive_s=0.1),
                peer="test",
            )
            await connection.run()
            assert near.fileno() < 0

    trio.run(main)


def test_idle_connection_is_closed_after_its_time():
    async def use(server):
        with server.caller(get(b"/1")) as caller:
            await server.answer(caller, b"GET /1 ")
            assert await server.rest(caller) == b""

    Server(echo, ServerState(keep_alive_s=0.1)).play(use)


def test_stop_serves_what_has_arrived_and_closes_what_is_idle():
    async def use(server):
        idle = server.caller(get(b"/idle"))
        await server.answer(idle, b"GET /idle ")
        waiting = server.caller(get(b"/waiting"))
        idle_too = server.caller(get(b"/late"))
        server.stop.set()
        data = await server.rest(waiting)
        assert data.endswith(b"GET /waiting ")
        assert b"connection: close" in data.lower()
        assert (await server.rest(idle_too)).endswith(b"GET /late ")
        assert await server.rest(idle) == b""
        await server.ended.wait()
        with pytest.raises(ConnectionRefusedError):
            server.caller()

    Server(echo).play(use)


def test_surge_of_requests_leaves_rounds_of_the_scheduler_short():
    """Kept connections that all ask at once, as after a suspension."""
    gaps = []

    async def work(request, send):
        time.sleep(WORK_S)
        await asgi.HttpResponse(body=b"done").send(send)

    async def tick():
        while True:
            before = time.monotonic()
            await trio.lowlevel.checkpoint()
            gaps.append(time.monotonic() - before)

    async def use(server):
        callers = []
        for _ in range(3):
            callers += [server.caller() for _ in range(50)]
            await trio.testing.wait_all_tasks_blocked(QUIET_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tick)
            await trio.sleep(QUIET_S)
            for caller in callers:
                caller.sendall(get(b"/"))
            for caller in callers:
                await server.answer(caller, b"done")
            nursery.cancel_scope.cancel()
        assert max(gaps) < ROUND_MAX_S

    Server(work).play(use)


def test_wait_for_a_turn_counts_as_time_of_the_request():
    waits = []

    async def work(request, send):
        time.sleep(WORK_S)
        waits.append(request.waited_s)
        await asgi.HttpResponse(body=b"done").send(send)

    async def use(server):
        callers = [server.caller(get(b"/")) for _ in range(60)]
        for caller in callers:
            await server.answer(caller, b"done")
        assert waits[0] < WORK_S
        assert max(waits) > 20 * WORK_S

    Server(work).play(use)


def test_end_of_one_that_waits_for_its_turn_leaves_the_others_theirs():
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
            await trio.testing.wait_all_tasks_blocked(QUIET_S)
            assert limiter.waiting == 3
            nursery.start_soon(limiter.run)
            while limiter.waiting:
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        assert sorted(begun) == ["a", "b", "c"]

    trio.run(main)
