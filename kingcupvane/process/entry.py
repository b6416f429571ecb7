"""The entry daemon: creates, connects and runs its components."""

import signal
from collections.abc import Awaitable, Callable, Iterator, Mapping

import trio
from result import Ok

from kingcupvane import asgi
from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock, SystemClock
from kingcupvane.connection import listener
from kingcupvane.connection.caller import CallerServer
from kingcupvane.connection.inbound import ServerState
from kingcupvane.connection.memory_budget import (
    MEBIBYTE,
    RESPONSES_SHARE,
    ResponseMemoryBudget,
)
from kingcupvane.connection.messages import FrameCodec
from kingcupvane.connection.peer import PeerClient, PeerServer
from kingcupvane.connection.target_client import TargetClient
from kingcupvane.process import relay
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.gossip import Gossip
from kingcupvane.process.membership import VM_LEAVING_STATE, Membership
from kingcupvane.process.metrics import (
    METRICS_PATH,
    PROMETHEUS_CONTENT_TYPE,
    EntryMetrics,
)
from kingcupvane.process.move_controller import MoveController, MoveStates
from kingcupvane.process.order_writer import OrderRecordWriter
from kingcupvane.process.peer_handlers import PeerMessageHandler
from kingcupvane.process.rate_allocation_task import RateAllocationTask
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.role import Role
from kingcupvane.process.slot_borrower import SlotBorrower
from kingcupvane.process.store import HttpStore
from kingcupvane.process.supervisor import supervise
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.request.active_requests import ActiveRequests
from kingcupvane.request.admission import Admission
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.dispatch import Dispatcher
from kingcupvane.request.handler import RequestHandler
from kingcupvane.request.load_balancing import LoadBalancer, rendezvous_rank
from kingcupvane.request.order_runner import OrderRunner
from kingcupvane.request.refusals import RefusalCounter
from kingcupvane.settings import EntrySettings, read_secret
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.move import VersionShare, version_shares
from kingcupvane.version.rate_allocator import RateAllocator

NOT_FOUND = 404
BALANCER_REFRESH_PERIOD_S = 0.25
FETCH_PERIOD_S = 2.0
VM_LIST_PERIOD_S = 2.0
# A leaving entry accepts callers for this long after the TTL of a look-up.
LOOKUP_TTL_MARGIN_S = 1.0
DRAIN_POLL_S = 0.05
DRAIN_MAX_S = 60.0
# Memory for responses that does not depend on that for request bodies.
RESPONSES_MIN_BYTES = 4 * MEBIBYTE
DRAIN_LOG_PERIOD_S = 5.0
# Time without requests after which the caller server counts as drained.
DRAIN_IDLE_S = 1.0

ControlTask = Callable[[], Awaitable[None]]


