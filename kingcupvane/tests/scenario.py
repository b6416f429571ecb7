"""Interpreter of the scenario language, which runs against real processes.

A scenario has one statement per line; `scenario.lark` is the grammar.
"""

import operator
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
import lark
import msgspec

from kingcupvane.request.authentication import hash_key
from kingcupvane.standin.fleet import EntrySpec, Fleet, TargetSpec
from kingcupvane.standin.store import Fault
from kingcupvane.standin.target import TargetFault
from kingcupvane.tests.caller import (
    Load,
    Reply,
    call,
    order_headers,
)

GRAMMAR = Path(__file__).with_name("scenario.lark").read_text()
PARSER = lark.Lark(
    GRAMMAR, parser="earley", maybe_placeholders=True, propagate_positions=True
)
COMPARISONS = {"=": operator.eq, "<=": operator.le, ">=": operator.ge}
LIMITS_BY_ACCOUNT = {"acme": (400.0, 400.0), "small": (40.0, 40.0)}
POLL_S = 0.2
READY_S = 4.5
LOOKUP_TTL_S = 1.0
STATEMENTS: dict[str, Callable] = {}
SUBJECTS: dict[str, Callable] = {}


class ScenarioError(AssertionError):
    """A statement of a scenario failed."""


def statement(name: str) -> Callable:
    """Registers the function that runs the statements of a grammar rule."""

    def register(function: Callable) -> Callable:
        STATEMENTS[name] = function
        return function

    return register


def subject(name: str) -> Callable:
    """Registers the function that returns the value of a check's subject."""

    def register(function: Callable) -> Callable:
        SUBJECTS[name] = function
        return function

    return register


@dataclass(kw_only=True)
class Scenario:
    """State of a running scenario.

    Attributes:
        fleet: The processes.
        keys_by_name: Keys of client accounts.
        load: The current or last load; None before the first.
        orders_by_name: Idempotency keys by the name of the order.
        exits_by_name: Exit statuses of stopped processes.
        ended_by_name: By the name of a stream, 1 if it has ended, else 0.
        held_by_role: Holders that were killed or frozen under the name of
            their role, until they are restarted or thawed.
        pool: Connections of the single requests.
        changes: Number of release notes so far.
        timeline_told: Lines with the counted events in the time line as read
            last, and its lines without an event, which name missing daemons.
    """

    fleet: Fleet
    keys_by_name: dict[str, str] = field(default_factory=dict)
    load: Load | None = None
    orders_by_name: dict[str, str] = field(default_factory=dict)
    exits_by_name: dict[str, int] = field(default_factory=dict)
    ended_by_name: dict[str, int] = field(default_factory=dict)
    held_by_role: dict[str, str] = field(default_factory=dict)
    pool: httpcore.ConnectionPool = field(
        default_factory=httpcore.ConnectionPool
    )
    changes: int = 0
    timeline_told: list[str] = field(default_factory=list)

    def run(self, text: str) -> None:
        """Runs all statements of a scenario.

        Raises:
            ScenarioError: A statement failed.
        """
        for line in PARSER.parse(text + "\n").children:
            tree = line.children[0]
            try:
                self.execute(tree)
            except ScenarioError as error:
                raise ScenarioError(
                    f"line {line.meta.line}: {error}"
                ) from error

    def execute(self, tree: lark.Tree) -> None:
        """Runs one statement."""
        STATEMENTS[tree.data](self, *tree.children)

    def url(self, entry: str) -> str:
        """Returns the base URL of an entry."""
        return f"http://{self.fleet.members_by_name[entry].address}"

    def key(self, who: lark.Tree | None) -> str:
        """Returns the key that a statement names, `k1` by default."""
        return self.keys_by_name[str(who.children[0]) if who else "k1"]

    def process(self, name: str) -> str:
        """Returns the name of the process that a statement names.

        Args:
            name: Name of a process; `judge` and `relay` name the holder of
                that role.

        Raises:
            ScenarioError: No entry holds the role.
        """
        if name not in ("judge", "relay"):
            return name
        done = self.fleet.command("status", str(self.fleet.operator_file()))
        entry = ""
        for line in done.stdout.splitlines():
            if not line.startswith(" "):
                entry = line.split(maxsplit=1)[0]
            if f"Holds the role {name}" in line:
                return entry
        raise ScenarioError(f"no entry holds the role {name}")

    def apply(self, text: str) -> None:
        """Applies a release note, given as TOML without its change id.

        Raises:
            ScenarioError: The release note was refused.
        """
        self.changes += 1
        done = self.fleet.apply(f'change_id = "c{self.changes}"\n{text}')
        if done.returncode not in (0, 3):
            raise ScenarioError(
                f"release note refused: {done.stderr}{done.stdout}"
            )


