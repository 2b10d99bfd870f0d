"""The command that leads from a request's id to its cause."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from zinniaspool.telemetry.events import LOG_EVENTS
from zinniaspool.telemetry.traces import LogLine, parse_line, trace_request

__all__ = ["commands"]

commands = typer.Typer()

_UNKNOWN = 1
"""Exit status: no line names the request."""


@commands.command()
def trace(
    request: Annotated[str, typer.Argument(help="The request's id.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(
            help="Collected logs of all VMs; standard input without any.",
            exists=True,
            dir_okay=False,
        ),
    ] = None,
) -> None:
    """Tell what became of a request, and what was written about its cause."""
    found = trace_request(_read_lines(logs or []), request)
    if not found.lines:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(_UNKNOWN)
    explained: set[str] = set()
    for line in found.lines:
        typer.echo(str(line))
        meaning = LOG_EVENTS.get(line.event)
        if meaning is not None and line.event not in explained:
            typer.echo(f"    {meaning}")
            explained.add(line.event)
    if found.dropped:
        typer.echo(
            f"{len(found.dropped)} times lines were dropped there: some are missing"
        )


def _read_lines(logs: list[Path]) -> Iterator[LogLine]:
    if not logs:
        yield from _parse(sys.stdin)
    for path in logs:
        with path.open(errors="replace") as text:
            yield from _parse(text)


def _parse(text: Iterator[str]) -> Iterator[LogLine]:
    for one in text:
        line = parse_line(one)
        if line is not None:
            yield line
