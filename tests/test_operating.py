"""What an operator does to one process: look into it, stop it."""

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.processes import call, free_address, wait_until

pytestmark = pytest.mark.processes

_CALLER_KEY, _OPERATOR_KEY, _SECRET = "caller-key-1", "operator-key-1", "peer-key-1"
_PROMPT = "text of a caller"
_LINE = re.compile(r"timestamp=\S+ level=[a-z]+ event=[a-z-]+( [a-z_]+=(\S*|\".*\"))*")


def _write(path: Path, content: Any) -> str:
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return str(path)


@pytest.mark.parametrize("program", ["entry", "control"])
def test_a_process_shows_its_state_and_drains(tmp_path: Path, program: str) -> None:
    """An operator looks into a process in three ways and ends it.

    The store cannot be reached meanwhile: none of this may need it. The log
    holds one key=value line an event, and nothing that is secret.
    """
    operators, callers = free_address(), free_address()
    settings = {
        "node": f"{program}0",
        "failure_domain": "d",
        "peer_address": free_address(),
        "store_addresses": [free_address()],
        "vm_list_address": free_address(),
        "peer_secret_file": _write(tmp_path / "secret", _SECRET),
        "operator_address": operators,
        "operators_file": _write(
            tmp_path / "operators", {"operators": {_OPERATOR_KEY: {"name": "o"}}}
        ),
        "dump_folder": str(tmp_path),
    }
    if program == "entry":
        settings |= {
            "caller_address": callers,
            "credentials_file": _write(
                tmp_path / "callers", {"callers": {_CALLER_KEY: "care"}}
            ),
        }
    key = _write(tmp_path / "key", f"{_OPERATOR_KEY}\n")
    log = tmp_path / "log"
    file = _write(tmp_path / "settings.json", settings)
    code = f"from zinniaspool.{program}.main import main; main()"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-c", code, "--settings", file], stderr=output
        )
    try:
        wait_until(lambda: call(operators, "/dump").status == 401)
        by_http = call(operators, "/dump", credential=_OPERATOR_KEY).json()
        assert by_http["state"]["process"]["node"] == f"{program}0"
        assert b"zinniaspool_" in call(operators, "/metrics", None, _OPERATOR_KEY).body
        if program == "entry":
            refused = call(callers, "/v1/models/m/x", {"p": _PROMPT}, _CALLER_KEY)
            assert refused.json()["error"] == "not-ready"
        os.kill(process.pid, signal.SIGUSR1)
        wait_until(lambda: "event=dump-written" in log.read_text())
        (dump,) = tmp_path.glob("zinniaspool-*.json")
        assert json.loads(dump.read_text())["version"] == by_http["version"]
        assert dump.stat().st_mode & 0o077 == 0
        asked = ["--node", operators, "--credential-file", key]
        shown = _run_command("dump", *asked)
        assert json.loads(shown.stdout)[operators]["version"] == by_http["version"]
        assert _run_command("dump", "--node", operators).returncode == 1
        drained = _run_command("drain", *asked, "--wait", "30")
        assert drained.stdout.endswith("ended\n"), drained.stderr
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait()
    lines = log.read_text().splitlines()
    assert all(_LINE.fullmatch(line) for line in lines), lines
    for private in (_CALLER_KEY, _OPERATOR_KEY, _SECRET, _PROMPT):
        assert private not in log.read_text()
        assert private not in dump.read_text()


def _run_command(*arguments: str) -> "subprocess.CompletedProcess[str]":
    code = "from zinniaspool.cli.main import main; main()"
    command = [sys.executable, "-c", code, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_a_process_with_faulty_settings_names_them_all_and_ends(
    tmp_path: Path,
) -> None:
    file = _write(tmp_path / "s.json", {"node": "", "peer_address": "here"})
    code = "from zinniaspool.entry.main import main; main()"
    command = [sys.executable, "-c", code, "--settings", file]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2
    for key in ("node", "peer_address", "caller_address", "store_addresses"):
        assert f"s.json:1: {key}: found" in ended.stderr
