"""Settings files: all faults are reported at once, each with its position."""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies as st
from typer.testing import CliRunner

from zinniaspool.cli.main import app
from zinniaspool.settings import (
    ControlSettings,
    Document,
    EntrySettings,
    SettingsError,
    check_document,
    load_settings,
    parse_document,
)

_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=20,
)
_NOISE = st.sampled_from(["", " ", "\n", '// a "b" [\n', "/* {\n, */", "/**/"])


def _faults(text: str, kind: type[Any]) -> list[tuple[int, str, str]]:
    read = parse_document("f", text)
    assert isinstance(read, Document)
    with pytest.raises(SettingsError) as caught:
        check_document(read, kind)
    return [(fault.line, fault.key, fault.accepted) for fault in caught.value.faults]


def _format_value(value: Any, draw: Any) -> str:
    """Format a value as JSON with comments and trailing commas."""
    noise = draw(_NOISE)
    if isinstance(value, list) and value:
        items = [_format_value(item, draw) for item in value]
        return f"{noise}[{','.join(items)}{draw(st.sampled_from(['', ',', ', ']))}]"
    if isinstance(value, dict) and value:
        items = [
            f"{json.dumps(k)}{noise}:{_format_value(v, draw)}" for k, v in value.items()
        ]
        return f"{{{','.join(items)}{draw(st.sampled_from(['', ',']))}{noise}}}"
    return f"{noise}{json.dumps(value)}{draw(_NOISE)}"


@given(_VALUES, st.data())
def test_comments_and_trailing_commas_change_no_value(value: Any, data: Any) -> None:
    text = _format_value(value, data.draw)
    read = parse_document("f", text)
    assert isinstance(read, Document), text
    assert read.value == value
    assert len(read.text) == len(text)


@given(st.text(alphabet='{}[]",:/*\\\n0a ', max_size=60))
def test_any_text_is_a_document_or_has_faults_with_lines(text: str) -> None:
    read = parse_document("f", text)
    if isinstance(read, list):
        assert read
        assert all(1 <= fault.line <= text.count("\n") + 1 for fault in read)


@given(_VALUES, st.data())
def test_a_value_is_found_on_its_own_line(value: Any, data: Any) -> None:
    text = json.dumps({"before": value, "wanted": [value, 7]}, indent=1)
    read = parse_document("f", data.draw(st.sampled_from(["", "// c\n"])) + text)
    assert isinstance(read, Document)
    lines = read.text.split("\n")
    found = read.find_lines([("wanted",), ("wanted", 1)])
    assert lines[found["wanted",] - 1].startswith(' "wanted"')
    assert lines[found["wanted", 1] - 1] == "  7"


def test_every_fault_is_named_with_line_key_and_what_is_accepted() -> None:
    text = """{
      // name
      "node": "",
      "peer_adress": "10.0.0.1:1",
      "store_addresses": ["10.0.0.300:5"],
      "vm_list_address": 7,
      "lease_s": -1,
      "seeds": []
    }"""
    faults = _faults(text, ControlSettings)
    assert [(line, key) for line, key, _ in faults] == [
        (1, "failure_domain"),
        (1, "peer_address"),
        (1, "peer_secret_file"),
        (3, "node"),
        (4, "peer_adress"),
        (5, "store_addresses[0]"),
        (6, "vm_list_address"),
        (7, "lease_s"),
    ]
    assert faults[4][2].startswith("probably 'peer_address'; one of ")
    assert "10.0.0.1:8080" in faults[5][2]


@pytest.mark.parametrize(
    ("text", "line", "found"),
    [
        ('{"a": 1,\n"a": 2}', 1, "a duplicate key"),
        ('{"a":\n 1 2}', 2, "Expecting ',' delimiter at column 4"),
        ("[" * 5000, 1, "values nested too deeply"),
        ('{"a": NaN}', 1, "the number NaN"),
        ('{"a": 1 /* \n', 2, "Expecting ',' delimiter at column 1"),
    ],
)
def test_text_that_is_no_document_says_where(text: str, line: int, found: str) -> None:
    read = parse_document("f", text)
    assert isinstance(read, list)
    assert (read[0].line, read[0].found) == (line, found)


def test_files_that_settings_name_must_be_readable_at_the_start(
    tmp_path: Path,
) -> None:
    secret = tmp_path / "secret"
    address = "127.0.0.1:1"
    settings = {
        "node": "e",
        "failure_domain": "d",
        "peer_address": address,
        "caller_address": address,
        "store_addresses": [address],
        "vm_list_address": address,
        "peer_secret_file": str(secret),
        "credentials_file": str(secret),
    }
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(settings))
    with pytest.raises(SettingsError, match="peer_secret_file: .*a readable file"):
        load_settings(file, EntrySettings)
    assert CliRunner().invoke(app, ["check", str(file)]).exit_code == 0
    secret.write_text("s")
    assert load_settings(file, EntrySettings).caller_address == address


def test_check_recognizes_files_and_checks_them_together(tmp_path: Path) -> None:
    inventory, rules = tmp_path / "inventory.json", tmp_path / "rules.json"
    vm = {
        "id": "a",
        "address": "10.0.0.1:1",
        "failure_domain": "d",
        "fabric_domain": "f",
        "accelerators": 8,
        "owner": "care",
    }
    inventory.write_text(json.dumps({"vms": [vm]}))
    rules.write_text(
        json.dumps(
            {
                "customers": [{"id": "care", "may_use": ["crae"]}],
                "models": [],
                "services": [],
                "repair": {"group_downtime": 1, "stranded_accelerators": 1},
            },
            indent=1,
        )
    )
    run = CliRunner()
    assert run.invoke(app, ["check", str(rules)]).exit_code == 0
    both = run.invoke(app, ["check", str(rules), str(inventory)])
    assert both.exit_code == 1
    assert "rules.json:6: customers[0].may_use[0]: found 'crae'" in both.output
    odd = tmp_path / "odd.json"
    odd.write_text('{"colour": 1}')
    assert "no key of any known file" in run.invoke(app, ["check", str(odd)]).output
