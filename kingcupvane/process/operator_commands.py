"""The operator's commands: check, apply, status and timeline."""

import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from kingcupvane.clock import SystemClock
from kingcupvane.connection.messages import (
    FrameCodec,
    Message,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)
from kingcupvane.connection.peer import PeerClient
from kingcupvane.errors import PeerError, StoreError
from kingcupvane.process.store import (
    ABSENT_REVISION,
    Conflict,
    HttpStore,
    Item,
    Store,
)
from kingcupvane.process.timeline import (
    HybridClock,
    merge_timelines,
    render_event,
)
from kingcupvane.settings import OperatorSettings, load, read_secret
from kingcupvane.version.configuration import (
    LIVE_CONFIGURATION_KEY,
    Configuration,
    ReleaseNote,
    apply_note,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# Some daemons did not reply, or do not use the applied configuration yet.
EXIT_PARTIAL = 3
POLL_PERIOD_S = 0.2
PEER_TIMEOUT_S = 1.0
WRITE_ATTEMPTS_MAX = 10
WRITE_RETRY_DELAY_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A change that is in the store.

    Attributes:
        configuration: The configuration that includes the change.
    """

    configuration: Configuration


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """A change that does not fit the current configuration.

    Attributes:
        faults: One message for each fault.
    """

    faults: tuple[str, ...]


async def commit(
    store: Store, note: ReleaseNote
) -> Result[Accepted, Rejected | StoreError]:
    """Merges a release note into the current configuration and writes it.

    After a store error or a conflicting write by another operator it reads
    again. After an error the write may have taken effect; the change id shows
    whether the configuration includes the change.
    """
    error: StoreError | None = None
    for _ in range(WRITE_ATTEMPTS_MAX):
        found = await store.get(LIVE_CONFIGURATION_KEY)
        if isinstance(found, Err):
            error = found.err_value
            await trio.sleep(WRITE_RETRY_DELAY_S)
            continue
        current = decode_configuration(found.ok_value)
        if error is not None and note.change_id in current.change_ids:
            return Ok(Accepted(configuration=current))
        merged = apply_note(current, note)
        if isinstance(merged, Err):
            return Err(Rejected(faults=merged.err_value))
        written = await store.compare_and_swap(
            LIVE_CONFIGURATION_KEY,
            merged.ok_value.model_dump_json(),
            expected=found.ok_value.revision,
        )
        match written:
            case Ok():
                return Ok(Accepted(configuration=merged.ok_value))
            case Err(Conflict()):
                continue
            case Err(StoreError() as failure):
                error = failure
                await trio.sleep(WRITE_RETRY_DELAY_S)
    exhausted = StoreError(
        step="swap",
        peer="",
        detail="the configuration changed before every write attempt",
    )
    return Err(error or exhausted)


def decode_configuration(item: Item) -> Configuration:
    """Returns the configuration in a store item, empty when absent."""
    if item.revision == ABSENT_REVISION:
        return Configuration()
    return Configuration.model_validate_json(item.value)


class FleetClient:
    """Client of the store and of all daemons of a fleet."""

    def __init__(self, *, settings: OperatorSettings):
        """Creates the connections, which open when they are first used."""
        codec = FrameCodec(secret=read_secret(settings.peer_secret_file))
        self._settings = settings
        self._peers = PeerClient(
            codec=codec,
            clock=HybridClock(clock=SystemClock()),
            timeout_s=PEER_TIMEOUT_S,
        )
        self.store = HttpStore(
            address=settings.store.address, timeout_s=settings.store.timeout_s
        )

    async def close(self) -> None:
        """Closes all connections."""
        self._peers.close()
        await self.store.close()

    async def configuration(self) -> Configuration:
        """Returns the store's configuration, empty when the read fails."""
        found = await self.store.get(LIVE_CONFIGURATION_KEY)
        return (
            decode_configuration(found.ok_value)
            if isinstance(found, Ok)
            else (Configuration())
        )

    def addresses(self, configuration: Configuration) -> dict[str, str]:
        """Returns peer addresses by entry name; the seeds if none is known."""
        entries = configuration.items.entries
        if entries:
            return {entry.name: entry.peer_address for entry in entries}
        return {seed: seed for seed in self._settings.seeds}

    async def ask_all(
        self, addresses: dict[str, str], message: Message
    ) -> dict[str, Result[Message, PeerError]]:
        """Sends a message to several daemons at the same time.

        Returns:
            The replies by name.
        """
        replies: dict[str, Result[Message, PeerError]] = {}

        async def ask(name: str, address: str) -> None:
            replies[name] = await self._peers.ask(address, message)

        async with trio.open_nursery() as nursery:
            for name, address in addresses.items():
                nursery.start_soon(ask, name, address)
        return replies


def check(note_file: str, operator_file: str) -> int:
    """Checks a release note; see `kingcupvane check`."""
    note = load(note_file, ReleaseNote)
    if not operator_file:
        print(f"{note_file}: well formed; not checked against the store")
        return EXIT_OK
    settings = load(operator_file, OperatorSettings)
    return trio.run(_check, note_file, note, settings)


async def _check(
    note_file: str, note: ReleaseNote, settings: OperatorSettings
) -> int:
    fleet = FleetClient(settings=settings)
    found = await fleet.store.get(LIVE_CONFIGURATION_KEY)
    await fleet.close()
    if isinstance(found, Err):
        return _print_store_error(found.err_value)
    outcome = apply_note(decode_configuration(found.ok_value), note)
    if isinstance(outcome, Err):
        return _print_faults(note_file, outcome.err_value)
    print(f"{note_file}: would become revision {outcome.ok_value.revision}")
    return EXIT_OK


def apply(note_file: str, operator_file: str) -> int:
    """Applies a release note; see `kingcupvane apply`."""
    note = load(note_file, ReleaseNote)
    settings = load(operator_file, OperatorSettings)
    return trio.run(_apply, note_file, note, settings)


async def _apply(
    note_file: str, note: ReleaseNote, settings: OperatorSettings
) -> int:
    fleet = FleetClient(settings=settings)
    outcome = await commit(fleet.store, note)
    match outcome:
        case Ok(Accepted(configuration=configuration)):
            print(
                f"change {note.change_id} accepted as revision"
                f" {configuration.revision}"
            )
            exit_status = await _wait_in_force(fleet, configuration, settings)
        case Err(Rejected(faults=faults)):
            exit_status = _print_faults(note_file, faults)
        case Err(StoreError() as error):
            exit_status = _print_store_error(error)
    await fleet.close()
    return exit_status


async def _wait_in_force(
    fleet: FleetClient, configuration: Configuration, settings: OperatorSettings
) -> int:
    started_at = time.monotonic()
    waiting = fleet.addresses(configuration)
    entries = configuration.entries_by_name
    while waiting:
        replies = await fleet.ask_all(waiting, StatusRequest())
        updated = [
            name
            for name, reply in replies.items()
            if _is_in_force(reply, configuration.revision)
        ]
        for name in updated:
            del waiting[name]
        elapsed_s = time.monotonic() - started_at
        _print_updated_data_centres(configuration, updated, waiting, elapsed_s)
        if elapsed_s >= settings.apply_timeout_s:
            break
        await trio.sleep(POLL_PERIOD_S)
    for name in sorted(waiting):
        data_centre = entries[name].data_centre if name in entries else "?"
        print(f"not reached: {name} in {data_centre}")
    return EXIT_PARTIAL if waiting else EXIT_OK


def _is_in_force(reply: Result[Message, PeerError], revision: int) -> bool:
    if isinstance(reply, Err) or not isinstance(reply.ok_value, StatusReply):
        return False
    return reply.ok_value.revision >= revision


def _print_updated_data_centres(
    configuration: Configuration,
    updated: Iterable[str],
    waiting: dict[str, str],
    elapsed_s: float,
) -> None:
    entries = configuration.entries_by_name
    updated_data_centres = {
        entries[n].data_centre for n in updated if n in entries
    }
    waiting_data_centres = {
        entries[n].data_centre for n in waiting if n in entries
    }
    for data_centre in sorted(updated_data_centres - waiting_data_centres):
        print(f"in force in {data_centre} after {elapsed_s:.1f} s")


def _print_faults(note_file: str, faults: Iterable[str]) -> int:
    for fault in faults:
        print(f"{note_file}: {fault}", file=sys.stderr)
    return EXIT_USAGE


def _print_store_error(error: StoreError) -> int:
    print(
        f"store {error.peer} failed at {error.step}: {error.detail};"
        " apply the same note again to learn whether it was accepted",
        file=sys.stderr,
    )
    return EXIT_FAILED


def status(operator_file: str) -> int:
    """Prints the status of each daemon; see `kingcupvane status`."""
    settings = load(operator_file, OperatorSettings)
    return trio.run(_status, settings)


async def _status(settings: OperatorSettings) -> int:
    fleet = FleetClient(settings=settings)
    configuration = await fleet.configuration()
    print(f"store: revision {configuration.revision}")
    addresses = fleet.addresses(configuration)
    replies = await fleet.ask_all(addresses, StatusRequest())
    await fleet.close()
    for name in sorted(replies):
        _print_status(name, replies[name])
    failed = any(isinstance(reply, Err) for reply in replies.values())
    return EXIT_PARTIAL if failed else EXIT_OK


def _print_status(name: str, reply: Result[Message, PeerError]) -> None:
    if isinstance(reply, Err):
        error = reply.err_value
        print(f"{name}: not reached at {error.peer}: {error.detail}")
        return
    message = reply.ok_value
    state = "leaving" if message.leaving else "serving"
    print(
        f"{message.name} in {message.data_centre}: {state},"
        f" revision {message.revision} ({message.digest[:8]})"
    )
    for conclusion in message.conclusions:
        print(f"  {conclusion}")


def timeline(operator_file: str) -> int:
    """Prints the events of all daemons; see `kingcupvane timeline`."""
    settings = load(operator_file, OperatorSettings)
    return trio.run(_timeline, settings)


async def _timeline(settings: OperatorSettings) -> int:
    fleet = FleetClient(settings=settings)
    addresses = fleet.addresses(await fleet.configuration())
    replies = await fleet.ask_all(addresses, TimelineRequest())
    await fleet.close()
    reached = {
        name: reply.ok_value
        for name, reply in replies.items()
        if isinstance(reply, Ok) and isinstance(reply.ok_value, TimelineReply)
    }
    for event in merge_timelines(reply.events for reply in reached.values()):
        print(render_event(event))
    for name in sorted(set(replies) - set(reached)):
        print(f"not reached: {name}")
    for name, reply in sorted(reached.items()):
        if reply.dropped:
            print(f"{name}: {reply.dropped} older events no longer kept")
    return EXIT_OK if len(reached) == len(replies) else EXIT_PARTIAL
