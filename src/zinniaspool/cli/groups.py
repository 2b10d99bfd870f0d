"""Commands that show the replica groups and explain what became of them."""

import typer

__all__ = ["commands"]

commands = typer.Typer()
