"""Separate processes on loopback, ended by their own ids."""

import ctypes
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

from zinniaspool.core.ids import Address
from zinniaspool_standins.runs import RunRecord, read_runs

__all__ = ["Fleet", "choose_host", "end_with_parent"]

_FIRST_PORT = 20000
_SET_PARENT_DEATH_SIGNAL = 1


@dataclass(slots=True)
class _Started:
    process: subprocess.Popen[bytes]
    command: list[str]
    log: Path


def choose_host() -> str:
    """Return a loopback number that no other starter of processes uses.

    Ports that were free a moment ago may be taken when a process listens; a
    number of one's own makes every port of it one's own.
    """
    pid = os.getpid()
    return f"127.{64 + pid // 65024 % 128}.{pid // 254 % 256}.{1 + pid % 254}"


def end_with_parent() -> None:
    """Have the kernel end this process when its starter is gone."""
    ctypes.CDLL(None).prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


_ports = count(_FIRST_PORT)


@dataclass(slots=True)
class Fleet:
    """The processes of one small fleet.

    Attributes:
        folder: Gets settings, logs and the upstreams' runs.
        host: Loopback number of the addresses that are made up here.
        store: Address of the platform.
        addresses: Where callers, or the fleet, reach each process.
        operators: Where operators reach each process of the product.
        peers: Where the entry and control processes reach each other.
    """

    folder: Path
    host: str = field(default_factory=choose_host)
    store: Address = Address("")
    addresses: dict[str, Address] = field(default_factory=dict)
    operators: dict[str, Address] = field(default_factory=dict)
    peers: dict[str, Address] = field(default_factory=dict)
    _started: dict[str, _Started] = field(default_factory=dict)

    # Starting.

    def make_address(self) -> Address:
        """Return an address that nobody listens on."""
        return Address(f"{self.host}:{next(_ports)}")

    def write(self, name: str, content: Any) -> str:
        """Write a JSON file and return its path."""
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def start_platform(self, addresses: int = 1) -> None:
        """Start the platform, with further addresses that can be cut off."""
        listen = [self.make_address() for _ in range(addresses)]
        self.store = self.addresses["platform"] = listen[0]
        options = [part for one in listen for part in ("--listen", one)]
        self.start("platform", "zinniaspool_standins.platform", *options)
        for k, address in enumerate(listen[1:]):
            self.addresses[f"platform{k}"] = address

    def start_weights(self, gb_per_s: float) -> Address:
        """Start the weight store."""
        address = self.addresses["weights"] = self.make_address()
        options = ("--listen", address, "--gb-per-s", str(gb_per_s))
        self.start("weights", "zinniaspool_standins.weights", *options)
        return address

    def start_engines(self, engines: dict[str, Address], *options: str) -> None:
        """Start the engines of VMs that know each other's addresses."""
        peers = ",".join(f"{vm}={address}" for vm, address in engines.items())
        for vm, address in engines.items():
            self.addresses[vm] = address
            own = ["--vm", vm, "--listen", address, "--peers", peers]
            own += ["--history", str(self._runs_file(vm))]
            self.start(vm, "zinniaspool_standins.engine", *own, *options)

    def start_service(self, name: str, address: Address, *options: str) -> None:
        """Start a plain service."""
        self.addresses[name] = address
        own = ["--listen", address, "--name", name]
        own += ["--history", str(self._runs_file(name))]
        self.start(name, "zinniaspool_standins.service", *own, *options)

    def start_link(self, name: str, reached: Sequence[Address]) -> list[Address]:
        """Start a link that can be cut; return what to use instead."""
        listen = [self.make_address() for _ in reached]
        control = self.addresses[name] = self.make_address()
        options = ["--control", control]
        for near, far in zip(listen, reached, strict=True):
            options += ["--carry", f"{near}={far}"]
        self.start(name, "zinniaspool_standins.link", *options)
        return listen

    def start_node(self, kind: str, name: str, settings: dict[str, Any]) -> None:
        """Start an entry or control process with its settings."""
        path = self.write(f"{name}.json", settings)
        self.operators[name] = Address(settings.get("operator_address", ""))
        if "caller_address" in settings:
            self.addresses[name] = Address(settings["caller_address"])
        self.start(name, f"zinniaspool.{kind}.main", "--settings", path)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start one process."""
        code = f"from {module} import main; main()"
        command = [sys.executable, "-c", code, *arguments]
        if module.startswith("zinniaspool_standins"):
            command = [sys.executable, "-m", module, *arguments]
        self._launch(name, command)

    def restart(self, name: str) -> None:
        """Start a process that has ended anew, as it was started first."""
        self._launch(name, self._started[name].command)

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line to its end."""
        code = "from zinniaspool.cli.main import main; main()"
        command = [sys.executable, "-c", code, *arguments]
        return subprocess.run(command, capture_output=True, text=True)

    # Failing and ending.

    def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self._started[name].process
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Pause a process; it notices nothing."""
        self._started[name].process.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self._started[name].process.send_signal(signal.SIGCONT)

    def ask_to_stop(self, name: str) -> None:
        """Ask a process to end in its own time."""
        self._started[name].process.terminate()

    def ask_for_dump(self, name: str) -> None:
        """Ask a process to write its state to its dump folder."""
        self._started[name].process.send_signal(signal.SIGUSR1)

    def has_ended(self, name: str) -> bool:
        """Whether a process is gone."""
        return self._started[name].process.poll() is not None

    def stop(self) -> None:
        """End every process that was started here, at once."""
        running = [one.process for one in self._started.values()]
        for process in running:
            process.kill()
        for process in running:
            process.wait()

    # Looking.

    def read_runs(self) -> list[RunRecord]:
        """Return what all upstreams ran, those that are gone among them."""
        files: Iterable[Path] = sorted(self.folder.glob("*.runs"))
        return [run for file in files for run in read_runs(file)]

    def read_pid(self, name: str) -> int:
        """Return a process's id."""
        return self._started[name].process.pid

    def read_log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f"{name}.log").read_text()

    def read_last_lines(self, most: int) -> dict[str, str]:
        """Return the end of each process's log."""
        return {
            name: "\n".join(self.read_log(name).splitlines()[-most:])
            for name in self._started
        }

    def _runs_file(self, name: str) -> Path:
        return self.folder / f"{name}.runs"

    def _launch(self, name: str, command: list[str]) -> None:
        log = self.folder / f"{name}.log"
        with log.open("ab") as out:
            process = subprocess.Popen(
                command, stdout=out, stderr=out, preexec_fn=end_with_parent
            )
        self._started[name] = _Started(process, command, log)
