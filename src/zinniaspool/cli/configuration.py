"""Commands that change the configuration, show its changes and undo them."""

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

from zinniaspool.cli.asking import AskedProcesses
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

_REFUSED = 1
"""Exit status: the change was not accepted."""
_UNUSABLE = 2
"""Exit status: the files hold faults."""
_LAGGING = 3
"""Exit status: accepted, but not in force everywhere in time."""
_TAG_BYTES = 16
"""Random bytes of a write's tag: two are the same in no fleet's life."""
_T = TypeVar("_T")

_BaseOption = Annotated[
    int | None,
    typer.Option("--base", help="Revision that the files were made from."),
]
_WaitOption = Annotated[
    float | None,
    typer.Option("--wait", help="Seconds to wait until every live node has it."),
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
class _Waiting:
    asked: AskedProcesses
    longest_s: float


@commands.command()
def diff(inventory: Path, rules: Path, store: StoreOption) -> None:
    """Show what applying the files would change."""
    contents = _read_files(inventory, rules)
    current = _run(store, lambda configurations: configurations.read())
    typer.echo(f"base revision={current.revision if current else 0}")
    _show_difference(current.contents if current else {}, contents)


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
    waiting = _plan_wait(wait, node, credential_file, authority_file)
    contents = _read_files(inventory, rules)
    current = _run(store, lambda configurations: configurations.read())
    if base is not None and base != (current.revision if current else 0):
        _refuse_conflict(store, Revision(base), current)
    if current is not None and current.contents == contents:
        typer.echo(f"unchanged revision={current.revision}")
        _wait(waiting, current.revision)
        return
    _accept(store, contents, current, "", waiting)


@commands.command()
def history(store: StoreOption) -> None:
    """List the accepted changes that are kept, oldest first."""
    for kept in _run(store, lambda configurations: configurations.list_history()):
        root = kept.root
        at = datetime.fromtimestamp(root.applied_at, UTC).isoformat(timespec="seconds")
        line = f"revision={kept.revision} number={root.number} at={at}"
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
    """Accept a past revision's configuration anew, as a change of its own."""
    waiting = _plan_wait(wait, node, credential_file, authority_file)
    past = _run(store, lambda c: c.read_revision(Revision(revision)))
    if past is None:
        _fail(f"revision {revision} is not kept; see: zinniaspool history", _UNUSABLE)
    current = _run(store, lambda configurations: configurations.read())
    reason = f"rollback to revision {revision}"
    _accept(store, dict(past.contents), current, reason, waiting)


def _accept(
    store: str,
    contents: dict[PartName, str],
    current: AcceptedRoot | None,
    reason: str,
    waiting: _Waiting | None,
) -> None:
    tag = secrets.token_hex(_TAG_BYTES)
    proposal = Proposal(tag, getpass.getuser(), contents, reason)
    accepted = asyncio.run(_accept_once(store, proposal, current))
    if isinstance(accepted, Err):
        _explain(accepted.err_value, current)
    _show_difference(current.contents if current else {}, contents)
    typer.echo(f"accepted revision={accepted.ok_value}")
    _wait(waiting, accepted.ok_value)


async def _accept_once(
    store: str, proposal: Proposal, base: AcceptedRoot | None
) -> Result[Revision, AcceptFault]:
    http = HttpClient()
    try:
        configurations = ConfigurationStore(HttpStore(http, _split(store)))
        return await configurations.accept(proposal, base)
    finally:
        http.close()


def _explain(fault: AcceptFault, base: AcceptedRoot | None) -> NoReturn:
    if fault.fault is StoreFault.UNKNOWN:
        _fail(
            "the store's answer was lost and could not be settled: the change may "
            "have been accepted; see: zinniaspool history",
            _REFUSED,
        )
    if fault.fault is not StoreFault.CONFLICT:
        _fail(f"not accepted: the store answers {fault.fault.value}", _REFUSED)
    _show_conflict(base, fault.current)


def _refuse_conflict(
    store: str, base: Revision, current: AcceptedRoot | None
) -> NoReturn:
    past = None
    if base:
        past = _run(store, lambda configurations: configurations.read_revision(base))
    _show_conflict(past, current)


def _show_conflict(base: AcceptedRoot | None, current: AcceptedRoot | None) -> NoReturn:
    if current is not None:
        typer.echo(
            f"conflict: revision {current.revision} by {current.root.author} was "
            "accepted first; since your base it changed:",
            err=True,
        )
        _show_difference(base.contents if base else {}, current.contents, err=True)
    _fail("not accepted: take these changes into your files and apply again", _REFUSED)


def _show_difference(
    before: Mapping[PartName, str], after: Mapping[PartName, str], *, err: bool = False
) -> None:
    for difference in compare_parts(before, after):
        typer.echo(str(difference), err=err)


def _plan_wait(
    wait_s: float | None,
    nodes: Sequence[str] | None,
    credential: Path | None,
    authority: Path | None,
) -> _Waiting | None:
    if wait_s is None:
        return None
    if not nodes:
        _fail("--wait needs --node, the operator address of any process", _UNUSABLE)
    return _Waiting(AskedProcesses(nodes, credential, authority), wait_s)


def _wait(waiting: _Waiting | None, revision: Revision) -> None:
    if waiting is None:
        return
    lag = asyncio.run(wait_for_revision(waiting.asked, revision, waiting.longest_s))
    if lag.silent:
        typer.echo(f"silent: {', '.join(lag.silent)}", err=True)
    if lag.behind is None:
        _fail("none of the --node addresses answers", _LAGGING)
    if lag.behind:
        _fail(f"not yet in force at: {', '.join(lag.behind)}", _LAGGING)
    # A node that restarts without the store trusts more than half of the
    # members: with fewer, it could come back with an older revision.
    if lag.reached <= len(lag.silent):
        _fail(f"in force at {lag.reached} nodes only; too many are silent", _LAGGING)
    typer.echo(f"in force at {lag.reached} nodes")


def _read_files(inventory: Path, rules: Path) -> dict[PartName, str]:
    try:
        configuration = load_configuration(inventory, rules)
    except SettingsError as error:
        _fail(str(error), _UNUSABLE)
    return split_parts(configuration)


def _run(
    store: str,
    call: Callable[[ConfigurationStore], Awaitable[Result[_T, StoreFault]]],
) -> _T:
    async def run() -> Result[_T, StoreFault]:
        http = HttpClient()
        try:
            return await call(ConfigurationStore(HttpStore(http, _split(store))))
        finally:
            http.close()

    found = asyncio.run(run())
    if isinstance(found, Err):
        _fail(f"the store answers {found.err_value.value}", _REFUSED)
    return found.ok_value


def _split(store: str) -> tuple[Address, ...]:
    return tuple(Address(part.strip()) for part in store.split(","))


def _fail(text: str, status: int) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(status)
