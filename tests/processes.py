"""Separate processes on loopback, ended by their own ids."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

__all__ = ["Fleet", "call", "free_address", "start_fleet", "wait_until"]


def free_address() -> str:
    """Return a loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def wait_until(check: Any, timeout_s: float = 15.0) -> None:
    """Wait until a check holds."""
    ends = time.monotonic() + timeout_s
    while time.monotonic() < ends:
        with contextlib.suppress(OSError):
            if check():
                return
        time.sleep(0.05)
    raise AssertionError("did not come true in time")


@dataclass(slots=True)
class Reply:
    """An answer as a caller sees it."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the body's JSON."""
        return json.loads(self.body)


def call(
    address: str,
    path: str,
    body: Any = None,
    credential: str | None = None,
    **headers: str,
) -> Reply:
    """Send one request as a caller would."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    request.add_header("Content-Type", "application/json")
    if credential is not None:
        request.add_header("Authorization", f"Bearer {credential}")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return Reply(answer.status, answer.read(), dict(answer.headers))
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.read(), dict(error.headers))


@dataclass(slots=True)
class Fleet:
    """The processes of one small fleet."""

    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start one process."""
        log = (self.folder / f"{name}.log").open("wb")
        code = f"from {module} import main; main()"
        command = [sys.executable, "-c", code, *arguments]
        if module.startswith("zinniaspool_standins"):
            command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def write(self, name: str, content: Any) -> str:
        """Write a JSON file and return its path."""
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(3)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


@contextlib.contextmanager
def start_fleet(
    folder: Path, *, vms: int = 4, entries: int = 2, controls: int = 2
) -> Iterator[Fleet]:
    """Run the platform, engines, a service, entry and control processes.

    One model, ``advisory``, of customer ``care``, on groups of two VMs, and
    one service, ``dispatch``, whose calls below ``send`` may not be
    repeated.
    """
    fleet = Fleet(folder)
    store, service = free_address(), free_address()
    engines = {f"vm{k}": free_address() for k in range(vms)}
    fleet.addresses |= {"store": store, "service": service, **engines}
    peers = {f"entry{k}": free_address() for k in range(entries)}
    secret = fleet.write("secret", "peers-secret")
    credentials = fleet.write("credentials.json", {"callers": {"care-key": "care"}})
    try:
        fleet.start("platform", "zinniaspool_standins.platform", "--listen", store)
        fleet.start("service", "zinniaspool_standins.service", "--listen", service)
        for vm, address in engines.items():
            arguments = ("--vm", vm, "--listen", address)
            fleet.start(vm, "zinniaspool_standins.engine", *arguments)
        for kind, count in (("entry", entries), ("control", controls)):
            for k in range(count):
                name = f"{kind}{k}"
                own = peers.get(name, "") or free_address()
                settings: dict[str, Any] = {
                    "node": name,
                    "failure_domain": f"domain{k}",
                    "peer_address": own,
                    "store_addresses": [store],
                    "vm_list_address": store,
                    "peer_secret_file": secret,
                    "seeds": list(peers.values()),
                }
                if kind == "entry":
                    settings["caller_address"] = free_address()
                    settings["credentials_file"] = credentials
                    fleet.addresses[name] = settings["caller_address"]
                path = fleet.write(f"{name}.json", settings)
                fleet.start(name, f"zinniaspool.{kind}.main", "--settings", path)
        wait_until(lambda: call(store, "/calls").status == 200)
        _apply(fleet, engines, service, store)
        yield fleet
    finally:
        fleet.stop()


def _apply(fleet: Fleet, engines: dict[str, str], service: str, store: str) -> None:
    inventory = {
        "vms": [
            {
                "id": vm,
                "address": address,
                "failure_domain": "domain0",
                "fabric_domain": "fabric0",
                "accelerators": 8,
                "owner": "care",
            }
            for vm, address in engines.items()
        ]
    }
    share = {"customer": "care", "guaranteed": 4}
    rules = {
        "customers": [{"id": "care", "may_use": ["care"]}],
        "models": [
            {
                "name": "advisory",
                "version": "1",
                "vms_per_group": 2,
                "guaranteed_groups": 1,
                "wanted_groups": 2,
                "slots_per_group": 8,
                "shares": [share],
            }
        ],
        "services": [
            {
                "name": "dispatch",
                "upstreams": [{"address": service, "failure_domain": "domain0"}],
                "slots_per_upstream": 8,
                "shares": [share],
                "non_idempotent": ["send"],
            }
        ],
        "repair": {"group_downtime": 1.0, "stranded_accelerators": 0.1},
        "fencing": "checked",
    }
    files = (fleet.write("inventory.json", inventory), fleet.write("rules.json", rules))
    code = "from zinniaspool.cli.main import main; main()"
    command = [sys.executable, "-c", code, "apply", *files, "--store", store]
    subprocess.run(command, check=True, capture_output=True)
