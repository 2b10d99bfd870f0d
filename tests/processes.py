"""Fleets of separate processes for tests, and callers that wait."""

import contextlib
import json
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from http.client import HTTPException
from pathlib import Path
from typing import Any

from zinniaspool.core.ids import Address
from zinniaspool_standins.fleet import Fleet
from zinniaspool_standins.layouts import NodeLayout, start_nodes

__all__ = ["Fleet", "Reply", "call", "start_fleet", "switch_faults", "wait_until"]

CREDENTIALS = {"care-key": "care", "vendors-key": "vendors"}


def wait_until(
    check: Callable[[], object], timeout_s: float = 30.0, pause_s: float = 0.05
) -> None:
    """Wait until a check holds.

    Args:
        check: Returns whether it holds.
        timeout_s: Longest wait, in seconds.
        pause_s: Pause between two checks, in seconds.
    """
    ends = time.monotonic() + timeout_s
    while time.monotonic() < ends:
        with contextlib.suppress(OSError, HTTPException):
            if check():
                return
        time.sleep(pause_s)
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


def switch_faults(fleet: Fleet, name: str, **faults: Any) -> None:
    """Tell a stand-in how to fail."""
    assert call(fleet.addresses[name], "/faults", faults).status == 200


@contextlib.contextmanager
def start_fleet(
    folder: Path,
    *,
    vms: int = 4,
    entries: int = 2,
    controls: int = 2,
    engine_options: tuple[str, ...] = (),
    service_options: tuple[str, ...] = (),
    settings: dict[str, Any] | None = None,
    control_settings: dict[str, Any] | None = None,
    services: int = 1,
    link_services: bool = False,
    own_stores: bool = False,
    spread: bool = False,
    groups: int = 2,
) -> Iterator[Fleet]:
    """Run the platform, engines, a service, entry and control processes.

    One model, ``advisory``, of customers ``care`` and ``vendors``, on groups
    of two VMs, and one service, ``dispatch``, whose calls below ``send`` may
    not be repeated. Each entry process is in a failure domain of its own, and
    all VMs are in the first one's, or two by two in each with ``spread``.
    With ``link_services``, the service is reached through a link that can be
    cut, ``link``. With ``own_stores``, each entry process reaches the store
    at an address of its own, ``platform0`` and so on, which can be cut off.
    """
    fleet = Fleet(folder)
    domains = tuple(f"domain{k}" for k in range(entries))
    try:
        fleet.start_platform(1 + entries)
        reached = [fleet.make_address() for _ in range(services)]
        for k, address in enumerate(reached):
            fleet.start_service(f"service{k}", address, *service_options)
        if link_services:
            reached = fleet.start_link("link", reached)
        engines = {f"vm{k}": fleet.make_address() for k in range(vms)}
        fleet.start_engines(engines, *engine_options)
        stores = tuple(fleet.addresses[f"platform{k}"] for k in range(entries))
        layout = NodeLayout(
            domains,
            controls,
            CREDENTIALS,
            entry=settings or {},
            control=control_settings or {},
            stores=stores if own_stores else (),
        )
        start_nodes(fleet, layout)
        wait_until(lambda: call(fleet.store, "/calls").status == 200)
        inventory = make_inventory(engines, domains if spread else domains[:1])
        rules = make_rules(reached, wanted_groups=groups)
        apply_configuration(fleet, inventory, rules)
        yield fleet
    finally:
        fleet.stop()


def make_inventory(engines: dict[str, Address], domains: tuple[str, ...]) -> Any:
    """Return an inventory that deals VMs, two by two, to failure domains."""
    return {
        "vms": [
            {
                "id": vm,
                "address": address,
                "failure_domain": domains[k // 2 % len(domains)],
                "fabric_domain": f"fabric-{domains[k // 2 % len(domains)]}",
                "accelerators": 8,
                "owner": "care",
            }
            for k, (vm, address) in enumerate(engines.items())
        ]
    }


def make_rules(services: Sequence[Address], **changes: Any) -> Any:
    """Return rules for the model and the service of the tests' fleets."""
    shares = [
        {"customer": "care", "guaranteed": 4},
        {"customer": "vendors", "guaranteed": 4},
    ]
    model = {
        "name": "advisory",
        "version": "1",
        "vms_per_group": 2,
        "guaranteed_groups": 1,
        "wanted_groups": 2,
        "slots_per_group": 8,
        "shares": shares,
    }
    return {
        "customers": [
            {"id": "care", "may_use": ["care"]},
            {"id": "vendors", "may_use": ["care"]},
        ],
        "models": [model | changes],
        "services": [
            {
                "name": "dispatch",
                "upstreams": [
                    {"address": address, "failure_domain": "domain0"}
                    for address in services
                ],
                "slots_per_upstream": 8,
                "shares": shares,
                "non_idempotent": ["send"],
            }
        ],
        "repair": {"group_downtime": 1.0, "stranded_accelerators": 0.1},
        "fencing": "checked",
    }


def apply_configuration(fleet: Fleet, inventory: Any, rules: Any) -> None:
    """Make a configuration the accepted one."""
    files = (fleet.write("inventory.json", inventory), fleet.write("rules.json", rules))
    applied = fleet.run_tool("apply", *files, "--store", fleet.store)
    assert applied.returncode == 0, applied.stdout + applied.stderr
