"""Interpreter of the scenario language; scenarios run on real processes.

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
from kingcupvane.standin.store import StoreFault
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
STARTUP_WAIT_S = 4.5
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
        order_keys_by_name: Idempotency keys by the name of the order.
        exit_statuses_by_name: Exit statuses of stopped processes.
        ended_by_stream: By the name of a stream, 1 if it has ended, else 0.
        stopped_holder_by_role: Holders that were killed or frozen under the
            name of their role, until they are restarted or thawed.
        pool: Connections of `send` statements.
        change_count: Number of release notes applied so far.
        timeline_lines: From the last read of the time line, the lines of the
            events that were counted, and the lines without an event, which name
            daemons that were not reached or have dropped older events.
    """

    fleet: Fleet
    keys_by_name: dict[str, str] = field(default_factory=dict)
    load: Load | None = None
    order_keys_by_name: dict[str, str] = field(default_factory=dict)
    exit_statuses_by_name: dict[str, int] = field(default_factory=dict)
    ended_by_stream: dict[str, int] = field(default_factory=dict)
    stopped_holder_by_role: dict[str, str] = field(default_factory=dict)
    pool: httpcore.ConnectionPool = field(
        default_factory=httpcore.ConnectionPool
    )
    change_count: int = 0
    timeline_lines: list[str] = field(default_factory=list)

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
        return f"http://{self.fleet.processes_by_name[entry].address}"

    def key(self, who: lark.Tree | None) -> str:
        """Returns the key that an `as` clause names, `k1` without one."""
        return self.keys_by_name[str(who.children[0]) if who else "k1"]

    def process_name(self, name: str) -> str:
        """Returns the name of the process that a statement names.

        Args:
            name: Name of a process; `judge` and `relay` name the holder of
                that role.

        Raises:
            ScenarioError: No entry holds the role.
        """
        if name not in ("judge", "relay"):
            return name
        completed = self.fleet.run_command(
            "status", str(self.fleet.write_operator_settings())
        )
        entry = ""
        for line in completed.stdout.splitlines():
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
        self.change_count += 1
        completed = self.fleet.apply(
            f'change_id = "c{self.change_count}"\n{text}'
        )
        if completed.returncode not in (0, 3):
            raise ScenarioError(
                f"release note refused: {completed.stderr}{completed.stdout}"
            )


def table(kind: str, **values: object) -> str:
    """Returns an item of a release note as TOML.

    Args:
        kind: Array of tables that holds the item, such as `add.entries`.
        **values: Fields of the item.
    """
    lines = [f"[[{kind}]]"]
    for name, value in values.items():
        lines.append(f"{name} = {msgspec.json.encode(value).decode()}")
    return "\n".join(lines) + "\n"


@statement("fleet")
def start_fleet(scenario: Scenario, data_centres, entries, targets) -> None:
    """Starts store, entries and targets, and applies the base release note."""
    fleet = scenario.fleet
    fleet.add_store()
    fleet.wait_ready()
    for index in range(int(data_centres)):
        letter = "abcdef"[index]
        location = {
            "region": f"r{index // 2 + 1}",
            "data_centre": f"dc-{letter}",
        }
        for number in range(1, int(entries) + 1):
            fleet.add_entry(
                EntrySpec(name=f"e-{letter}{number}", **location),
                lookup={"ttl_s": LOOKUP_TTL_S},
            )
        for number in range(1, int(targets) + 1):
            name = f"t-{letter}{number}"
            fleet.add_target(
                TargetSpec(name=name, service="treaty", **location)
            )
    fleet.wait_ready()
    scenario.keys_by_name["k1"] = "k1_first-secret"
    scenario.keys_by_name["k2"] = "k2_second-secret"
    scenario.apply(base_release_note(scenario))
    time.sleep(STARTUP_WAIT_S)


