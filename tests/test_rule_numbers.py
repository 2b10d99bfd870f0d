"""Numbers of the operator's rules and of instances that make no sense."""

import itertools
import json
import math
from functools import partial
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from structlog.testing import capture_logs

from tests.formation_world import make_idle_instance
from tests.test_belief import RECORD
from zinniaspool.core.decoding import MAX_COUNT
from zinniaspool.core.dispatch import EngineTiming, FirstEventForecast
from zinniaspool.core.dispatch.durations import MIN_PASSES, StreamTiming
from zinniaspool.core.fleet import Catalog, Instance, MirrorEvent
from zinniaspool.core.formation import DomainPlan, FormationPlanner, OrderOutcome
from zinniaspool.core.ids import Epoch, Revision
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.face import _choose_service
from zinniaspool.platform import rules
from zinniaspool.platform.entries import decode_instance
from zinniaspool.platform.rules import decode_rules
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

NUMBERS = [
    "0",
    "-1",
    "-0.5",
    "1e-300",
    "5e-324",
    "0.5",
    "1e15",
    "-1e15",
    "1e308",
    "1e400",
]
INTEGERS = ["9007199254740992", "-9007199254740992", "8" * 5000]
TEXTS = ['"nan"', '"inf"', '"-inf"', "NaN", "Infinity"]
NONSENSE = [*NUMBERS, *INTEGERS, *TEXTS]

_ENGINE = ("services", 0, "engine")
RULE_PATHS: list[tuple[str | int, ...]] = [
    ("version",),
    *(
        ("routes", 0, field)
        for field in (
            "timeout-ms",
            "target-latency-ms",
            "priority",
            "max-attempts",
            "gap-aim-ms",
        )
    ),
    ("routes", 0, "traffic-split", 0, "weight"),
    ("routes", 0, "traffic-split", 1, "weight"),
    ("services", 0, "cold-start-s"),
    ("services", 0, "cold-per-s"),
    *(
        (*_ENGINE, field)
        for field in (
            "slots",
            "stride",
            "step_ms",
            "per_seq_ms",
            "read_per_s",
            "chunk",
            "loads-per-s",
            "loads_at_once",
            "form-ms",
            "keeps",
        )
    ),
    *(
        (*_ENGINE, "models", 0, field)
        for field in ("size", "share", "pace", "load-s", "warm-s")
    ),
    *(
        ("limits", field)
        for field in (
            "max-header-bytes",
            "max-body-bytes",
            "header-timeout-ms",
            "idle-timeout-ms",
        )
    ),
    ("tenants", 0, "priority"),
]
INSTANCE_PATHS: list[tuple[str | int, ...]] = [
    ("slots",),
    ("cold-left-ms",),
    ("seq-no",),
    ("born",),
    ("group", "epoch"),
    ("group", "rank"),
]


def write(value: Any, numbers: dict[tuple[str | int, ...], str]) -> bytes:
    """Return a JSON text in which the numbers at some paths are replaced."""
    value = json.loads(json.dumps(value))
    texts = {}
    for mark, (path, text) in enumerate(numbers.items()):
        at = value
        for step in path[:-1]:
            at = at[step]
        at[path[-1]] = f"@{mark}@"
        texts[f'"@{mark}@"'] = text
    result = json.dumps(value)
    for mark_text, text in texts.items():
        result = result.replace(mark_text, text)
    return result.encode()


def make_numbered_rules(version: int = 1) -> dict[str, Any]:
    """Return rules that have every number."""
    rules = make_rules(version, ["key"])
    rules["routes"][0]["traffic-split"] = [
        {"service": "drafting", "weight": 1.0},
        {"service": "cards", "weight": 0.0},
    ]
    return rules


