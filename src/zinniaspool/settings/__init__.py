"""Settings of the processes: JSON with comments, checked whole at start."""

from zinniaspool.settings.documents import Document, read_document
from zinniaspool.settings.faults import FileFault, SettingsError, format_key
from zinniaspool.settings.load import (
    Part,
    check_parts,
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
    "NodeSettings",
    "Part",
    "SettingsError",
    "TlsFiles",
    "check_parts",
    "check_document",
    "list_keys",
    "format_key",
    "load_configuration",
    "load_document",
    "load_settings",
    "read_document",
]
