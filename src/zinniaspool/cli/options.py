"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

from zinniaspool.http import Headers

__all__ = ["CredentialOption", "NodeOption", "StoreOption", "read_credential"]

StoreOption = Annotated[
    str,
    typer.Option(
        "--store",
        envvar="ZINNIASPOOL_STORE",
        help="Address of the platform's key-value service.",
    ),
]

NodeOption = Annotated[
    list[str],
    typer.Option(
        "--node",
        envvar="ZINNIASPOOL_NODES",
        help="Operator address of a process; may be given several times.",
    ),
]

CredentialOption = Annotated[
    Path | None,
    typer.Option(
        "--credential-file",
        envvar="ZINNIASPOOL_CREDENTIAL_FILE",
        help="File that holds the operator's credential.",
    ),
]


def read_credential(path: Path | None) -> Headers:
    """Return the headers that show an operator's credential."""
    if path is None:
        return Headers()
    try:
        credential = path.read_text().strip()
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
        raise typer.Exit(2) from error
    return Headers.of(authorization=f"Bearer {credential}")
