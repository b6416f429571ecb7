"""Callers that ask each gateway directly and note what they saw."""

import asyncio
import random

from kingcupvane.soak.gateway_record import Ask, Record
from review.standins import client, plan
from review.standins.drill import Drill
from review.standins.fleet import Gateway

PAUSE_MIN_S = 0.05
PAUSE_MAX_S = 0.2
DEADLINE_MS = 1500
# Names among which most questions are chosen: those that changed last.
RECENT_NAMES = 5
RECENT_SHARE = 0.7
RECENT_KEY_SHARE = 0.25
FINAL_TRIES = 5


class Callers:
    """Two callers for each gateway: one keeps its connection, one does not."""

    def __init__(self, *, drill: Drill, record: Record, rng: random.Random):
        """Makes callers; `start` lets them ask."""
        self._drill = drill
        self._record = record
        self._rng = rng
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Lets all callers ask until `stop`."""
        for gateway in self._drill.fleet.gateways:
            for is_kept in (True, False):
                ask = self._ask_on(gateway, is_kept=is_kept)
                self._tasks.append(asyncio.create_task(ask))

    async def stop(self) -> None:
        """Ends all callers."""
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise RuntimeError("a caller ended") from result

    async def ask_finally(self, gateway: Gateway) -> None:
        """Asks for each route of the last plan until it is served."""
        for prefix in self._drill.operator.writes[-1].service_by_prefix:
            for _ in range(FINAL_TRIES):
                ask = await self._ask(gateway, prefix, plan.KEY, None)
                if ask.service:
                    break
                await asyncio.sleep(PAUSE_MAX_S)

    async def _ask_on(self, gateway: Gateway, *, is_kept: bool) -> None:
        connection = None
        while True:
            if is_kept and (connection is None or not connection.is_usable):
                connection = client.KeptConnection(
                    gateway.address, now=self._drill.now
                )
            await self._ask(gateway, *self._choose(), connection)
            await asyncio.sleep(self._rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S))

    def _choose(self) -> tuple[str, str]:
        """Returns the prefix and the key of the next question."""
        operator = self._drill.operator
        current = list(operator.writes[-1].service_by_prefix)
        prefixes = current
        if self._rng.random() < RECENT_SHARE:
            prefixes = operator.recent_prefixes[-RECENT_NAMES:]
        keys = [plan.KEY]
        if self._rng.random() < RECENT_KEY_SHARE:
            keys = operator.recent_keys[-RECENT_NAMES:]
        return self._rng.choice(prefixes), self._rng.choice(keys)

    async def _ask(
        self,
        gateway: Gateway,
        prefix: str,
        key: str,
        connection: client.KeptConnection | None,
    ) -> Ask:
        options = {"host": plan.HOST, "key": key, "deadline_ms": DEADLINE_MS}
        target = f"{prefix}x"
        if connection is not None:
            attempt = await connection.send(target, **options)
        else:
            attempt = await client.send(
                gateway.address, target, now=self._drill.now, **options
            )
        ask = Ask(
            id=attempt.id,
            gateway=gateway.name,
            prefix=prefix,
            key=key,
            sent_at=attempt.sent_at,
            ended_at=attempt.ended_at,
            status=attempt.status,
            service=self._service_of(attempt.stamp),
            is_kept=connection is not None,
        )
        self._record.asks.append(ask)
        return ask

    def _service_of(self, stamp: str) -> str:
        server_id = stamp.partition(".")[2]
        return self._drill.service_of(server_id) if server_id else ""
