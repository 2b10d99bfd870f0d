"""Commands that show the replica groups and explain past decisions on them."""

import asyncio
from collections.abc import Iterable
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from typing import Annotated, TypeVar
from urllib.parse import quote

import msgspec
import typer
from result import Err

from zinniaspool.cli.asking import OperatorClient
from zinniaspool.cli.options import AuthorityOption, CredentialOption, NodeOption
from zinniaspool.core.explanations import merge_decisions, restrict_decisions
from zinniaspool.core.groups.descriptions import DomainDescription, restrict_domain
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Decision

__all__ = ["SubjectKind", "commands"]

commands = typer.Typer()

_EXIT_NO_RESPONSE = 1
"""Exit status: no process sent a usable response."""

_T = TypeVar("_T")

_CustomerOption = Annotated[
    str | None,
    typer.Option(
        "--customer", help="Show only what this customer's operators may see."
    ),
]


class SubjectKind(Enum):
    """The kinds of subjects that ``explain`` can explain."""

    GROUP = "group"
    VM = "vm"
    REQUEST = "request"
    MODEL = "model"
    DOMAIN = "domain"


class _DumpState(msgspec.Struct):
    """The part of a process's state that describes its fabric domains."""

    groups: list[DomainDescription] = []


class _Dump(msgspec.Struct):
    """The part of a process's state dump that ``show`` reads."""

    state: _DumpState


@commands.command()
def explain(
    kind: SubjectKind,
    name: str,
    node: NodeOption,
    credential: CredentialOption = None,
    authority: AuthorityOption = None,
    customer: _CustomerOption = None,
) -> None:
    """Explain what happened to a group, VM, request or model, when and why."""
    subject = f"{kind.value}:{name}"
    path = f"/explain?subject={quote(subject, safe='')}"
    decisions_by_process = _fetch(node, path, credential, authority, list[Decision])
    decisions = merge_decisions(decisions_by_process)
    if customer is not None:
        decisions = restrict_decisions(decisions, CustomerId(customer), subject)
    if not decisions:
        typer.echo(f"nothing is kept about {subject}")
        return
    for decision in decisions:
        typer.echo(_format_decision(decision))


@commands.command()
def show(
    node: NodeOption,
    credential: CredentialOption = None,
    authority: AuthorityOption = None,
    customer: _CustomerOption = None,
) -> None:
    """Show groups, why VMs are idle, shortfalls and both repair measures."""
    dumps = _fetch(node, "/dump", credential, authority, _Dump)
    domains = _choose_domains(dumps)
    if customer is not None:
        domains = [restrict_domain(d, CustomerId(customer)) for d in domains]
    for domain in domains:
        for line in _format_domain(domain, measures=customer is None):
            typer.echo(line)
    if not domains:
        typer.echo("the processes report no fabric domain")


def _choose_domains(dumps: Iterable[_Dump]) -> list[DomainDescription]:
    """Return each domain once, sorted by name.

    The description by the domain's holder is preferred, then the one with the
    highest epoch.
    """
    best: dict[str, DomainDescription] = {}
    for dump in dumps:
        for domain in dump.state.groups:
            known = best.get(domain.domain)
            if known is None or (domain.holds, domain.epoch) > (
                known.holds,
                known.epoch,
            ):
                best[domain.domain] = domain
    return [best[name] for name in sorted(best)]


def _format_decision(decision: Decision) -> str:
    at = datetime.fromtimestamp(decision.at, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(f"{name}={value}" for name, value in decision.fields.items())
    subjects = ",".join(decision.subjects)
    return f"{at} {decision.kind.value} {subjects}: {decision.reason} {fields}".rstrip()


def _format_domain(domain: DomainDescription, *, measures: bool) -> list[str]:
    lines = [f"domain {domain.domain} epoch={domain.epoch}"]
    for group in domain.groups:
        state = "serves" if group.serves else group.stage
        lines.append(
            f"  group {group.id} {group.model}@{group.version} {state}"
            f" vms={','.join(group.vms)} customers={','.join(group.customers)}"
            + (f" absent={','.join(group.absent)}" if group.absent else "")
        )
    lines += [f"  idle {idle.vm}: {idle.reason}" for idle in domain.idle]
    lines += [
        f"  shortfall {shortfall.model} {shortfall.kind}: {shortfall.reason}"
        for shortfall in domain.shortfalls
    ]
    if measures:
        measured = domain.measures
        lines.append(
            f"  measures groups-down={measured.groups_down}"
            f" accelerators-stranded={measured.accelerators_stranded}"
            f" group-downtime-s={measured.downtime_s:.0f}"
            f" stranded-accelerator-s={measured.stranded_s:.0f}"
        )
    return lines


def _fetch(
    nodes: list[str],
    target: str,
    credential: Path | None,
    authority: Path | None,
    kind: type[_T],
) -> list[_T]:
    """Request a target from all processes and return the decoded responses.

    Failures of single processes are printed.

    Raises:
        typer.Exit: No process sent a usable response.
    """
    client = OperatorClient(nodes, credential, authority)
    decoded = []
    for response in asyncio.run(client.request_all("GET", target)):
        if isinstance(response.result, Err):
            typer.echo(f"{response.address}: {response.result.err_value}", err=True)
            continue
        try:
            decoded.append(msgspec.convert(response.result.ok_value, type=kind))
        except msgspec.ValidationError as error:
            typer.echo(f"{response.address}: {error}", err=True)
    if not decoded:
        raise typer.Exit(_EXIT_NO_RESPONSE)
    return decoded
