"""A small fleet of processes on this machine, for samples, tests and runs.

It writes settings files into a folder, starts the daemons and stand-ins as
processes of their own, and ends only what it started.
"""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
import msgspec

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05

_USED_PORTS: set[int] = set()
_PORTS_LOCK = threading.Lock()


@dataclass(kw_only=True)
class Member:
    """One process of the fleet.

    Attributes:
        name: Its name.
        command: The `kingcupvane` command that it runs.
        address: Where it listens.
        settings: Path of its settings file.
        process: The running process, if any.
    """

    name: str
    command: str
    address: str
    settings: Path
    process: subprocess.Popen | None = None


@dataclass(kw_only=True, frozen=True)
class EntrySpec:
    """An entry to start: its name, place and addresses."""

    name: str
    region: str
    data_centre: str
    caller_address: str = field(default_factory=lambda: free_address())
    peer_address: str = field(default_factory=lambda: free_address())
    metrics_address: str = field(default_factory=lambda: free_address())


@dataclass(kw_only=True, frozen=True)
class TargetSpec:
    """A target to start: its place, version and behaviour."""

    name: str
    service: str
    region: str
    data_centre: str
    version: str = "v1"
    slots: int = 4
    backlog: int = 4
    service_s: float = 0.01
    cold_s: float = 0.0
    address: str = field(default_factory=lambda: free_address())


def free_address() -> str:
    """Returns a loopback address that no fleet of this process has used."""
    with _PORTS_LOCK:
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in _USED_PORTS:
                _USED_PORTS.add(port)
                return f"{HOST}:{port}"


def toml_value(value: object) -> str:
    """Returns a value as TOML; JSON's forms serve for those used here."""
    return msgspec.json.encode(value).decode()


def toml(values: dict[str, object]) -> str:
    """Returns a flat table, or one with sub-tables, as TOML."""
    lines = []
    tables = []
    for name, value in values.items():
        if isinstance(value, dict):
            tables.append(f"[{name}]\n{toml(value)}")
        else:
            lines.append(f"{name} = {toml_value(value)}")
    return "\n".join(lines) + "\n" + "\n".join(tables)


