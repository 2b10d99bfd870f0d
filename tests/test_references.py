"""Pages made from the code stay true, and event names are all listed."""

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
