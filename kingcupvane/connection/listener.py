"""Takes callers' connections and serves HTTP on each."""

import errno
import socket
import ssl
from typing import Any

import trio
from loguru import logger

from kingcupvane import asgi
from kingcupvane.connection.inbound import InboundConnection, ServerState

# Connections that wait in the kernel at most: a caller that finds no room
# there asks elsewhere sooner than one that waits for long.
BACKLOG = 128
# Connections taken at one look at the queue.
TAKEN_MAX = 32
# Requests waiting in the process from which no more connections are taken: a
# caller that is not read from may go elsewhere.
WAITING_MAX = 64
# Time until the next look then, in seconds.
FULL_PAUSE_S = 0.005
# Time without new connections when descriptors or memory are short, in s.
SHORTAGE_S = 0.1
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Serves HTTP on one address."""

    def __init__(
        self,
        *,
        handler: asgi.Handler,
        address: str,
        state: ServerState,
        tls: ssl.SSLContext | None = None,
    ):
        """Makes a listener; `run` binds its socket.

        Args:
            handler: Called for each request.
            address: Host and port to listen on.
            state: What its connections share; its `stop` ends them.
            tls: Certificate and key; None for plain HTTP.
        """
        self._handler = handler
        self._address = address
        self._state = state
        self._tls = tls

    async def run(
        self,
        *,
        graceful_s: float,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until `stop` is set and the requests in flight have ended.

        Args:
            graceful_s: Longest wait for requests in flight, in seconds.
            task_status: Gets a list with the URL once the port is bound.
        """
        host, _, port = self._address.rpartition(":")
        with _bound(host, int(port)) as sock:
            async with trio.open_nursery() as upkeep:
                upkeep.start_soon(self._state.limiter.run)
                async with trio.open_nursery() as connections:
                    task_status.started([self._url(sock)])
                    await self._take_until_stop(sock, connections)
                    end = trio.current_time() + graceful_s
                    connections.cancel_scope.deadline = end
                upkeep.cancel_scope.cancel()

    async def _take_until_stop(
        self, sock: socket.socket, connections: trio.Nursery
    ) -> None:
        async with trio.open_nursery() as taking:
            taking.start_soon(self._take_all, sock, connections)
            await self._state.stop.wait()
            taking.cancel_scope.cancel()
        self._take_waiting(sock, connections, most=BACKLOG)
        sock.close()
        for scope in list(self._state.idle):
            scope.cancel()

    def _url(self, sock: socket.socket) -> str:
        scheme = "http" if self._tls is None else "https"
        host, port = sock.getsockname()
        return f"{scheme}://{host}:{port}"

    async def _take_all(
        self, sock: socket.socket, connections: trio.Nursery
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(sock)
            if self._state.limiter.waiting >= WAITING_MAX:
                await trio.sleep(FULL_PAUSE_S)
                continue
            try:
                self._take_waiting(sock, connections, most=TAKEN_MAX)
            except OSError as error:
                if error.errno not in SHORTAGES:
                    raise
                logger.error("event=no-new-connections why={}", error)
                await trio.sleep(SHORTAGE_S)

    def _take_waiting(
        self, sock: socket.socket, connections: trio.Nursery, *, most: int
    ) -> None:
        """Takes the connections that wait, at most some."""
        state = self._state
        state.accept_batch_size = 0
        for _ in range(most):
            try:
                accepted, peer = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue  # Its caller left while it waited.
            state.accepted += 1
            state.accept_batch_size += 1
            connections.start_soon(self._serve, accepted, peer)

    async def _serve(self, accepted: socket.socket, peer: tuple) -> None:
        transport = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        stream = transport
        if self._tls is not None:
            stream = trio.SSLStream(
                transport, self._tls, server_side=True, https_compatible=True
            )
        connection = InboundConnection(
            stream=stream,
            transport=transport,
            handler=self._handler,
            state=self._state,
            peer=f"{peer[0]}:{peer[1]}",
        )
        await connection.run()


def _bound(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


def _tls_context(certificate: str, private_key: str) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate, private_key)
    context.set_alpn_protocols(["http/1.1"])
    return context


async def serve(
    handler: asgi.Handler,
    *,
    address: str,
    stop: trio.Event,
    graceful_s: float = 60.0,
    certificate: str = "",
    private_key: str = "",
    state: ServerState | None = None,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves HTTP until `stop` is set and the requests in flight have ended.

    Args:
        handler: Called for each request.
        address: Host and port to listen on.
        stop: Refuses new connections once set.
        graceful_s: Longest wait for requests in flight, in seconds.
        certificate: Path of a PEM certificate chain; empty for plain HTTP.
        private_key: Path of the PEM key that belongs to it.
        state: Settings that the owner may change while it serves.
        task_status: Gets a list with the URL once the port is bound.
    """
    state = state or ServerState()
    state.stop = stop
    tls = _tls_context(certificate, private_key) if certificate else None
    listener = Listener(handler=handler, address=address, state=state, tls=tls)
    await listener.run(graceful_s=graceful_s, task_status=task_status)
