"""Settings files of the processes, in JSON with comments.

A process validates its whole settings file at the start and reports all faults
at once. Inventories and rules are read and validated in the same way.
"""

from zinniaspool.settings.documents import Document, parse_document
from zinniaspool.settings.faults import FileFault, SettingsError, format_key
from zinniaspool.settings.load import (
    LoadedFile,
    check_loaded_files,
    load_configuration,
    load_document,
    load_settings,
)
from zinniaspool.settings.schemas import check_document, list_keys
from zinniaspool.settings.types import (
    ControlSettings,
    EntrySettings,
    NodeSettings,
    TlsFiles,
)

__all__ = [
    "ControlSettings",
    "Document",
    "EntrySettings",
    "FileFault",
    "LoadedFile",
    "NodeSettings",
    "SettingsError",
    "TlsFiles",
    "check_document",
    "check_loaded_files",
    "format_key",
    "list_keys",
    "load_configuration",
    "load_document",
    "load_settings",
    "parse_document",
]