class Fleet:
    """Starts, faults and ends the processes of a fleet."""

    def __init__(self, *, folder: Path):
        """Makes an empty fleet that keeps its files in `folder`."""
        self._folder = folder
        self.members_by_name: dict[str, Member] = {}
        self.entries: list[EntrySpec] = []
        self.targets: list[TargetSpec] = []
        self.store_address = ""
        self.run_log = folder / "runs.log"
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        """Returns the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes at once."""
        self.end()

    def end(self) -> None:
        """Ends all processes at once."""
        for member in list(self.members_by_name.values()):
            if member.process and member.process.poll() is None:
                member.process.kill()
                member.process.wait()

    def add_store(self, **values: object) -> Member:
        """Starts the store's stand-in."""
        self.store_address = free_address()
        settings = {"address": self.store_address, **values}
        return self._start("store", "store", self.store_address, settings)

    def add_target(self, spec: TargetSpec) -> Member:
        """Starts a target's stand-in."""
        self.targets.append(spec)
        settings = {
            "name": spec.name,
            "address": spec.address,
            "version": spec.version,
            "slots": spec.slots,
            "backlog": spec.backlog,
            "service_s": spec.service_s,
            "cold_s": spec.cold_s,
            "run_log": str(self.run_log),
        }
        return self._start(spec.name, "target", spec.address, settings)

    def add_entry(self, spec: EntrySpec, **values: object) -> Member:
        """Starts an entry daemon."""
        seeds = [other.peer_address for other in self.entries]
        self.entries.append(spec)
        link = self._add_link(f"{spec.name}-store", self.store_address)
        settings = {
            "name": spec.name,
            "region": spec.region,
            "data_centre": spec.data_centre,
            "caller_address": spec.caller_address,
            "peer_address": spec.peer_address,
            "metrics_address": spec.metrics_address,
            "peer_secret_file": str(self._secret()),
            "seeds": seeds,
            "store": {"address": link.address},
            **values,
        }
        return self._start(spec.name, "entry", spec.caller_address, settings)

    def _add_link(self, name: str, to: str) -> Member:
        address = free_address()
        settings = {"address": address, "to": to}
        return self._start(name, "link", address, settings)

    def cut(self, name: str) -> None:
        """Cuts an entry's link to the store."""
        link = self.members_by_name[f"{name}-store"]
        link.process.send_signal(signal.SIGUSR1)

    def heal(self, name: str) -> None:
        """Heals an entry's link to the store."""
        link = self.members_by_name[f"{name}-store"]
        link.process.send_signal(signal.SIGUSR2)

    def runs(self, key: str) -> int:
        """Returns how often targets ran an idempotency key."""
        if not self.run_log.exists():
            return 0
        lines = self.run_log.read_text().splitlines()
        return sum(1 for line in lines if line.split()[1] == key)

    def operator_file(self) -> Path:
        """Writes the operator's settings and returns their path."""
        path = self._folder / "operator.toml"
        settings = {
            "peer_secret_file": str(self._secret()),
            "seeds": [entry.peer_address for entry in self.entries],
            "store": {"address": self.store_address},
        }
        path.write_text(toml(settings))
        return path

    def command(self, *words: str) -> subprocess.CompletedProcess:
        """Runs an operator's command to its end."""
        return subprocess.run(
            [sys.executable, "-m", "kingcupvane", *words],
            capture_output=True,
            text=True,
            check=False,
        )

    def apply(self, text: str) -> subprocess.CompletedProcess:
        """Applies a release note given as TOML text."""
        path = self._folder / "note.toml"
        path.write_text(text)
        return self.command("apply", str(path), str(self.operator_file()))

    def restart(self, name: str) -> None:
        """Starts a process again with the same settings, once it has ended."""
        member = self.members_by_name[name]
        member.process.wait(STOP_TIMEOUT_S)
        self._launch(member)
        self.wait_ready([name])

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        process = self.members_by_name[name].process
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspends a process."""
        self.members_by_name[name].process.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Lets a suspended process go on."""
        self.members_by_name[name].process.send_signal(signal.SIGCONT)

    def leave(self, name: str) -> None:
        """Asks a process to stop gracefully, without waiting for its end."""
        self.members_by_name[name].process.terminate()

    def stop(self, name: str) -> int:
        """Stops a process gracefully and returns its exit status."""
        process = self.members_by_name[name].process
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def control(self, name: str, path: str, value: object = None) -> bytes:
        """Posts to the control path of a stand-in and returns the answer."""
        address = self.members_by_name[name].address
        body = b"" if value is None else msgspec.json.encode(value)
        with httpcore.ConnectionPool() as pool:
            return pool.request(
                "POST",
                f"http://{address}/control/{path}",
                content=body,
                headers={"content-length": str(len(body))},
            ).content

    def wait_ready(self, names: Iterable[str] = ()) -> None:
        """Waits until the named processes, or all, accept connections.

        Raises:
            TimeoutError: One of them did not within its time.
        """
        for name in names or list(self.members_by_name):
            self._wait_port(self.members_by_name[name])

    def _wait_port(self, member: Member) -> None:
        host, _, port = member.address.rpartition(":")
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                socket.create_connection((host, int(port)), 1).close()
                return
            except OSError:
                time.sleep(POLL_S)
        raise TimeoutError(f"{member.name} did not start")

    def _secret(self) -> Path:
        path = self._folder / "secret"
        if not path.exists():
            path.write_text("a secret of this sample only\n")
        return path

    def _start(
        self, name: str, command: str, address: str, values: dict
    ) -> Member:
        path = self._folder / f"{name}.toml"
        path.write_text(toml(values))
        member = Member(
            name=name, command=command, address=address, settings=path
        )
        self.members_by_name[name] = member
        self._launch(member)
        return member

    def _launch(self, member: Member) -> None:
        log = (self._folder / f"{member.name}.log").open("ab")
        member.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "kingcupvane",
                member.command,
                str(member.settings),
            ],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()