def table(kind: str, **values: object) -> str:
    """Returns an item of a release note as a TOML table."""
    lines = [f"[[{kind}]]"]
    for name, value in values.items():
        lines.append(f"{name} = {msgspec.json.encode(value).decode()}")
    return "\n".join(lines) + "\n"


@statement("fleet")
def start_fleet(run: Scenario, centres, entries, targets) -> None:
    """Starts store, entries and targets, and applies the base release note."""
    fleet = run.fleet
    fleet.add_store()
    fleet.wait_ready()
    for centre in range(int(centres)):
        letter = "abcdef"[centre]
        place = {"region": f"r{centre // 2 + 1}", "data_centre": f"dc-{letter}"}
        for number in range(1, int(entries) + 1):
            fleet.add_entry(
                EntrySpec(name=f"e-{letter}{number}", **place),
                lookup={"ttl_s": LOOKUP_TTL_S},
            )
        for number in range(1, int(targets) + 1):
            name = f"t-{letter}{number}"
            fleet.add_target(TargetSpec(name=name, service="treaty", **place))
    fleet.wait_ready()
    run.keys_by_name["k1"] = "k1_first-secret"
    run.keys_by_name["k2"] = "k2_second-secret"
    run.apply(base_note(run))
    time.sleep(READY_S)


def base_note(run: Scenario) -> str:
    """Returns the release note with the initial configuration."""
    parts = [
        table(
            "add.entries",
            name=e.name,
            region=e.region,
            data_centre=e.data_centre,
            caller_address=e.caller_address,
            peer_address=e.peer_address,
        )
        for e in run.fleet.entries
    ]
    parts.append(
        '[[add.services]]\nname = "treaty"\n'
        'routes = [{ prefix = "/book", at_most_once = true }]\n'
    )
    parts.append(table("add.versions", name="v1", service="treaty"))
    parts.append(table("add.versions", name="v2", service="treaty", share=0.0))
    for name, (rate, burst) in LIMITS_BY_ACCOUNT.items():
        parts.append(table("add.accounts", name=name, rate=rate, burst=burst))
    for name, account in (("k1", "acme"), ("k2", "small")):
        digest = hash_key(run.keys_by_name[name])
        parts.append(
            table("add.keys", name=name, account=account, sha256=digest)
        )
    parts.extend(target_table(spec) for spec in run.fleet.targets)
    return "".join(parts)


def target_table(spec: TargetSpec, kind: str = "add", **values: object) -> str:
    """Returns a target as an item of a release note."""
    fields = {
        "name": spec.name,
        "service": spec.service,
        "version": spec.version,
        "region": spec.region,
        "data_centre": spec.data_centre,
        "address": spec.address,
        "slots": spec.slots,
    }
    return table(f"{kind}.targets", **{**fields, **values})


@statement("send")
def send(run: Scenario, method, path, entry, who, timeout, expect) -> None:
    """Sends a request and checks the reply."""
    url = run.url(entry) + path
    headers = {}
    if timeout:
        headers["request-timeout"] = str(timeout.children[0])
    reply = call(run.pool, method, url, key=run.key(who), headers=headers)
    expect_reply(reply, expect)


@statement("stream")
def start_stream(run: Scenario, name, entry, who) -> None:
    """Starts reading an endless response."""
    url = run.url(entry) + "/treaty/pos/stream"
    run.ended_by_name[str(name)] = 0

    def read() -> None:
        headers = {"request-timeout": "50"}
        with httpcore.ConnectionPool() as pool:
            call(pool, "GET", url, key=run.key(who), headers=headers)
        run.ended_by_name[str(name)] = 1

    threading.Thread(target=read, daemon=True).start()


@statement("cut_upload")
def cut_upload(run: Scenario, entry) -> None:
    """Sends half of a request body and closes the connection."""
    host, _, port = run.fleet.members_by_name[str(entry)].address.partition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b"POST /treaty/pos/file HTTP/1.1\r\nhost: entry\r\n"
            b"authorization: Bearer "
            + run.keys_by_name["k2"].encode()
            + b"\r\ncontent-length: 1000\r\n\r\n"
            + b"x" * 500
        )
        time.sleep(POLL_S)


def expect_reply(reply: Reply, expect) -> None:
    """Compares a reply with the expectation of a statement, if any.

    Raises:
        ScenarioError: The reply differs.
    """
    if expect is None:
        return
    wanted, executed = expect.children
    if str(wanted) not in (str(reply.status), reply.reason):
        raise ScenarioError(f"expected {wanted}, got {reply}")
    if executed is not None and str(executed) != reply.executed:
        raise ScenarioError(f"expected executed {executed}, got {reply}")


