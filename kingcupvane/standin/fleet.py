"""A fleet of local processes for tests, soak runs and benchmarks.

A fleet writes settings files into a folder, starts each daemon and stand-in as
a separate process, and signals only processes that it started itself.
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
class FleetProcess:
    """One daemon or stand-in of the fleet.

    Attributes:
        name: Name of the process, unique in the fleet.
        command: `kingcupvane` command that it runs.
        address: Address that it listens on.
        settings_file: Path of its settings file.
        popen: Handle of its latest start; None before the first one.
    """

    name: str
    command: str
    address: str
    settings_file: Path
    popen: subprocess.Popen | None = None


@dataclass(kw_only=True, frozen=True)
class EntrySpec:
    """Name, region, data centre and addresses of an entry to start."""

    name: str
    region: str
    data_centre: str
    caller_address: str = field(default_factory=lambda: free_address())
    peer_address: str = field(default_factory=lambda: free_address())
    metrics_address: str = field(default_factory=lambda: free_address())


@dataclass(kw_only=True, frozen=True)
class TargetSpec:
    """Location, version, capacity and service times of a target to start."""

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
    """Returns a free loopback address, each at most once in a process."""
    with _PORTS_LOCK:
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in _USED_PORTS:
                _USED_PORTS.add(port)
                return f"{HOST}:{port}"


def to_toml_value(value: object) -> str:
    """Returns a string, number, boolean or list as TOML.

    The TOML form of these types equals their JSON form.
    """
    return msgspec.json.encode(value).decode()


def to_toml(values: dict[str, object]) -> str:
    """Returns a table and its sub-tables as TOML."""
    lines = []
    tables = []
    for name, value in values.items():
        if isinstance(value, dict):
            tables.append(f"[{name}]\n{to_toml(value)}")
        else:
            lines.append(f"{name} = {to_toml_value(value)}")
    return "\n".join(lines) + "\n" + "\n".join(tables)


class Fleet:
    """Starts, signals and stops the processes of a fleet.

    Attributes:
        processes_by_name: All processes that were started.
        entries: The entries, in the order of their start.
        targets: The targets, in the order of their start.
        store_address: Address of the store; empty before its start.
        run_log: File to which targets append each execution.
    """

    def __init__(self, *, folder: Path):
        """Makes a fleet without processes; its files go to `folder`."""
        self._folder = folder
        self.processes_by_name: dict[str, FleetProcess] = {}
        self.entries: list[EntrySpec] = []
        self.targets: list[TargetSpec] = []
        self.store_address = ""
        self.run_log = folder / "runs.log"
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        """Returns the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kills all processes."""
        self.kill_all()

    def kill_all(self) -> None:
        """Kills all processes that still run and reaps them."""
        for process in list(self.processes_by_name.values()):
            if process.popen and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()

    def add_store(self, **settings_values: object) -> FleetProcess:
        """Starts the stand-in for the platform's store."""
        self.store_address = free_address()
        settings = {"address": self.store_address, **settings_values}
        return self._start("store", "store", self.store_address, settings)

    def add_target(self, spec: TargetSpec) -> FleetProcess:
        """Starts the stand-in for a target."""
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

    def add_entry(
        self, spec: EntrySpec, **settings_values: object
    ) -> FleetProcess:
        """Starts an entry daemon and its link to the store."""
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
            "peer_secret_file": str(self._secret_file()),
            "seeds": seeds,
            "store": {"address": link.address},
            **settings_values,
        }
        return self._start(spec.name, "entry", spec.caller_address, settings)

    def _add_link(self, name: str, destination: str) -> FleetProcess:
        address = free_address()
        settings = {"address": address, "to": destination}
        return self._start(name, "link", address, settings)

    def cut(self, name: str) -> None:
        """Drops all traffic between an entry and the store."""
        link = self.processes_by_name[f"{name}-store"]
        link.popen.send_signal(signal.SIGUSR1)

    def heal(self, name: str) -> None:
        """Restores the traffic between an entry and the store."""
        link = self.processes_by_name[f"{name}-store"]
        link.popen.send_signal(signal.SIGUSR2)

    def count_runs(self, key: str) -> int:
        """Returns how often targets executed a request with this key."""
        if not self.run_log.exists():
            return 0
        lines = self.run_log.read_text().splitlines()
        return sum(1 for line in lines if line.split()[1] == key)

    def write_operator_settings(self) -> Path:
        """Writes the settings of operator commands and returns the path."""
        path = self._folder / "operator.toml"
        settings = {
            "peer_secret_file": str(self._secret_file()),
            "seeds": [entry.peer_address for entry in self.entries],
            "store": {"address": self.store_address},
        }
        path.write_text(to_toml(settings))
        return path

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs an operator command and waits for its exit."""
        return subprocess.run(
            [sys.executable, "-m", "kingcupvane", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def apply(self, text: str) -> subprocess.CompletedProcess:
        """Runs `apply` with a release note, given as TOML."""
        path = self._folder / "note.toml"
        path.write_text(text)
        return self.run_command(
            "apply", str(path), str(self.write_operator_settings())
        )

    def restart(self, name: str) -> None:
        """Waits for a process to exit and starts it with the same settings."""
        process = self.processes_by_name[name]
        process.popen.wait(STOP_TIMEOUT_S)
        self._launch(process)
        self.wait_ready([name])

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        popen = self.processes_by_name[name].popen
        popen.kill()
        popen.wait()

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        self.processes_by_name[name].popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.processes_by_name[name].popen.send_signal(signal.SIGCONT)

    def leave(self, name: str) -> None:
        """Starts a graceful stop with SIGTERM and doesn't wait for the exit."""
        self.processes_by_name[name].popen.terminate()

    def stop(self, name: str) -> int:
        """Stops a process gracefully and returns its exit status."""
        popen = self.processes_by_name[name].popen
        popen.terminate()
        return popen.wait(STOP_TIMEOUT_S)

    def post_control(self, name: str, path: str, value: object = None) -> bytes:
        """Posts to a control path of a stand-in; returns the response body."""
        address = self.processes_by_name[name].address
        body = b"" if value is None else msgspec.json.encode(value)
        with httpcore.ConnectionPool() as pool:
            return pool.request(
                "POST",
                f"http://{address}/control/{path}",
                content=body,
                headers={"content-length": str(len(body))},
            ).content

    def wait_ready(self, names: Iterable[str] = ()) -> None:
        """Waits until the named processes (default: all) accept connections.

        Raises:
            TimeoutError: A process didn't accept connections within
                `START_TIMEOUT_S`.
        """
        for name in names or list(self.processes_by_name):
            self._wait_listening(self.processes_by_name[name])

    def _wait_listening(self, process: FleetProcess) -> None:
        host, _, port = process.address.rpartition(":")
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                socket.create_connection((host, int(port)), 1).close()
                return
            except OSError:
                time.sleep(POLL_S)
        raise TimeoutError(
            f"{process.name} did not accept connections at {process.address}"
            f" within {START_TIMEOUT_S} s"
        )

    def _secret_file(self) -> Path:
        path = self._folder / "secret"
        if not path.exists():
            path.write_text("a secret of this sample only\n")
        return path

    def _start(
        self, name: str, command: str, address: str, values: dict
    ) -> FleetProcess:
        path = self._folder / f"{name}.toml"
        path.write_text(to_toml(values))
        process = FleetProcess(
            name=name, command=command, address=address, settings_file=path
        )
        self.processes_by_name[name] = process
        self._launch(process)
        return process

    def _launch(self, process: FleetProcess) -> None:
        log = (self._folder / f"{process.name}.log").open("ab")
        process.popen = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "kingcupvane",
                process.command,
                str(process.settings_file),
            ],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()
