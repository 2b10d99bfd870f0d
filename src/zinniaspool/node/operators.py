"""The operators' interface of a process: state dump and explanations."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from zinniaspool.core.journal import Journal
from zinniaspool.http import Exchange, Headers

__all__ = ["DUMP_VERSION", "OperatorInterface"]

DUMP_VERSION = 1
_JSON = Headers.of(content_type="application/json")


class OperatorInterface:
    """Answers operators over HTTP.

    Args:
        journal: The process's decisions.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._sections: dict[str, Callable[[], Any]] = {}
        self._answers: dict[str, Callable[[], Awaitable[Any]]] = {}

    def add_section(self, name: str, make: Callable[[], Any]) -> None:
        """Add a part of the dump; ``make`` returns what msgspec encodes."""
        self._sections[name] = make

    def add_answer(self, path: str, make: Callable[[], Awaitable[Any]]) -> None:
        """Add a path; ``make`` returns what msgspec encodes."""
        self._answers[path] = make

    def dump(self) -> bytes:
        """Return the whole state as JSON."""
        state = {name: make() for name, make in sorted(self._sections.items())}
        return msgspec.json.encode({"version": DUMP_VERSION, "state": state})

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        url = urlsplit(exchange.request.target)
        match url.path:
            case "/dump":
                await exchange.respond(200, _JSON, self.dump())
            case "/explain":
                subject = parse_qs(url.query).get("subject", [""])[0]
                found = self._journal.find(subject)
                await exchange.respond(200, _JSON, msgspec.json.encode(found))
            case path if path in self._answers:
                answer = msgspec.json.encode(await self._answers[path]())
                await exchange.respond(200, _JSON, answer)
            case _:
                await exchange.respond(404, _JSON, b"null")
