"""Commands that check files before they are used."""

import typer

__all__ = ["commands"]

commands = typer.Typer()
