"""Settings, inventory and rules of small fleets."""

from dataclasses import dataclass, field
from typing import Any

from zinniaspool.core.ids import Address
from zinniaspool_standins.fleet import Fleet

__all__ = ["NodeLayout", "start_nodes"]

_SECRET = "peers-secret"


@dataclass(frozen=True, slots=True)
class NodeLayout:
    """The product's processes of one fleet.

    Attributes:
        domains: Failure domain of each entry process.
        controls: How many control processes, dealt to the same domains.
        credentials: The customer of each credential.
        entry: Further settings of the entry processes.
        control: Further settings of the control processes.
        stores: Address of the store for each entry process, by position;
            the platform's first address for those not listed.
    """

    domains: tuple[str, ...]
    controls: int
    credentials: dict[str, str]
    entry: dict[str, Any] = field(default_factory=dict)
    control: dict[str, Any] = field(default_factory=dict)
    stores: tuple[Address, ...] = ()


def start_nodes(fleet: Fleet, layout: NodeLayout) -> None:
    """Start the entry and control processes."""
    secret = fleet.write("secret", _SECRET)
    credentials = fleet.write("credentials.json", {"callers": layout.credentials})
    entries = {f"entry{k}": domain for k, domain in enumerate(layout.domains)}
    controls = {
        f"control{k}": layout.domains[k % len(layout.domains)]
        for k in range(layout.controls)
    }
    for name in (*entries, *controls):
        fleet.peers[name] = fleet.make_address()
    for k, (name, domain) in enumerate(entries.items()):
        settings = _make_settings(fleet, name, domain, secret)
        settings["caller_address"] = fleet.make_address()
        settings["credentials_file"] = credentials
        if k < len(layout.stores):
            settings["store_addresses"] = [layout.stores[k]]
        fleet.start_node("entry", name, settings | layout.entry)
    for name, domain in controls.items():
        settings = _make_settings(fleet, name, domain, secret)
        fleet.start_node("control", name, settings | layout.control)


def _make_settings(fleet: Fleet, name: str, domain: str, secret: str) -> dict[str, Any]:
    entries = [peer for peer in fleet.peers if peer.startswith("entry")]
    return {
        "node": name,
        "failure_domain": domain,
        "peer_address": fleet.peers[name],
        "store_addresses": [fleet.store],
        "vm_list_address": fleet.store,
        "peer_secret_file": secret,
        "operator_address": fleet.make_address(),
        "seeds": [fleet.peers[entry] for entry in entries],
    }
