"""The command that checks configuration files before they are used."""

from pathlib import Path
from typing import Any

import typer

from zinniaspool.core.deployment import Inventory, Rules
from zinniaspool.settings import (
    ControlSettings,
    Document,
    EntrySettings,
    FileFault,
    LoadedFile,
    SettingsError,
    check_document,
    check_loaded_files,
    list_keys,
    load_document,
)

__all__ = ["commands"]

commands = typer.Typer()

_KINDS: tuple[type[Any], ...] = (Inventory, Rules, ControlSettings, EntrySettings)
"""Types of files that the command can check."""


@commands.command()
def check(files: list[Path]) -> None:
    """Check settings, inventory and rules; report every fault of every file.

    The type of a file is recognized by its keys. An inventory and rules that
    are given together are also checked against each other.
    """
    faults: list[FileFault] = []
    parts: dict[type[Any], LoadedFile[Any]] = {}
    for file in files:
        try:
            document = load_document(file)
            kind = _recognize(document)
            parts[kind] = LoadedFile(document, check_document(document, kind))
        except SettingsError as error:
            faults += error.faults
    faults += check_loaded_files(parts.get(Inventory), parts.get(Rules))
    for fault in faults:
        typer.echo(str(fault), err=True)
    if faults:
        raise typer.Exit(1)
    typer.echo(f"{len(files)} files, no faults")


def _recognize(document: Document) -> type[Any]:
    """Return the type that has the most top-level keys of a document.

    Raises:
        SettingsError: No type has any of the document's keys.
    """
    value = document.value
    keys = set(value) if isinstance(value, dict) else set()
    kind = max(_KINDS, key=lambda kind: len(keys & set(list_keys(kind, ()))))
    if keys & set(list_keys(kind, ())):
        return kind
    raise SettingsError(
        [
            FileFault(
                document.file,
                1,
                "",
                "no key of any known file",
                "the settings of a process, an inventory or rules",
            )
        ]
    )
