"""Reading the files that operators write."""

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
from zinniaspool.settings.documents import Document, read_document
from zinniaspool.settings.faults import FileFault, SettingsError, format_key
from zinniaspool.settings.schemas import check_document

__all__ = [
    "Part",
    "check_parts",
    "load_configuration",
    "load_document",
    "load_settings",
]

_Settings = TypeVar("_Settings", bound=BaseModel)
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class Part(Generic[_T]):
    """One of the operators' files and the value that it holds."""

    document: Document
    value: _T


def load_document(path: Path) -> Document:
    """Return a file of JSON with comments.

    Raises:
        SettingsError: It cannot be read or is no such file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        found = f"no readable file ({error.strerror})"
        raise SettingsError([_fault_file(path, found)]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([_fault_file(path, "bytes not of UTF-8")]) from error
    read = read_document(str(path), text)
    if isinstance(read, list):
        raise SettingsError(read)
    return read


def load_settings(path: Path, kind: type[_Settings]) -> _Settings:
    """Return the settings of a process that starts on this VM.

    Raises:
        SettingsError: The file, or one that it names, holds faults.
    """
    return check_document(load_document(path), kind, on_vm=True)


def load_configuration(inventory: Path, rules: Path) -> Configuration:
    """Return the configuration that an inventory and rules make.

    Both are checked, each by itself and against the other.

    Raises:
        SettingsError: They hold faults; all of them are named.
    """
    vms, rules_read, faults = _load_parts(inventory, rules)
    if faults or vms is None or rules_read is None:
        raise SettingsError(faults)
    return Configuration(vms.value, rules_read.value)


def check_parts(
    inventory: Part[Inventory] | None, rules: Part[Rules] | None
) -> list[FileFault]:
    """Return what is wrong with an inventory and rules, or with one alone."""
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
        faults += _place_problems(problems, ProblemFile.INVENTORY, inventory.document)
    if rules is not None:
        faults += _place_problems(problems, ProblemFile.RULES, rules.document)
    return faults


def _load_parts(
    inventory: Path, rules: Path
) -> tuple[Part[Inventory] | None, Part[Rules] | None, list[FileFault]]:
    faults: list[FileFault] = []
    vms = _load_part(inventory, Inventory, faults)
    asked = _load_part(rules, Rules, faults)
    return vms, asked, faults + check_parts(vms, asked)


def _load_part(path: Path, kind: type[_T], faults: list[FileFault]) -> Part[_T] | None:
    try:
        document = load_document(path)
        return Part(document, check_document(document, kind))
    except SettingsError as error:
        faults += error.faults
        return None


def _place_problems(
    problems: list[Problem], file: ProblemFile, document: Document
) -> list[FileFault]:
    here = [problem for problem in problems if problem.file is file]
    lines = document.find_lines(problem.path for problem in here)
    return [
        FileFault(
            document.file,
            lines[problem.path],
            format_key(problem.path),
            problem.found,
            problem.accepted,
        )
        for problem in here
    ]


def _fault_file(path: Path, found: str) -> FileFault:
    return FileFault(str(path), 0, "", found, "a text file of JSON with comments")
