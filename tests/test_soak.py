"""A short seeded part of the soak of zinniaspool_standins.soak."""

import asyncio
from pathlib import Path

import pytest

from zinniaspool_standins.soak import run_seed

REGRESSIONS = (202, 205)
"""Seeds that ever failed. 202, 205: before anything was broken, a connection
had the port of a process that was about to listen."""


@pytest.mark.processes
@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_while_processes_and_links_fail(
    seed: int, tmp_path: Path
) -> None:
    asyncio.run(run_seed(seed, tmp_path))


@pytest.mark.processes
def test_promises_hold_while_records_expire(tmp_path: Path) -> None:
    """Guards against retained VMs that are in two groups, or in none."""
    asyncio.run(run_seed(1, tmp_path, with_health=True))


@pytest.mark.processes
def test_promises_hold_while_the_store_is_restored(tmp_path: Path) -> None:
    """Guards against restores of the store among other faults."""
    asyncio.run(run_seed(1, tmp_path, with_restores=True))
