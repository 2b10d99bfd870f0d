"""Settings of the processes: JSON with comments, checked whole at start."""

from zinniaspool.settings.load import SettingsError, load_settings
from zinniaspool.settings.types import ControlSettings, EntrySettings, NodeSettings

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "NodeSettings",
    "SettingsError",
    "load_settings",
]
