"""Operations of callers: what to send and what must come back."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from zinniaspool_standins.histories import Operation, make_marker
from zinniaspool_standins.tokens import GenerateCall, make_stream, make_text

__all__ = ["Traffic", "WantedCall", "make_call"]

_WORDS = "how warm is the ward now and who should be told"


class Traffic(Enum):
    """A kind of call."""

    PLAIN = "plain"
    STREAMED = "streamed"
    NON_IDEMPOTENT = "non-idempotent"


@dataclass(frozen=True, slots=True)
class WantedCall:
    """One operation and how it is sent.

    Attributes:
        operation: Its record.
        path: At the entry process.
        body: The same for every ask.
        key: Idempotency key; empty for none.
        urgency: 0 is the most urgent, of the Priority header.
        timeout_s: Of one ask.
    """

    operation: Operation
    path: str
    body: bytes
    key: str = ""
    urgency: int = 3
    timeout_s: float = 10.0


def make_call(
    traffic: Traffic,
    number: int,
    customer: str,
    target: str,
    max_tokens: int = 12,
    timeout_s: float = 10.0,
) -> WantedCall:
    """Return a call of one kind.

    Args:
        traffic: Which kind.
        number: Not used before by this customer.
        customer: Whose call it is.
        target: The model; for a call that may not be repeated, the service
            and the path below it.
        max_tokens: How long an answer a model is asked for.
        timeout_s: Deadline of each ask.
    """
    marker = make_marker(number, f"{customer}-")
    if traffic is Traffic.NON_IDEMPOTENT:
        return _make_service_call(marker, customer, target, timeout_s)
    streamed = traffic is Traffic.STREAMED
    call = GenerateCall(f"{marker} {_WORDS}", max_tokens, streamed)
    if streamed:
        expected = make_stream(call).decode()
    else:
        expected = f'"text":{msgspec.json.encode(make_text(call)).decode()}'
    operation = Operation(marker, customer, expected, exact=streamed)
    path = f"/v1/models/{target}/generate"
    return WantedCall(operation, path, msgspec.json.encode(call), timeout_s=timeout_s)


def _make_service_call(
    marker: str, customer: str, target: str, timeout_s: float
) -> WantedCall:
    body = msgspec.json.encode({"note": f"{marker} go"})
    echo = msgspec.json.encode(body.decode()).decode()
    operation = Operation(marker, customer, f'"echo":{echo}', non_idempotent=True)
    path = f"/v1/services/{target}"
    key = f"key-{marker}"
    return WantedCall(operation, path, body, key, urgency=0, timeout_s=timeout_s)
