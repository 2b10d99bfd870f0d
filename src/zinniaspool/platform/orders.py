"""Client of the engines: sends them orders and requests their status."""

from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.fleet import EngineStatus, Health, HealthAnswer, InstanceId
from zinniaspool.core.formation import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.ids import Address
from zinniaspool.core.messages.fleet import InstanceAnswer
from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.platform.entries import decode_status
from zinniaspool.platform.wire import parse_instance, parse_notice

__all__ = ["EngineClient"]

MAX_ANSWER_BYTES = 1024 * 1024
"""Largest answer to a query, in bytes. One process queries many engines at a
time."""

ORDER_TIMEOUT_S = 0.4
"""Longest wait for the answer to an order, in seconds. Engines answer within
milliseconds or not at all, and an unanswered order is sent again."""

_OUTCOMES = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.UNFIT,
    412: OrderOutcome.STALE,
    421: OrderOutcome.GONE,
}
_HEALTH = {
    200: Health.HEALTHY,
    421: Health.MISDIRECTED,
    503: Health.UNHEALTHY,
}
_ACTIONS = {
    OrderAction.JOIN: "join",
    OrderAction.OPEN: "open",
    OrderAction.CLOSE: "close",
    OrderAction.LEAVE: "leave",
    OrderAction.STAGE: "stage",
}


class EngineClient:
    """Sends orders to engines and requests their status.

    Args:
        client: Sends the requests.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def send_order(self, address: Address, order: GroupOrder) -> OrderOutcome:
        """Send an order and return what is known of its outcome."""
        headers = Headers.of(
            content_type="application/json",
            x_zinniaspool_expect_instance=order.instance,
        )
        body = msgspec.json.encode(_format_order(order))
        request = Request("POST", "/v1/order", headers, body)
        try:
            status, _ = await self._client.fetch(address, request, ORDER_TIMEOUT_S)
        except TransportError as error:
            if error.failure is TransportFailure.NOT_SENT:
                return OrderOutcome.NOT_SENT
            return OrderOutcome.UNANSWERED
        return _OUTCOMES.get(status, OrderOutcome.REFUSED)

    async def query_status(
        self, address: Address, timeout_s: float
    ) -> Result[EngineStatus, TransportFailure]:
        """Request an engine's status."""
        answer = await self.fetch_status(address, timeout_s)
        return answer.and_then(self.decode_status)

    async def query_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[HealthAnswer, TransportFailure]:
        """Request an instance's health."""
        answer = await self.fetch_health(address, instance, path, timeout_s)
        return answer.and_then(self.decode_health)

    async def fetch_status(
        self, address: Address, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        """Request an engine's status; return its answer as received."""
        return await self._fetch(address, Request("GET", "/v1/report"), timeout_s)

    async def fetch_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        """Request an instance's health; return its answer as received."""
        headers = Headers.of(x_zinniaspool_expect_instance=instance)
        return await self._fetch(address, Request("GET", path, headers), timeout_s)

    def decode_status(
        self, answer: InstanceAnswer
    ) -> Result[EngineStatus, TransportFailure]:
        """Decode the answer to a status query."""
        if answer.status != HTTPStatus.OK:
            return Err(TransportFailure.MALFORMED)
        decoded = decode_status(answer.body)
        if isinstance(decoded, Err):
            return Err(TransportFailure.MALFORMED)
        is_leaving = decoded.ok_value.is_leaving or _parse_leaving(answer)
        return Ok(msgspec.structs.replace(decoded.ok_value, is_leaving=is_leaving))

    def decode_health(
        self, answer: InstanceAnswer
    ) -> Result[HealthAnswer, TransportFailure]:
        """Decode the answer to a health query."""
        health = None if answer.status is None else _HEALTH.get(answer.status)
        if answer.status is None or health is None:
            return Err(TransportFailure.MALFORMED)
        instance = parse_instance(_read_headers(answer))
        return Ok(HealthAnswer(health, instance, _parse_leaving(answer)))

    async def _fetch(
        self, address: Address, request: Request, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        try:
            status, headers, body = await self._client.fetch_with_headers(
                address, request, timeout_s, MAX_ANSWER_BYTES
            )
        except TransportError as error:
            return Err(error.failure)
        fields = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers.raw()
        ]
        return Ok(InstanceAnswer(status, fields, body))


def _read_headers(answer: InstanceAnswer) -> Headers:
    return Headers(
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    )


def _parse_leaving(answer: InstanceAnswer) -> bool:
    """Return whether an answer says that its instance leaves."""
    if answer.status is None:
        return False
    return parse_notice(answer.status, _read_headers(answer)).leaving


def _format_order(order: GroupOrder) -> dict[str, object]:
    body: dict[str, object] = {"op": _ACTIONS[order.action]}
    if order.group is not None:
        body |= {"group": order.group, "epoch": order.epoch}
    match order.action:
        case OrderAction.JOIN:
            body |= {"model": order.model, "members": list(order.members)}
        case OrderAction.STAGE:
            body |= {"model": order.model}
        case OrderAction.CLOSE:
            body |= {"close-mode": "queue"}
    return body
