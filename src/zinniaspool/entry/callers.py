"""The callers' interface: who asks, for what, by when."""

import asyncio
import secrets
from dataclasses import dataclass

import msgspec
import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import Address, CustomerId, RequestId
from zinniaspool.core.requests import CallTerms, parse_timeout, parse_urgency
from zinniaspool.entry.answers import answer_fault
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.fleet import FleetView
from zinniaspool.entry.relay import Relay, RelayedCall
from zinniaspool.http import Exchange, Headers

__all__ = ["CallerInterface", "EntryAddress"]

_log = structlog.get_logger(__name__)
_ID_BYTES = 12
_LIFETIME_S = 5
_JSON = Headers.of(content_type="application/json")


class EntryAddress(msgspec.Struct):
    """One address that callers may use."""

    address: Address
    failure_domain: str


class _Entries(msgspec.Struct):
    entries: list[EntryAddress]
    lifetime_s: int


@dataclass(frozen=True, slots=True)
class _Target:
    kind: str
    name: str
    rest: str


class CallerInterface:
    """Answers callers.

    Args:
        fleet: What is known of the upstreams.
        relay: Carries requests.
        credentials: Whose request it is.
        entries: The addresses to answer with.
        default_deadline_s: For requests that bring none.
    """

    def __init__(
        self,
        fleet: FleetView,
        relay: Relay,
        credentials: Credentials,
        entries: list[EntryAddress],
        default_deadline_s: float,
    ) -> None:
        self._fleet = fleet
        self._relay = relay
        self._credentials = credentials
        self._entries = entries
        self._default_deadline_s = default_deadline_s

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        result = await self._answer(exchange)
        if isinstance(result, Err):
            fault = result.err_value
            _log.info("request-failed", kind=fault.kind.value)
            await answer_fault(exchange, fault)

    async def _answer(self, exchange: Exchange) -> Result[None, Fault]:
        request = exchange.request
        if self._fleet.configuration is None:
            return Err(Fault(ErrorKind.NOT_READY))
        if (request.method, request.path) == ("GET", "/v1/entries"):
            body = msgspec.json.encode(_Entries(self._entries, _LIFETIME_S))
            await exchange.respond(200, _JSON, body)
            return Ok(None)
        customer = self._credentials.find_customer(request.headers.get("authorization"))
        if customer is None:
            return Err(Fault(ErrorKind.BAD_CREDENTIAL))
        target = _parse_target(request.path)
        if target is None or request.method != "POST":
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        if target.kind == "models":
            return await self._call_model(exchange, customer, target)
        return await self._call_service(exchange, customer, target)

    async def _call_model(
        self, exchange: Exchange, customer: CustomerId, target: _Target
    ) -> Result[None, Fault]:
        model = self._fleet.find_model(target.name, customer)
        if model is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        now = asyncio.get_running_loop().time()
        upstreams = self._fleet.list_groups(model, customer, now)
        made = self._make_call(exchange, customer, "/generate", idempotent=True)
        if isinstance(made, Err):
            return made
        return await self._relay.run(exchange, made.ok_value, upstreams)

    async def _call_service(
        self, exchange: Exchange, customer: CustomerId, target: _Target
    ) -> Result[None, Fault]:
        service = self._fleet.find_service(target.name, customer)
        if service is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        idempotent = not any(
            target.rest.startswith(prefix) for prefix in service.non_idempotent
        )
        made = self._make_call(
            exchange, customer, f"/{target.rest}", idempotent=idempotent
        )
        if isinstance(made, Err):
            return made
        upstreams = self._fleet.list_service(service)
        return await self._relay.run(exchange, made.ok_value, upstreams)

    def _make_call(
        self,
        exchange: Exchange,
        customer: CustomerId,
        target: str,
        *,
        idempotent: bool,
    ) -> Result[RelayedCall, Fault]:
        headers = exchange.request.headers
        asked = parse_timeout(headers.get("request-timeout"), self._default_deadline_s)
        if isinstance(asked, Err):
            return asked
        urgency = parse_urgency(headers.get("priority"))
        if isinstance(urgency, Err):
            return urgency
        deadline = asyncio.get_running_loop().time() + asked.ok_value
        return Ok(
            RelayedCall(
                RequestId(secrets.token_hex(_ID_BYTES)),
                customer,
                target,
                exchange.request.body,
                CallTerms(idempotent, deadline),
                urgency.ok_value,
            )
        )


def _parse_target(path: str) -> _Target | None:
    parts = path.split("/", 4)
    match parts:
        case ["", "v1", "models" | "services" as kind, name, *rest] if name:
            return _Target(kind, name, "/".join(rest))
        case _:
            return None
