"""Loading of the files that operators write: settings, inventory and rules."""

from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

from pydantic import BaseModel

from zinniaspool.core.deployment import Configuration, Inventory, Rules
from zinniaspool.core.validation import (
    Problem,
    ProblemFile,
    check_inventory,
    check_rules,
    validate_configuration,
)
from zinniaspool.settings.documents import Document, parse_document
from zinniaspool.settings.faults import FileFault, SettingsError, format_key
from zinniaspool.settings.schemas import check_document

__all__ = [
    "LoadedFile",
    "check_loaded_files",
    "load_configuration",
    "load_document",
    "load_settings",
]

_Settings = TypeVar("_Settings", bound=BaseModel)
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class LoadedFile(Generic[_T]):
    """A file that an operator wrote, with its validated value.

    Attributes:
        document: The parsed file, which gives the lines of faults.
        value: The value of the file.
    """

    document: Document
    value: _T


def load_document(path: Path) -> Document:
    """Read and parse a file of JSON with comments.

    Raises:
        SettingsError: The file cannot be read, or is not JSON with comments.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        found = f"no readable file ({error.strerror})"
        raise SettingsError([_build_unreadable_fault(path, found)]) from error
    except UnicodeDecodeError as error:
        raise SettingsError(
            [_build_unreadable_fault(path, "bytes that are not UTF-8")]
        ) from error
    read = parse_document(str(path), text)
    if isinstance(read, list):
        raise SettingsError(read)
    return read


def load_settings(path: Path, kind: type[_Settings]) -> _Settings:
    """Load the settings of a process that starts on this VM.

    Raises:
        SettingsError: The settings have faults, or a file that they name
            cannot be read.
    """
    return check_document(load_document(path), kind, on_vm=True)


def load_configuration(inventory: Path, rules: Path) -> Configuration:
    """Load an inventory and rules as one configuration.

    Each file is validated by itself and against the other.

    Raises:
        SettingsError: The files have faults. The error lists all of them.
    """
    vms, rules_read, faults = _load_files(inventory, rules)
    if faults or vms is None or rules_read is None:
        raise SettingsError(faults)
    return Configuration(vms.value, rules_read.value)


def check_loaded_files(
    inventory: LoadedFile[Inventory] | None, rules: LoadedFile[Rules] | None
) -> list[FileFault]:
    """Return the faults of an inventory and rules, or of one of them.

    If both are given, they are also checked against each other.
    """
    if inventory is not None and rules is not None:
        problems = validate_configuration(Configuration(inventory.value, rules.value))
    elif inventory is not None:
        problems = check_inventory(inventory.value)
    elif rules is not None:
        problems = check_rules(rules.value)
    else:
        return []
    faults = []
    if inventory is not None:
        faults += _convert_problems(problems, ProblemFile.INVENTORY, inventory.document)
    if rules is not None:
        faults += _convert_problems(problems, ProblemFile.RULES, rules.document)
    return faults


def _load_files(
    inventory: Path, rules: Path
) -> tuple[LoadedFile[Inventory] | None, LoadedFile[Rules] | None, list[FileFault]]:
    faults: list[FileFault] = []
    vms = _load_file(inventory, Inventory, faults)
    rules_read = _load_file(rules, Rules, faults)
    return vms, rules_read, faults + check_loaded_files(vms, rules_read)


def _load_file(
    path: Path, kind: type[_T], faults: list[FileFault]
) -> LoadedFile[_T] | None:
    try:
        document = load_document(path)
        return LoadedFile(document, check_document(document, kind))
    except SettingsError as error:
        faults += error.faults
        return None


def _convert_problems(
    problems: list[Problem], file: ProblemFile, document: Document
) -> list[FileFault]:
    file_problems = [problem for problem in problems if problem.file is file]
    lines = document.find_lines(problem.path for problem in file_problems)
    return [
        FileFault(
            document.file,
            lines[problem.path],
            format_key(problem.path),
            problem.found,
            problem.accepted,
        )
        for problem in file_problems
    ]


def _build_unreadable_fault(path: Path, found: str) -> FileFault:
    return FileFault(str(path), 0, "", found, "a text file of JSON with comments")
