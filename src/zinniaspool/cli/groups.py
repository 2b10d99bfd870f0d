"""Commands that show the replica groups and explain what became of them."""

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

from zinniaspool.cli.asking import AskedProcesses
from zinniaspool.cli.options import AuthorityOption, CredentialOption, NodeOption
from zinniaspool.core.explanations import merge_decisions, restrict_decisions
from zinniaspool.core.groups.descriptions import DomainDescription, restrict_domain
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Decision

__all__ = ["SubjectKind", "commands"]

commands = typer.Typer()

_UNREACHED = 1
"""Exit status: no process answered."""

_T = TypeVar("_T")

_CustomerOption = Annotated[
    str | None,
    typer.Option(
        "--customer", help="Show only what this customer's operators may see."
    ),
]


class SubjectKind(Enum):
    """What can be explained."""

    GROUP = "group"
    VM = "vm"
    REQUEST = "request"
    MODEL = "model"
    DOMAIN = "domain"


class _DumpState(msgspec.Struct):
    groups: list[DomainDescription] = []


class _Dump(msgspec.Struct):
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
    """Tell what happened to a group, VM or request, when and why."""
    subject = f"{kind.value}:{name}"
    path = f"/explain?subject={quote(subject, safe='')}"
    answers = _ask(node, path, credential, authority, list[Decision])
    decisions = merge_decisions(answers)
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
    """Show groups, idle VMs and why each is idle, and both measures."""
    answers = _ask(node, "/dump", credential, authority, _Dump)
    domains = _choose_domains(answers)
    if customer is not None:
        domains = [restrict_domain(d, CustomerId(customer)) for d in domains]
    for domain in domains:
        for line in _format_domain(domain, measures=customer is None):
            typer.echo(line)
    if not domains:
        typer.echo("no process that was asked holds a fabric domain")


def _choose_domains(answers: Iterable[_Dump]) -> list[DomainDescription]:
    """Return each domain once, as its holder sees it if that was asked."""
    best: dict[str, DomainDescription] = {}
    for answer in answers:
        for domain in answer.state.groups:
            known = best.get(domain.domain)
            if known is None or (domain.holds, domain.epoch) > (
                known.holds,
                known.epoch,
            ):
                best[domain.domain] = domain
    return [best[name] for name in sorted(best)]


def _format_decision(decision: Decision) -> str:
    at = datetime.fromtimestamp(decision.at, UTC).isoformat(timespec="milliseconds")
    others = " ".join(f"{name}={value}" for name, value in decision.fields.items())
    about = ",".join(decision.subjects)
    return f"{at} {decision.kind.value} {about}: {decision.reason} {others}".rstrip()


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
        f"  shortfall {lack.model} {lack.kind}: {lack.reason}"
        for lack in domain.shortfalls
    ]
    if measures:
        found = domain.measures
        lines.append(
            f"  measures groups-down={found.groups_down}"
            f" accelerators-stranded={found.accelerators_stranded}"
            f" group-downtime-s={found.downtime_s:.0f}"
            f" stranded-accelerator-s={found.stranded_s:.0f}"
        )
    return lines


def _ask(
    nodes: list[str],
    target: str,
    credential: Path | None,
    authority: Path | None,
    kind: type[_T],
) -> list[_T]:
    """Return what the processes that could be asked answered."""
    asked = AskedProcesses(nodes, credential, authority)
    answers = []
    for one in asyncio.run(asked.ask("GET", target)):
        if isinstance(one.answer, Err):
            typer.echo(f"{one.address}: {one.answer.err_value}", err=True)
            continue
        try:
            answers.append(msgspec.convert(one.answer.ok_value, type=kind))
        except msgspec.ValidationError as error:
            typer.echo(f"{one.address}: {error}", err=True)
    if not answers:
        raise typer.Exit(_UNREACHED)
    return answers
