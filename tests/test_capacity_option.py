"""The division of capacity between callers is switched on by an option."""

import random
import sys

import pytest

from tests.load_callers import FleetShape
from tests.load_world import make_target
from zinniaspool.core.dispatch import CapacityDivision, Claim, TargetPool
from zinniaspool.core.dispatch.contention import NO_CONTENTION
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import CustomerId, FailureDomainId
from zinniaspool.platform.gateway import DIVIDE_CAPACITY
from zinniaspool.platform.program import BAD_SETTINGS_STATUS, run_on_platform


def test_an_unknown_option_is_refused(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A misspelled option would leave the division off without notice."""
    monkeypatch.setattr(sys, "argv", ["entry", "0", "--divide-capacty"])
    with pytest.raises(SystemExit) as raised:
        run_on_platform("entry", lambda _, __: pytest.fail(), [DIVIDE_CAPACITY])
    assert raised.value.code == BAD_SETTINGS_STATUS
    assert "--divide-capacty" in capsys.readouterr().err


def test_without_the_option_every_request_may_use_capacity() -> None:
    """Deployments that don't ask for the division are served as before it."""
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    pool.update([make_target(InstanceId("x"), FleetShape())], 0.0)
    state = next(iter(pool))
    for _ in range(3 * state.target.slots):
        pool.begin_request(state, 100)
    claim = Claim(CustomerId("c"), 2, 0.99, 0.8, 2000, 25)
    division = CapacityDivision(pool, is_enabled=False)
    for _ in range(50):
        division.record_demand(claim, 1.0)
    assert division.assess(claim, 1.0) is NO_CONTENTION