def base_release_note(scenario: Scenario) -> str:
    """Returns the release note with the initial configuration."""
    tables = [
        table(
            "add.entries",
            name=entry.name,
            region=entry.region,
            data_centre=entry.data_centre,
            caller_address=entry.caller_address,
            peer_address=entry.peer_address,
        )
        for entry in scenario.fleet.entries
    ]
    tables.append(
        '[[add.services]]\nname = "treaty"\n'
        'routes = [{ prefix = "/book", at_most_once = true }]\n'
    )
    tables.append(table("add.versions", name="v1", service="treaty"))
    tables.append(table("add.versions", name="v2", service="treaty", share=0.0))
    for name, (rate, burst) in LIMITS_BY_ACCOUNT.items():
        tables.append(table("add.accounts", name=name, rate=rate, burst=burst))
    for name, account in (("k1", "acme"), ("k2", "small")):
        digest = hash_key(scenario.keys_by_name[name])
        tables.append(
            table("add.keys", name=name, account=account, sha256=digest)
        )
    tables.extend(target_table(spec) for spec in scenario.fleet.targets)
    return "".join(tables)


def target_table(
    spec: TargetSpec, action: str = "add", **values: object
) -> str:
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
    return table(f"{action}.targets", **{**fields, **values})


@statement("send")
def send(scenario: Scenario, method, path, entry, who, timeout, expect) -> None:
    """Sends a request and checks the reply."""
    url = scenario.url(entry) + path
    headers = {}
    if timeout:
        headers["request-timeout"] = str(timeout.children[0])
    reply = call(
        scenario.pool, method, url, key=scenario.key(who), headers=headers
    )
    check_reply(reply, expect)


@statement("stream")
def start_stream(scenario: Scenario, name, entry, who) -> None:
    """Starts reading an endless response."""
    url = scenario.url(entry) + "/treaty/pos/stream"
    scenario.ended_by_stream[str(name)] = 0

    def read() -> None:
        headers = {"request-timeout": "50"}
        with httpcore.ConnectionPool() as pool:
            call(pool, "GET", url, key=scenario.key(who), headers=headers)
        scenario.ended_by_stream[str(name)] = 1

    threading.Thread(target=read, daemon=True).start()


@statement("cut_upload")
def cut_upload(scenario: Scenario, entry) -> None:
    """Sends half of a request body and closes the connection."""
    host, _, port = scenario.fleet.processes_by_name[
        str(entry)
    ].address.partition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b"POST /treaty/pos/file HTTP/1.1\r\nhost: entry\r\n"
            b"authorization: Bearer "
            + scenario.keys_by_name["k2"].encode()
            + b"\r\ncontent-length: 1000\r\n\r\n"
            + b"x" * 500
        )
        time.sleep(POLL_S)


def check_reply(reply: Reply, expect) -> None:
    """Compares a reply with the expectation of a statement, if any.

    Raises:
        ScenarioError: The reply differs.
    """
    if expect is None:
        return
    expected, executed = expect.children
    if str(expected) not in (str(reply.status), reply.reason):
        raise ScenarioError(f"expected {expected}, got {reply}")
    if executed is not None and str(executed) != reply.executed:
        raise ScenarioError(f"expected executed {executed}, got {reply}")


@statement("order")
def order(scenario: Scenario, name, entry, attempt, body, expect) -> None:
    """Sends an order; a second order of the same name repeats it."""
    import uuid6

    key = scenario.order_keys_by_name.setdefault(str(name), str(uuid6.uuid7()))
    attempt_number = int(attempt.children[0]) if attempt else 1
    content = str(body.children[0]) if body else "content"
    with httpcore.ConnectionPool() as pool:
        reply = call(
            pool,
            "POST",
            scenario.url(entry) + "/treaty/book",
            key=scenario.keys_by_name["k1"],
            headers=order_headers(key, attempt=attempt_number),
            body=content.encode(),
        )
    check_reply(reply, expect)


@statement("start_order")
def start_order(scenario: Scenario, tree) -> None:
    """Starts an order without waiting for its reply."""
    thread = threading.Thread(
        target=scenario.execute, args=(tree,), daemon=True
    )
    thread.start()


@statement("load")
def start_load(
    scenario: Scenario, rate, kind, who, preposition, *entries
) -> None:
    """Starts a steady load: `at` the entries in turn, or `via` look-ups."""
    scenario.load = Load(
        urls=[scenario.url(str(entry)) for entry in entries],
        key=scenario.key(who),
        rate=float(rate),
        kind=str(kind),
        uses_lookup=preposition == "via",
    )
    scenario.load.start()


@statement("stop_load")
def stop_load(scenario: Scenario) -> None:
    """Stops the load."""
    scenario.load.stop()


