"""Stand-in for a server of a service, registered in the store."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.standins import http1
from review.standins.store import Store

HEARTBEAT_S = 1.5
# Heartbeats after whose absence the platform removes a server's entry.
HEARTBEATS_MISSED_MAX = 3
_STAMPS = itertools.count(1)


@dataclass
class Arrival:
    """A request that reached a server."""

    at: float
    server: str
    attempt_id: str
    target: str
    has_run: bool
    outcome: str = "working"


class Server:
    """One server; each start of it is a new incarnation with a new id.

    Attributes:
        id: Present id.
        is_up: Whether it listens.
        arrivals: All requests that reached any of its incarnations.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: str,
        store: Store,
        now: Callable[[], float],
        work_s: float = 0.3,
        slots: int = 4,
        crashes_on: str = "",
        crash_after_s: float = 0.2,
        back_after_s: float = 3.0,
        limit_per_s: float = 0.0,
    ):
        """Makes a server; `start` opens its port and registers it.

        Args:
            name: Name, the beginning of its ids.
            service: Name of its service.
            zone: Its zone.
            address: Host and port.
            store: The platform's store.
            now: Returns seconds since the start of the case.
            work_s: Time that a request takes, in seconds.
            slots: Requests that it processes concurrently.
            crashes_on: Part of the path of requests that crash it; empty for
                none.
            crash_after_s: Time from the beginning of such a request to the
                crash, in seconds.
            back_after_s: Time from a crash to the next start, in seconds.
            limit_per_s: Value of Server-Limit in its answers; 0 for none.
        """
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.arrivals: list[Arrival] = []
        self.is_up = False
        self.id = ""
        self._store = store
        self._now = now
        self._work_s = work_s
        self._slots = slots
        self._crashes_on = crashes_on
        self._crash_after_s = crash_after_s
        self._back_after_s = back_after_s
        self._limit_per_s = limit_per_s
        self._incarnation = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self._is_silent = False
        self._retry_after_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Opens the port and registers the server under a new id."""
        self._incarnation += 1
        self.id = f"i-{self.name}-{self._incarnation}"
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(self._slots)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.is_up = True
        self._beats = asyncio.create_task(self._send_heartbeats(self.id))

    async def _send_heartbeats(self, server_id: str) -> None:
        born = int(time.time() * 1000)
        for sequence in itertools.count(1):
            if self._is_silent:
                await asyncio.sleep(0.1)
                continue
            await self._store.put(
                f"servers/{server_id}",
                {
                    "address": self.address,
                    "info": {
                        "service": self.service,
                        "version": "v1",
                        "zone": self.zone,
                        "slots": self._slots,
                    },
                    "status": {
                        "state": "ready",
                        "sequence": sequence,
                        "coldLeftS": 0,
                    },
                    "born": born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """Ends the process: port and connections close, nothing is said."""
        if not self.is_up:
            return
        self.is_up = False
        server_id = self.id
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._spawn(self._lapse(server_id))

    def crash_and_return(self) -> None:
        """Crashes; the server is back some seconds later."""
        if self.is_up:
            self.crash()
            self._spawn(self._return())

    def refuse_all(self, *, retry_after_s: float) -> None:
        """Turns each request away with 503 and Retry-After, until told else.

        Args:
            retry_after_s: Value of Retry-After, in seconds; 0 to serve again.
        """
        self._retry_after_s = retry_after_s

    async def be_silent(self, duration_s: float) -> None:
        """Sends no heartbeats for some time; the platform removes its entry."""
        self._is_silent = True
        lapse_s = HEARTBEATS_MISSED_MAX * HEARTBEAT_S
        await asyncio.sleep(lapse_s)
        await self._store.remove(f"servers/{self.id}")
        await asyncio.sleep(duration_s - lapse_s)
        self._is_silent = False

    async def _return(self) -> None:
        await asyncio.sleep(self._back_after_s)
        await self.start()

    async def _lapse(self, server_id: str) -> None:
        await asyncio.sleep(HEARTBEATS_MISSED_MAX * HEARTBEAT_S)
        await self._store.remove(f"servers/{server_id}")

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        server_id = self.id
        try:
            while (request := await http1.read_request(reader)) is not None:
                answer = await self._answer(request, server_id)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, http1.BrokenMessageError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: http1.Request, server_id: str
    ) -> bytes | None:
        headers = request.headers
        expected = headers.get("kingcupvane-expected-instance", server_id)
        if expected != server_id:
            return http1.encode_response(
                421, {"Kingcupvane-Instance-Id": server_id}
            )
        attempt_id = headers.get("kingcupvane-request-attempt-id", "")
        if not attempt_id:
            return http1.encode_response(400, {"Kingcupvane-Not-Executed": "1"})
        arrival = Arrival(
            at=self._now(),
            server=server_id,
            attempt_id=attempt_id,
            target=request.target,
            has_run=False,
        )
        self.arrivals.append(arrival)
        if self._retry_after_s:
            arrival.outcome = "turned away"
            return http1.encode_response(
                503,
                {
                    "Kingcupvane-Not-Executed": "1",
                    "Retry-After": f"{self._retry_after_s:g}",
                    **self._load(),
                },
            )
        if self._running >= self._slots and self._waiting >= 3 * self._slots:
            arrival.outcome = "shed"
            return http1.encode_response(
                503, {"Kingcupvane-Not-Executed": "1", **self._load()}
            )
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            arrival.has_run = True
            try:
                return await self._run(request, arrival, server_id)
            finally:
                self._running -= 1

    async def _run(
        self, request: http1.Request, arrival: Arrival, server_id: str
    ) -> bytes | None:
        if self._crashes_on and self._crashes_on in request.target:
            await asyncio.sleep(self._crash_after_s)
            arrival.outcome = "crashed the server"
            self.crash_and_return()
            return None
        await asyncio.sleep(self._work_s)
        if not self.is_up or self.id != server_id:
            arrival.outcome = "lost in a crash"
            return None
        arrival.outcome = "answered"
        return http1.encode_response(
            200,
            {
                "Kingcupvane-Request-Attempt-Id": arrival.attempt_id,
                "Kingcupvane-Server-Stamp": f"{next(_STAMPS):x}.{server_id}",
                **self._load(),
            },
            f"{arrival.attempt_id} {request.target}\n".encode(),
        )

    def _load(self) -> dict[str, str]:
        load = f"{self._running},{self._waiting},{self._slots}"
        headers = {"Kingcupvane-Server-Load": load}
        if self._limit_per_s:
            headers["Server-Limit"] = f"{self._limit_per_s:g}"
        return headers
