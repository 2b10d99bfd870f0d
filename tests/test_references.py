"""Pages made from the code stay true, and event names are all listed."""

import re
from pathlib import Path

import pytest
from tools.write_references import PAGES, find_logged_events

from zinniaspool.core.journal import DecisionKind
from zinniaspool.telemetry import LOG_EVENTS

_ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("page", PAGES)
def test_a_page_is_what_the_code_says(page: str) -> None:
    written = (_ROOT / page).read_text()
    assert written == PAGES[page](), "run python -m tools.write_references"


def test_every_logged_event_is_listed() -> None:
    listed = {*LOG_EVENTS, *(kind.value for kind in DecisionKind)}
    unlisted = {f"{p.name}: {name}" for p, name in find_logged_events()} - {
        f"{p.name}: {name}" for p, name in find_logged_events() if name in listed
    }
    assert not unlisted


def test_every_proof_names_a_test_that_exists() -> None:
    page = (_ROOT / "docs/proofs.md").read_text()
    named = re.findall(r"`(test_\w+\.py)::(\w+)`", page)
    assert named
    missing = [
        f"{file}::{name}"
        for file, name in named
        if not re.search(
            rf"^(def {name}\(|{name} = |class {name}\b)",
            (_ROOT / "tests" / file).read_text(),
            re.MULTILINE,
        )
    ]
    assert not missing
