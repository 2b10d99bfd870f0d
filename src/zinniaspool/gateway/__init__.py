"""The entry program on the users' platform: from callers to whole groups."""
