"""Commands that ask or tell the processes of a fleet."""

import typer

__all__ = ["commands"]

commands = typer.Typer()