@statement("order")
def order(run: Scenario, name, entry, attempt, body, expect) -> None:
    """Sends an order; a second order of the same name repeats it."""
    import uuid6

    key = run.orders_by_name.setdefault(str(name), str(uuid6.uuid7()))
    count = int(attempt.children[0]) if attempt else 1
    content = str(body.children[0]) if body else "content"
    with httpcore.ConnectionPool() as pool:
        reply = call(
            pool,
            "POST",
            run.url(entry) + "/treaty/book",
            key=run.keys_by_name["k1"],
            headers=order_headers(key, attempt=count),
            body=content.encode(),
        )
    expect_reply(reply, expect)


@statement("join")
def start_order(run: Scenario, tree) -> None:
    """Starts an order without waiting for its reply."""
    thread = threading.Thread(target=run.execute, args=(tree,), daemon=True)
    thread.start()


@statement("load")
def start_load(run: Scenario, rate, kind, who, place, *entries) -> None:
    """Starts a steady load: `at` the entries in turn, or `via` look-ups."""
    run.load = Load(
        urls=[run.url(str(entry)) for entry in entries],
        key=run.key(who),
        rate=float(rate),
        kind=str(kind),
        look_up=place == "via",
    )
    run.load.start()


@statement("stop_load")
def stop_load(run: Scenario) -> None:
    """Stops the load."""
    run.load.stop()


@statement("operate")
def operate(run: Scenario, operation, name) -> None:
    """Kills, freezes, stops or cuts off a process, or reverts that."""
    known = run.held_by_role.pop(str(name), None)
    process = known or run.process(str(name))
    if operation in ("kill", "freeze") and process != name:
        run.held_by_role[str(name)] = process
    if operation == "terminate":
        run.exits_by_name[str(name)] = run.fleet.stop(process)
    else:
        getattr(run.fleet, str(operation))(process)


@statement("fault")
def fault(run: Scenario, name, field_name, value) -> None:
    """Sets one fault of a target; its other faults end."""
    number = float(value)
    kind = TargetFault.__annotations__[str(field_name)]
    values = {str(field_name): kind(number)}
    run.fleet.control(str(name), "fault", TargetFault(**values))


@statement("store_fault")
def store_fault(run: Scenario, word, value) -> None:
    """Sets a fault of the store, or ends all its faults."""
    number = float(value or 0)
    faults = {
        "down": Fault(down=True),
        "up": Fault(),
        "slow": Fault(delay_s=number),
        "loses": Fault(lose_share=number),
    }
    run.fleet.control("store", "fault", faults[str(word)])


@statement("note")
def note(run: Scenario, kind, name, value) -> None:
    """Applies a release note with one change."""
    NOTES[str(kind)](run, str(name), float(value or 0))


def _withdraw_key(run: Scenario, name: str, _: float) -> None:
    run.apply(f'[withdraw]\nkeys = ["{name}"]\n')


def _leave_target(run: Scenario, name: str, _: float) -> None:
    spec = next(t for t in run.fleet.targets if t.name == name)
    run.apply(target_table(spec, "change", state="leaving"))


def _add_account(run: Scenario, name: str, rate: float) -> None:
    run.apply(table("add.accounts", name=name, rate=rate or 1.0, burst=10.0))


def _add_target(run: Scenario, name: str, _: float) -> None:
    letter = name.split("-")[1][0]
    spec = TargetSpec(
        name=name,
        service="treaty",
        version="v2",
        region="r1",
        data_centre=f"dc-{letter}",
    )
    run.fleet.add_target(spec)
    run.fleet.wait_ready([name])
    run.apply(target_table(spec))


def _move(run: Scenario, name: str, seconds: float) -> None:
    run.apply(
        table(
            "add.moves",
            name=name,
            service="treaty",
            old="v1",
            new="v2",
            cap=0.1,
            step=0.3,
            hold_s=1.0,
            deadline=time.time() + seconds,
        )
    )


NOTES = {
    "withdraw-key": _withdraw_key,
    "leave-target": _leave_target,
    "add-account": _add_account,
    "add-target": _add_target,
    "move": _move,
}


@statement("wait")
def wait(run: Scenario, seconds) -> None:
    """Waits for a number of seconds."""
    del run
    time.sleep(float(seconds))


@statement("check")
def check(run: Scenario, what, comparison, value) -> None:
    """Compares the value of a subject with a number.

    Raises:
        ScenarioError: The comparison is false.
    """
    found = SUBJECTS[what.data](run, *what.children)
    if not COMPARISONS[str(comparison)](found, float(value)):
        words = " ".join(str(child) for child in what.children)
        raise ScenarioError(
            f"{what.data} {words}: {found}, expected {comparison} {value};"
            f" load {dict(run.load.replies) if run.load else None};"
            f" time line {run.timeline_told}"
        )


