"""Stand-in for a network link: a TCP proxy that can simulate a partition.

SIGUSR1 cuts the link: open connections close and lose data in transit, new
ones are accepted but not forwarded, so that they hang as if their packets were
dropped. SIGUSR2 restores the link and closes the hanging connections.
"""

import signal

import trio

from kingcupvane.settings import LinkStandinSettings


class Link:
    """Forwards TCP connections to one address."""

    def __init__(self, *, settings: LinkStandinSettings):
        """Makes a link that forwards."""
        self._settings = settings
        self._cut = False
        self._connection_scopes: set[trio.CancelScope] = set()

    async def run(self) -> None:
        """Forwards connections until SIGTERM or SIGINT."""
        host, _, port = self._settings.address.rpartition(":")
        with trio.open_signal_receiver(
            signal.SIGUSR1, signal.SIGUSR2, signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    lambda task_status: trio.serve_tcp(
                        self._handle_connection,
                        int(port),
                        host=host,
                        task_status=task_status,
                    )
                )
                async for received in signals:
                    if received in (signal.SIGTERM, signal.SIGINT):
                        break
                    self._set_cut(cut=received == signal.SIGUSR1)
                nursery.cancel_scope.cancel()

    def _set_cut(self, *, cut: bool) -> None:
        self._cut = cut
        for scope in list(self._connection_scopes):
            scope.cancel()

    async def _handle_connection(self, client: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            try:
                if self._cut:
                    await trio.sleep_forever()
                await self._forward_both_ways(client)
            except (OSError, trio.BrokenResourceError):
                pass
            finally:
                self._connection_scopes.discard(scope)

    async def _forward_both_ways(self, client: trio.SocketStream) -> None:
        host, _, port = self._settings.to.rpartition(":")
        upstream = await trio.open_tcp_stream(host, int(port))
        async with upstream, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, client, upstream, nursery.cancel_scope)
            nursery.start_soon(_copy, upstream, client, nursery.cancel_scope)


async def _copy(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    scope: trio.CancelScope,
) -> None:
    try:
        async for chunk in source:
            await sink.send_all(chunk)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()
