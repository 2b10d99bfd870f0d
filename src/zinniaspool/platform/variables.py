"""Variables by which the platform tells a process where things are."""

__all__ = ["FILE_VARIABLE"]

FILE_VARIABLE = "ZINNIASPOOL_NODE_FILE"
"""Names the settings file."""
