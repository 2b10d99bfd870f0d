"""The sample inventory and rules as processes on loopback."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from zinniaspool.core.ids import Address
from zinniaspool.settings import load_document
from zinniaspool_standins.fleet import Fleet
from zinniaspool_standins.layouts import NodeLayout, start_nodes

__all__ = ["SampleCustomer", "SampleFleet", "start_sample"]

_WEIGHTS_GB_PER_S = 10.0


@dataclass(frozen=True, slots=True)
class SampleCustomer:
    """One customer of the samples and what it calls."""

    name: str
    credential: str
    model: str
    service: str


@dataclass(frozen=True, slots=True)
class SampleFleet:
    """The samples, running.

    Attributes:
        fleet: The processes.
        customers: Who calls.
        inventory: File of the inventory with its loopback addresses.
        rules: File of the rules with theirs.
        vms: Every VM's name.
        entries: The entry processes' names.
        controls: The control processes' names.
    """

    fleet: Fleet
    customers: tuple[SampleCustomer, ...]
    inventory: str
    rules: str
    vms: tuple[str, ...]
    entries: tuple[str, ...]
    controls: tuple[str, ...]


_CUSTOMERS = (
    SampleCustomer("care", "care-key", "advisory", "dispatch/alerts"),
    SampleCustomer("clinics", "clinics-key", "advisory", "dispatch/alerts"),
    SampleCustomer("vendors", "vendors-key", "assistant", "records/applications"),
)


def start_sample(fleet: Fleet, samples: Path) -> SampleFleet:
    """Start the stand-ins, and an entry and a control process a domain."""
    inventory = load_document(samples / "inventory.json").value
    rules = load_document(samples / "rules.json").value
    fleet.start_platform()
    weights = fleet.start_weights(_WEIGHTS_GB_PER_S)
    engines = _place_vms(fleet, inventory)
    options = ("--weight-store", weights, "--weights-gb", "0.5")
    fleet.start_engines(engines, *options)
    _start_services(fleet, rules)
    domains = tuple(sorted({vm["failure_domain"] for vm in inventory["vms"]}))
    credentials = {one.credential: one.name for one in _CUSTOMERS}
    start_nodes(fleet, NodeLayout(domains, len(domains), credentials))
    return SampleFleet(
        fleet,
        _CUSTOMERS,
        fleet.write("inventory.json", inventory),
        fleet.write("rules.json", rules),
        tuple(engines),
        tuple(f"entry{k}" for k in range(len(domains))),
        tuple(f"control{k}" for k in range(len(domains))),
    )


def _place_vms(fleet: Fleet, inventory: Any) -> dict[str, Address]:
    engines = {}
    for vm in inventory["vms"]:
        engines[vm["id"]] = fleet.make_address()
        vm["address"] = engines[vm["id"]]
    return engines


def _start_services(fleet: Fleet, rules: Any) -> None:
    for service in rules["services"]:
        for k, upstream in enumerate(service["upstreams"]):
            upstream["address"] = fleet.make_address()
            fleet.start_service(f"{service['name']}{k}", upstream["address"])
