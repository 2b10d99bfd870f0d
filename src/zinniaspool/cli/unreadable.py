"""The command that lists the values in the store that processes can't use."""

import asyncio
from typing import Annotated

import typer
from prometheus_client.parser import text_string_to_metric_families
from result import Err, Ok, Result

from zinniaspool.core.ids import Address
from zinniaspool.http import HttpClient, Request, TransportError

__all__ = ["commands"]

commands = typer.Typer()

_TIMEOUT_S = 5.0
"""Seconds to wait for one process's metrics."""

_HTTP_OK = 200
"""HTTP status of a successful response."""


@commands.command()
def unreadable(
    addresses: Annotated[
        list[str], typer.Argument(help="Addresses at which processes serve metrics.")
    ],
) -> None:
    """List the keys in the store whose values processes can't use, and why."""
    failed = False
    for address, page in zip(
        addresses, asyncio.run(_fetch_all(addresses)), strict=True
    ):
        if isinstance(page, Err):
            typer.echo(f"{address}: {page.err_value}", err=True)
            failed = True
            continue
        for labels in _list_keys(page.ok_value):
            typer.echo(
                f"{address} {labels['kind']} {labels['key']}: {labels['reason']}"
            )
    if failed:
        raise typer.Exit(1)


async def _fetch_all(addresses: list[str]) -> list[Result[str, str]]:
    client = HttpClient()
    try:
        return await asyncio.gather(*(_fetch(client, one) for one in addresses))
    finally:
        client.close()


async def _fetch(client: HttpClient, address: str) -> Result[str, str]:
    request = Request("GET", "/metrics")
    try:
        status, body = await client.fetch(Address(address), request, _TIMEOUT_S)
    except TransportError as error:
        return Err(str(error))
    return Ok(body.decode()) if status == _HTTP_OK else Err(f"status {status}")


def _list_keys(page: str) -> list[dict[str, str]]:
    return [
        sample.labels
        for family in text_string_to_metric_families(page)
        for sample in family.samples
        if sample.name == "zinniaspool_unreadable_keys"
    ]
