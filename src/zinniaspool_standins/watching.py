"""What a person wants to see of a running fleet."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool.core.journal import Decision
from zinniaspool.core.plans import EngineReport, EngineState
from zinniaspool.http import HttpClient, Request, TransportError

__all__ = ["SeenGroup", "find_decisions", "list_groups", "read_reports"]

_CALL_S = 1.0
_OK = 200


@dataclass(frozen=True, slots=True)
class SeenGroup:
    """A group as its VMs report it.

    Attributes:
        id: The group's name.
        model: What it runs.
        vms: The VMs that report it, sorted.
        whole: Whether each VM that reports it is ready for one epoch. A VM
            that is gone reports nothing: whether all its VMs are there shows
            in their number.
    """

    id: str
    model: str
    vms: tuple[str, ...]
    whole: bool


async def read_reports(
    http: HttpClient, addresses: dict[str, Address]
) -> dict[str, EngineReport]:
    """Return what each VM's engine reports now; silent ones are left out."""
    fetched = await asyncio.gather(
        *(_fetch(http, address, "/report") for address in addresses.values())
    )
    return {
        vm: msgspec.json.decode(body, type=EngineReport)
        for vm, body in zip(addresses, fetched, strict=True)
        if body is not None
    }


def list_groups(reports: dict[str, EngineReport]) -> list[SeenGroup]:
    """Return the groups that the reports show, by name."""
    members: dict[str, list[EngineReport]] = defaultdict(list)
    for report in reports.values():
        if report.group is not None:
            members[report.group].append(report)
    return [
        SeenGroup(
            group,
            str(found[0].model),
            tuple(sorted(report.vm for report in found)),
            all(report.state is EngineState.READY for report in found)
            and len({report.epoch for report in found}) == 1,
        )
        for group, found in sorted(members.items())
    ]


async def find_decisions(
    http: HttpClient, operators: list[Address], subject: str
) -> list[Decision]:
    """Return what all processes decided about a subject, in order."""
    target = f"/explain?subject={subject}"
    fetched = await asyncio.gather(
        *(_fetch(http, address, target) for address in operators)
    )
    found: list[Decision] = []
    for body in fetched:
        if body is not None:
            found += msgspec.json.decode(body, type=list[Decision])
    return sorted(found, key=lambda decision: (decision.at, decision.number))


async def _fetch(http: HttpClient, address: Address, target: str) -> bytes | None:
    try:
        status, body = await http.fetch(address, Request("GET", target), _CALL_S)
    except TransportError:
        return None
    return body if status == _OK else None
