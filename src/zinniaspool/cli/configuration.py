"""Commands that compare, apply, list and roll back configurations.

The accepted configuration is in the platform's key-value store. The commands
read and change it there; from there it spreads to the processes of the fleet.
"""

import asyncio
import getpass
import secrets
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import typer
from result import Err, Result

from zinniaspool.cli.asking import OperatorClient
from zinniaspool.cli.options import (
    AuthorityOption,
    CredentialOption,
    StoreOption,
)
from zinniaspool.cli.waiting import wait_for_revision
from zinniaspool.core.configuration import (
    PartName,
    compare_parts,
    split_parts,
)
from zinniaspool.core.ids import Address, Revision
from zinniaspool.http import HttpClient
from zinniaspool.settings import SettingsError, load_configuration
from zinniaspool.store import (
    AcceptedRoot,
    AcceptFault,
    ConfigurationStore,
    HttpStore,
    Proposal,
    StoreFault,
)

__all__ = ["commands"]

_EXIT_FAILED = 1
"""Exit status: the change was not accepted, or the store failed."""
_EXIT_UNUSABLE = 2
"""Exit status: the files or arguments cannot be used."""
_EXIT_LAGGING = 3
"""Exit status: accepted, but not known to be active on all nodes in time."""
_TAG_BYTES = 16
"""Random bytes of a proposal's tag: enough that no two tags are ever equal."""
_T = TypeVar("_T")

_BaseOption = Annotated[
    int | None,
    typer.Option("--base", help="Revision that the files are based on."),
]
_WaitOption = Annotated[
    float | None,
    typer.Option(
        "--wait",
        help="Seconds to wait until the revision is active on every live node.",
    ),
]
_NodeOption = Annotated[
    list[str] | None,
    typer.Option(
        "--node",
        envvar="ZINNIASPOOL_NODES",
        help="Operator address of any process, for --wait.",
    ),
]

commands = typer.Typer()


@dataclass(frozen=True, slots=True)
class _WaitPlan:
    """Which processes to poll for the accepted revision, and for how long."""

    client: OperatorClient
    timeout_s: float


@commands.command()
def diff(inventory: Path, rules: Path, store: StoreOption) -> None:
    """Show what applying the files would change."""
    contents = _read_files(inventory, rules)
    current = _call_store(store, lambda configurations: configurations.read())
    typer.echo(f"base revision={current.revision if current else 0}")
    _show_differences(current.contents if current else {}, contents)


@commands.command()
def apply(
    inventory: Path,
    rules: Path,
    store: StoreOption,
    base: _BaseOption = None,
    wait: _WaitOption = None,
    node: _NodeOption = None,
    credential_file: CredentialOption = None,
    authority_file: AuthorityOption = None,
) -> None:
    """Make an inventory and rules the accepted configuration."""
    wait_plan = _plan_wait(wait, node, credential_file, authority_file)
    contents = _read_files(inventory, rules)
    current = _call_store(store, lambda configurations: configurations.read())
    if base is not None and base != (current.revision if current else 0):
        _fail_base_changed(store, Revision(base), current)
    if current is not None and current.contents == contents:
        typer.echo(f"unchanged revision={current.revision}")
        _wait_until_active(wait_plan, current.revision)
        return
    _accept(store, contents, current, "", wait_plan)


@commands.command()
def history(store: StoreOption) -> None:
    """List the accepted changes that the store keeps, oldest first."""
    for past in _call_store(
        store, lambda configurations: configurations.list_history()
    ):
        root = past.root
        at = datetime.fromtimestamp(root.applied_at, UTC).isoformat(timespec="seconds")
        line = f"revision={past.revision} number={root.number} at={at}"
        reason = f" reason={root.reason!r}" if root.reason else ""
        typer.echo(f"{line} author={root.author}{reason}")


@commands.command()
def rollback(
    revision: int,
    store: StoreOption,
    wait: _WaitOption = None,
    node: _NodeOption = None,
    credential_file: CredentialOption = None,
    authority_file: AuthorityOption = None,
) -> None:
    """Accept the configuration of a past revision again, as a new change."""
    wait_plan = _plan_wait(wait, node, credential_file, authority_file)
    past = _call_store(
        store, lambda configurations: configurations.read_revision(Revision(revision))
    )
    if past is None:
        _fail(
            f"revision {revision} is not kept; see: zinniaspool history", _EXIT_UNUSABLE
        )
    current = _call_store(store, lambda configurations: configurations.read())
    reason = f"rollback to revision {revision}"
    _accept(store, dict(past.contents), current, reason, wait_plan)


