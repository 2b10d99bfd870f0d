"""Sends HTTP requests to the operator addresses of processes.

The commands that show, drain or wait for processes share this client.
"""

import asyncio
import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import typer
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Address
from zinniaspool.http import Headers, HttpClient, Request, TransportError

__all__ = ["OperatorClient", "ProcessResponse"]

_RESPONSE_TIMEOUT_S = 5.0
"""Seconds to wait for one process, which normally responds in milliseconds."""
_HTTP_OK = 200
"""HTTP status of a successful response."""
_EXIT_USAGE = 2
"""Exit status for wrong usage, as is conventional in shells."""
_ERRORS_BY_STATUS = {
    401: "the credential is not accepted",
    403: "not allowed",
    404: "unknown",
}
"""Error texts by HTTP status; other statuses are reported by number."""


@dataclass(frozen=True, slots=True)
class ProcessResponse:
    """The outcome of a request to one process.

    Attributes:
        address: The process's operator address.
        result: The decoded JSON body, or why there is none.
    """

    address: Address
    result: Result[Any, str]


class OperatorClient:
    """Sends the same request to several processes concurrently.

    Args:
        addresses: The operator addresses of the processes.
        credential: File with the operator's credential; None sends none.
        authority: File with the certificate of the authority that issued the
            processes' certificates; None connects without TLS.

    Raises:
        typer.Exit: A file cannot be read or used; the reason was printed.
    """

    def __init__(
        self, addresses: Sequence[str], credential: Path | None, authority: Path | None
    ) -> None:
        self._addresses = [Address(address) for address in addresses]
        try:
            self._headers = _make_headers(credential)
            self._tls = _make_tls(authority)
        except OSError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(_EXIT_USAGE) from error

    async def request_all(self, method: str, target: str) -> list[ProcessResponse]:
        """Send a request to every process and return all outcomes.

        A process that fails or doesn't respond in time has an error as its
        outcome.

        Args:
            method: The HTTP method.
            target: The path and query.

        Returns:
            One outcome for each process, in the order of the addresses.
        """
        client = HttpClient(tls=self._tls)
        request = Request(method, target, self._headers)
        try:
            results = await asyncio.gather(
                *(
                    _request_json(client, address, request)
                    for address in self._addresses
                )
            )
        finally:
            client.close()
        return [
            ProcessResponse(address, result)
            for address, result in zip(self._addresses, results, strict=True)
        ]


async def _request_json(
    client: HttpClient, address: Address, request: Request
) -> Result[Any, str]:
    try:
        status, body = await client.fetch(address, request, _RESPONSE_TIMEOUT_S)
    except TransportError as error:
        return Err(str(error))
    if status != _HTTP_OK:
        return Err(_ERRORS_BY_STATUS.get(status, f"status {status}"))
    try:
        return Ok(msgspec.json.decode(body))
    except DECODE_ERRORS:
        return Err("the response is not JSON")


def _make_headers(credential: Path | None) -> Headers:
    if credential is None:
        return Headers()
    return Headers.of(authorization=f"Bearer {credential.read_text().strip()}")


def _make_tls(authority: Path | None) -> ssl.SSLContext | None:
    if authority is None:
        return None
    return ssl.create_default_context(cafile=str(authority))