@statement("eventually")
def eventually(run: Scenario, seconds, tree) -> None:
    """Repeats a statement until it succeeds.

    Raises:
        ScenarioError: It still failed after the given seconds.
    """
    ends_at = time.monotonic() + float(seconds)
    while True:
        try:
            run.execute(tree)
            return
        except ScenarioError:
            if time.monotonic() >= ends_at:
                raise
        time.sleep(POLL_S)


@subject("runs")
def runs(run: Scenario, name) -> int:
    """Returns how often targets executed an order."""
    return run.fleet.runs(run.orders_by_name[str(name)])


@subject("load_count")
def load_count(run: Scenario, reason) -> int:
    """Returns how many replies to the load have a reason, or the total."""
    if reason == "total":
        return run.load.replies.total()
    return run.load.replies[str(reason)]


@subject("order_count")
def order_count(run: Scenario, kind) -> int:
    """Returns how many orders of the load are of a kind.

    Args:
        run: The scenario.
        kind: `twice` (executed more than once), `lost` (success reported, but
            not executed), `false-no` (executed, but reported as not executed)
            or `run` (executed once).
    """
    replies = run.load.order_replies
    counts = {key: run.fleet.runs(key) for key in replies}
    kinds = {
        "twice": [k for k, n in counts.items() if n > 1],
        "lost": [
            k for k, r in replies.items() if r.reason == "ok" and counts[k] == 0
        ],
        "false-no": [
            k
            for k, r in replies.items()
            if r.executed == "no" and counts[k] > 0
        ],
        "run": [k for k, n in counts.items() if n == 1],
    }
    return len(kinds[str(kind)])


@subject("events")
def events(run: Scenario, kind) -> int:
    """Returns how many events of a kind are on the time line."""
    done = run.fleet.command("timeline", str(run.fleet.operator_file()))
    lines = done.stdout.splitlines()
    wanted = f"event={kind}"
    run.timeline_told = [
        line for line in lines if wanted in line or "event=" not in line
    ]
    return done.stdout.count(wanted)


@subject("leaked")
def leaked(run: Scenario) -> int:
    """Returns how many requests reached a target with a key."""
    return sum(report["leaked"] for report in reports(run))


def reports(run: Scenario) -> list[dict]:
    """Returns the run reports of all targets that can be reached."""
    found = []
    for spec in run.fleet.targets:
        try:
            raw = run.fleet.control(spec.name, "report")
        except httpcore.NetworkError:
            continue
        found.append(msgspec.json.decode(raw))
    return found


@subject("excess")
def excess(run: Scenario, account) -> float:
    """Returns by how many requests an account exceeded its rate and burst."""
    rate, burst = LIMITS_BY_ACCOUNT[str(account)]
    arrivals = sorted(
        moment
        for report in reports(run)
        for moment in report["arrivals_by_account"].get(str(account), [])
    )
    tokens, lowest, before = burst, burst, 0.0
    for moment in arrivals:
        tokens = min(burst, tokens + (moment - before) * rate) - 1
        before = moment
        lowest = min(lowest, tokens)
    return max(0.0, -lowest)


@subject("share")
def share(run: Scenario, version) -> float:
    """Returns a version's share of all requests that targets served, in %."""
    served = {"v1": 0, "v2": 0}
    for spec in run.fleet.targets:
        raw = run.fleet.control(spec.name, "report")
        counts = msgspec.json.decode(raw)["served_by_account"]
        served[spec.version] += sum(counts.values())
    return 100.0 * served[str(version)] / max(1, sum(served.values()))


@subject("revision")
def revision(run: Scenario, entry) -> int:
    """Returns the configuration revision in force at an entry."""
    done = run.fleet.command("status", str(run.fleet.operator_file()))
    for line in done.stdout.splitlines():
        if line.startswith(f"{entry} in"):
            return int(line.partition("revision ")[2].split()[0])
    return -1


@subject("ended")
def ended(run: Scenario, name) -> int:
    """Returns 1 if a streamed response has ended, else 0."""
    return run.ended_by_name[str(name)]


@subject("served")
def served(run: Scenario, account) -> int:
    """Returns how many requests of an account targets served."""
    found = reports(run)
    return sum(r["served_by_account"].get(str(account), 0) for r in found)


@subject("peak")
def peak(run: Scenario, target) -> int:
    """Returns the largest number of concurrent requests at a target."""
    raw = run.fleet.control(str(target), "report")
    return msgspec.json.decode(raw)["peak"]


@subject("exit_status")
def exit_status(run: Scenario, name) -> int:
    """Returns the exit status of a stopped process."""
    return run.exits_by_name[str(name)]