@statement("operate")
def operate(scenario: Scenario, operation, name) -> None:
    """Kills, freezes, stops or cuts off a process, or reverts that.

    `terminate` stops it gracefully and stores its exit status; `leave` also
    stops it gracefully, but doesn't wait for its exit. `cut` drops an entry's
    traffic with the store.
    """
    stopped_holder = scenario.stopped_holder_by_role.pop(str(name), None)
    process = stopped_holder or scenario.process_name(str(name))
    if operation in ("kill", "freeze") and process != name:
        scenario.stopped_holder_by_role[str(name)] = process
    if operation == "terminate":
        scenario.exit_statuses_by_name[str(name)] = scenario.fleet.stop(process)
    else:
        getattr(scenario.fleet, str(operation))(process)


@statement("fault")
def fault(scenario: Scenario, name, field_name, value) -> None:
    """Sets one fault of a target; its other faults end."""
    number = float(value)
    field_type = TargetFault.__annotations__[str(field_name)]
    values = {str(field_name): field_type(number)}
    scenario.fleet.post_control(str(name), "fault", TargetFault(**values))


@statement("store_fault")
def store_fault(scenario: Scenario, kind, value) -> None:
    """Sets a fault of the store, or ends all its faults."""
    number = float(value or 0)
    faults = {
        "down": StoreFault(down=True),
        "up": StoreFault(),
        "slow": StoreFault(delay_s=number),
        "loses": StoreFault(lose_share=number),
    }
    scenario.fleet.post_control("store", "fault", faults[str(kind)])


@statement("note")
def note(scenario: Scenario, kind, name, value) -> None:
    """Applies a release note with one change."""
    NOTES[str(kind)](scenario, str(name), float(value or 0))


def _withdraw_key(scenario: Scenario, name: str, _: float) -> None:
    scenario.apply(f'[withdraw]\nkeys = ["{name}"]\n')


def _leave_target(scenario: Scenario, name: str, _: float) -> None:
    spec = next(t for t in scenario.fleet.targets if t.name == name)
    scenario.apply(target_table(spec, "change", state="leaving"))


def _add_account(scenario: Scenario, name: str, rate: float) -> None:
    scenario.apply(
        table("add.accounts", name=name, rate=rate or 1.0, burst=10.0)
    )


def _add_target(scenario: Scenario, name: str, _: float) -> None:
    letter = name.split("-")[1][0]
    spec = TargetSpec(
        name=name,
        service="treaty",
        version="v2",
        region="r1",
        data_centre=f"dc-{letter}",
    )
    scenario.fleet.add_target(spec)
    scenario.fleet.wait_ready([name])
    scenario.apply(target_table(spec))


