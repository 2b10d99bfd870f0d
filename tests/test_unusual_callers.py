"""What a process keeps after callers that aren't like the others."""

import asyncio
import random

import msgspec
import pytest
from structlog.testing import capture_logs

from tests.installation import PatientInstallation, eventually, run
from tests.test_dispatch import find, make_pool
from tests.test_speed import make_measured_pool, run_passes
from zinniaspool.core.dispatch import AdmissionController, AdmissionRequest, TargetPool
from zinniaspool.core.dispatch.targets import Target
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    Epoch,
    FailureDomainId,
    GroupId,
    ModelName,
    NodeId,
    ServiceName,
)
from zinniaspool.core.messages.fleet import LoadReport
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.loads import LoadReporter
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import Headers, Request
from zinniaspool.platform import wire
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

REQUESTS = 10_000
MODELS = 200


@pytest.mark.processes
@pytest.mark.parametrize("deadline_ms", [20_000, 3_600_000])
def test_a_caller_that_waits_beyond_the_timeout_makes_no_other_late(
    deadline_ms: int,
) -> None:
    """Guards against a route whose callers all count as returned ones."""

    async def check() -> None:
        async with PatientInstallation.running(nodes=1, engines=5) as made:
            made.deadline_s = 8.0
            made.configure()
            await made.settle()
            await made.draft("n0", "small", 5, deadline_ms=deadline_ms)
            with capture_logs() as lines:
                await asyncio.gather(
                    *(made.draft("n0", "small", 5, deadline_ms=8000) for _ in range(4))
                )
            ended = [line for line in lines if line["event"] == "request-ended"]
            assert [line["late"] for line in ended] == [False] * 4

    run(check)


@pytest.mark.processes
def test_models_that_no_configuration_names_are_not_kept() -> None:
    """Guards against checks that take longer with each unknown name."""

    async def check() -> None:
        async with PatientInstallation.running(nodes=1, engines=5) as made:
            made.configure()
            await made.settle()
            index = made.nodes["n0"].gateway._index
            before = len(index.list_pools())
            for number in range(MODELS):
                answer = await made.draft("n0", f"unknown-{number}", 1)
                assert answer.status == 503
            assert len(index.list_pools()) < before + MODELS / 2

    run(check)


@pytest.mark.processes
def test_a_model_that_a_new_configuration_leaves_out_is_not_kept() -> None:
    """Guards against models that a process keeps until its end."""

    async def check() -> None:
        async with PatientInstallation.running(nodes=1, engines=5) as made:
            made.configure()
            await made.settle()
            await made.draft("n0", "large", 1)
            await made.draft("n0", "unknown", 1)
            gateway = made.nodes["n0"].gateway
            index, queues = gateway._index, gateway._admission_queues
            key = (ServiceName("drafting"), ModelName("large"))
            assert key in index._pools
            assert sorted(queues._models.values()) == ["large", "small"]
            services = make_rules(made.version, made.keys)["services"]
            models = services[0]["engine"]["models"]
            models[:] = [model for model in models if model["name"] != "large"]
            made.configure(services=services)
            await eventually(lambda: key not in index._pools)
            assert list(queues._models.values()) == ["small"]
            assert len(queues._controllers) == 1
            assert (await made.draft("n0", "large", 1)).status == 503
            assert (await made.draft("n0", "small", 1)).status == 200

    run(check)


def test_a_process_that_refuses_nobody_keeps_no_times_of_requests() -> None:
    """Guards against memory that grows until the first refusal."""
    pool = TargetPool(FailureDomainId("hall-a"), random.Random(7))
    head = Target(
        InstanceId("i-0"),
        Address("10.0.0.1:80"),
        FailureDomainId("hall-a"),
        8,
        ModelName("small"),
        GroupId("g1"),
        Epoch(1),
    )
    pool.update([head], 0.0)
    controller = AdmissionController(pool, random.Random(7))
    for number in range(REQUESTS):
        now = number / 10
        request = AdmissionRequest(CustomerId("care"), 1, now + 0.4, now + 8.0)
        controller.submit(request, now)
        controller.admit_waiting(now)
        controller.estimate_demand(now)
    assert len(controller._on_time_begun) < REQUESTS / 10


def test_a_removed_head_that_still_streams_is_not_kept_as_slow() -> None:
    """Guards against ended groups whose states a process keeps."""
    pool = make_measured_pool("x", "y")
    run_passes(pool, find(pool, "y"), 9, 1.0)
    removed = find(pool, "x")
    run_passes(pool, removed, 4, 4.0)
    assert pool.slow.list_avoided() == [removed]
    now = removed.last_event_at
    pool.update([find(pool, "y").target], now)
    run_passes(pool, removed, 4, 4.0)
    pool.end_request(removed, removed.last_event_at)
    assert removed not in pool.slow._slowed | pool.slow._measured


def test_loads_of_the_longest_stated_prompts_are_reported() -> None:
    """Guards against counts whose sum no load report can hold."""
    index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("hall-a"))
    pool = index.find_pool(ServiceName("drafting"), ModelName("small"))
    pool.update([target.target for target in make_pool("x")], 0.0)
    digits = "9" * 18
    headers = Headers.of(
        x_zinniaspool_token_count=f"{digits},{digits}",
        x_zinniaspool_length_hint=digits,
    )
    terms = wire.parse_terms(Request("POST", "/", headers))
    assert terms.expected_tokens == terms.max_output_tokens == wire.MAX_TOKENS
    for _ in range(1000):
        pool.begin_request(find(pool, "x"), terms.prompt_tokens)
    reports: list[LoadReport] = []
    LoadReporter(NodeId("n0"), index, reports.append).report(0.0)
    assert msgspec.msgpack.encode(reports[0])
