"""Requests: where they go, how often, and what their callers are told."""

from zinniaspool.core.requests.routing import Router, Upstream

__all__ = ["Router", "Upstream"]