def _move(scenario: Scenario, name: str, seconds: float) -> None:
    scenario.apply(
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
def wait(scenario: Scenario, seconds) -> None:
    """Waits for a number of seconds."""
    del scenario
    time.sleep(float(seconds))


@statement("check")
def check(scenario: Scenario, subject_tree, comparison, value) -> None:
    """Compares the value of a subject with a number.

    Raises:
        ScenarioError: The comparison is false.
    """
    actual = SUBJECTS[subject_tree.data](scenario, *subject_tree.children)
    if not COMPARISONS[str(comparison)](actual, float(value)):
        arguments = " ".join(str(child) for child in subject_tree.children)
        raise ScenarioError(
            f"{subject_tree.data} {arguments}: {actual},"
            f" expected {comparison} {value};"
            f" load"
            f" {dict(scenario.load.reply_counts) if scenario.load else None};"
            f" time line {scenario.timeline_lines}"
        )


@statement("eventually")
def eventually(scenario: Scenario, seconds, tree) -> None:
    """Repeats a statement until it succeeds.

    Raises:
        ScenarioError: It still failed after the given seconds.
    """
    deadline = time.monotonic() + float(seconds)
    while True:
        try:
            scenario.execute(tree)
            return
        except ScenarioError:
            if time.monotonic() >= deadline:
                raise
        time.sleep(POLL_S)


@subject("runs")
def runs(scenario: Scenario, name) -> int:
    """Returns how often targets executed an order."""
    return scenario.fleet.count_runs(scenario.order_keys_by_name[str(name)])


@subject("load_count")
def load_count(scenario: Scenario, reason) -> int:
    """Returns how many replies to the load have a reason, or the total."""
    if reason == "total":
        return scenario.load.reply_counts.total()
    return scenario.load.reply_counts[str(reason)]


@subject("order_count")
def order_count(scenario: Scenario, kind) -> int:
    """Returns how many orders of the load are of a kind.

    Args:
        scenario: The scenario.
        kind: `twice` (executed more than once), `lost` (success reported, but
            not executed), `false-no` (executed, but reported as not executed)
            or `run` (executed once).
    """
    replies = scenario.load.order_replies_by_key
    executions_by_key = {key: scenario.fleet.count_runs(key) for key in replies}
    keys_by_kind = {
        "twice": [key for key, count in executions_by_key.items() if count > 1],
        "lost": [
            key
            for key, reply in replies.items()
            if reply.reason == "ok" and executions_by_key[key] == 0
        ],
        "false-no": [
            key
            for key, reply in replies.items()
            if reply.executed == "no" and executions_by_key[key] > 0
        ],
        "run": [key for key, count in executions_by_key.items() if count == 1],
    }
    return len(keys_by_kind[str(kind)])


@subject("events")
def events(scenario: Scenario, kind) -> int:
    """Returns how many events of a kind are on the time line."""
    completed = scenario.fleet.run_command(
        "timeline", str(scenario.fleet.write_operator_settings())
    )
    lines = completed.stdout.splitlines()
    marker = f"event={kind}"
    scenario.timeline_lines = [
        line for line in lines if marker in line or "event=" not in line
    ]
    return completed.stdout.count(marker)


@subject("leaked")
def leaked(scenario: Scenario) -> int:
    """Returns how many requests reached a target with a key."""
    return sum(report["leaked"] for report in fetch_reports(scenario))


def fetch_reports(scenario: Scenario) -> list[dict]:
    """Returns the `TargetReport` of each reachable target, as a dict."""
    target_reports = []
    for spec in scenario.fleet.targets:
        try:
            raw = scenario.fleet.post_control(spec.name, "report")
        except httpcore.NetworkError:
            continue
        target_reports.append(msgspec.json.decode(raw))
    return target_reports


@subject("excess")
def excess(scenario: Scenario, account) -> float:
    """Returns by how many requests an account exceeded its rate and burst."""
    rate, burst = LIMITS_BY_ACCOUNT[str(account)]
    arrivals = sorted(
        arrived_at
        for report in fetch_reports(scenario)
        for arrived_at in report["arrivals_by_account"].get(str(account), [])
    )
    tokens, lowest, previous = burst, burst, 0.0
    for arrived_at in arrivals:
        tokens = min(burst, tokens + (arrived_at - previous) * rate) - 1
        previous = arrived_at
        lowest = min(lowest, tokens)
    return max(0.0, -lowest)


@subject("share")
def share(scenario: Scenario, version) -> float:
    """Returns a version's share of all requests that targets served, in %."""
    served = {"v1": 0, "v2": 0}
    for spec in scenario.fleet.targets:
        raw = scenario.fleet.post_control(spec.name, "report")
        counts = msgspec.json.decode(raw)["served_by_account"]
        served[spec.version] += sum(counts.values())
    return 100.0 * served[str(version)] / max(1, sum(served.values()))


@subject("revision")
def revision(scenario: Scenario, entry) -> int:
    """Returns the configuration revision in force at an entry.

    Returns:
        The revision; -1 if the entry wasn't reached.
    """
    completed = scenario.fleet.run_command(
        "status", str(scenario.fleet.write_operator_settings())
    )
    for line in completed.stdout.splitlines():
        if line.startswith(f"{entry} in"):
            return int(line.partition("revision ")[2].split()[0])
    return -1


@subject("ended")
def ended(scenario: Scenario, name) -> int:
    """Returns 1 if a streamed response has ended, else 0."""
    return scenario.ended_by_stream[str(name)]


@subject("served")
def served(scenario: Scenario, account) -> int:
    """Returns how many requests of an account targets executed."""
    target_reports = fetch_reports(scenario)
    return sum(
        report["served_by_account"].get(str(account), 0)
        for report in target_reports
    )


@subject("peak")
def peak(scenario: Scenario, target) -> int:
    """Returns the largest number of concurrent requests at a target."""
    raw = scenario.fleet.post_control(str(target), "report")
    return msgspec.json.decode(raw)["peak"]


@subject("exit_status")
def exit_status(scenario: Scenario, name) -> int:
    """Returns the exit status of a stopped process."""
    return scenario.exit_statuses_by_name[str(name)]
