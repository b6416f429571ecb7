"""Servers, gateways and clients of a small deployment on loopback."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from review.standins2.link import StoreLink
from review.standins2.store import Store
from review.standins2.wire import (
    Message,
    read_body,
    read_head,
    read_request,
    write_response,
)

# `run` of the deploy file.
COMMAND = ["python3", "-m", "kingcupvane.platform"]
ROOT = Path(__file__).resolve().parents[2]
ZONES = {
    "gulf-a": "gulf",
    "gulf-b": "gulf",
    "piedmont-a": "piedmont",
    "delta-a": "delta",
}
KEY = "s989anu6wsjnbanfqasn"
TENANT = "cuka620"
HOST = "hulo84.example"
PORTS = {"caller": 8686, "readiness": 8680, "lookup": 8684}
# Bounds of the site file `sites/secdtg-diag.toml`.
SETTINGS = """
name = "{name}"
region = "{region}"
data_centre = "{zone}"
ip = "{ip}"
caller_address = "{ip}:8686"
readiness_address = "{ip}:8680"
lookup_address = "{ip}:8684"
peer_port = 7740
metrics_port = 7741
{first}
seeds = {seeds}
contact_s = 4
drain_s = 2.5
stop_grace_s = 6
lookup_ttl_max_s = 5
retry_share = 0.2
retry_extra = 58
retry_window_s = 10
cold_excess = 1.5
cold_extra = 5
exposure_share = 0.1
descriptors = 4100
memory_mb = 300
link_mbps = 1000.0

[store]
address = "{store}"
lease_min_s = 1

[data_centres]
"gulf-a" = "gulf"
"gulf-b" = "gulf"
"piedmont-a" = "piedmont"
"delta-a" = "delta"
"""


def free_network() -> str:
    """Returns the first three bytes of loopback addresses nobody uses."""
    while True:
        prefix = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((f"{prefix}.2", PORTS["caller"]))
            except OSError:
                continue
        return prefix


@dataclass
class Run:
    """A request that reached a server."""

    at: float
    attempt: str
    server: str
    headers: dict
    ended_at: float = 0.0
    ending: str = ""


class Server:
    """A server: registers, runs requests, and dies as it is told."""

    def __init__(self, fleet, name, *, service, version="v1", zone, slots=6):
        """Makes a server; `start` starts it."""
        self.fleet = fleet
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = slots
        self.work_s = 0.05
        self.answer_bytes = 0
        self.state = "ready"
        self.sequence = 0
        self.address = ""
        self.running = 0
        self.extra_headers: list[tuple[str, str]] = []
        self.behave = None
        self._writers: set = set()
        self._tasks: list[asyncio.Task] = []
        self._lease = 0

    async def start(self, *, registers: bool = True) -> None:
        """Listens and writes its entry."""
        host = f"{self.fleet.network}.1"
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        if registers:
            self._tasks.append(asyncio.create_task(self._beat()))

    def entry(self) -> dict:
        """Returns its entry in the store."""
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldLeftS": 0,
            },
        }

    def register(self) -> None:
        """Writes its entry."""
        self.sequence += 1
        self.fleet.store.put(f"servers/{self.name}", self.entry())

    async def _beat(self) -> None:
        while True:
            if not self.fleet.store.is_away:
                known = self.fleet.store.value(f"servers/{self.name}")
                if known is None or known["status"]["state"] != self.state:
                    self.register()
            await asyncio.sleep(0.5)

    def stop(self, *, removes: bool = True) -> None:
        """Ends at once: its connections break and its entry goes."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        if removes:
            self.fleet.store.remove(f"servers/{self.name}")

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                if self.behave is not None:
                    if await self.behave(self, head, reader, writer):
                        continue
                    return
                head.body = await read_body(reader, head.headers)
                await self.answer(head, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Message, writer) -> None:
        """Runs a request and answers it."""
        attempt = request.headers.get("kingcupvane-request-attempt-id", "")
        expected = request.headers.get("kingcupvane-expected-instance")
        headers = [("Kingcupvane-Request-Attempt-Id", attempt)]
        if expected not in (None, self.name):
            await write_response(writer, 421, headers, b"")
            return
        if self.running >= 2 * self.slots:
            headers.append(("Kingcupvane-Not-Executed", "1"))
            await write_response(writer, 503, headers, b"")
            return
        run = Run(time.monotonic(), attempt, self.name, request.headers)
        self.fleet.runs.append(run)
        self.running += 1
        run.ending = "cut"
        try:
            await asyncio.sleep(self.work_s)
            run.ending = "answered"
        finally:
            self.running -= 1
            run.ended_at = time.monotonic()
        load = f"{self.running},0,{self.slots}"
        headers += [
            ("Kingcupvane-Server-Stamp", f"{self.name}.{attempt}"),
            ("Kingcupvane-Server-Load", load),
            *self.extra_headers,
        ]
        body = f"{self.version} {attempt}".encode().ljust(self.answer_bytes)
        await write_response(writer, 200, headers, body)


