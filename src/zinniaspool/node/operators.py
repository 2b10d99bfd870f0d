"""The operators' interface of a process: state, metrics, explanations."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from tempfile import NamedTemporaryFile
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import msgspec
import structlog

from zinniaspool.core.explanations import CUSTOMER_SUBJECT
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Decision, Journal
from zinniaspool.http import Exchange, Headers
from zinniaspool.node.files import CredentialFile

__all__ = [
    "DUMP_VERSION",
    "Operator",
    "OperatorInterface",
    "View",
    "load_operators",
]

DUMP_VERSION = 1
"""Version of the dump's form."""

_log = structlog.get_logger(__name__)
_LOOPBACK = ("127.", "::1")


@dataclass(frozen=True, slots=True)
class Operator:
    """Who asks.

    Attributes:
        name: For the log.
        customer: The only customer whose part of the fleet this operator
            sees, or None for one who sees and does all.
    """

    name: str
    customer: CustomerId | None = None


class _OperatorsFile(msgspec.Struct, forbid_unknown_fields=True):
    operators: dict[str, Operator]


View = Callable[[Operator, Mapping[str, str]], Any]
"""Answers one path with what msgspec encodes, from who asks and the query.

It leaves out what an operator of one customer may not see.
"""


@dataclass(frozen=True, slots=True)
class _Section:
    make: Callable[[], Any]
    make_for: Callable[[CustomerId], Any] | None


def load_operators(path: Path) -> CredentialFile[Operator]:
    """Return the operators that a file names.

    The file is JSON: ``{"operators": {"CREDENTIAL": {"name": "NAME",
    "customer": "CUSTOMER"}}}``, the customer left out for those who see all.

    Raises:
        OSError: The file cannot be read.
        ValueError: It holds something else.
    """
    return CredentialFile(path, _decode_operators)


def _decode_operators(content: bytes) -> dict[str, Operator]:
    return msgspec.json.decode(content, type=_OperatorsFile).operators


class OperatorInterface:
    """Answers operators over HTTP.

    Args:
        journal: The process's decisions.
        operators: Who may ask; None admits callers on the loopback
            interface alone, who are on this VM already.
        render_metrics: Returns the metrics in Prometheus' text format.
        drain: Starts the process's graceful shutdown.
    """

    def __init__(
        self,
        journal: Journal,
        operators: CredentialFile[Operator] | None = None,
        render_metrics: Callable[[], bytes] = bytes,
        drain: Callable[[], None] = lambda: None,
    ) -> None:
        self._journal = journal
        self._operators = operators
        self._render_metrics = render_metrics
        self._drain = drain
        self._sections: dict[str, _Section] = {}
        self._views: dict[str, View] = {}
        self._questions: dict[str, Callable[[], Awaitable[Any]]] = {}

    def add_section(
        self,
        name: str,
        make: Callable[[], Any],
        make_for: Callable[[CustomerId], Any] | None = None,
    ) -> None:
        """Add a part of the dump.

        Args:
            name: The part's key.
            make: Returns what msgspec encodes.
            make_for: Returns what an operator of one customer may see;
                without it such an operator does not see this part.
        """
        self._sections[name] = _Section(make, make_for)

    def add_view(self, path: str, view: View) -> None:
        """Answer a path."""
        self._views[path] = view

    def add_question(self, path: str, ask: Callable[[], Awaitable[Any]]) -> None:
        """Answer a path with what is asked from other processes.

        Only operators who see all may ask.
        """
        self._questions[path] = ask

    def dump(self, customer: CustomerId | None = None) -> bytes:
        """Return the state as JSON, all of it or what one customer may see."""
        state = {}
        for name, section in sorted(self._sections.items()):
            if customer is None:
                state[name] = section.make()
            elif section.make_for is not None:
                state[name] = section.make_for(customer)
        state["decisions"] = [
            decision
            for decision in self._journal.list_decisions()
            if _may_see(decision, customer)
        ]
        return msgspec.json.encode({"version": DUMP_VERSION, "state": state})

    def write_dump(self, folder: str | None, name: str) -> Path:
        """Write the whole state to a file that only its owner can read.

        Raises:
            OSError: The file cannot be written.
        """
        with NamedTemporaryFile(
            prefix=f"zinniaspool-{name}-", suffix=".json", dir=folder, delete=False
        ) as file:
            file.write(self.dump())
        return Path(file.name)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        operator = self._recognize(exchange)
        if operator is None:
            _log.warning("operator-refused", peer=exchange.peer)
            headers = Headers.of(www_authenticate="Bearer")
            await exchange.respond(401, headers, b"")
            return
        url = urlsplit(exchange.request.target)
        query = dict(parse_qsl(url.query))
        match exchange.request.method, url.path:
            case "GET", "/dump":
                await _answer(exchange, self.dump(operator.customer))
            case "GET", "/explain" if "/explain" not in self._views:
                found = self._explain(operator, query.get("subject", ""))
                await _answer(exchange, msgspec.json.encode(found))
            case "GET", path if path in self._views:
                shown = self._views[path](operator, query)
                await _answer(exchange, msgspec.json.encode(shown))
            case ("GET", "/metrics") | ("POST", "/drain") if operator.customer:
                await exchange.respond(403, Headers(), b"")
            case "GET", path if path in self._questions:
                await self._put_question(exchange, operator, path)
            case "GET", "/metrics":
                kind = Headers.of(content_type="text/plain; version=0.0.4")
                await exchange.respond(200, kind, self._render_metrics())
            case "POST", "/drain":
                _log.info("drain-asked", operator=operator.name)
                self._drain()
                await _answer(exchange, b'{"draining":true}')
            case _:
                await exchange.respond(404, Headers(), b"")

    async def _put_question(
        self, exchange: Exchange, operator: Operator, path: str
    ) -> None:
        if operator.customer:
            await exchange.respond(403, Headers(), b"")
            return
        found = await self._questions[path]()
        await _answer(exchange, msgspec.json.encode(found))

    def _recognize(self, exchange: Exchange) -> Operator | None:
        if self._operators is None:
            return Operator("local") if exchange.peer.startswith(_LOOPBACK) else None
        return self._operators.find(exchange.request.headers.get("authorization"))

    def _explain(self, operator: Operator, subject: str) -> list[Decision]:
        return [
            decision
            for decision in self._journal.find(subject)
            if _may_see(decision, operator.customer)
        ]


def _may_see(decision: Decision, customer: CustomerId | None) -> bool:
    """Tell whether a decision concerns this customer and no other."""
    if customer is None:
        return True
    about = {one for one in decision.subjects if one.startswith(CUSTOMER_SUBJECT)}
    return about == {f"{CUSTOMER_SUBJECT}{customer}"}


async def _answer(exchange: Exchange, body: bytes) -> None:
    await exchange.respond(200, Headers.of(content_type="application/json"), body)