def _accept(
    store: str,
    contents: dict[PartName, str],
    current: AcceptedRoot | None,
    reason: str,
    wait_plan: _WaitPlan | None,
) -> None:
    tag = secrets.token_hex(_TAG_BYTES)
    proposal = Proposal(tag, getpass.getuser(), contents, reason)
    accepted = asyncio.run(_propose(store, proposal, current))
    if isinstance(accepted, Err):
        _fail_not_accepted(accepted.err_value, current)
    _show_differences(current.contents if current else {}, contents)
    typer.echo(f"accepted revision={accepted.ok_value}")
    _wait_until_active(wait_plan, accepted.ok_value)


async def _propose(
    store: str, proposal: Proposal, base: AcceptedRoot | None
) -> Result[Revision, AcceptFault]:
    http = HttpClient()
    try:
        configurations = ConfigurationStore(HttpStore(http, _parse_addresses(store)))
        return await configurations.accept(proposal, base)
    finally:
        http.close()


def _fail_not_accepted(fault: AcceptFault, base: AcceptedRoot | None) -> NoReturn:
    if fault.fault is StoreFault.UNKNOWN:
        _fail(
            "the store's response was lost and the outcome is unknown: the change "
            "may have been accepted; see: zinniaspool history",
            _EXIT_FAILED,
        )
    if fault.fault is not StoreFault.CONFLICT:
        _fail(f"not accepted: the store reports {fault.fault.value}", _EXIT_FAILED)
    _fail_conflict(base, fault.current)


def _fail_base_changed(
    store: str, base: Revision, current: AcceptedRoot | None
) -> NoReturn:
    past = None
    if base:
        past = _call_store(
            store, lambda configurations: configurations.read_revision(base)
        )
    _fail_conflict(past, current)


def _fail_conflict(base: AcceptedRoot | None, current: AcceptedRoot | None) -> NoReturn:
    if current is not None:
        typer.echo(
            f"conflict: revision {current.revision} by {current.root.author} was "
            "accepted first; since your base it changed:",
            err=True,
        )
        _show_differences(base.contents if base else {}, current.contents, err=True)
    _fail(
        "not accepted: merge these changes into your files and apply again",
        _EXIT_FAILED,
    )


def _show_differences(
    before: Mapping[PartName, str], after: Mapping[PartName, str], *, err: bool = False
) -> None:
    for difference in compare_parts(before, after):
        typer.echo(str(difference), err=err)


def _plan_wait(
    wait_s: float | None,
    nodes: Sequence[str] | None,
    credential: Path | None,
    authority: Path | None,
) -> _WaitPlan | None:
    if wait_s is None:
        return None
    if not nodes:
        _fail(
            "--wait needs --node, the operator address of any process", _EXIT_UNUSABLE
        )
    return _WaitPlan(OperatorClient(nodes, credential, authority), wait_s)


def _wait_until_active(wait_plan: _WaitPlan | None, revision: Revision) -> None:
    if wait_plan is None:
        return
    lag = asyncio.run(
        wait_for_revision(wait_plan.client, revision, wait_plan.timeout_s)
    )
    if lag.unresponsive:
        typer.echo(f"silent: {', '.join(lag.unresponsive)}", err=True)
    if lag.behind is None:
        _fail("no process at the --node addresses responded", _EXIT_LAGGING)
    if lag.behind:
        _fail(f"not yet in force at: {', '.join(lag.behind)}", _EXIT_LAGGING)
    # A node that restarts while the store is unavailable uses the highest
    # revision that it is told once more than half of the members have
    # reported theirs. If the new revision is active on no more than half of
    # them, the node could start with an older one.
    if lag.reached <= len(lag.unresponsive):
        _fail(
            f"in force at {lag.reached} nodes only; too many are unresponsive",
            _EXIT_LAGGING,
        )
    typer.echo(f"in force at {lag.reached} nodes")


def _read_files(inventory: Path, rules: Path) -> dict[PartName, str]:
    try:
        configuration = load_configuration(inventory, rules)
    except SettingsError as error:
        _fail(str(error), _EXIT_UNUSABLE)
    return split_parts(configuration)


def _call_store(
    store: str,
    call: Callable[[ConfigurationStore], Awaitable[Result[_T, StoreFault]]],
) -> _T:
    async def run() -> Result[_T, StoreFault]:
        http = HttpClient()
        try:
            return await call(
                ConfigurationStore(HttpStore(http, _parse_addresses(store)))
            )
        finally:
            http.close()

    result = asyncio.run(run())
    if isinstance(result, Err):
        _fail(f"the store reports {result.err_value.value}", _EXIT_FAILED)
    return result.ok_value


def _parse_addresses(store: str) -> tuple[Address, ...]:
    return tuple(Address(part.strip()) for part in store.split(","))


def _fail(text: str, status: int) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(status)
