"""Adapter to the users' platform: nothing else knows its spelling."""
