"""Command-line options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

__all__ = ["AuthorityOption", "CredentialOption", "NodeOption", "StoreOption"]

StoreOption = Annotated[
    str,
    typer.Option(
        "--store",
        envvar="ZINNIASPOOL_STORE",
        help="Address of the platform's key-value service, or several with commas.",
    ),
]

NodeOption = Annotated[
    list[str],
    typer.Option(
        "--node",
        envvar="ZINNIASPOOL_NODES",
        help="Operator address of a process; may be repeated.",
    ),
]

CredentialOption = Annotated[
    Path | None,
    typer.Option(
        "--credential-file",
        envvar="ZINNIASPOOL_CREDENTIAL_FILE",
        help="File with the operator's credential.",
    ),
]

AuthorityOption = Annotated[
    Path | None,
    typer.Option(
        "--authority-file",
        envvar="ZINNIASPOOL_AUTHORITY_FILE",
        help="CA certificate of the processes' certificates; without it, no TLS.",
    ),
]
