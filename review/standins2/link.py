"""A link to the store that delays bytes and can be cut for one gateway.

All gateways use the same address of the store; the link finds out by the
owner of a connection's socket whose connection it is.
"""

import asyncio
import os
from pathlib import Path

CHUNK_BYTES = 65536


def socket_inode(local_port: int, remote_port: int) -> str | None:
    """Returns the inode of a connected socket of this machine."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in lines:
        fields = line.split()
        ports = [int(fields[i].rpartition(":")[2], 16) for i in (1, 2)]
        if ports == [local_port, remote_port]:
            return fields[9]
    return None


def owner_of(inode: str | None, pids: list[int]) -> int | None:
    """Returns which of some processes has a socket open."""
    for pid in pids:
        try:
            for name in os.listdir(f"/proc/{pid}/fd"):
                link = f"/proc/{pid}/fd/{name}"
                if os.path.islink(link) and os.readlink(link) == (
                    f"socket:[{inode}]"
                ):
                    return pid
        except OSError:
            continue
    return None


class StoreLink:
    """The way of all gateways to the store."""

    def __init__(self, fleet, delay_s_by_zone: dict[str, float]):
        """Makes a link; `start` opens it.

        Args:
            fleet: The deployment.
            delay_s_by_zone: One-way delay to the store, in seconds.
        """
        self.fleet = fleet
        self.delay_s_by_zone = delay_s_by_zone
        self.reader_by_zone: dict[str, object] = {}
        self.address = ""
        self._cut: set[int] = set()
        self._healed = asyncio.Event()
        self._gateway_by_writer: dict = {}

    async def start(self, host: str) -> None:
        """Opens the link on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self._port}"

    def cut(self, gateway) -> None:
        """Lets nothing pass for a gateway, in silence."""
        self._cut.add(gateway.process.pid)

    def heal(self, gateway) -> None:
        """Lets bytes pass again; connections from before are lost."""
        self._cut.discard(gateway.process.pid)
        for writer, owner in list(self._gateway_by_writer.items()):
            if owner is gateway:
                writer.transport.abort()
        self._healed.set()
        self._healed = asyncio.Event()

    async def _wait_open(self, gateway) -> None:
        while gateway.process.pid in self._cut:
            await self._healed.wait()

    async def _serve(self, reader, writer) -> None:
        port = writer.get_extra_info("peername")[1]
        by_pid = {g.process.pid: g for g in self.fleet.gateways if g.process}
        pid = owner_of(socket_inode(port, self._port), list(by_pid))
        gateway = by_pid.get(pid)
        upstream = None
        try:
            if gateway is None:
                return
            self._gateway_by_writer[writer] = gateway
            await self._wait_open(gateway)
            host, _, store_port = self.fleet.store.address.rpartition(":")
            back, upstream = await asyncio.open_connection(
                host, int(store_port)
            )
            self._gateway_by_writer[upstream] = gateway
            await asyncio.gather(
                self._pump(reader, upstream, gateway, is_up=True),
                self._pump(back, writer, gateway, is_up=False),
            )
        except OSError:
            pass
        finally:
            for one in (writer, upstream):
                if one is not None:
                    self._gateway_by_writer.pop(one, None)
                    one.close()

    async def _pump(self, reader, writer, gateway, *, is_up: bool) -> None:
        delay_s = self.delay_s_by_zone[gateway.zone]
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(delay_s)
            await self._wait_open(gateway)
            if is_up and b"GET /kv-watch" in data:
                self.reader_by_zone[gateway.zone] = gateway
            writer.write(data)
            await writer.drain()
        writer.close()
