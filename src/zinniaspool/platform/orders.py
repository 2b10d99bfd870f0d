"""Client of the engines: sends them orders and requests their status."""

from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.fleet import EngineStatus, Health, HealthAnswer, InstanceId
from zinniaspool.core.formation import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.ids import Address
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
        request = Request("GET", "/v1/report")
        try:
            status, body = await self._client.fetch(address, request, timeout_s)
        except TransportError as error:
            return Err(error.failure)
        if status != HTTPStatus.OK:
            return Err(TransportFailure.MALFORMED)
        decoded = decode_status(body)
        if isinstance(decoded, Err):
            return Err(TransportFailure.MALFORMED)
        return Ok(decoded.ok_value)

    async def query_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[HealthAnswer, TransportFailure]:
        """Request an instance's health."""
        headers = Headers.of(x_zinniaspool_expect_instance=instance)
        request = Request("GET", path, headers)
        try:
            status, answered, _ = await self._client.fetch_with_headers(
                address, request, timeout_s
            )
        except TransportError as error:
            return Err(error.failure)
        health = _HEALTH.get(status)
        if health is None:
            return Err(TransportFailure.MALFORMED)
        is_leaving = parse_notice(status, answered).leaving
        return Ok(HealthAnswer(health, parse_instance(answered), is_leaving))


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
