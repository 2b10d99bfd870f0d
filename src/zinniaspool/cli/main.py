"""Composition root of ``zinniaspool``: one module for each command family."""

import typer

from zinniaspool.cli import checking, configuration, groups, processes

__all__ = ["main"]

_app = typer.Typer(no_args_is_help=True, add_completion=False)


@_app.callback()
def _describe() -> None:
    """Drive a zinniaspool fleet."""


for _family in (checking, configuration, groups, processes):
    _app.add_typer(_family.commands)


def main() -> None:
    """Run the program."""
    _app()
