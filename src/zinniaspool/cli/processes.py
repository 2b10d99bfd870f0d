"""Commands that ask or tell the processes of a fleet."""

import asyncio
from typing import Annotated, Any

import msgspec
import typer
from result import Err, Ok

from zinniaspool.cli.asking import AskedProcesses, ProcessAnswer
from zinniaspool.cli.options import AuthorityOption, CredentialOption, NodeOption

__all__ = ["commands"]

commands = typer.Typer()

_LOOK_S = 0.2
"""Seconds between looks whether a process has ended; chosen."""


@commands.command()
def dump(
    nodes: NodeOption,
    credential: CredentialOption = None,
    authority: AuthorityOption = None,
) -> None:
    """Print the state of processes as JSON, by operator address."""
    asked = AskedProcesses(nodes, credential, authority)
    answers = asyncio.run(asked.ask("GET", "/dump"))
    states = {
        one.address: one.answer.ok_value
        for one in answers
        if isinstance(one.answer, Ok)
    }
    typer.echo(_format(states))
    _report_failures(answers)


@commands.command()
def drain(
    nodes: NodeOption,
    credential: CredentialOption = None,
    authority: AuthorityOption = None,
    wait_s: Annotated[
        float, typer.Option("--wait", help="Seconds to wait for their ends.")
    ] = 0.0,
) -> None:
    """Have processes leave: nothing new, finish what runs, then end."""
    asked = AskedProcesses(nodes, credential, authority)
    answers = asyncio.run(asked.ask("POST", "/drain"))
    _report_failures(answers)
    typer.echo(f"draining: {', '.join(one.address for one in answers)}")
    if not wait_s:
        return
    left = asyncio.run(_wait_for_ends(asked, wait_s))
    if left:
        typer.echo(f"still running: {', '.join(left)}", err=True)
        raise typer.Exit(1)
    typer.echo("ended")


async def _wait_for_ends(asked: AskedProcesses, wait_s: float) -> list[str]:
    """Return the processes that still answer when the time is up."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + wait_s
    while True:
        answers = await asked.ask("GET", "/dump")
        left = [str(one.address) for one in answers if isinstance(one.answer, Ok)]
        if not left or loop.time() >= ends:
            return left
        await asyncio.sleep(_LOOK_S)


def _report_failures(answers: list[ProcessAnswer]) -> None:
    failed = [one for one in answers if isinstance(one.answer, Err)]
    for one in failed:
        typer.echo(f"{one.address}: {one.answer.err()}", err=True)
    if failed:
        raise typer.Exit(1)


def _format(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
