"""Commands that dump the state of processes or drain them."""

import asyncio
from typing import Annotated, Any

import msgspec
import typer
from result import Err, Ok

from zinniaspool.cli.asking import OperatorClient, ProcessResponse
from zinniaspool.cli.options import AuthorityOption, CredentialOption, NodeOption

__all__ = ["commands"]

commands = typer.Typer()

_POLL_INTERVAL_S = 0.2
"""Seconds between two checks whether the drained processes have ended."""


@commands.command()
def dump(
    nodes: NodeOption,
    credential: CredentialOption = None,
    authority: AuthorityOption = None,
) -> None:
    """Print the state of processes as JSON, by operator address."""
    client = OperatorClient(nodes, credential, authority)
    responses = asyncio.run(client.request_all("GET", "/dump"))
    states = {
        response.address: response.result.ok_value
        for response in responses
        if isinstance(response.result, Ok)
    }
    typer.echo(_format_json(states))
    _report_failures(responses)


@commands.command()
def drain(
    nodes: NodeOption,
    credential: CredentialOption = None,
    authority: AuthorityOption = None,
    wait_s: Annotated[
        float, typer.Option("--wait", help="Seconds to wait until they have ended.")
    ] = 0.0,
) -> None:
    """Drain processes: they accept nothing new, finish what runs, then end."""
    client = OperatorClient(nodes, credential, authority)
    responses = asyncio.run(client.request_all("POST", "/drain"))
    _report_failures(responses)
    typer.echo(f"draining: {', '.join(response.address for response in responses)}")
    if not wait_s:
        return
    running = asyncio.run(_wait_for_ends(client, wait_s))
    if running:
        typer.echo(f"still running: {', '.join(running)}", err=True)
        raise typer.Exit(1)
    typer.echo("ended")


async def _wait_for_ends(client: OperatorClient, wait_s: float) -> list[str]:
    """Poll the processes until none responds or the time is up.

    Returns:
        The addresses of the processes that still responded last.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        responses = await client.request_all("GET", "/dump")
        running = [
            str(response.address)
            for response in responses
            if isinstance(response.result, Ok)
        ]
        if not running or loop.time() >= deadline:
            return running
        await asyncio.sleep(_POLL_INTERVAL_S)


def _report_failures(responses: list[ProcessResponse]) -> None:
    failed = [response for response in responses if isinstance(response.result, Err)]
    for response in failed:
        typer.echo(f"{response.address}: {response.result.err()}", err=True)
    if failed:
        raise typer.Exit(1)


def _format_json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