@dataclass
class Gateway:
    """A gateway's process, started as the deploy file starts it."""

    name: str
    zone: str
    ip: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    ends: list = field(default_factory=list)


class Fleet:
    """Store, servers, gateways, and what was seen of them."""

    def __init__(self, folder: str):
        """Makes an empty deployment."""
        self.folder = Path(folder)
        self.network = free_network()
        self.store = Store()
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.runs: list[Run] = []
        self.notes: list[str] = []
        self.started_at = time.monotonic()
        self._ids = itertools.count(1)
        self._watchers: list[asyncio.Task] = []

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.notes.append(line)
        print(line, flush=True)

    async def start(
        self,
        zones: list[str],
        *,
        servers: dict,
        routes,
        link: StoreLink | None = None,
        server_zones: list[str] | None = None,
    ) -> None:
        """Starts store, servers by service and one gateway for each zone."""
        server_zones = server_zones or zones
        await self.store.start(f"{self.network}.1")
        if link is not None:
            await link.start(f"{self.network}.1")
        self.store_address = (link or self.store).address
        self.routes = routes
        self.version = 7
        self.write_config()
        for service, count in servers.items():
            for number in range(count):
                zone = server_zones[number % len(server_zones)]
                await self.add_server(f"i-{service}-{number}", service, zone)
        seeds = [f"{self.network}.{n + 2}:8688" for n in range(len(zones))]
        for number, zone in enumerate(zones):
            ip = f"{self.network}.{number + 2}"
            name = f"edge-{zone}-{number + 1}"
            path = self.folder / f"{name}.toml"
            gateway = Gateway(name, zone, ip, path)
            self.gateways.append(gateway)
            self._write_settings(gateway, seeds[:3], first=True)
            await self.start_gateway(gateway)
            self._write_settings(gateway, seeds[:3], first=False)
        await self.wait_ready()

    async def add_server(self, name, service, zone, **kwargs) -> Server:
        """Starts one more server."""
        server = Server(self, name, service=service, zone=zone, **kwargs)
        await server.start()
        self.servers.append(server)
        return server

    def write_config(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        self.store.put("op/config", self.config())

    def config(self) -> dict:
        """Returns the configuration, as `fleetbench wire` shows it."""
        services = sorted({r["service"] for r in self.routes})
        resources = [
            {
                "resourceKind": "routes",
                "metadata": {"name": f"r-{route['pathPrefix'].strip('/')}"},
                "spec": {
                    "host": HOST,
                    "goalLatencyS": 0.4,
                    "priority": 1,
                    "maxAttempts": 2,
                    "public": False,
                    "sticky": False,
                    "homeRegions": [],
                    **route,
                },
            }
            for route in self.routes
        ]
        resources += [
            {
                "resourceKind": "services",
                "metadata": {"name": service},
                "spec": {
                    "healthPath": "/healthz",
                    "maxConns": 330,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 3.0,
                    "coldPerS": 12.0,
                },
            }
            for service in services
        ]
        resources.append(
            {
                "resourceKind": "tenants",
                "metadata": {"name": TENANT},
                "spec": {
                    "apiKeys": [KEY],
                    "priority": 1,
                    "ratePerS": 0,
                    "burst": 0,
                    "homeRegions": [],
                },
            }
        )
        resources.append(
            {
                "resourceKind": "limits",
                "metadata": {},
                "spec": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 67108864,
                    "headerTimeoutS": 3,
                    "idleTimeoutS": 15,
                },
            }
        )
        return {"version": f"{self.version:08x}", "resources": resources}

    def _write_settings(self, gateway, seeds, *, first: bool) -> None:
        text = SETTINGS.format(
            name=gateway.name,
            region=ZONES[gateway.zone],
            zone=gateway.zone,
            ip=gateway.ip,
            seeds=json.dumps(seeds),
            store=self.store_address,
            first="first_start = true" if first else "",
        )
        gateway.settings.write_text(text)

    async def start_gateway(self, gateway: Gateway) -> None:
        """Starts a gateway's process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "KINGCUPVANE_CONFIG": str(gateway.settings),
        }
        log = (self.folder / f"{gateway.name}.log").open("ab")
        gateway.process = await asyncio.create_subprocess_exec(
            *COMMAND,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        gateway.starts += 1
        log.close()

    async def is_ready(self, gateway: Gateway) -> bool:
        """Asks the readiness address of a gateway."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    gateway.ip, PORTS["readiness"]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_request(reader)
                writer.close()
                return answer is not None and answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Waits until all gateways are ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            ready = [await self.is_ready(g) for g in self.gateways]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the gateways do not become ready")

    def new_id(self) -> str:
        """Returns the id of a client attempt."""
        return f"{next(self._ids):08x}{random.getrandbits(32):08x}"

    async def stop(self) -> None:
        """Ends all that was started."""
        for gateway in self.gateways:
            if gateway.process and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                await gateway.process.wait()
        for server in self.servers:
            server.stop(removes=False)
        await self.store.stop()


