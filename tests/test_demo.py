"""The demo ends by itself, with every promise kept."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

_LAST_LINE = r"answered [1-9]\d*, refused \d+, lost 0, doubled 0, foreign 0"


def test_the_demo_breaks_a_fleet_and_loses_nothing(tmp_path: Path) -> None:
    """Callers of every customer get their answers through both failures.

    A VM of a group and an entry process are killed under mixed traffic; the
    counts are those of the callers' and the upstreams' own records.
    """
    command = [sys.executable, "-m", "zinniaspool_standins.demo"]
    ran = subprocess.run(
        [*command, "--folder", str(tmp_path / "demo")], capture_output=True, text=True
    )
    assert ran.returncode == 0, ran.stdout + ran.stderr
    assert re.fullmatch(_LAST_LINE, ran.stdout.splitlines()[-1]), ran.stdout
    assert "as many whole groups as before" in ran.stdout
    assert "group-repaired" in ran.stdout, ran.stdout
