"""Regression bounds of the request benchmarks: counted work and ratios."""

import pytest
from benchmarks.claim_calls import measure_claim_cost
from benchmarks.first_token import measure_first_token
from benchmarks.overload import measure_fairness, measure_goodput
from benchmarks.queue_model import FirstEntry
from benchmarks.request_steps import measure_request_work

pytestmark = pytest.mark.bounds


def test_the_work_of_a_request_does_not_grow_with_the_upstreams() -> None:
    few, many = measure_request_work(65), measure_request_work(600)
    assert many.calls <= 1.5 * few.calls
    assert many.bytes <= 1.5 * few.bytes
    assert many.calls <= 120


def test_claims_share_writes_to_the_store() -> None:
    """Claims that share a write bound the store calls as the rate grows."""
    low, high = measure_claim_cost(20.0), measure_claim_cost(880.0)
    assert low.calls <= 1.25
    assert high.calls <= 0.3
    assert high.calls_per_s <= 250.0


def test_goodput_does_not_collapse_under_overload() -> None:
    full, over = measure_goodput(1.0), measure_goodput(4.0)
    assert full.core >= 0.9
    assert over.core >= 0.9 * full.core
    assert over.core >= 1.3 * over.first


def test_a_greedy_customer_takes_no_capacity_of_a_guarantee() -> None:
    assert measure_fairness() >= 0.98
    assert measure_fairness(FirstEntry) < 0.5


def test_first_tokens_are_not_delayed_by_late_load_reports_or_a_straggler() -> None:
    core = measure_first_token("core", 0.7, 1)
    assert core.p95 <= 0.5 * measure_first_token("random", 0.7, 1).p95
    round_robin = measure_first_token("round robin", 0.7, 1)
    assert core.p95 <= 1.2 * round_robin.p95
    assert core.p99 <= 0.2 * round_robin.p99
