"""Runs the Rheinfall sample on this machine and shows what the system does.

Starts the store, the targets and nine entries in six data centres as separate
processes, applies a release note, sends look-ups, a booking and an upload,
kills an entry, withdraws a key, prints the merged time line, and stops
everything gracefully. Exits with 0 only if every step gave what it must.
"""

import hashlib
import shutil
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
import msgspec
import uuid6

from kingcupvane import settings
from kingcupvane.settings import EntrySettings, StoreStandinSettings

SAMPLE = Path(__file__).parent / "rheinfall"
LOGS = Path(".run") / "demo"
READY_S = 30.0
SETTLE_S = 4.0
IN_FORCE_S = 12.0
STOP_S = 40.0
KEY = "aare-re-1_sample-only"
WITHDRAWN_KEY = "hasli-marine-1_sample-only"


@dataclass(kw_only=True)
class Demo:
    """The processes of the demonstration and what its steps gave."""

    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    pool: httpcore.ConnectionPool = field(
        default_factory=httpcore.ConnectionPool
    )

    def start(self, name: str, *words: str) -> None:
        """Starts a process of the sample."""
        with (LOGS / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "kingcupvane", *words],
                stdout=log,
                stderr=log,
            )

    def expect(self, what: str, holds: bool, seen: object = "") -> None:
        """Prints a step's result and remembers a failure."""
        print(f"{'ok  ' if holds else 'FAIL'} {what}  {seen}")
        if not holds:
            self.failures.append(what)

    def command(self, *words: str) -> subprocess.CompletedProcess:
        """Runs an operator's command."""
        return subprocess.run(
            [sys.executable, "-m", "kingcupvane", *words],
            capture_output=True,
            text=True,
            check=False,
        )

    def call(
        self,
        method: str,
        url: str,
        *,
        key: str = KEY,
        body: bytes = b"",
        **headers: str,
    ) -> tuple[int, dict]:
        """Makes a request; returns status and decoded answer."""
        named = {n.replace("_", "-"): v for n, v in headers.items()}
        response = self.pool.request(
            method,
            url,
            headers={
                "authorization": f"Bearer {key}",
                "content-length": str(len(body)),
                **named,
            },
            content=body,
        )
        return response.status, msgspec.json.decode(response.content)


def wait_port(address: str) -> None:
    """Waits until something listens at an address."""
    host, _, port = address.rpartition(":")
    ends_at = time.monotonic() + READY_S
    while time.monotonic() < ends_at:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens at {address}")


def load_entries() -> dict[str, EntrySettings]:
    """Returns the settings of all entries by name."""
    files = sorted((SAMPLE / "entries").glob("*.toml"))
    loaded = [settings.load(str(file), EntrySettings) for file in files]
    return {entry.name: entry for entry in loaded}


def start_all(demo: Demo, entries: dict[str, EntrySettings]) -> None:
    """Starts the stand-ins and the entries."""
    store = settings.load(str(SAMPLE / "store.toml"), StoreStandinSettings)
    demo.start("store", "store", str(SAMPLE / "store.toml"))
    demo.start("targets", "targets", str(SAMPLE / "targets.toml"))
    wait_port(store.address)
    for name in entries:
        demo.start(name, "entry", str(SAMPLE / "entries" / f"{name}.toml"))
    for entry in entries.values():
        wait_port(entry.caller_address)
    demo.expect("store, targets and entries run", True, len(demo.processes))


def apply_base(demo: Demo) -> None:
    """Applies the base note."""
    done = demo.command(
        "apply",
        str(SAMPLE / "notes" / "base.toml"),
        str(SAMPLE / "operator.toml"),
    )
    print(done.stdout.strip())
    demo.expect("release note is in force everywhere", done.returncode == 0)
    time.sleep(SETTLE_S)


