"""The capacity page shows the committed measurements and no others."""

import json

from benchmarks.measurements import load_rows
from tools.write_capacity import _PAGE, _TABLES, fill_page


def test_the_page_is_what_the_measurements_say() -> None:
    page = _PAGE.read_text()
    assert fill_page(page) == page, "run python -m tools.write_capacity"
    for name in _TABLES:
        assert f"<!-- table {name} -->" in page


def test_a_changed_measurement_changes_the_page() -> None:
    """The check is not idle: another figure makes another page."""
    page = _PAGE.read_text()
    figure = str(load_rows()["gossip"][-1]["restart_peak"])
    assert fill_page(page.replace(figure, "1")) == page
    assert json.dumps(load_rows())
