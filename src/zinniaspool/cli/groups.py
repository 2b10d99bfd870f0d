"""Commands that show the replica groups and explain what became of them."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from typing import Annotated, Generic, TypeVar
from urllib.parse import quote

import msgspec
import typer

from zinniaspool.cli.options import CredentialOption, NodeOption, read_credential
from zinniaspool.core.explanations import merge_decisions, restrict_decisions
from zinniaspool.core.groups.descriptions import DomainDescription, restrict_domain
from zinniaspool.core.ids import Address, CustomerId
from zinniaspool.core.journal import Decision
from zinniaspool.http import Headers, HttpClient, Request, TransportError

__all__ = ["SubjectKind", "commands"]

commands = typer.Typer()

_TIMEOUT_S = 5.0
_OK = 200
_UNREACHED = 1

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


@dataclass(slots=True)
class _Answers(Generic[_T]):
    """What processes answered, and why others did not."""

    answers: list[_T] = field(default_factory=list)
    unreached: list[tuple[str, str]] = field(default_factory=list)


@commands.command()
def explain(
    kind: SubjectKind,
    name: str,
    node: NodeOption,
    credential_file: CredentialOption = None,
    customer: _CustomerOption = None,
) -> None:
    """Tell what happened to a group, VM or request, when and why."""
    subject = f"{kind.value}:{name}"
    path = f"/explain?subject={quote(subject, safe='')}"
    answers = _ask(node, path, credential_file, list[Decision])
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
    credential_file: CredentialOption = None,
    customer: _CustomerOption = None,
) -> None:
    """Show groups, idle VMs and why each is idle, and both measures."""
    answers = _ask(node, "/dump", credential_file, _Dump)
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
    nodes: Sequence[str], path: str, credential_file: Path | None, kind: type[_T]
) -> list[_T]:
    headers = read_credential(credential_file)
    found = asyncio.run(_ask_all(nodes, path, headers, kind))
    for address, problem in found.unreached:
        typer.echo(f"{address}: {problem}", err=True)
    if nodes and not found.answers:
        raise typer.Exit(_UNREACHED)
    return found.answers


async def _ask_all(
    nodes: Sequence[str], path: str, headers: Headers, kind: type[_T]
) -> _Answers[_T]:
    http = HttpClient()
    found: _Answers[_T] = _Answers()
    try:
        for address in nodes:
            await _ask_one(http, address, path, headers, kind, found)
    finally:
        http.close()
    return found


async def _ask_one(
    http: HttpClient,
    address: str,
    path: str,
    headers: Headers,
    kind: type[_T],
    found: _Answers[_T],
) -> None:
    request = Request("GET", path, headers)
    try:
        status, body = await http.fetch(Address(address), request, _TIMEOUT_S)
    except TransportError as error:
        found.unreached.append((address, str(error)))
        return
    if status != _OK:
        found.unreached.append((address, f"status {status}"))
        return
    try:
        found.answers.append(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        found.unreached.append((address, str(error)))
