"""Follows the accepted configuration in the store."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog
from result import Err

from zinniaspool.core.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    decode_root,
    join_parts,
)
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Revision
from zinniaspool.platform import Store, StoreFault

__all__ = ["ConfigurationFollower"]

_log = structlog.get_logger(__name__)
_WATCH_S = 20.0
_RETRY_S = 0.5


class ConfigurationFollower:
    """Keeps the newest accepted configuration that this process has seen.

    Args:
        store: The platform's store.
        on_change: Called with each newer configuration.
    """

    def __init__(
        self, store: Store, on_change: Callable[[Configuration, Revision], None]
    ) -> None:
        self.revision = Revision(0)
        self._store = store
        self._on_change = on_change

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            fault = await self._read()
            if fault is None:
                watched = await self._store.watch(ROOT_KEY, self.revision, _WATCH_S)
                fault = watched.err()
            if fault is not None:
                _log.warning("store-unreachable", fault=fault.value)
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> StoreFault | None:
        found = await self._store.get(ROOT_KEY)
        if isinstance(found, Err):
            return found.err_value
        value = found.ok_value
        if value is None or value.revision <= self.revision:
            return None
        root = decode_root(value.value)
        contents = {}
        for name in root.parts.values():
            part = await self._store.get(PART_PREFIX + name)
            if isinstance(part, Err):
                return part.err_value
            if part.ok_value is not None:
                contents[name] = part.ok_value.value
        try:
            configuration = join_parts(root, contents)
        except (KeyError, msgspec.MsgspecError) as error:
            _log.error("configuration-unreadable", error=str(error))
            return StoreFault.UNKNOWN
        self.revision = value.revision
        _log.info("configuration-in-force", revision=value.revision)
        self._on_change(configuration, value.revision)
        return None
