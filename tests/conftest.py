"""Settings of all property tests, and logs of fleets whose test failed.

``./check`` must give the same verdict each time, so examples are drawn from a
fixed seed. To search further, run ``HYPOTHESIS_PROFILE=search pytest``; a seed
that fails there becomes an ``@example`` or a test of its own.
"""

import os
from collections.abc import Generator

import pytest
from hypothesis import HealthCheck, settings

from zinniaspool_standins.fleet import Fleet

SHOWN_LINES = 60
"""Last log lines of each process that a failed test prints: what a process did
in the seconds before."""

settings.register_profile(
    "check",
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("search", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "check"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Print the processes' logs beside a failure, which may show only once."""
    report = yield
    fleet = getattr(item, "funcargs", {}).get("fleet")
    if report.failed and isinstance(fleet, Fleet):
        for name, lines in fleet.read_last_lines(SHOWN_LINES).items():
            report.sections.append((f"log of {name}", lines))
    return report
