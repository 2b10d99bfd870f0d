"""The demo of the deployed programs ends with every promise kept."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

_LAST_LINE = r"answered [1-9]\d*, refused \d+, lost 0, doubled 0, foreign 0"


def test_the_demo_breaks_the_deployed_programs_and_loses_nothing(
    tmp_path: Path,
) -> None:
    """Callers are answered through the loss of a VM and of an entry process.

    A VM of a group goes dark and an entry process is killed under mixed
    traffic. The counts are those of the callers and of the runners, and the
    control processes' logs tell why the group ended.
    """
    command = [sys.executable, "-m", "zinniaspool_standins.tour"]
    ran = subprocess.run(
        [*command, "--folder", str(tmp_path / "demo")], capture_output=True, text=True
    )
    assert ran.returncode == 0, ran.stdout + ran.stderr
    assert re.fullmatch(_LAST_LINE, ran.stdout.splitlines()[-1]), ran.stdout
    assert "as many whole groups as before" in ran.stdout
    assert "reason=member-lost" in ran.stdout, ran.stdout
