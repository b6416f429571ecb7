"""A TCP proxy that can make connections go silent."""

import contextlib

import trio


class SilentLink:
    """A TCP proxy whose open connections can go silent for good.

    Connections opened later work, as after a VM lost power and has returned.
    """

    def __init__(self, *, port):
        """Makes a link that forwards to a local port."""
        self._port = port
        self._scopes = set()
        self.address = ""
        self.opened = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await trio.serve_listeners(
            self._forward, listeners, task_status=task_status
        )

    def silence(self):
        for scope in self._scopes:
            scope.cancel()
        self._scopes.clear()

    async def _forward(self, near):
        self.opened += 1
        far = await trio.open_tcp_stream("127.0.0.1", self._port)
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(copy, near, far)
                nursery.start_soon(copy, far, near)
        # The connection stays open, and nothing passes any more.
        await trio.sleep_forever()


async def copy(source, sink):
    """Copies bytes until either side has closed or reset its connection."""
    with contextlib.suppress(trio.BrokenResourceError):
        async for chunk in source:
            await sink.send_all(chunk)
