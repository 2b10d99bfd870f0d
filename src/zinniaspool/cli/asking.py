"""Questions to the operator addresses of processes."""

import asyncio
import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import typer
from result import Err, Ok, Result

from zinniaspool.core.ids import Address
from zinniaspool.http import Headers, HttpClient, Request, TransportError

__all__ = ["AskedProcesses", "ProcessAnswer"]

_ANSWER_S = 5.0
"""Seconds that a person waits for a process, which answers in milliseconds."""
_OK = 200
"""HTTP status."""
_USAGE = 2
"""Exit status for a wrong use, as shells have it."""
_REFUSALS = {401: "the credential is not accepted", 403: "not allowed", 404: "unknown"}


@dataclass(frozen=True, slots=True)
class ProcessAnswer:
    """What one process answered, or why there is no answer."""

    address: Address
    answer: Result[Any, str]


class AskedProcesses:
    """Several processes, asked the same at once.

    Args:
        addresses: Their operator addresses.
        credential: File that holds the operator's credential.
        authority: File that holds the authority of their certificates.

    Raises:
        typer.Exit: A file cannot be used; the reason was printed.
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
            raise typer.Exit(_USAGE) from error

    async def ask(self, method: str, target: str) -> list[ProcessAnswer]:
        """Return each process's answer, in the order of the addresses."""
        client = HttpClient(tls=self._tls)
        request = Request(method, target, self._headers)
        try:
            answers = await asyncio.gather(
                *(_ask(client, address, request) for address in self._addresses)
            )
        finally:
            client.close()
        return [
            ProcessAnswer(address, answer)
            for address, answer in zip(self._addresses, answers, strict=True)
        ]


async def _ask(
    client: HttpClient, address: Address, request: Request
) -> Result[Any, str]:
    try:
        status, body = await client.fetch(address, request, _ANSWER_S)
    except TransportError as error:
        return Err(str(error))
    if status != _OK:
        return Err(_REFUSALS.get(status, f"status {status}"))
    try:
        return Ok(msgspec.json.decode(body))
    except msgspec.MsgspecError:
        return Err("the answer is no JSON")


def _make_headers(credential: Path | None) -> Headers:
    if credential is None:
        return Headers()
    return Headers.of(authorization=f"Bearer {credential.read_text().strip()}")


def _make_tls(authority: Path | None) -> ssl.SSLContext | None:
    if authority is None:
        return None
    return ssl.create_default_context(cafile=str(authority))