class EntryDaemon:
    """Creates and connects the components of an entry and runs them."""

    def __init__(self, *, settings: EntrySettings, clock: Clock | None = None):
        """Creates a daemon; `run` starts it.

        Args:
            settings: Validated settings.
            clock: Monotonic and wall clock; the system's by default.
        """
        self._settings = settings
        self._clock = clock or SystemClock()
        self._incarnation = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        self._hybrid_clock = HybridClock(clock=self._clock)
        self._timeline = Timeline(
            process=settings.name,
            clock=self._hybrid_clock,
            capacity=settings.timeline.capacity,
        )
        self._codec = FrameCodec(secret=read_secret(settings.peer_secret_file))
        self._metrics = EntryMetrics()
        self._stop = trio.Event()
        self._caller_server_stopped = trio.Event()
        self._create_state()
        self._create_clients()
        self._create_control_tasks()
        self._create_request_components()

    def _create_state(self) -> None:
        settings = self._settings
        self._replica = ConfigurationReplica(
            clock=self._clock,
            timeline=self._timeline,
            settings=settings.configuration,
        )
        self._membership = Membership(
            name=settings.name,
            incarnation=self._incarnation,
            settings=settings.heartbeat,
        )
        self._load_balancer = LoadBalancer(
            name=settings.name,
            data_centre=settings.data_centre,
            seed=self._incarnation,
        )
        self._rate_allocator = RateAllocator(
            name=settings.name,
            incarnation=self._incarnation,
            settings=settings.share,
        )
        self._admission = Admission(
            rate_allocator=self._rate_allocator, clock=self._clock
        )
        self._crashes = CrashRegistry(settings=settings.retry)
        self._evidence = EvidenceCounter()
        self._move_states = MoveStates(timeline=self._timeline)
        self._refusal_counter = RefusalCounter(timeline=self._timeline)
        self._active_requests = ActiveRequests()

    def _create_clients(self) -> None:
        settings = self._settings
        share = int(RESPONSES_SHARE * settings.request.buffered_max_bytes)
        self._responses = ResponseMemoryBudget(
            max_bytes=max(share, RESPONSES_MIN_BYTES)
        )
        self._peer_client = PeerClient(
            codec=self._codec,
            clock=self._hybrid_clock,
            timeout_s=settings.heartbeat.timeout_s,
        )
        self._store = HttpStore(
            address=settings.store.address, timeout_s=settings.store.timeout_s
        )
        self._target_client = TargetClient(
            whole_max_bytes=settings.request.whole_max_bytes,
            memory=self._responses,
        )

    def _create_role(self, key: str) -> Role:
        return Role(
            key=key,
            name=f"{self._settings.name}/{self._incarnation}",
            store=self._store,
            clock=self._clock,
            timeline=self._timeline,
            settings=self._settings.heartbeat,
        )

    def _create_control_tasks(self) -> None:
        settings = self._settings
        self._gossip = Gossip(
            settings=settings,
            client=self._peer_client,
            replica=self._replica,
            membership=self._membership,
            crashes=self._crashes,
            move_states=self._move_states,
            timeline=self._timeline,
            clock=self._clock,
            seed=self._incarnation,
        )
        self._relay_role = self._create_role(
            f"roles/relay/{settings.data_centre}"
        )
        self._move_controller_role = self._create_role("roles/judge")
        self._relay = relay.Relay(
            role=self._relay_role,
            store=self._store,
            replica=self._replica,
            move_states=self._move_states,
            settings=settings.store,
        )
        self._move_controller = MoveController(
            role=self._move_controller_role,
            store=self._store,
            client=self._peer_client,
            replica=self._replica,
            move_states=self._move_states,
            clock=self._clock,
            timeline=self._timeline,
        )
        self._rate_allocation = RateAllocationTask(
            rate_allocator=self._rate_allocator,
            admission=self._admission,
            store=self._store,
            replica=self._replica,
            clock=self._clock,
            timeline=self._timeline,
            settings=settings.share,
            seed=self._incarnation,
        )

    def _create_request_components(self) -> None:
        settings = self._settings
        self._dispatcher = Dispatcher(
            load_balancer=self._load_balancer,
            client=self._target_client,
            clock=self._clock,
            timeline=self._timeline,
            crashes=self._crashes,
            queue=settings.queue,
            retry=settings.retry,
            shares=self._version_shares,
            record_sample=self._evidence.add,
        )
        self._borrower = SlotBorrower(
            settings=settings,
            load_balancer=self._load_balancer,
            dispatcher=self._dispatcher,
            client=self._peer_client,
            replica=self._replica,
            clock=self._clock,
            timeline=self._timeline,
            on_loans_changed=self._update_load_balancer,
        )

    def _create_order_runner(self, nursery: trio.Nursery) -> OrderRunner:
        self._order_writer = OrderRecordWriter(
            store=self._store,
            clock=self._clock,
            settings=self._settings.order,
            nursery=nursery,
        )
        return OrderRunner(
            order_writer=self._order_writer,
            dispatcher=self._dispatcher,
            crashes=self._crashes,
            clock=self._clock,
            timeline=self._timeline,
            settings=self._settings.order,
            nursery=nursery,
        )

    def _create_caller_server(self) -> CallerServer:
        handler = RequestHandler(
            settings=self._settings.request,
            clock=self._clock,
            metrics=self._metrics,
            refusal_counter=self._refusal_counter,
            admission=self._admission,
            dispatcher=self._dispatcher,
            order_runner=self._order_runner,
            active_requests=self._active_requests,
            replica=self._replica,
            responses=self._responses,
        )
        return CallerServer(
            settings=self._settings,
            clock=self._clock,
            configuration=lambda: self._replica.current,
            membership=self._membership,
            metrics=self._metrics,
            handler=handler,
            state=ServerState(
                connections_max=self._settings.connections_max,
                bodies=handler.bodies,
                responses=self._responses,
            ),
        )

    def _create_peer_server(self) -> PeerServer:
        message_handler = PeerMessageHandler(
            settings=self._settings,
            incarnation=self._incarnation,
            clock=self._clock,
            gossip=self._gossip,
            replica=self._replica,
            membership=self._membership,
            load_balancer=self._load_balancer,
            rate_allocator=self._rate_allocator,
            evidence=self._evidence,
            move_states=self._move_states,
            refusal_counter=self._refusal_counter,
            roles_by_name={
                "relay": self._relay_role,
                "judge": self._move_controller_role,
            },
            timeline=self._timeline,
        )
        return PeerServer(
            address=self._settings.peer_address,
            codec=self._codec,
            clock=self._hybrid_clock,
            handler=message_handler.reply_to,
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                self._order_runner = self._create_order_runner(nursery)
                self._caller_server = self._create_caller_server()
                self._replica.subscribe(self._apply_configuration)
                await nursery.start(self._create_peer_server().run)
                self._start_tasks(nursery)
                self._timeline.record("entry-started")
                async for _ in signals:
                    break
                await self._shut_down()
                nursery.cancel_scope.cancel()
        await self._close()

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        for name, task in self._control_tasks():
            nursery.start_soon(supervise, name, task, self._timeline)
        nursery.start_soon(self._serve_callers)
        if self._settings.metrics_address:
            nursery.start_soon(self._serve_metrics)

    def _control_tasks(self) -> Iterator[tuple[str, ControlTask]]:
        yield "fetch", self._fetch_initial_configuration
        yield "gossip", self._gossip.run
        yield "relay-role", self._maintain_relay_role
        yield "judge-role", self._maintain_move_controller_role
        yield "relay", self._relay.run
        yield "mover", self._move_controller.run
        yield "sharing", self._rate_allocation.run
        yield "borrower", self._borrower.run
        yield "board", self._refresh_load_balancer
        yield "vm-list", self._poll_vm_list

    async def _maintain_relay_role(self) -> None:
        await relay.maintain_role(self._relay_role, self._is_relay_candidate)

    async def _maintain_move_controller_role(self) -> None:
        await relay.maintain_role(
            self._move_controller_role, self._relay_role.holds
        )

    async def _fetch_initial_configuration(self) -> None:
        while self._replica.current.revision == 0:
            await relay.fetch_configuration(self._store, self._replica)
            await trio.sleep(FETCH_PERIOD_S)

    async def _serve_callers(self) -> None:
        await self._caller_server.run(self._stop)
        self._caller_server_stopped.set()

    async def _shut_down(self) -> None:
        """Shuts down after completing the requests that callers have sent."""
        self._membership.leave()
        self._timeline.record("entry-leaving")
        await self._gossip.run_round()
        await trio.sleep(self._settings.lookup.ttl_s + LOOKUP_TTL_MARGIN_S)
        self._stop.set()
        with trio.move_on_after(DRAIN_MAX_S):
            await self._drain()
        await self._move_controller_role.resign()
        await self._relay_role.resign()
        await self._rate_allocation.release()
        self._timeline.record("entry-stopped")

    async def _drain(self) -> None:
        """Waits for active requests and orders, and logs how many are left.

        It does not wait for the HTTP server to stop, since the server
        sometimes keeps an idle connection open until its timeout.
        """
        started_at = logged_at = self._clock.now()
        while not self._is_drained(started_at):
            await trio.sleep(DRAIN_POLL_S)
            if self._clock.now() - logged_at >= DRAIN_LOG_PERIOD_S:
                logged_at = self._clock.now()
                self._timeline.record(
                    "entry-draining",
                    requests=self._caller_server.active_request_count,
                    orders=self._order_runner.running,
                )

    def _is_drained(self, started_at: float) -> bool:
        if self._order_runner.running:
            return False
        has_waited = self._clock.now() - started_at >= DRAIN_IDLE_S
        is_idle = has_waited and self._caller_server.is_idle(DRAIN_IDLE_S)
        return is_idle or self._caller_server_stopped.is_set()

    async def _close(self) -> None:
        self._peer_client.close()
        await self._target_client.close()
        await self._store.close()

    def _is_relay_candidate(self) -> bool:
        if self._membership.leaving:
            return False
        live = self._membership.live_names(self._clock.now())
        ranked = rendezvous_rank(live, hash_key=self._settings.data_centre)
        return self._settings.name in ranked[: relay.RELAY_CANDIDATES]

    async def _refresh_load_balancer(self) -> None:
        while True:
            self._update_load_balancer()
            await trio.sleep(BALANCER_REFRESH_PERIOD_S)

    def _update_load_balancer(self) -> None:
        now = self._clock.now()
        live = self._membership.live_names(now)
        self._load_balancer.update(self._replica.current, live, now)

    async def _poll_vm_list(self) -> None:
        while True:
            if self._relay_role.holds():
                await self._read_vm_list()
            else:
                self._membership.set_listed_leaving(())
            await trio.sleep(VM_LIST_PERIOD_S)

    async def _read_vm_list(self) -> None:
        reply = await self._store.list_vms()
        if isinstance(reply, Ok):
            self._membership.set_listed_leaving(
                vm.name for vm in reply.ok_value if vm.state == VM_LEAVING_STATE
            )

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._admission.resize(configuration)
        own = self._settings.data_centre
        local_entries = configuration.entries_by_data_centre.get(own, ())
        self._membership.retain(entry.name for entry in local_entries)
        self._move_states.retain(configuration.moves_by_name)
        versions = configuration.items.versions
        self._evidence.retain({(v.service, v.name) for v in versions})
        self._update_load_balancer()
        self._metrics.revision.set({}, configuration.revision)
        cancelled = self._active_requests.cancel_withdrawn(configuration)
        if cancelled:
            self._timeline.record(
                "withdrawn-key-requests-ended", count=cancelled
            )

    def _version_shares(self, service: str) -> Mapping[str, VersionShare]:
        items = self._replica.current.items
        return version_shares(
            service,
            items.versions,
            items.moves,
            self._move_states.states_by_name,
            self._clock.wall(),
        )

    async def _serve_metrics(self) -> None:
        await listener.serve(
            self._answer_metrics,
            address=self._settings.metrics_address,
            stop=self._stop,
        )

    async def _answer_metrics(
        self, request: asgi.HttpRequest, send: asgi.Send
    ) -> None:
        if request.path != METRICS_PATH:
            await asgi.HttpResponse(status=NOT_FOUND).send(send)
            return
        for operation, count in self._store.calls.items():
            self._metrics.store_calls.set({"operation": operation}, count)
        self._metrics.order_writes.set({}, self._order_writer.writes)
        client = self._peer_client
        self._metrics.peer_bytes.set({"direction": "sent"}, client.sent_bytes)
        self._metrics.peer_bytes.set(
            {"direction": "received"}, client.received_bytes
        )
        await asgi.HttpResponse(
            body=self._metrics.text(), content_type=PROMETHEUS_CONTENT_TYPE
        ).send(send)
