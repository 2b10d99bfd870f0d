"""Commands that change the accepted configuration."""

import asyncio
import getpass
import secrets
from pathlib import Path

import typer
from result import Err

from zinniaspool.cli.options import StoreOption
from zinniaspool.core.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    encode_root,
    split_parts,
)
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, Revision
from zinniaspool.http import HttpClient
from zinniaspool.platform import HttpStore, settle_swap
from zinniaspool.settings import SettingsError, load_configuration

__all__ = ["commands"]

commands = typer.Typer()


@commands.command()
def apply(inventory: Path, rules: Path, store: StoreOption) -> None:
    """Make an inventory and rules the accepted configuration."""
    try:
        configuration = load_configuration(inventory, rules)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    revision = asyncio.run(_apply(configuration, Address(store)))
    typer.echo(f"accepted revision={revision}")


async def _apply(configuration: Configuration, address: Address) -> Revision:
    http = HttpClient()
    store = HttpStore(http, (address,))
    current = (await store.get(ROOT_KEY)).unwrap()
    parts = split_parts(configuration)
    for name, content in parts.items():
        await store.swap(PART_PREFIX + name, content, Revision(0))
    root = Root(
        secrets.token_hex(8),
        getpass.getuser(),
        {f"part-{k}": name for k, name in enumerate(parts)},
    )
    base = current.revision if current else Revision(0)
    written = await settle_swap(store, ROOT_KEY, encode_root(root), base)
    http.close()
    if isinstance(written, Err):
        typer.echo(f"not accepted: {written.err_value.value}", err=True)
        raise typer.Exit(1)
    return written.ok_value
