"""Environment variables that the platform sets for each process."""

__all__ = ["FILE_VARIABLE"]

FILE_VARIABLE = "ZINNIASPOOL_NODE_FILE"
"""Names the variable that holds the path of the settings file."""
