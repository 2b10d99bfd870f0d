"""Checks of the inventory that don't need the rules."""

from zinniaspool.core.deployment import Inventory, Vm
from zinniaspool.core.ids import FabricDomainId
from zinniaspool.core.validation.problems import (
    Problem,
    ProblemFile,
    find_repeated,
    is_address,
    is_name,
)

__all__ = ["check_inventory"]

_NAME_FIELDS = ("id", "failure_domain", "fabric_domain", "owner")
"""Fields of a VM that must be names."""


def check_inventory(inventory: Inventory) -> list[Problem]:
    """Return the problems of an inventory."""
    problems = []
    if not inventory.vms:
        problems.append(_make_problem(("vms",), "no VM", "at least one VM"))
    for position, vm in enumerate(inventory.vms):
        problems += _check_vm(position, vm)
    problems += _check_repeated(inventory)
    problems += _check_domains(inventory)
    return problems


def _check_vm(position: int, vm: Vm) -> list[Problem]:
    problems = [
        _make_problem(
            ("vms", position, field),
            repr(getattr(vm, field)),
            "a name of letters, digits, '-', '.', '_' and '~'",
        )
        for field in _NAME_FIELDS
        if not is_name(getattr(vm, field))
    ]
    if not is_address(vm.address):
        problems.append(
            _make_problem(
                ("vms", position, "address"),
                repr(vm.address),
                'an IP address and a port, such as "10.0.0.1:8080"',
            )
        )
    if vm.accelerators < 1:
        problems.append(
            _make_problem(
                ("vms", position, "accelerators"), str(vm.accelerators), "1 or more"
            )
        )
    return problems


def _check_repeated(inventory: Inventory) -> list[Problem]:
    problems = []
    for field in ("id", "address"):
        values = [getattr(vm, field) for vm in inventory.vms]
        problems += [
            _make_problem(
                ("vms", position, field),
                f"{values[position]!r}, which vms[{first}] already has",
                "a value of its own for each VM",
            )
            for position, first in find_repeated(values)
        ]
    return problems


def _check_domains(inventory: Inventory) -> list[Problem]:
    """Reject a fabric domain that spans failure domains.

    A group lies in one fabric domain, so the planner spreads groups over
    failure domains by selecting fabric domains.
    """
    first_positions: dict[FabricDomainId, int] = {}
    problems = []
    for position, vm in enumerate(inventory.vms):
        earlier = inventory.vms[first_positions.setdefault(vm.fabric_domain, position)]
        if earlier.failure_domain != vm.failure_domain:
            problems.append(
                _make_problem(
                    ("vms", position, "failure_domain"),
                    f"{vm.failure_domain!r} for a VM of fabric domain "
                    f"{vm.fabric_domain!r}, whose VM {earlier.id!r} is in "
                    f"{earlier.failure_domain!r}",
                    f"{earlier.failure_domain!r}, or another fabric domain",
                )
            )
    return problems


def _make_problem(path: tuple[str | int, ...], found: str, accepted: str) -> Problem:
    return Problem(ProblemFile.INVENTORY, path, found, accepted)
