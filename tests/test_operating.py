"""An operator inspects and drains a process; its logs leak no secrets."""

import asyncio
import json
import logging
import re
import ssl
from pathlib import Path

import pytest
import structlog

from tests.certificates import issue_certificates
from tests.processes import Fleet, call, wait_until
from zinniaspool.core.ids import Address
from zinniaspool.http import HttpClient, Request
from zinniaspool.telemetry import configure_logs

pytestmark = pytest.mark.processes

_CALLER_KEY, _OPERATOR_KEY, _SECRET = "caller-key-1", "operator-key-1", "peer-key-1"
_PROMPT = "text of a caller"
_PAGE = (Path(__file__).parent.parent / "docs/operators.md").read_text()
_SERVED_LATER = "zinniaspool_decisions_total"
"""A metric that is not served before the first decision is counted."""

_LINE = re.compile(r"timestamp=\S+ level=[a-z]+ event=[a-z-]+( [a-z_]+=(\S*|\".*\"))*")


@pytest.mark.parametrize("program", ["entry", "control"])
def test_a_process_shows_its_state_and_drains(tmp_path: Path, program: str) -> None:
    """An operator reads dumps and metrics of a process and drains it.

    The store is unreachable meanwhile, and none of this may need it. The log
    has one line of key=value pairs for each event and contains no secrets.
    """
    fleet = Fleet(tmp_path)
    operators, callers = fleet.make_address(), fleet.make_address()
    settings = {
        "node": "it",
        "failure_domain": "d",
        "peer_address": fleet.make_address(),
        "store_addresses": [fleet.make_address()],
        "vm_list_address": fleet.make_address(),
        "peer_secret_file": fleet.write("secret", _SECRET),
        "operator_address": operators,
        "operators_file": fleet.write(
            "operators", {"operators": {_OPERATOR_KEY: {"name": "o"}}}
        ),
        "dump_folder": str(tmp_path),
    }
    if program == "entry":
        accepted = {"callers": {_CALLER_KEY: "care"}}
        settings["caller_address"] = callers
        settings["credentials_file"] = fleet.write("callers", accepted)
    arguments = [
        "--node",
        operators,
        "--credential-file",
        fleet.write("key", _OPERATOR_KEY),
    ]
    try:
        fleet.start_node(program, "it", settings)
        wait_until(lambda: call(operators, "/dump").status == 401)
        by_http = call(operators, "/dump", credential=_OPERATOR_KEY).json()
        assert by_http["state"]["process"]["node"] == "it"
        assert b"zinniaspool_" in call(operators, "/metrics", None, _OPERATOR_KEY).body
        if program == "entry":
            refused = call(callers, "/v1/models/m/x", {"p": _PROMPT}, _CALLER_KEY)
            assert refused.json()["error"] == "not-ready"
        wait_until(lambda: _read_metrics(operators) == _list_metrics(program))
        fleet.ask_for_dump("it")
        wait_until(lambda: "event=dump-written" in fleet.read_log("it"))
        (dump,) = tmp_path.glob("zinniaspool-*.json")
        assert json.loads(dump.read_text())["version"] == by_http["version"]
        assert dump.stat().st_mode & 0o077 == 0
        shown = fleet.run_tool("dump", *arguments)
        assert json.loads(shown.stdout)[operators]["version"] == by_http["version"]
        assert fleet.run_tool("dump", "--node", operators).returncode == 1
        drained = fleet.run_tool("drain", *arguments, "--wait", "30")
        assert drained.stdout.endswith("ended\n"), drained.stderr
        wait_until(lambda: fleet.has_ended("it"))
    finally:
        fleet.stop()
    log = fleet.read_log("it")
    assert all(_LINE.fullmatch(line) for line in log.splitlines()), log
    for private in (_CALLER_KEY, _OPERATOR_KEY, _SECRET, _PROMPT):
        assert private not in log
        assert private not in dump.read_text()


def _read_metrics(operators: Address) -> set[str]:
    shown = call(operators, "/metrics", None, _OPERATOR_KEY).body.decode()
    names = set(re.findall(r"^# TYPE (\S+)", shown, re.MULTILINE))
    return names | {_SERVED_LATER}


def _list_metrics(program: str) -> set[str]:
    """Return the names that the operators' page lists for a program."""
    rows = re.findall(r"^\| `(zinniaspool_\w+)` \|[^|]*\| ([^|]*) \|", _PAGE, re.M)
    return {name for name, programs in rows if program in programs.split(", ")}


def test_each_address_of_a_process_uses_tls(tmp_path: Path) -> None:
    """Operators and callers connect over TLS only and trust the authority."""
    fleet = Fleet(tmp_path)
    issued = issue_certificates(tmp_path, "ours", fleet.host)
    plain = issued.files.model_dump(exclude={"authority_file"})
    operators, callers = fleet.make_address(), fleet.make_address()
    settings = {
        "node": "it",
        "failure_domain": "d",
        "peer_address": fleet.make_address(),
        "store_addresses": [fleet.make_address()],
        "vm_list_address": fleet.make_address(),
        "peer_secret_file": fleet.write("secret", _SECRET),
        "operator_address": operators,
        "caller_address": callers,
        "credentials_file": fleet.write("callers", {"callers": {_CALLER_KEY: "care"}}),
        "caller_tls": plain,
        "operator_tls": plain,
        "peer_tls": issued.files.model_dump(),
    }
    trusted = ("--authority-file", str(issued.authority))
    arguments = ("dump", "--node", operators)
    try:
        fleet.start_node("entry", "it", settings)
        wait_until(lambda: fleet.run_tool(*arguments, *trusted).returncode == 0)
        assert fleet.run_tool(*arguments).returncode == 1
        context = ssl.create_default_context(cafile=str(issued.authority))
        status, body = asyncio.run(_fetch(callers, context))
        assert (status, b"not-ready" in body) == (503, True)
    finally:
        fleet.stop()


async def _fetch(address: Address, context: ssl.SSLContext) -> tuple[int, bytes]:
    client = HttpClient(tls=context)
    try:
        return await client.fetch(address, Request("GET", "/v1/entries"), 10.0)
    finally:
        client.close()


def test_a_process_with_invalid_settings_logs_them_all_and_ends(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path)
    try:
        fleet.start_node("entry", "it", {"node": "", "peer_address": "here"})
        wait_until(lambda: fleet.has_ended("it"))
    finally:
        fleet.stop()
    for key in ("node", "peer_address", "caller_address", "store_addresses"):
        assert f"it.json:1: {key}: found" in fleet.read_log("it")


def test_data_of_a_caller_is_not_logged(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """An exception's message may quote it; a value may contain a line end."""
    configure_logs("entry", "n")
    log = structlog.get_logger()
    try:
        raise ValueError(_PROMPT)
    except ValueError:
        log.exception("handler-failed")
    log.warning("peer-dropped", error="x\nlevel=error event=forged " + "y" * 5000)
    structlog.reset_defaults()
    logging.getLogger().handlers.clear()
    structlog.contextvars.clear_contextvars()
    lines = capfd.readouterr().out.splitlines()
    assert len(lines) == 2
    assert all(_LINE.fullmatch(line) for line in lines), lines
    assert _PROMPT not in lines[0]
    assert "exception=ValueError" in lines[0]
    assert "test_operating.py:" in lines[0]
    assert len(lines[1]) < 700
