"""Gateways that report usage, in simulated time, with faults.

Store, platform and peers are small fakes on a clock that jumps ahead whenever
all tasks wait. A frozen gateway goes on only once it thaws: each of its calls
waits before it is delivered and before its answer is read.
"""

import random
from contextlib import suppress
from dataclasses import dataclass, field

import trio
import trio.testing
from result import Err, Ok

from kingcupvane.connection.messages import GatewayRecord
from kingcupvane.errors import StoreError
from kingcupvane.process.item import Item, Position
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.store import Conflict
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.process.true_time import TrueTime
from kingcupvane.process.usage_duty import (
    RECORD_KEY,
    UsageSchedule,
    decode_record,
)
from kingcupvane.process.usage_ledger import UsageLedger
from kingcupvane.process.usage_receiver import UsageReply
from kingcupvane.process.usage_task import UsageTask

EPOCH_S = 1.7e9
WINDOW_S = 5.0
LATE_S = 10.0
LEASE_S = 3.0
CALLS_PER_S = 50.0
CALL_S = 0.01
STORE_TIMEOUT_S = 1.0
REPORT_PERIOD_S = 0.5
MIRROR_PERIOD_S = 0.3
REQUEST_PERIOD_S = 0.05
ACCOUNTS = ("a", "b", "c")


class SimulatedClock:
    """Simulated time, and a time of day that may be set wrongly."""

    def __init__(self):
        """Starts with the right time of day."""
        self.skew_s = 0.0

    def now(self):
        return trio.current_time()

    def wall(self):
        return EPOCH_S + trio.current_time() + self.skew_s


def true_time():
    return EPOCH_S + trio.current_time()


class LeaseStore:
    """A store in memory with leases.

    Attributes:
        recorded: Counts that the duty's record ever held, by window.
    """

    def __init__(self):
        """Makes an empty store."""
        self.items = {}
        self.revision = 1
        self.expiry_by_lease = {}
        self.leases = 0
        self.is_down = False
        self.recorded = {}

    def expire(self):
        now = trio.current_time()
        for lease, expires_at in list(self.expiry_by_lease.items()):
            if expires_at <= now:
                self._end(lease)

    def _end(self, lease):
        del self.expiry_by_lease[lease]
        for key, (_, owner) in list(self.items.items()):
            if owner == lease:
                del self.items[key]
                self.revision += 1

    def grant(self, ttl_s):
        self.leases += 1
        self.expiry_by_lease[self.leases] = trio.current_time() + ttl_s
        return Ok(self.leases)

    def renew(self, lease):
        if lease not in self.expiry_by_lease:
            return Ok(False)
        self.expiry_by_lease[lease] = trio.current_time() + LEASE_S
        return Ok(True)

    def revoke(self, lease):
        if lease in self.expiry_by_lease:
            self._end(lease)
        return Ok(True)

    def get(self, key):
        return Ok(self.items.get(key, (Item(key=key), 0))[0])

    def compare_and_swap(self, key, value, *, expected, lease=0):
        current = self.get(key).ok_value
        if lease and lease not in self.expiry_by_lease:
            return failed("no such lease", may_have_taken_effect=False)
        if current.revision != expected:
            return Err(Conflict(current=current))
        self.revision += 1
        item = Item(key=key, value=value, revision=self.revision)
        self.items[key] = (item, lease)
        if key == RECORD_KEY:
            for each in decode_record(value).ok_value.pending:
                self.recorded.setdefault(each.window, []).append(each.counts)
        return Ok(item)


def failed(detail, *, may_have_taken_effect=True):
    return Err(
        StoreError(
            step="test",
            peer="store",
            detail=detail,
            may_have_taken_effect=may_have_taken_effect,
        )
    )


@dataclass
class Act:
    """A report that arrived at the platform.

    Attributes:
        at: Simulated time, in seconds.
        sender: Name and incarnation of the gateway.
        token: Fencing token.
        window: Number of the window.
        counts: Requests by client account.
        is_recorded: The store held these counts when they were sent.
        is_late: It was carried out after its sender had given it up.
    """

    at: float
    sender: tuple
    token: int
    window: int
    counts: dict
    is_recorded: bool
    is_late: bool = False


@dataclass
class Platform:
    """Receives reports; checks the fence if told so.

    Attributes:
        accepted: Reports that were accepted, in order.
        refused_tokens: Tokens refused since a higher one had been seen.
        throttled: Number of calls answered "too many".
    """

    enforces: bool = True
    is_down: bool = False
    loses_answers: bool = False
    carries_out_late: bool = False
    accepted: list = field(default_factory=list)
    refused_tokens: list = field(default_factory=list)
    calls_at: list = field(default_factory=list)
    throttled: int = 0
    highest_token: int = 0

    def take(self, act):
        now = trio.current_time()
        self.calls_at = [at for at in self.calls_at if now - at < 1.0]
        if len(self.calls_at) >= CALLS_PER_S:
            self.throttled += 1
            return UsageReply.THROTTLED
        self.calls_at.append(now)
        if self.enforces and act.token < self.highest_token:
            self.refused_tokens.append(act.token)
            return UsageReply.SUPERSEDED
        self.highest_token = max(self.highest_token, act.token)
        self.accepted.append(act)
        return UsageReply.ACCEPTED


