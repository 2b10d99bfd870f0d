"""A short soak of upstreams that leave while VMs and the store fail."""

import pytest

from tests.leaving_soak import run_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_upstreams_that_leave_get_nothing_while_things_fail(seed: int) -> None:
    """Guards against requests at an upstream that said that it leaves."""
    run_seed(seed)
