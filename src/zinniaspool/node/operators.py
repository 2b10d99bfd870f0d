"""HTTP interface of a process for operators.

It serves the state dump, metrics and explanations of decisions, and starts
the graceful shutdown of the process.
"""

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
    "OperatorQuery",
    "load_operators",
]

DUMP_VERSION = 1
"""Version of the dump's format."""

_log = structlog.get_logger(__name__)
_LOOPBACK = ("127.", "::1")
"""Prefixes of the addresses of the loopback interface."""


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator that sends a request.

    Attributes:
        name: Name of the operator in the log.
        customer: The only customer whose part of the fleet this operator
            may see; None for an operator who may see and do everything.
    """

    name: str
    customer: CustomerId | None = None


class _OperatorsFile(msgspec.Struct, forbid_unknown_fields=True):
    operators: dict[str, Operator]


OperatorQuery = Callable[[Operator, Mapping[str, str]], Any]
"""Returns the response to a path as an object that msgspec encodes.

It receives the operator and the query parameters, and leaves out what an
operator of one customer may not see.
"""


@dataclass(frozen=True, slots=True)
class _Section:
    make_section: Callable[[], Any]
    make_customer_section: Callable[[CustomerId], Any] | None


def load_operators(path: Path) -> CredentialFile[Operator]:
    """Load the operators that a file names.

    The file is JSON: ``{"operators": {"CREDENTIAL": {"name": "NAME",
    "customer": "CUSTOMER"}}}``. An operator without a customer may see and do
    everything.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file has another format.
    """
    return CredentialFile(path, _decode_operators)


def _decode_operators(content: bytes) -> dict[str, Operator]:
    return msgspec.json.decode(content, type=_OperatorsFile).operators


class OperatorInterface:
    """Answers the HTTP requests of operators.

    Args:
        journal: The decisions of this process.
        operators: The operators by credential. None admits only clients on
            the loopback interface, since these are already on this VM.
        render_metrics: Returns the metrics in Prometheus' text format.
        drain: Starts the graceful shutdown of this process.
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
        self._queries: dict[str, OperatorQuery] = {}
        self._fleet_queries: dict[str, Callable[[], Awaitable[Any]]] = {}

    def add_section(
        self,
        name: str,
        make_section: Callable[[], Any],
        make_customer_section: Callable[[CustomerId], Any] | None = None,
    ) -> None:
        """Add a section to the state dump.

        Args:
            name: Key of the section.
            make_section: Returns the section as an object that msgspec
                encodes.
            make_customer_section: Returns what an operator of one customer
                may see of the section. None hides the section from such
                operators.
        """
        self._sections[name] = _Section(make_section, make_customer_section)

    def add_query(self, path: str, query: OperatorQuery) -> None:
        """Answer GET requests for a path with the result of a query."""
        self._queries[path] = query

    def add_fleet_query(self, path: str, query: Callable[[], Awaitable[Any]]) -> None:
        """Answer GET requests for a path with data from other processes.

        Only operators who may see everything may request it.
        """
        self._fleet_queries[path] = query

    def encode_dump(self, customer: CustomerId | None = None) -> bytes:
        """Return the state as JSON.

        Args:
            customer: Limits the state to what an operator of this customer
                may see; None for the whole state.
        """
        state = {}
        for name, section in sorted(self._sections.items()):
            if customer is None:
                state[name] = section.make_section()
            elif section.make_customer_section is not None:
                state[name] = section.make_customer_section(customer)
        state["decisions"] = [
            decision
            for decision in self._journal.list_decisions()
            if _may_see(decision, customer)
        ]
        return msgspec.json.encode({"version": DUMP_VERSION, "state": state})

    def write_dump(self, folder: str | None, name: str) -> Path:
        """Write the whole state to a file that only its owner can read.

        Args:
            folder: Folder of the file; None for the system's folder of
                temporary files.
            name: Part of the file's name.

        Raises:
            OSError: The file cannot be written.
        """
        with NamedTemporaryFile(
            prefix=f"zinniaspool-{name}-", suffix=".json", dir=folder, delete=False
        ) as file:
            file.write(self.encode_dump())
        return Path(file.name)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of an operator."""
        operator = self._authenticate(exchange)
        if operator is None:
            _log.warning("operator-refused", peer=exchange.peer)
            headers = Headers.of(www_authenticate="Bearer")
            await exchange.respond(401, headers, b"")
            return
        url = urlsplit(exchange.request.target)
        query = dict(parse_qsl(url.query))
        match exchange.request.method, url.path:
            case "GET", "/dump":
                await _answer(exchange, self.encode_dump(operator.customer))
            case "GET", "/explain" if "/explain" not in self._queries:
                decisions = self._explain(operator, query.get("subject", ""))
                await _answer(exchange, msgspec.json.encode(decisions))
            case "GET", path if path in self._queries:
                result = self._queries[path](operator, query)
                await _answer(exchange, msgspec.json.encode(result))
            case ("GET", "/metrics") | ("POST", "/drain") if operator.customer:
                await exchange.respond(403, Headers(), b"")
            case "GET", path if path in self._fleet_queries:
                await self._answer_fleet_query(exchange, operator, path)
            case "GET", "/metrics":
                content_type = Headers.of(content_type="text/plain; version=0.0.4")
                await exchange.respond(200, content_type, self._render_metrics())
            case "POST", "/drain":
                _log.info("drain-asked", operator=operator.name)
                self._drain()
                await _answer(exchange, b'{"draining":true}')
            case _:
                await exchange.respond(404, Headers(), b"")

    async def _answer_fleet_query(
        self, exchange: Exchange, operator: Operator, path: str
    ) -> None:
        if operator.customer:
            await exchange.respond(403, Headers(), b"")
            return
        result = await self._fleet_queries[path]()
        await _answer(exchange, msgspec.json.encode(result))

    def _authenticate(self, exchange: Exchange) -> Operator | None:
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
    """Return whether a decision concerns the given customer and no other.

    Without a given customer every decision may be seen.
    """
    if customer is None:
        return True
    customer_subjects = {
        subject for subject in decision.subjects if subject.startswith(CUSTOMER_SUBJECT)
    }
    return customer_subjects == {f"{CUSTOMER_SUBJECT}{customer}"}


async def _answer(exchange: Exchange, body: bytes) -> None:
    await exchange.respond(200, Headers.of(content_type="application/json"), body)
