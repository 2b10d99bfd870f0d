"""Adapter to the users' platform; no other package knows its formats."""
