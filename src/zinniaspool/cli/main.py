"""Composition root of ``zinniaspool``."""

import typer

from zinniaspool.cli.configuration import add_configuration_commands

__all__ = ["main"]

_app = typer.Typer(no_args_is_help=True, add_completion=False)


@_app.callback()
def _describe() -> None:
    """Drive a zinniaspool fleet."""


add_configuration_commands(_app)


def main() -> None:
    """Run the program."""
    _app()
