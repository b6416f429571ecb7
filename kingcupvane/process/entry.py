"""The entry daemon: everything that lives as long as its process."""

import signal
from collections.abc import Mapping
from urllib.parse import parse_qs

import trio
from result import Err

from kingcupvane import asgi, problem
from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock, SystemClock
from kingcupvane.connection.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    FrameCodec,
    Heartbeat,
    LoanReply,
    LoanRequest,
    Message,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)
from kingcupvane.connection.peer import PeerClient, PeerServer
from kingcupvane.connection.target import TargetClient
from kingcupvane.errors import Refusal, Step
from kingcupvane.process import relay
from kingcupvane.process.gossip import Gossip
from kingcupvane.process.ledger import OrderLedger
from kingcupvane.process.membership import LEAVING_STATE, Membership
from kingcupvane.process.metrics import TEXT_TYPE, Metrics
from kingcupvane.process.replica import Replica
from kingcupvane.process.role import Role
from kingcupvane.process.sharing import ShareTask
from kingcupvane.process.store import HttpStore
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.request import authentication
from kingcupvane.request.admission import Admission
from kingcupvane.request.dispatch import Dispatcher, Sample
from kingcupvane.request.handler import RequestHandler, StreamRegistry
from kingcupvane.request.lookup import LookupAnswer, choose_entries
from kingcupvane.request.once import OrderRunner
from kingcupvane.request.retry import CrashRegistry
from kingcupvane.request.routing import LOAN_TTL_S, TargetBoard, rank
from kingcupvane.settings import EntrySettings, read_secret
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.share import ShareHolder

LOOKUP_PATH = "/v1/entries"
METRICS_PATH = "/metrics"
NOT_FOUND = 404
BOARD_PERIOD_S = 0.25
FETCH_PERIOD_S = 2.0
VM_LIST_PERIOD_S = 2.0
LEAVE_MARGIN_S = 1.0
DRAIN_POLL_S = 0.05
DRAIN_MAX_S = 60.0


