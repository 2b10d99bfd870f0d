"""The command that finds in the logs what happened to a request, and why."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from zinniaspool.telemetry.events import LOG_EVENTS
from zinniaspool.telemetry.traces import LogLine, parse_line, trace_request

__all__ = ["commands"]

commands = typer.Typer()

_EXIT_UNKNOWN_REQUEST = 1
"""Exit status: no log line names the request."""


@commands.command()
def trace(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(
            help="Collected logs of all VMs; standard input if none is given.",
            exists=True,
            dir_okay=False,
        ),
    ] = None,
) -> None:
    """Show the log lines about a request and the cause of its outcome."""
    result = trace_request(_read_lines(logs or []), request)
    if not result.lines:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(_EXIT_UNKNOWN_REQUEST)
    explained: set[str] = set()
    for line in result.lines:
        typer.echo(str(line))
        meaning = LOG_EVENTS.get(line.event)
        if meaning is not None and line.event not in explained:
            typer.echo(f"    {meaning}")
            explained.add(line.event)
    if result.dropped:
        typer.echo(
            f"log lines were dropped {len(result.dropped)} times: some are missing"
        )


def _read_lines(logs: list[Path]) -> Iterator[LogLine]:
    if not logs:
        yield from _parse_lines(sys.stdin)
    for path in logs:
        with path.open(errors="replace") as file:
            yield from _parse_lines(file)


def _parse_lines(text: Iterator[str]) -> Iterator[LogLine]:
    for raw_line in text:
        line = parse_line(raw_line)
        if line is not None:
            yield line
