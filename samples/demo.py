"""Demonstrates the system on one machine with the Rheinfall sample.

Starts the store, the targets and nine entries in six data centres as separate
processes, applies a release note, sends look-ups, a booking and an upload,
kills an entry, withdraws a key, prints the merged time line, and stops
everything gracefully. Exits with 0 only if all checks passed.
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
START_TIMEOUT_S = 30.0
SETTLE_S = 4.0
LOOKUP_UPDATE_TIMEOUT_S = 12.0
STOP_TIMEOUT_S = 40.0
CALLER_KEY = "aare-re-1_sample-only"
WITHDRAWN_KEY = "hasli-marine-1_sample-only"


@dataclass(kw_only=True)
class Demo:
    """Processes of the demonstration, failed checks and HTTP connections."""

    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    failed_checks: list[str] = field(default_factory=list)
    pool: httpcore.ConnectionPool = field(
        default_factory=httpcore.ConnectionPool
    )

    def start(self, name: str, *arguments: str) -> None:
        """Starts a `kingcupvane` process that logs to a file."""
        with (LOGS / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "kingcupvane", *arguments],
                stdout=log,
                stderr=log,
            )

    def check(
        self, description: str, passed: bool, observed: object = ""
    ) -> None:
        """Prints the result of a check and records a failure."""
        print(f"{'ok  ' if passed else 'FAIL'} {description}  {observed}")
        if not passed:
            self.failed_checks.append(description)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs an operator command and waits for its exit."""
        return subprocess.run(
            [sys.executable, "-m", "kingcupvane", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def send_request(
        self,
        method: str,
        url: str,
        *,
        key: str = CALLER_KEY,
        body: bytes = b"",
        **headers: str,
    ) -> tuple[int, dict]:
        """Sends a request; returns the status and the decoded response body."""
        named_headers = {n.replace("_", "-"): v for n, v in headers.items()}
        response = self.pool.request(
            method,
            url,
            headers={
                "authorization": f"Bearer {key}",
                "content-length": str(len(body)),
                **named_headers,
            },
            content=body,
        )
        return response.status, msgspec.json.decode(response.content)


def wait_listening(address: str) -> None:
    """Waits until a process accepts connections at an address.

    Raises:
        TimeoutError: None did within `START_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(
        f"no process accepts connections at {address} after {START_TIMEOUT_S} s"
    )


def load_entries() -> dict[str, EntrySettings]:
    """Returns the settings of all entries of the sample, by name."""
    files = sorted((SAMPLE / "entries").glob("*.toml"))
    entries = [settings.load(str(file), EntrySettings) for file in files]
    return {entry.name: entry for entry in entries}


def start_all(demo: Demo, entries: dict[str, EntrySettings]) -> None:
    """Starts the stand-ins and the entries.

    Waits until the store and the entries, but not the targets, accept
    connections.
    """
    store = settings.load(str(SAMPLE / "store.toml"), StoreStandinSettings)
    demo.start("store", "store", str(SAMPLE / "store.toml"))
    demo.start("targets", "targets", str(SAMPLE / "targets.toml"))
    wait_listening(store.address)
    for name in entries:
        demo.start(name, "entry", str(SAMPLE / "entries" / f"{name}.toml"))
    for entry in entries.values():
        wait_listening(entry.caller_address)
    demo.check("store, targets and entries run", True, len(demo.processes))


def apply_base(demo: Demo) -> None:
    """Applies the release note with the sample's configuration."""
    completed = demo.run_command(
        "apply",
        str(SAMPLE / "notes" / "base.toml"),
        str(SAMPLE / "operator.toml"),
    )
    print(completed.stdout.strip())
    demo.check("release note is in force everywhere", completed.returncode == 0)
    time.sleep(SETTLE_S)


def show_requests(demo: Demo, first_url: str) -> list[str]:
    """Sends a look-up, a read, a booking, its repeat and an upload.

    Returns:
        URLs of the entries that the look-up returned, in its order.
    """
    status, found = demo.send_request(
        "GET", f"{first_url}/v1/entries?service=claims"
    )
    demo.check("look-up names entries", status == 200, found)
    urls = [f"http://{address}" for address in found["entries"]]
    status, echo = demo.send_request("GET", f"{urls[0]}/treaty/positions/7")
    path_matches = echo.get("path") == "/positions/7"
    demo.check("treaty position is read", status == 200 and path_matches)
    key = str(uuid6.uuid7())
    booking_url = f"{urls[0]}/claims/bookings"
    status, echo = demo.send_request(
        "POST", booking_url, body=b"claim 7", idempotency_key=key
    )
    key_matches = echo.get("key") == key
    demo.check(
        "booking runs", status == 200 and key_matches, echo.get("target")
    )
    second_url = f"{urls[1]}/claims/bookings"
    status, repeated = demo.send_request(
        "POST",
        second_url,
        body=b"claim 7",
        idempotency_key=key,
        idempotency_attempt="2",
    )
    demo.check("its repeat is answered from the record", repeated == echo)
    body = b"row of a bordereau\n" * 40_000
    status, echo = demo.send_request(
        "POST", f"{urls[0]}/bordereaux/files/q4", body=body
    )
    digest_matches = echo.get("body_sha256") == hashlib.sha256(body).hexdigest()
    demo.check(
        "upload arrives whole", status == 200 and digest_matches, len(body)
    )
    return urls


def show_kill(demo: Demo, entries: dict[str, EntrySettings], urls) -> None:
    """Kills the account's first entry.

    Checks that the next one serves, and that look-ups no longer return the
    killed one.
    """
    names_by_url = {f"http://{e.caller_address}": n for n, e in entries.items()}
    name = names_by_url[urls[0]]
    demo.processes[name].kill()
    demo.processes[name].wait()
    status, _ = demo.send_request("GET", f"{urls[1]}/treaty/positions/8")
    demo.check(f"next entry serves after {name} is killed", status == 200)
    deadline = time.monotonic() + LOOKUP_UPDATE_TIMEOUT_S
    removed = False
    while not removed and time.monotonic() < deadline:
        time.sleep(0.2)
        _, found = demo.send_request(
            "GET", f"{urls[1]}/v1/entries?service=claims"
        )
        removed = urls[0].removeprefix("http://") not in found["entries"]
    demo.check("look-ups no longer name it", removed, found["entries"])
    del demo.processes[name]


def show_withdrawal(demo: Demo, url: str) -> None:
    """Withdraws a valid key and checks that it is refused afterwards."""
    status, _ = demo.send_request(
        "GET", f"{url}/treaty/positions/9", key=WITHDRAWN_KEY
    )
    demo.check("key works before it is withdrawn", status == 200)
    completed = demo.run_command(
        "apply",
        str(SAMPLE / "notes" / "withdraw-key.toml"),
        str(SAMPLE / "operator.toml"),
    )
    print(completed.stdout.strip())
    reports_unreached = "not reached" in completed.stdout
    demo.check(
        "apply names the killed entry",
        completed.returncode == 3 and reports_unreached,
    )
    status, _ = demo.send_request(
        "GET", f"{url}/treaty/positions/9", key=WITHDRAWN_KEY
    )
    demo.check("withdrawn key is refused", status == 401)


def show_status_and_timeline(demo: Demo) -> None:
    """Prints the status and the merged time line of all entries."""
    status = demo.run_command("status", str(SAMPLE / "operator.toml"))
    print(status.stdout)
    timeline = demo.run_command("timeline", str(SAMPLE / "operator.toml"))
    print(timeline.stdout)
    demo.check(
        "time line is merged", "configuration-in-force" in timeline.stdout
    )


def stop_all(demo: Demo) -> None:
    """Stops the entries, then the stand-ins, gracefully."""
    entries = [n for n in demo.processes if n not in ("store", "targets")]
    for names in (entries, ["targets", "store"]):
        for name in names:
            demo.processes[name].send_signal(signal.SIGTERM)
        statuses = {n: demo.processes[n].wait(STOP_TIMEOUT_S) for n in names}
        all_succeeded = not any(statuses.values())
        demo.check(f"{len(names)} processes stop gracefully", all_succeeded)


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
        first_address = next(iter(entries.values())).caller_address
        urls = show_requests(demo, f"http://{first_address}")
        show_kill(demo, entries, urls)
        show_withdrawal(demo, urls[1])
        show_status_and_timeline(demo)
        stop_all(demo)
    finally:
        for process in demo.processes.values():
            if process.poll() is None:
                process.kill()
    elapsed_s = time.monotonic() - started_at
    print(f"{len(demo.failed_checks)} failed steps, {elapsed_s:.0f} s")
    return 1 if demo.failed_checks else 0


if __name__ == "__main__":
    sys.exit(main())