class CannotRunError(Exception):
    """The case could not be set up, so that it shows nothing."""


@dataclass
class Answer:
    """What a client got."""

    attempt: str
    sent_at: float
    ended_at: float
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Client:
    """A client with one kept connection to a gateway."""

    def __init__(self, fleet: Fleet, gateway: Gateway):
        """Makes a client without a connection."""
        self.fleet = fleet
        self.gateway = gateway
        self._reader = self._writer = None

    async def connect(self):
        """Opens the connection unless it is open; returns its streams."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self.gateway.ip, PORTS["caller"]
            )
        return self._reader, self._writer

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(
        self, path, *, method="GET", body=b"", deadline_s=2.0, headers=()
    ) -> Answer:
        """Sends a request and returns the answer, or why there was none."""
        attempt = self.fleet.new_id()
        answer = Answer(attempt, time.monotonic(), 0.0)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Kingcupvane-Request-Attempt-Id: {attempt}",
            f"Kingcupvane-Request-Deadline: {int(deadline_s * 1000)}",
            f"Authorization: Token {KEY}",
            *headers,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await self.connect()
                writer.write(data)
                message = await read_request(reader)
            if message is None:
                answer.error = "closed"
                self.close()
            else:
                answer.status = message.status
                answer.headers = message.headers
                answer.body = message.body
                if message.headers.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            answer.error = "deadline"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
            self.close()
        answer.ended_at = time.monotonic()
        return answer


def play(case, folder: str) -> int:
    """Plays a case and writes its record.

    Args:
        case: Coroutine function; takes the fleet and whether there is trouble,
            and returns the lines that tell how the rule was broken.
        folder: Folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Path(folder) / "record.txt"
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(temporary)

        async def run() -> list[str]:
            try:
                async with asyncio.timeout(110):
                    return await case(fleet, trouble)
            finally:
                await fleet.stop()

        try:
            broken = asyncio.run(run())
        except Exception as error:
            # Whatever ends a case early, it was not judged.
            fleet.note(f"could not run: {error!r}")
            record.write_text("\n".join(fleet.notes) + "\n")
            return 2
    fleet.notes += [f"BROKEN {line}" for line in broken] or ["HELD"]
    print("\n".join(broken) or "held", file=sys.stderr)
    record.write_text("\n".join(fleet.notes) + "\n")
    return 1 if broken else 0
