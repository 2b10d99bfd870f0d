"""A short seeded part of the soak of upstreams that fall silent."""

import pytest

from tests.silence_soak import run_seed


@pytest.mark.parametrize("seed", [2, 4])
def test_promises_hold_while_upstreams_are_silent(seed: int) -> None:
    """Guards against lost and doubled answers in overlapping silences."""
    run_seed(seed)