def show_requests(demo: Demo, first: str) -> list[str]:
    """Looks up entries, reads, books and uploads; returns the look-up."""
    status, found = demo.call("GET", f"{first}/v1/entries?service=claims")
    demo.expect("look-up names entries", status == 200, found)
    urls = [f"http://{address}" for address in found["entries"]]
    status, echo = demo.call("GET", f"{urls[0]}/treaty/positions/7")
    mine = echo.get("path") == "/positions/7"
    demo.expect("treaty position is read", status == 200 and mine)
    key = str(uuid6.uuid7())
    book = f"{urls[0]}/claims/bookings"
    status, echo = demo.call("POST", book, body=b"claim 7", idempotency_key=key)
    ran = echo.get("key") == key
    demo.expect("booking runs", status == 200 and ran, echo.get("target"))
    other = f"{urls[1]}/claims/bookings"
    status, again = demo.call(
        "POST",
        other,
        body=b"claim 7",
        idempotency_key=key,
        idempotency_attempt="2",
    )
    demo.expect("its repeat is answered from the record", again == echo)
    body = b"row of a bordereau\n" * 40_000
    status, echo = demo.call(
        "POST", f"{urls[0]}/bordereaux/files/q4", body=body
    )
    whole = echo.get("body_sha256") == hashlib.sha256(body).hexdigest()
    demo.expect("upload arrives whole", status == 200 and whole, len(body))
    return urls


def show_kill(demo: Demo, entries: dict[str, EntrySettings], urls) -> None:
    """Kills the entry that the account uses first, and goes on."""
    by_url = {f"http://{e.caller_address}": n for n, e in entries.items()}
    name = by_url[urls[0]]
    demo.processes[name].kill()
    demo.processes[name].wait()
    status, _ = demo.call("GET", f"{urls[1]}/treaty/positions/8")
    demo.expect(f"next entry serves after {name} is killed", status == 200)
    ends_at = time.monotonic() + IN_FORCE_S
    gone = False
    while not gone and time.monotonic() < ends_at:
        time.sleep(0.2)
        _, found = demo.call("GET", f"{urls[1]}/v1/entries?service=claims")
        gone = urls[0].removeprefix("http://") not in found["entries"]
    demo.expect("look-ups no longer name it", gone, found["entries"])
    del demo.processes[name]


def show_withdrawal(demo: Demo, url: str) -> None:
    """Withdraws a key that works."""
    status, _ = demo.call("GET", f"{url}/treaty/positions/9", key=WITHDRAWN_KEY)
    demo.expect("key works before it is withdrawn", status == 200)
    done = demo.command(
        "apply",
        str(SAMPLE / "notes" / "withdraw-key.toml"),
        str(SAMPLE / "operator.toml"),
    )
    print(done.stdout.strip())
    named = "not reached" in done.stdout
    demo.expect("apply names the killed entry", done.returncode == 3 and named)
    status, _ = demo.call("GET", f"{url}/treaty/positions/9", key=WITHDRAWN_KEY)
    demo.expect("withdrawn key is refused", status == 401)


def show_conclusions(demo: Demo) -> None:
    """Prints status and the merged time line."""
    status = demo.command("status", str(SAMPLE / "operator.toml"))
    print(status.stdout)
    timeline = demo.command("timeline", str(SAMPLE / "operator.toml"))
    print(timeline.stdout)
    demo.expect(
        "time line is merged", "configuration-in-force" in timeline.stdout
    )


def stop_all(demo: Demo) -> None:
    """Stops everything gracefully."""
    entries = [n for n in demo.processes if n not in ("store", "targets")]
    for names in (entries, ["targets", "store"]):
        for name in names:
            demo.processes[name].send_signal(signal.SIGTERM)
        codes = {n: demo.processes[n].wait(STOP_S) for n in names}
        clean = not any(codes.values())
        demo.expect(f"{len(names)} processes stop gracefully", clean)


def main() -> int:
    """Runs the demonstration and returns its exit status."""
    shutil.rmtree(LOGS, ignore_errors=True)
    LOGS.mkdir(parents=True)
    started_at = time.monotonic()
    demo = Demo()
    try:
        entries = load_entries()
        start_all(demo, entries)
        apply_base(demo)
        first = next(iter(entries.values())).caller_address
        urls = show_requests(demo, f"http://{first}")
        show_kill(demo, entries, urls)
        show_withdrawal(demo, urls[1])
        show_conclusions(demo)
        stop_all(demo)
    finally:
        for process in demo.processes.values():
            if process.poll() is None:
                process.kill()
    elapsed_s = time.monotonic() - started_at
    print(f"{len(demo.failures)} failed steps, {elapsed_s:.0f} s")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
