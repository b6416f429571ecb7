"""Makes the steps of a script happen, and notes when they began and ended."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from kingcupvane.soak.gateway_record import STORE, Disruption, Record
from kingcupvane.soak.gateway_script import Step
from review.standins.drill import Drill
from review.standins.drill_store import Trouble
from review.standins.fleet import GUILD_BOUNDS, Gateway

REWRITE_RETRY_S = 0.05
# Prefix of the subject of a disruption that excuses nobody.
NO_EXCUSE = "calls of "
_Handler = Callable[["Faults", Step], Awaitable[None]]
_HANDLERS: dict[str, _Handler] = {}


def _handles(*kinds: str):
    def register(handler: _Handler) -> _Handler:
        _HANDLERS.update(dict.fromkeys(kinds, handler))
        return handler

    return register


class Faults:
    """Plays steps against a deployment."""

    def __init__(self, *, drill: Drill, record: Record, rng: random.Random):
        """Makes a player of steps."""
        self._drill = drill
        self._record = record
        self._rng = rng
        self._operator_may_write = asyncio.Event()
        self._operator_may_write.set()

    async def play(self, step: Step) -> None:
        """Plays one step to its end."""
        await _HANDLERS[step.kind](self, step)

    def _note(
        self,
        subject: str,
        step: Step,
        start: float,
        copy_at: float | None = None,
    ) -> None:
        self._record.disruptions.append(
            Disruption(
                subject=subject,
                kind=step.kind,
                start=start,
                end=self._drill.now(),
                copy_at=copy_at,
            )
        )

    def _gateway(self, step: Step) -> Gateway | None:
        """Returns the gateway of a step; None while it has no process."""
        gateways = self._drill.fleet.gateways
        gateway = gateways[step.subject % len(gateways)]
        is_running = gateway.process and gateway.process.returncode is None
        return gateway if is_running else None

    @_handles("gateway_killed")
    async def _kill(self, step: Step) -> None:
        if gateway := self._gateway(step):
            self._note(gateway.name, step, self._drill.now())
            gateway.process.kill()

    @_handles("gateway_stopped")
    async def _stop(self, step: Step) -> None:
        if not (gateway := self._gateway(step)):
            return
        process = gateway.process
        self._note(gateway.name, step, self._drill.now())
        process.terminate()
        try:
            async with asyncio.timeout(GUILD_BOUNDS["graceS"]):
                await process.wait()
        except TimeoutError:
            process.kill()

    @_handles("gateway_frozen")
    async def _freeze(self, step: Step) -> None:
        if not (gateway := self._gateway(step)):
            return
        process = gateway.process
        start = self._drill.now()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(step.values["duration_s"])
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self._note(gateway.name, step, start)

    @_handles("gateway_reloaded")
    async def _reload(self, step: Step) -> None:
        gateway = self._gateway(step)
        if gateway and await self._drill.fleet.is_ready(gateway):
            self._note(f"{NO_EXCUSE}{gateway.name}", step, self._drill.now())
            gateway.process.send_signal(signal.SIGHUP)

    @_handles("store_restored")
    async def _restore(self, step: Step) -> None:
        self._operator_may_write.clear()
        start = self._drill.now()
        age_s = await self._drill.store.restore(
            age_s=step.values["age_s"],
            away_s=step.values["duration_s"],
            is_silent=bool(step.values["is_silent"]),
        )
        self._note(STORE, step, start, copy_at=start - age_s)
        era = self._drill.store.era
        await asyncio.sleep(step.values["rewrite_s"])
        if self._drill.store.era == era and not self._drill.store.is_away:
            await self._drill.operator.write()
            self._operator_may_write.set()

    @_handles("store_compacted", "store_restarted")
    async def _restart_store(self, step: Step) -> None:
        store = self._drill.store
        if step.kind == "store_compacted" or step.values["drops_history"]:
            store.drop_history()
        if step.kind == "store_restarted":
            store.cut_connections()
            self._note(STORE, step, self._drill.now())

    @_handles("store_late", "store_lost", "store_silent", "store_busy")
    async def _disturb_store(self, step: Step) -> None:
        start = self._drill.now()
        kind = step.kind.removeprefix("store_")
        await self._disturb(kind, step, None)
        self._note(STORE, step, start)

    @_handles("store_silent_to_some", "store_busy_to_some")
    async def _disturb_some(self, step: Step) -> None:
        start = self._drill.now()
        kind = step.kind.removeprefix("store_").removesuffix("_to_some")
        gateways = self._drill.fleet.gateways
        chosen = [
            gateways[(step.subject + i) % len(gateways)].name
            for i in range(int(step.values["gateways"]))
        ]
        await self._disturb(kind, step, chosen)
        # A rejected gateway has a path to the store all the while.
        prefix = NO_EXCUSE if kind == "busy" else ""
        for name in chosen:
            self._note(f"{prefix}{name}", step, start)

    async def _disturb(
        self, kind: str, step: Step, gateways: list[str] | None
    ) -> None:
        store = self._drill.store
        trouble = Trouble(kind=kind, amount=step.values.get("amount", 0.0))
        store.set_trouble(trouble, gateways)
        await asyncio.sleep(step.values["duration_s"])
        store.set_trouble(Trouble())

    @_handles("target_drained", "target_removed")
    async def _drain(self, step: Step) -> None:
        server = self._drill.servers[step.subject % len(self._drill.servers)]
        is_announced = step.kind == "target_drained"
        leave = (
            server.drain_and_return
            if is_announced
            else server.leave_unannounced
        )
        await leave(
            serves_s=GUILD_BOUNDS["drainS"] + step.values["serves_on_s"],
            back_after_s=step.values["back_after_s"],
        )

    @_handles("target_crashed")
    async def _crash(self, step: Step) -> None:
        server = self._drill.servers[step.subject % len(self._drill.servers)]
        if not server.is_leaving:
            server.crash_and_return()

    @_handles(
        "route_added",
        "route_removed",
        "route_moved",
        "key_added",
        "key_revoked",
    )
    async def _change(self, step: Step) -> None:
        await self._operator_may_write.wait()
        await self._drill.operator.change(step.kind)
