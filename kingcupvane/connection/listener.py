"""Accepts TCP connections on one address and serves HTTP/1.1 on them."""

import errno
import socket
import ssl
from typing import Any

import trio
from loguru import logger

from kingcupvane import asgi
from kingcupvane.connection.inbound import InboundConnection, ServerState

# Length of the kernel's accept queue. It is short: a caller that finds it full
# tries another gateway sooner than one that waits in a long queue.
BACKLOG = 128
# Most connections accepted in one batch.
ACCEPT_BATCH_MAX = 32
# Number of waiting requests at which accepting pauses: a caller whose request
# has not been read may still try another gateway.
WAITING_REQUESTS_MAX = 64
# Pause between checks of the number of waiting requests while accepting pauses.
BACKPRESSURE_PAUSE_S = 0.005
# Pause of accepting when file descriptors or memory run out.
SHORTAGE_PAUSE_S = 0.1
SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Pause after a connection was asked to give its place to a new one.
FULL_PAUSE_S = 0.002


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
            state: State shared by its connections; its `stop` shuts them down.
            tls: TLS context with certificate and key; None for plain HTTP.
        """
        self._handler = handler
        self._address = address
        self._state = state
        self._tls = tls

    async def run(
        self,
        *,
        graceful_timeout_s: float,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until `state.stop` is set and requests in flight have ended.

        Args:
            graceful_timeout_s: Longest wait for requests in flight, in seconds.
            task_status: Receives a list with the URL once the port is bound.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = self._address.rpartition(":")
        with _bind_socket(host, int(port)) as sock:
            async with trio.open_nursery() as background:
                background.start_soon(self._state.round_limiter.run)
                async with trio.open_nursery() as connections:
                    task_status.started([self._url(sock)])
                    await self._accept_until_stop(sock, connections)
                    deadline = trio.current_time() + graceful_timeout_s
                    connections.cancel_scope.deadline = deadline
                background.cancel_scope.cancel()

    async def _accept_until_stop(
        self, sock: socket.socket, connections: trio.Nursery
    ) -> None:
        """Accepts connections until `stop` is set, then closes the socket.

        Connections that wait in the kernel's queue at that time are still
        accepted, and idle connections are closed.
        """
        async with trio.open_nursery() as accept_nursery:
            accept_nursery.start_soon(self._accept_all, sock, connections)
            await self._state.stop.wait()
            accept_nursery.cancel_scope.cancel()
        try:
            self._accept_pending(sock, connections, limit=BACKLOG)
        except OSError as error:
            # Those that wait are reset, and may try another gateway.
            logger.error("event=no-new-connections why={}", error)
        sock.close()
        for scope in list(self._state.idle_scopes):
            scope.cancel()

    def _url(self, sock: socket.socket) -> str:
        scheme = "http" if self._tls is None else "https"
        host, port = sock.getsockname()
        return f"{scheme}://{host}:{port}"

    async def _accept_all(
        self, sock: socket.socket, connections: trio.Nursery
    ) -> None:
        state = self._state
        while True:
            await trio.lowlevel.wait_readable(sock)
            places = state.free_places()
            if not places:
                state.make_place(trio.current_time())
                await trio.sleep(FULL_PAUSE_S)
                continue
            if state.round_limiter.waiting >= WAITING_REQUESTS_MAX:
                await trio.sleep(BACKPRESSURE_PAUSE_S)
                continue
            try:
                self._accept_pending(
                    sock, connections, limit=min(places, ACCEPT_BATCH_MAX)
                )
            except OSError as error:
                if error.errno not in SHORTAGE_ERRNOS:
                    raise
                logger.error("event=no-new-connections why={}", error)
                state.make_place(trio.current_time())
                await trio.sleep(SHORTAGE_PAUSE_S)

    def _accept_pending(
        self, sock: socket.socket, connections: trio.Nursery, *, limit: int
    ) -> None:
        """Accepts up to `limit` connections from the kernel's queue."""
        state = self._state
        state.accept_batch_size = 0
        for _ in range(limit):
            try:
                client_sock, socket_address = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue  # The caller disconnected while in the queue.
            state.accepted += 1
            state.open_count += 1
            state.accept_batch_size += 1
            connections.start_soon(self._serve, client_sock, socket_address)

    async def _serve(
        self, client_sock: socket.socket, socket_address: tuple
    ) -> None:
        transport = trio.SocketStream(
            trio.socket.from_stdlib_socket(client_sock)
        )
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
            client_address=f"{socket_address[0]}:{socket_address[1]}",
        )
        try:
            await connection.run()
        finally:
            self._state.open_count -= 1


def _bind_socket(host: str, port: int) -> socket.socket:
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
    graceful_timeout_s: float = 60.0,
    certificate: str = "",
    private_key: str = "",
    state: ServerState | None = None,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves HTTP until `stop` is set and the requests in flight have ended.

    Args:
        handler: Called for each request.
        address: Host and port to listen on.
        stop: Shuts the server down once set.
        graceful_timeout_s: Longest wait for requests in flight, in seconds.
        certificate: Path of a PEM certificate chain; empty for plain HTTP.
        private_key: Path of the certificate's PEM key.
        state: State shared with the owner, which may change it while serving.
        task_status: Receives a list with the URL once the port is bound.

    Raises:
        OSError: The address cannot be bound, or the certificate or its key
            cannot be loaded.
    """
    state = state or ServerState()
    state.stop = stop
    tls = _tls_context(certificate, private_key) if certificate else None
    listener = Listener(handler=handler, address=address, state=state, tls=tls)
    await listener.run(
        graceful_timeout_s=graceful_timeout_s, task_status=task_status
    )
