"""HTTP/1.1 client and server on asyncio, with h11 as parser."""

from zinniaspool.http.backlog import count_undelivered, has_other_side_ended
from zinniaspool.http.client import ClientResponse, HttpClient
from zinniaspool.http.connection import Handler
from zinniaspool.http.connector import Connector, NotForwardedError
from zinniaspool.http.exchange import Exchange
from zinniaspool.http.limits import Refusal, RefusalKind, ServerLimits
from zinniaspool.http.messages import (
    Headers,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.http.server import HttpServer

__all__ = [
    "ClientResponse",
    "Connector",
    "Exchange",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpServer",
    "NotForwardedError",
    "Refusal",
    "RefusalKind",
    "Request",
    "ServerLimits",
    "TransportError",
    "TransportFailure",
    "count_undelivered",
    "has_other_side_ended",
]