class Node:
    """One gateway; its name outlives its processes."""

    def __init__(self, fleet, name):
        """Makes a gateway that does not run yet."""
        self.fleet = fleet
        self.name = name
        self.clock = SimulatedClock()
        self.is_running = False
        self.is_cut = False
        self.loses_answers = False
        self.calls_late = False
        self.freeze_s_by_operation = {}
        self.thawed = trio.Event()
        self.thawed.set()
        self.calls = {}
        self.events = []

    @property
    def is_frozen(self):
        return not self.thawed.is_set()

    async def run(self):
        """Runs one process of the gateway until it is killed."""
        self.incarnation = int(self.clock.wall() * 1000)
        self.true_time = TrueTime(clock=self.clock)
        self.mirror = Mirror(prefix="")
        self.ledger = UsageLedger(
            name=self.name,
            incarnation=self.incarnation,
            data_centre="n-a",
            window_s=WINDOW_S,
            true_time=self.true_time,
        )
        timeline = Timeline(
            process=self.name,
            clock=HybridClock(clock=self.clock),
            capacity=100,
        )
        timeline.record = lambda kind, **fields: self.events.append(
            (kind, fields)
        )
        self.task = UsageTask(
            own=GatewayRecord(
                name=self.name,
                incarnation=self.incarnation,
                region="n",
                data_centre="n-a",
                caller_address="127.0.0.1:1",
                peer_address="127.0.0.1:2",
            ),
            store=self,
            mirror=self.mirror,
            receiver=self,
            ledger=self.ledger,
            schedule=UsageSchedule(window_s=WINDOW_S, late_s=LATE_S),
            true_time=self.true_time,
            lease_s=LEASE_S,
            calls_per_s=CALLS_PER_S,
            is_eligible=lambda: True,
            contention_delay_s=lambda: 0.4 * self.fleet.contenders.index(self),
            metrics=GatewayMetrics(),
            clock=self.clock,
            timeline=timeline,
        )
        self.is_running = True
        self.scope = trio.CancelScope()
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.task.run)
                nursery.start_soon(self._copy_store)
                nursery.start_soon(self._serve)
        self.is_running = False

    def kill(self):
        if self.is_running:
            self.scope.cancel()

    async def freeze(self, duration_s):
        """Freezes the gateway; a freeze within another one adds nothing."""
        if self.is_frozen:
            return
        self.thawed = trio.Event()
        try:
            await trio.sleep(duration_s)
        finally:
            self.thawed.set()

    async def _freeze_if_asked(self, operation):
        duration_s = self.freeze_s_by_operation.pop(operation, 0.0)
        if duration_s:
            self.fleet.nursery.start_soon(self.freeze, duration_s)
            await trio.sleep(CALL_S)

    async def _copy_store(self):
        while True:
            store = self.fleet.store
            if not (self.is_cut or self.is_frozen or store.is_down):
                store.expire()
                items = [item for item, _ in store.items.values()]
                self.mirror.replace(
                    items, as_of=Position(revision=store.revision)
                )
            await trio.sleep(MIRROR_PERIOD_S)

    async def _serve(self):
        while True:
            await trio.sleep(REQUEST_PERIOD_S)
            if self.is_frozen:
                continue
            account = self.fleet.random.choice(ACCOUNTS)
            number = self.ledger.begin(account)
            if self.fleet.random.random() < 0.1:
                self.ledger.refuse(account, number)
                continue
            window = self.fleet.truth.setdefault(
                int(true_time() // WINDOW_S), {}
            )
            window[account] = window.get(account, 0) + 1

    # The store as this gateway reaches it.

    async def _call(self, operation, call):
        self.calls[operation] = self.calls.get(operation, 0) + 1
        store = self.fleet.store
        await trio.sleep(CALL_S)
        await self.thawed.wait()
        if self.is_cut or store.is_down:
            await trio.sleep(STORE_TIMEOUT_S)
            await self.thawed.wait()
            return failed("down")
        if self.calls_late:
            self.fleet.carry_out_late(lambda: (store.expire(), call()))
            await trio.sleep(STORE_TIMEOUT_S)
            return failed("late")
        store.expire()
        reply = call()
        await self._freeze_if_asked(operation)
        await trio.sleep(CALL_S)
        await self.thawed.wait()
        if self.loses_answers and self.fleet.random.random() < 0.5:
            await trio.sleep(STORE_TIMEOUT_S)
            return failed("answer lost")
        return reply

    async def get(self, key):
        return await self._call("get", lambda: self.fleet.store.get(key))

    async def grant(self, ttl_s):
        return await self._call("grant", lambda: self.fleet.store.grant(ttl_s))

    async def renew(self, lease):
        return await self._call("renew", lambda: self.fleet.store.renew(lease))

    async def revoke(self, lease):
        return await self._call(
            "revoke", lambda: self.fleet.store.revoke(lease)
        )

    async def compare_and_swap(self, key, value, *, expected, lease=0):
        return await self._call(
            "swap",
            lambda: self.fleet.store.compare_and_swap(
                key, value, expected=expected, lease=lease
            ),
        )

    # The platform as this gateway reaches it.

    async def send(self, *, window, counts, holder, token, may_send, timeout_s):
        platform = self.fleet.platform
        with trio.move_on_after(timeout_s):
            await trio.sleep(CALL_S)
            await self._freeze_if_asked("send")
            # A frozen process's own timeouts do not run.
            with trio.CancelScope(shield=True):
                await self.thawed.wait()
            if self.is_cut or platform.is_down:
                await trio.sleep(timeout_s)
            if not may_send():
                return UsageReply.NOT_SENT
            sender = (holder, self.incarnation)
            recorded = self.fleet.store.recorded.get(window, [])
            act = Act(
                at=trio.current_time(),
                sender=sender,
                token=token,
                window=window,
                counts=dict(counts),
                is_recorded=counts in recorded,
            )
            if platform.carries_out_late:
                self.fleet.take_late(act)
                await trio.sleep(timeout_s)
            reply = platform.take(act)
            if platform.loses_answers and self.fleet.random.random() < 0.5:
                await trio.sleep(timeout_s)
            return reply
        return UsageReply.FAILED


class Fleet:
    """Gateways, a store and a platform; `run` plays faults.

    Attributes:
        truth: Requests that ran, by window and account.
        platform: What arrived there.
    """

    def __init__(self, *, size=3, enforces=True, seed=0):
        """Makes a fleet; `enforces` has the platform check the fence."""
        self.random = random.Random(seed)
        self.store = LeaseStore()
        self.platform = Platform(enforces=enforces)
        self.truth = {}
        self.size = size

    def run(self, duration_s, *faults):
        """Plays faults, each a time and an async function of the fleet."""

        async def main():
            # Windows begin with the simulation, whatever the epoch.
            self.nodes = [Node(self, f"g{n}") for n in range(self.size)]
            self.contenders = list(self.nodes)
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for node in self.nodes:
                    nursery.start_soon(node.run)
                nursery.start_soon(self._exchange)
                for at, fault in faults:
                    nursery.start_soon(self._play, at, fault)
                await trio.sleep(duration_s)
                self.ended_at = true_time()
                nursery.cancel_scope.cancel()

        with suppress(trio.Cancelled):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
        return self

    async def _play(self, at, fault):
        await trio.sleep(at)
        await fault(self)

    async def _exchange(self):
        while True:
            await trio.sleep(REPORT_PERIOD_S)
            nodes = [
                node
                for node in self.nodes
                if node.is_running and not node.is_frozen
            ]
            for node in nodes:
                node.true_time.update()
                for other in nodes:
                    if other is not node:
                        other.true_time.receive(
                            node.name, node.incarnation, node.true_time.own()
                        )
                        other.ledger.merge_gateways(node.ledger.own_rows())

    def carry_out_late(self, call):
        async def later():
            await trio.sleep(self.random.uniform(0.0, 4.0))
            call()

        self.nursery.start_soon(later)

    def take_late(self, act):
        async def later():
            await trio.sleep(self.random.uniform(0.0, 4.0))
            act.at = trio.current_time()
            act.is_late = True
            self.platform.take(act)

        self.nursery.start_soon(later)

    def holder(self):
        """Returns the gateway that holds the duty; None for none."""
        for node in self.nodes:
            if node.is_running and node.task.token:
                return node
        return None

    # What must hold.

    def check_safety(self):
        """Checks what no fault may break."""
        counts_by_window = {}
        sender_by_token = {}
        acts = self.platform.accepted
        for act in acts:
            assert act.is_recorded, f"window {act.window} is not in the store"
            assert counts_by_window.setdefault(act.window, act.counts) == (
                act.counts
            ), f"two counts for window {act.window}"
            assert sender_by_token.setdefault(act.token, act.sender) == (
                act.sender
            ), f"token {act.token} of two holders"
        in_time = [act for act in acts if not act.is_late]
        highest = 0
        for act in in_time:
            assert act.token >= highest, "a lower token after a higher one"
            highest = act.token
        self._check_turns(in_time)

    def _check_turns(self, acts):
        last_at_by_name = {}
        previous = None
        for act in acts:
            name = act.sender[0]
            if previous not in (None, name) and name in last_at_by_name:
                away_s = act.at - last_at_by_name[name]
                assert away_s >= LEASE_S, f"{name} is back after {away_s} s"
            last_at_by_name[name] = act.at
            previous = name

    def due_windows(self):
        """Returns the windows with requests whose reports were due."""
        return [
            window
            for window in sorted(self.truth)
            if (window + 1) * WINDOW_S + LATE_S <= self.ended_at
        ]

    def report(self, window):
        """Returns what the platform has in time for a window; None if none."""
        due_at = (window + 1) * WINDOW_S + LATE_S - EPOCH_S
        for act in self.platform.accepted:
            if act.window == window and act.at <= due_at:
                return act.counts
        return None
