"""A short seeded part of the soak of long answers around planned work."""

import pytest

from tests.stop_soak import run_seed

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", [1, 2])
def test_planned_work_cuts_no_answer(seed: int) -> None:
    """Guards against answers that a stopping VM accepts and then cuts."""
    run_seed(seed)