def plan_and_serve(catalog: Catalog, foreign: list[Instance]) -> None:
    """Do what a holder and an entry process compute with the rules."""
    engines = {
        name: spec.engine
        for name, spec in catalog.services.items()
        if spec.engine is not None
    }
    epochs = itertools.count(1)
    plans: dict[str, DomainPlan] = {}
    instances = {
        one.id: one
        for one in (*(make_idle_instance(f"i-{n}") for n in range(7)), *foreign)
    }
    for _ in range(2):
        planner = FormationPlanner(lambda: Epoch(next(epochs)), 5.0, 0.0)
        planner.restore(plans.values())
        for step in range(12):
            now = step / 2
            planner.configure(engines, catalog.find_longest_timeouts(), now)
            planner.update_instances(instances)
            planner.set_demand(
                {
                    (name, model.name): 9.0 * (place + step)
                    for name, engine in engines.items()
                    for place, model in enumerate(engine.models)
                }
            )
            writes, orders = planner.step(now)
            for one in writes:
                plans[one.plan.domain] = one.plan
                planner.on_plan_saved(one.plan)
            for order in orders:
                planner.on_order_outcome(order, OrderOutcome.ACCEPTED, now)
    for engine in engines.values():
        for model in engine.models:
            forecast = FirstEventForecast()
            forecast.timing = EngineTiming.from_specs(engine, model)
            for load in (0.0, 3.0, 1000.0):
                found = forecast.predict(load, engine.slots, 2000, 300)
                longest = forecast.timing.predict_longest_pass(load, 2000.0)
                assert min(found, longest) >= 0.0 and math.isfinite(found + longest)
            timing = forecast.timing
            stream = StreamTiming(MIN_PASSES, 1.0, 0.1, timing.tokens_per_pass, 9)
            assert stream.token_s is not None and stream.token_s > 0.0
    for routes in catalog.routes.values():
        for route in routes:
            assert _choose_service(route) in catalog.services
            assert route.timeout_s > 0.0 and route.max_attempts >= 1
            assert min(route.objective_s, route.caller_timeout_s) >= 0.0
    limits = catalog.limits
    assert limits.max_header_bytes > 0 and limits.max_body_bytes >= 0
    assert limits.header_timeout_s > 0.0 and limits.idle_timeout_s >= 0.0


@pytest.mark.parametrize("text", NONSENSE, ids=lambda text: text[:20])
@pytest.mark.parametrize("path", RULE_PATHS, ids=lambda path: ".".join(map(str, path)))
def test_rules_with_any_number_are_refused_or_can_be_followed(
    path: tuple[str | int, ...], text: str
) -> None:
    """Guards against a number at which planning or serving always fails."""
    decoded = decode_rules(write(make_numbered_rules(), {path: text}))
    if decoded.is_ok():
        plan_and_serve(decoded.unwrap(), [])


@given(
    numbers=st.dictionaries(
        st.sampled_from(RULE_PATHS), st.sampled_from(NONSENSE), max_size=3
    ),
    instance=st.dictionaries(
        st.sampled_from(INSTANCE_PATHS), st.sampled_from(NONSENSE), max_size=2
    ),
    is_first=st.booleans(),
)
@settings(max_examples=150, deadline=None)
def test_numbers_that_make_no_sense_cost_no_other_value(
    numbers: dict[tuple[str | int, ...], str],
    instance: dict[tuple[str | int, ...], str],
    is_first: bool,
) -> None:
    """Guards against rules or a record that end all planning and serving.

    They come to a process that has sound rules, and to one that starts; sound
    rules follow.
    """
    group = {"name": "g7", "epoch": 5, "rank": 0, "state": "ready"}
    hostile = write({**RECORD, "born": 5, "group": group}, instance)
    values = [
        ("op/config", write(make_numbered_rules(2), numbers)),
        ("servers/w-70", hostile),
        ("servers/i-1", json.dumps(RECORD).encode()),
    ]
    sound = ("op/config", json.dumps(make_numbered_rules(MAX_COUNT)).encode())
    before = ("op/config", json.dumps(make_numbered_rules(-MAX_COUNT)).encode())
    view = FleetView(PlatformCodec())
    called: list[str] = []
    view.on_catalog.append(partial(called.append, "catalog"))
    updates = [values, [sound]] if is_first else [[before], values, [sound]]
    for number, update in enumerate(updates):
        events = [MirrorEvent(key, one, Revision(number + 1)) for key, one in update]
        with capture_logs() as lines:
            view.apply_changes(
                view.mirror.apply(events, Revision(number + 1), 0.0),
            )
        assert not [line for line in lines if line["event"] == "listener-failed"]
        if view.catalog is not None:
            plan_and_serve(view.catalog, list(view.instances.values()))
        is_refused = decode_rules(values[0][1]).is_err()
        if update is values:
            assert "i-1" in view.instances
            assert ("op/config" in view.unreadable.current) is is_refused
            assert (view.catalog is None) is (is_refused and is_first)
            is_unusable = decode_instance("servers/w-70", hostile).is_err()
            assert ("servers/w-70" in view.unreadable.current) is is_unusable
    assert called == ["catalog"] * len(updates)
    assert view.catalog is not None and view.catalog.version == MAX_COUNT
    assert "op/config" not in view.unreadable.current


def test_each_number_of_the_rules_is_tested() -> None:
    """Guards against a new number whose range nobody has tried."""
    kinds = (rules._Config, rules._Route)
    _, components = msgspec.json.schema_components(kinds)
    numbers = {
        name
        for component in components.values()
        for name, field in component["properties"].items()
        if {"integer", "number"}
        & {one.get("type") for one in field.get("anyOf", [field])}
    }
    assert numbers == {path[-1] for path in RULE_PATHS}
    for path in RULE_PATHS:
        assert decode_rules(write(make_numbered_rules(), {path: "{}"})).is_err(), path
