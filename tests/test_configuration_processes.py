"""Changes of the configuration across separate processes that fail."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.processes import (
    Fleet,
    call,
    make_inventory,
    make_rules,
    start_fleet,
    switch_faults,
    wait_until,
)

pytestmark = pytest.mark.processes

_NODES = ("entry0", "entry1", "entry2", "control0", "control1")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with start_fleet(tmp_path, entries=3, controls=2) as started:
        wait_until(lambda: all(_read_active_revision(started, node) for node in _NODES))
        yield started


def _read_dump(fleet: Fleet, node: str) -> Any:
    return call(fleet.operators[node], "/dump").json()["state"]


def _read_active_revision(fleet: Fleet, node: str) -> int:
    return int(_read_dump(fleet, node)["configuration"]["revision"])


def _is_active_everywhere(fleet: Fleet, revision: int) -> bool:
    return all(_read_active_revision(fleet, node) == revision for node in _NODES)


def _write_files(fleet: Fleet, name: str, slots: int) -> tuple[str, str]:
    engines = {f"vm{k}": fleet.addresses[f"vm{k}"] for k in range(4)}
    inventory = make_inventory(engines, ("domain0",))
    rules = make_rules([fleet.addresses["service0"]], slots_per_group=slots)
    return (
        fleet.write(f"{name}-inventory.json", inventory),
        fleet.write(f"{name}-rules.json", rules),
    )


def _apply(fleet: Fleet, slots: int, *options: str) -> int:
    files = _write_files(fleet, f"slots{slots}", slots)
    done = fleet.run_tool("apply", *files, "--store", fleet.store, *options)
    assert done.returncode == 0, done.stdout + done.stderr
    return _read_revision(done.stdout)


def _read_revision(output: str) -> int:
    accepted = [line for line in output.splitlines() if line.startswith("accepted")]
    return int(accepted[0].partition("revision=")[2])


def _wait_options(fleet: Fleet, seconds: float, node: str = "entry0") -> list[str]:
    return ["--wait", str(seconds), "--node", fleet.operators[node]]


def test_of_racing_operators_one_is_accepted_and_the_rest_see_why(
    fleet: Fleet,
) -> None:
    """Five operators change the same base; only one root can replace it."""
    base = _read_active_revision(fleet, "entry0")
    files = [_write_files(fleet, f"racing{k}", 16 + k) for k in range(5)]
    options = ("--store", fleet.store, "--base", str(base))
    with ThreadPoolExecutor(5) as pool:
        done = list(pool.map(lambda f: fleet.run_tool("apply", *f, *options), files))
    accepted = [each for each in done if each.returncode == 0]
    refused = [each for each in done if each.returncode == 1]
    assert (len(accepted), len(refused)) == (1, 4)
    for each in refused:
        assert "accepted first; since your base it changed" in each.stderr
        assert "slots_per_group: 8 ->" in each.stderr
    revision = _read_revision(accepted[0].stdout)
    wait_until(lambda: _is_active_everywhere(fleet, revision))


def test_a_frozen_process_is_named_and_catches_up_when_it_resumes(
    fleet: Fleet,
) -> None:
    """A process is frozen during three changes; the operator sees its name.

    When it resumes, it goes from the first to the last change and never back.
    If the changes take longer than the others wait for it, it is reported as
    silent instead of lagging. It never counts as a process that has the
    change.
    """
    fleet.freeze("entry1")
    _apply(fleet, 9)
    _apply(fleet, 10)
    files = _write_files(fleet, "last", 11)
    options = ("--store", fleet.store, *_wait_options(fleet, 0.5))
    result = fleet.run_tool("apply", *files, *options)
    if result.returncode == 3:
        assert "entry1" in result.stderr
    else:
        assert result.returncode == 0
        assert "silent: entry1" in result.stderr
        assert "in force at 4 nodes" in result.stdout
    last = _read_revision(result.stdout)
    fleet.thaw("entry1")
    wait_until(lambda: _is_active_everywhere(fleet, last))
    _check_never_reverted(fleet, "entry1")
    found = fleet.run_tool("apply", *files, *options[:3], "20", *options[4:])
    assert "in force at 5 nodes" in found.stdout, found.stdout + found.stderr


def _check_never_reverted(fleet: Fleet, node: str) -> None:
    decided = _read_dump(fleet, node)["decisions"]
    subjects = [
        decision["subjects"][0].partition(":")[2]
        for decision in decided
        if decision["kind"] == "configuration-in-force"
    ]
    revisions = [int(revision) for revision in subjects]
    assert revisions == sorted(set(revisions))


def test_every_process_restarted_in_turn_under_changes_never_reverts(
    fleet: Fleet,
) -> None:
    """Each entry process is replaced while changes are accepted.

    After each replacement all processes, including the new one, have the
    newest change, and none has reverted one.
    """
    for k, node in enumerate(("entry0", "entry1", "entry2")):
        fleet.ask_to_stop(node)
        _apply(fleet, 20 + k)
        wait_until(partial(fleet.has_ended, node), 60.0)
        fleet.restart(node)
        revision = _apply(fleet, 30 + k)
        wait_until(partial(_is_active_everywhere, fleet, revision))
    for node in _NODES:
        _check_never_reverted(fleet, node)


def test_a_process_that_starts_in_an_outage_gets_the_newest_from_its_peers(
    fleet: Fleet,
) -> None:
    """The store is down, and a killed process restarts without its state.

    It gets the last change from its peers and responds to callers again,
    although it never had a response from the store.
    """
    revision = _apply(fleet, 12, *_wait_options(fleet, 20.0))
    switch_faults(fleet, "platform", out=True)
    fleet.kill("entry2")
    fleet.restart("entry2")
    wait_until(lambda: _read_active_revision(fleet, "entry2") == revision)
    answered = call(fleet.addresses["entry2"], "/v1/entries")
    assert answered.status == 200


def test_history_shows_changes_and_a_rollback_is_a_new_one(fleet: Fleet) -> None:
    first = _read_active_revision(fleet, "entry0")
    second = _apply(fleet, 13)
    store = ("--store", fleet.store)
    back = fleet.run_tool("rollback", str(first), *store, *_wait_options(fleet, 20.0))
    assert back.returncode == 0, back.stdout + back.stderr
    third = _read_revision(back.stdout)
    assert third > second > first
    assert "slots_per_group: 13 -> 8" in back.stdout
    history = fleet.run_tool("history", *store).stdout.splitlines()
    assert [line.split()[0] for line in history] == [
        f"revision={revision}" for revision in (first, second, third)
    ]
    assert f"rollback to revision {first}" in history[-1]
    files = _write_files(fleet, "same", 8)
    shown = fleet.run_tool("diff", *files, *store).stdout.splitlines()
    assert shown == [f"base revision={third}"]
    again = fleet.run_tool("apply", *files, *store)
    assert again.stdout.strip() == f"unchanged revision={third}"
    unknown = fleet.run_tool("rollback", "999999", *store)
    assert unknown.returncode == 2
    assert "is not kept" in unknown.stderr