class EntryDaemon:
    """Wires the parts of an entry together and runs their tasks."""

    def __init__(self, *, settings: EntrySettings, clock: Clock | None = None):
        """Makes a daemon; `run` starts it.

        Args:
            settings: Checked settings.
            clock: The process's clocks; those of the system by default.
        """
        self._settings = settings
        self._clock = clock or SystemClock()
        incarnation = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        self._incarnation = incarnation
        hybrid = HybridClock(clock=self._clock)
        self._timeline = Timeline(
            process=settings.name,
            clock=hybrid,
            capacity=settings.timeline.capacity,
        )
        codec = FrameCodec(secret=read_secret(settings.peer_secret_file))
        self._peers = PeerClient(
            codec=codec,
            clock=hybrid,
            timeout_s=settings.heartbeat.timeout_s,
        )
        self._peer_server = PeerServer(
            address=settings.peer_address,
            codec=codec,
            clock=hybrid,
            handler=self._answer_peer,
        )
        self._store = HttpStore(
            address=settings.store.address, timeout_s=settings.store.timeout_s
        )
        self._metrics = Metrics()
        self._replica = Replica(
            clock=self._clock,
            timeline=self._timeline,
            settings=settings.configuration,
        )
        self._membership = Membership(
            name=settings.name,
            incarnation=incarnation,
            settings=settings.heartbeat,
        )
        self._crashes = CrashRegistry(settings=settings.retry)
        self._gossip = Gossip(
            settings=settings,
            client=self._peers,
            replica=self._replica,
            membership=self._membership,
            crashes=self._crashes,
            timeline=self._timeline,
            clock=self._clock,
            seed=incarnation,
        )
        self._wire_roles()
        self._wire_requests()
        self._stop = trio.Event()

    def _wire_roles(self) -> None:
        settings = self._settings
        self._relay_role = Role(
            key=f"roles/relay/{settings.data_centre}",
            name=f"{settings.name}/{self._incarnation}",
            store=self._store,
            clock=self._clock,
            timeline=self._timeline,
            settings=settings.heartbeat,
        )
        self._relay = relay.Relay(
            role=self._relay_role,
            store=self._store,
            replica=self._replica,
            settings=settings.store,
        )

    def _wire_requests(self) -> None:
        settings = self._settings
        self._board = TargetBoard(
            name=settings.name,
            data_centre=settings.data_centre,
            seed=self._incarnation,
        )
        self._targets = TargetClient(
            whole_max_bytes=settings.request.whole_max_bytes
        )
        self._holder = ShareHolder(
            name=settings.name,
            incarnation=self._incarnation,
            settings=settings.share,
        )
        self._admission = Admission(holder=self._holder, clock=self._clock)
        self._streams = StreamRegistry()
        self._sharing = ShareTask(
            holder=self._holder,
            admission=self._admission,
            store=self._store,
            replica=self._replica,
            clock=self._clock,
            timeline=self._timeline,
            settings=settings.share,
        )
        self._dispatcher = Dispatcher(
            board=self._board,
            client=self._targets,
            clock=self._clock,
            timeline=self._timeline,
            crashes=self._crashes,
            queue=settings.queue,
            retry=settings.retry,
            shares=self._shares,
            observe=self._observe,
        )

    def _make_handler(self, nursery: trio.Nursery) -> RequestHandler:
        self._ledger = OrderLedger(
            store=self._store,
            clock=self._clock,
            settings=self._settings.order,
            nursery=nursery,
        )
        self._orders = OrderRunner(
            ledger=self._ledger,
            dispatcher=self._dispatcher,
            crashes=self._crashes,
            clock=self._clock,
            timeline=self._timeline,
            settings=self._settings.order,
            nursery=nursery,
        )
        return RequestHandler(
            settings=self._settings.request,
            clock=self._clock,
            timeline=self._timeline,
            metrics=self._metrics,
            admission=self._admission,
            dispatcher=self._dispatcher,
            orders=self._orders,
            streams=self._streams,
            configuration=lambda: self._replica.current,
            usable=self._replica.usable,
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                self._handler = self._make_handler(nursery)
                self._replica.subscribe(self._take_configuration)
                await nursery.start(self._peer_server.run)
                self._start_tasks(nursery)
                self._timeline.record("entry-started")
                async for _ in signals:
                    break
                await self._leave()
                nursery.cancel_scope.cancel()
        await self._close()

    async def _fetch_first(self) -> None:
        while self._replica.current.revision == 0:
            await relay.fetch_once(self._store, self._replica)
            await trio.sleep(FETCH_PERIOD_S)

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._fetch_first)
        nursery.start_soon(self._gossip.run)
        nursery.start_soon(self._drive_relay)
        nursery.start_soon(self._relay.run)
        nursery.start_soon(self._sharing.run)
        nursery.start_soon(self._watch_board)
        nursery.start_soon(self._watch_vms)
        nursery.start_soon(self._serve_callers)
        if self._settings.metrics_address:
            nursery.start_soon(self._serve_metrics)

    async def _serve_callers(self) -> None:
        tls = self._settings.tls
        await asgi.serve(
            self._answer_caller,
            address=self._settings.caller_address,
            stop=self._stop,
            certificate=tls.certificate,
            private_key=tls.private_key,
        )
        self._stopped.set()

    async def _leave(self) -> None:
        """Stops gracefully: no request that a caller has sent is cut."""
        self._stopped = trio.Event()
        self._membership.leave()
        self._timeline.record("entry-leaving")
        await self._gossip.round()
        await trio.sleep(self._settings.lookup.ttl_s + LEAVE_MARGIN_S)
        self._stop.set()
        with trio.move_on_after(DRAIN_MAX_S):
            await self._stopped.wait()
            while self._orders.running:
                await trio.sleep(DRAIN_POLL_S)
        await self._relay_role.resign()
        await self._sharing.release()
        self._timeline.record("entry-stopped")

    async def _close(self) -> None:
        self._peers.close()
        await self._targets.close()
        await self._store.close()

    async def _drive_relay(self) -> None:
        await relay.drive_role(
            self._relay_role, is_candidate=self._is_relay_candidate
        )

    def _is_relay_candidate(self) -> bool:
        if self._membership.leaving:
            return False
        live = self._membership.live(self._clock.now())
        ranked = rank(live, subject=self._settings.data_centre)
        return self._settings.name in ranked[: relay.CANDIDATES]

    async def _watch_board(self) -> None:
        while True:
            self._update_board()
            await trio.sleep(BOARD_PERIOD_S)

    async def _watch_vms(self) -> None:
        while True:
            if self._relay_role.holds():
                reply = await self._store.vms()
                if not isinstance(reply, Err):
                    self._membership.list_leaving(
                        vm.name
                        for vm in reply.ok_value
                        if vm.state == LEAVING_STATE
                    )
            await trio.sleep(VM_LIST_PERIOD_S)

    def _update_board(self) -> None:
        now = self._clock.now()
        self._board.update(
            self._replica.current, self._membership.live(now), now
        )

    def _take_configuration(self, configuration: Configuration) -> None:
        self._admission.resize(configuration)
        own = self._settings.data_centre
        near = configuration.entries_by_data_centre.get(own, ())
        self._membership.keep(entry.name for entry in near)
        self._update_board()
        self._metrics.revision.set({}, configuration.revision)
        ended = self._streams.end_withdrawn(configuration)
        if ended:
            self._timeline.record("withdrawn-key-requests-ended", count=ended)

    def _shares(self, service: str) -> Mapping[str, float]:
        items = self._replica.current.items
        return {v.name: v.share for v in items.versions if v.service == service}

    def _observe(self, sample: Sample) -> None:
        del sample

    async def _answer_caller(
        self, request: asgi.HttpRequest, send: asgi.Send
    ) -> None:
        if request.path == LOOKUP_PATH:
            await self._answer_lookup(request).send(send)
        else:
            await self._handler.handle(request, send)

    def _answer_lookup(self, request: asgi.HttpRequest) -> asgi.HttpResponse:
        configuration = self._replica.current
        query = parse_qs(request.query)
        service = query.get("service", [""])[0]
        known = configuration.services_by_name.get(service)
        if known is None:
            return problem.to_response(
                Refusal(
                    status=NOT_FOUND,
                    reason="unknown-service",
                    detail="No service has this name.",
                    step=Step.LOOK_UP,
                )
            )
        account = ""
        if not any(route.open for route in known.routes):
            key = authentication.presented_key(
                request.headers.get("authorization", "")
            )
            found = authentication.authenticate(key, configuration)
            if isinstance(found, Err):
                return problem.to_response(found.err_value)
            account = found.ok_value
        self._metrics.lookups.inc({})
        return asgi.json_response(self._lookup(account))

    def _lookup(self, account: str) -> LookupAnswer:
        configuration = self._replica.current
        names = configuration.entries_by_name
        entries = choose_entries(
            configuration,
            account=account,
            data_centre=self._settings.data_centre,
            live=self._membership.live(self._clock.now()),
            leaving=[n for n in names if self._membership.is_leaving(n)],
            count=self._settings.lookup.count,
        )
        return LookupAnswer(
            entries=[entry.caller_address for entry in entries],
            ttl_s=self._settings.lookup.ttl_s,
            revision=configuration.revision,
        )

    async def _serve_metrics(self) -> None:
        await asgi.serve(
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
        self._metrics.order_writes.set({}, self._ledger.writes)
        await asgi.HttpResponse(
            body=self._metrics.text(), content_type=TEXT_TYPE
        ).send(send)

    async def _answer_peer(self, message: Message) -> Message | None:
        match message:
            case Heartbeat():
                self._gossip.hear(message)
                return self._gossip.heartbeat()
            case ConfigurationRequest(revision=revision):
                return self._answer_configuration(revision)
            case LoanRequest():
                return self._lend(message)
            case StatusRequest():
                return self._status()
            case TimelineRequest(after=after):
                return TimelineReply(
                    events=self._timeline.since(after),
                    dropped=self._timeline.dropped,
                )
        return None

    def _answer_configuration(self, revision: int) -> ConfigurationReply:
        current = self._replica.current
        if current.revision <= revision:
            return ConfigurationReply(document="")
        return ConfigurationReply(document=current.model_dump_json())

    def _lend(self, request: LoanRequest) -> LoanReply:
        target = self._replica.current.targets_by_name.get(request.target)
        if target is None:
            return LoanReply(slots=0, ttl_s=0.0)
        slots = self._board.lender.lend(
            target=request.target,
            borrower=request.sender,
            wanted=request.slots,
            spare=self._board.spare(target),
            now=self._clock.now(),
            ttl_s=self._settings.request.timeout_s,
        )
        self._update_board()
        return LoanReply(slots=slots, ttl_s=LOAN_TTL_S)

    def _status(self) -> StatusReply:
        current = self._replica.current
        return StatusReply(
            name=self._settings.name,
            data_centre=self._settings.data_centre,
            revision=current.revision,
            digest=current.digest,
            leaving=self._membership.leaving,
            conclusions=list(self._conclusions()),
        )

    def _conclusions(self):
        now = self._clock.now()
        live = ", ".join(self._membership.live(now))
        yield f"Live entries of this data centre: {live}."
        yield (
            "The configuration was confirmed by the store"
            f" {self._replica.age_s():.1f} s ago."
        )
        if self._relay_role.holds():
            yield f"Relay, fence {self._relay_role.fence}."
        if now >= self._holder.loans_end_at():
            yield "Rates: floors only, no loans from the store."
        for target in self._replica.current.items.targets:
            if self._board.load(target).is_ejected(now):
                yield f"Target {target.name} is ejected."
        for reason, count in sorted(self._handler.refusals_by_reason.items()):
            yield f"Refused for {reason}: {count}."
