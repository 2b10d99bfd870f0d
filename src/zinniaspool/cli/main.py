"""Composition root of ``zinniaspool``: one module for each command family."""

import typer

from zinniaspool.cli import checking, configuration, groups, processes, traces

__all__ = ["app", "main"]

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _describe() -> None:
    """Drive a zinniaspool fleet."""


for _family in (checking, configuration, groups, processes, traces):
    app.add_typer(_family.commands)


def main() -> None:
    """Run the program."""
    app()
