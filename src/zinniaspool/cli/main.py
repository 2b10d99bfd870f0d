"""Composition root of ``zinniaspool``: joins the modules with its commands."""

import typer

from zinniaspool.cli import (
    checking,
    configuration,
    groups,
    processes,
    traces,
    unreadable,
)

__all__ = ["app", "main"]

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _describe() -> None:
    """Operate a zinniaspool fleet."""


for _module in (checking, configuration, groups, processes, traces, unreadable):
    app.add_typer(_module.commands)


def main() -> None:
    """Run the command line."""
    app()
