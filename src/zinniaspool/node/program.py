"""Starts a process: loads its settings, configures logs, runs its loop."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import typer

from zinniaspool.settings import NodeSettings, SettingsError, load_settings
from zinniaspool.telemetry import configure_logs

__all__ = ["run_program"]

_Settings = TypeVar("_Settings", bound=NodeSettings)
_BAD_SETTINGS = 2
"""Exit status if the settings cannot be used."""


def run_program(
    program: str,
    settings_file: Path,
    settings_type: type[_Settings],
    run: Callable[[_Settings], Awaitable[None]],
) -> None:
    """Run a process until it stops.

    Args:
        program: Name of the program in the log.
        settings_file: File of the settings.
        settings_type: Type of the settings.
        run: Runs the process; called on the event loop.

    Raises:
        typer.Exit: The settings cannot be used; their faults were printed.
    """
    try:
        settings = load_settings(settings_file, settings_type)
        configure_logs(program, settings.node)
        asyncio.run(_await(run, settings))
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_BAD_SETTINGS) from error


async def _await(
    run: Callable[[_Settings], Awaitable[None]], settings: _Settings
) -> None:
    await run(settings)
