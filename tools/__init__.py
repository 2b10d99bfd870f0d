"""Programs of the checks."""
