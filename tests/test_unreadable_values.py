"""Values from outside that can't be read, among values that can."""

import asyncio
import json
from base64 import b64encode
from collections import Counter
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from hypothesis import example, given, strategies as st
from result import Result
from structlog.testing import capture_logs
from typer.testing import CliRunner

from tests.installation import Installation, eventually
from tests.test_belief import RECORD
from zinniaspool.cli.main import app
from zinniaspool.core.decoding import is_address, parse_count
from zinniaspool.core.dispatch.streams import EventCursor
from zinniaspool.core.fleet import HOLDER_KEY, EngineStatus, MirrorEvent
from zinniaspool.core.ids import Address, Revision, split_address
from zinniaspool.fleet import FleetStore, FleetView
from zinniaspool.fleet.metrics import add_fleet_metrics
from zinniaspool.http import Headers, HttpClient, HttpServer, Request
from zinniaspool.keeper.plans import PlanStore
from zinniaspool.peers.frames import FrameDecoder, FrameError
from zinniaspool.platform import wire
from zinniaspool.platform.entries import apply_status, decode_instance, decode_status
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.rules import decode_rules
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool.telemetry.page import MetricsPage
from zinniaspool_standins.installation import free_address, make_rules

STATUS = EngineStatus(None, None, (), 0, 0, 1.0, 5)
INSTANCE: dict[str, object] = {**RECORD, "staged": ["small"]}
NODE: dict[str, object] = {
    "node": "n7",
    "caller_address": "10.0.0.7:80",
    "peer_address": "10.0.0.7:81",
    "failure_domain": "hall-a",
    "region": "north",
    "state": "ready",
    "control_address": "10.0.0.7:82",
}
HOLDER: dict[str, object] = {"node": "n7", "peer_address": "10.0.0.7:82", "start": "a1"}
PLAN: dict[str, Any] = {
    "domain": "d1",
    "groups": [
        {
            "group": "g7",
            "epoch": 12,
            "service": "drafting",
            "model": "large",
            "members": ["i-1", "i-2", "i-3"],
        }
    ],
}
QUARANTINE: dict[str, object] = {"node": "n7", "crashed": ["i-1"], "trials": 0}

DEEP = b"[" * 100_000

RAW = st.sampled_from(
    [
        "8" * 5000,
        "-" + "8" * 5000,
        "8" * 400,
        "8" * 30,
        "1e400",
        "1e308",
        "NaN",
        "Infinity",
        '"nan"',
        "[" * 100_000,
        "[" * 3000 + "]" * 3000,
        '"\\ud800"',
        '"a\\u0000b"',
        '"a\\r\\nb: c"',
        '"' + "8" * 5000 + '"',
        '"127.0.0.9:' + "8" * 5000 + '"',
        '"fe80::1%\\u0000:80"',
        "",
    ]
)
"""Parts of a JSON text that decoders fail on, or fail to represent."""

PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4) | st.sampled_from([*INSTANCE]), inner)
    ),
    max_leaves=8,
).map(json.dumps)


def alter(sound: dict[str, object]) -> st.SearchStrategy[bytes]:
    """Return texts like a sound value's, with other values of some fields.

    A field of an object inside is replaced as often as one of the value.
    """
    paths: list[tuple[str, ...]] = [(name,) for name in (*sound, "x")]
    for name, inner in sound.items():
        first = inner[0] if isinstance(inner, list) and inner else inner
        if isinstance(first, dict):
            paths += [(name, field) for field in first]

    def write(changes: dict[tuple[str, ...], str]) -> bytes:
        value = json.loads(json.dumps(sound))
        texts = {}
        for number, (path, text) in enumerate(sorted(changes.items())):
            at = value
            for step in path[:-1]:
                at = at[step][0] if isinstance(at[step], list) else at[step]
                if not isinstance(at, dict):
                    break
            else:
                at[path[-1]] = f"@{number}@"
                texts[f'"@{number}@"'] = text
        result = json.dumps(value)
        for mark, text in texts.items():
            result = result.replace(mark, text)
        return result.encode()

    changed = st.dictionaries(st.sampled_from(paths), RAW | PLAIN, max_size=3)
    whole = st.binary(max_size=64) | (RAW | PLAIN).map(str.encode)
    return changed.map(write) | whole


def _with_huge_field() -> bytes:
    return json.dumps({**INSTANCE, "x": "@"}).replace('"@"', "8" * 5000).encode()


RULES = alter(make_rules(2, ["key"]))
_WITHOUT_END = make_rules(2, ["key"])
_WITHOUT_END["routes"][0]["timeout-ms"] = "nan"
NUMBERS = st.integers(0, 10**20).map(str) | st.sampled_from(
    ["8" * 5000, "0" * 5000 + "1", "", "-1", "+1", "1.5", "²", "٣", "nan", "inf", "1_0"]
)


@given(value=alter(INSTANCE))
@example(value=json.dumps({**INSTANCE, "x": 10**400}).encode())
@example(value=_with_huge_field())
def test_any_instance_is_decoded_or_refused(value: bytes) -> None:
    decoded: Result[object, str] = decode_instance("servers/i-1", value)
    assert decoded.is_ok() or len(decoded.unwrap_err()) < 300
    updated = apply_status(value, STATUS)
    if decoded.is_ok():
        assert decode_instance("servers/i-1", updated.unwrap()).is_ok()


@given(value=alter(INSTANCE))
def test_any_report_of_an_engine_is_decoded_or_refused(value: bytes) -> None:
    decoded = decode_status(value)
    assert decoded.is_err() or msgspec.msgpack.encode(decoded.unwrap())


@given(value=RULES)
@example(value=b'{"version":1,"routes":' + DEEP)
@example(value=b'{"version":1,"x":' + DEEP)
@example(value=json.dumps(_WITHOUT_END).encode())
def test_any_rules_are_decoded_or_refused(value: bytes) -> None:
    decoded = decode_rules(value)
    if decoded.is_ok():
        catalog = decoded.unwrap()
        for routes in catalog.routes.values():
            assert all(abs(route.timeout_s) < 1e18 for route in routes)
        assert msgspec.msgpack.encode(catalog.version)


@given(text=st.text() | NUMBERS)
def test_a_number_of_any_length_is_parsed_or_ignored(text: str) -> None:
    """``int`` raises on more than 4,300 digits."""
    number = parse_count(text)
    assert number is None or 0 <= number < 10**18
    headers = Headers.of(
        x_zinniaspool_deadline_ms=text.encode("latin-1", "replace").decode("latin-1"),
        x_zinniaspool_token_count="1," + "8" * 5000,
        last_event_id="8" * 5000,
    )
    assert wire.parse_terms(Request("GET", "/", headers)).resume_after is None


@given(
    host=st.sampled_from(["10.0.0.1", "[::1]", "fe80::1%x", "a.example", "", "1.2.3"])
    | st.text(max_size=6),
    port=NUMBERS | st.integers(0, 70_000).map(str),
)
def test_every_accepted_address_can_be_connected_to(host: str, port: str) -> None:
    """The address of a record must not raise in the task that connects."""
    text = f"{host}:{port}"
    if is_address(text):
        found, number = split_address(Address(text))
        assert found.isascii() and 0 < number < 2**16


@given(number=NUMBERS)
def test_an_event_s_id_of_any_length_is_read_or_ignored(number: str) -> None:
    cursor = EventCursor()
    data = f"id: {number}\ndata: x\n\n".encode()
    assert cursor.feed(data).unwrap() == data
    cursor.resume()
    cursor.feed(data)


@pytest.mark.parametrize(
    "body",
    [
        b"\x82\xa4type\xa1x\xa1y" + b"\x91" * 100_000,
        b"\x91" * 100_000,
        b"\xa1\xff",
        b"",
    ],
)
def test_a_frame_that_is_no_message_is_a_fault_of_its_sender(body: bytes) -> None:
    with pytest.raises(FrameError):
        list(FrameDecoder().feed(len(body).to_bytes(4, "big") + body))


FOREIGN = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "servers/w-77",
                "servers/",
                "servers/\r\n",
                "op/evacuate/hall-x",
                "op/evacuate/",
                "zinnia/nodes/n7",
                "zinnia/nodes/",
                "zinnia/holder",
                "zinnia/plans/d1",
                "zinnia/held/c:1",
                "zinnia/held/",
                "zinnia/else",
                "else",
                "",
            ]
        ),
        st.one_of(*map(alter, (INSTANCE, NODE, HOLDER, PLAN, QUARANTINE))),
    ),
    max_size=4,
)


@given(foreign=FOREIGN, place=st.integers(0, 3), rules=st.none() | RULES)
@example([], 0, b'{"version":2,"routes":' + DEEP)
@example([("zinnia/nodes/n7", b'{"x":' + DEEP)], 1, None)
@example([("zinnia/holder", b'{"x":' + DEEP)], 1, None)
def test_unreadable_values_cost_no_other_value(
    foreign: list[tuple[str, bytes]], place: int, rules: bytes | None
) -> None:
    """Guards against a new process that is never told its configuration.

    Sound values come beside the others, in one update and after a restart.
    """
    sound = [
        ("op/config", json.dumps(make_rules(1, ["key"])).encode()),
        ("servers/i-1", json.dumps(INSTANCE).encode()),
        ("zinnia/nodes/n1", json.dumps({**NODE, "node": "n1"}).encode()),
        ("op/evacuate/hall-b", b""),
    ]
    values = [*sound[:place], *foreign, *sound[place:]]
    if rules is not None:
        values.append(("op/config", rules))
    for decodes_instances in (True, False):
        view = FleetView(PlatformCodec(), decodes_instances=decodes_instances)
        called: list[str] = []
        view.on_catalog.append(partial(called.append, "catalog"))
        view.on_nodes.append(partial(called.append, "nodes"))
        view.on_change.append(partial(called.append, "change"))
        events = [
            MirrorEvent(key, value, Revision(number + 1))
            for number, (key, value) in enumerate(values)
        ]
        as_of = Revision(len(events))
        view.apply_changes(view.mirror.apply(events, as_of, 0.0))
        view.start_decoding_instances()
        assert view.catalog is not None
        assert "i-1" in view.instances
        assert "n1" in view.nodes
        for node in view.nodes.values():
            assert all(map(is_address, (node.caller_address, node.peer_address)))
        assert view.holder is None or is_address(view.holder.peer_address)
        assert "hall-b" in view.evacuated
        assert {"catalog", "nodes", "change"} <= set(called)


@given(failing=st.sets(st.integers(0, 13)))
def test_a_listener_that_fails_keeps_no_other_from_being_called(
    failing: set[int],
) -> None:
    """Guards against a process that never learns of a change."""
    view = FleetView(PlatformCodec())
    called: list[str] = []
    groups: dict[str, list[Callable[..., None]]] = {
        "catalog": view.on_catalog,
        "record": view.on_record,
        "instances": view.on_instances,
        "nodes": view.on_nodes,
        "evacuation": view.on_evacuation,
        "quarantine": view.on_quarantine,
        "change": view.on_change,
    }

    def listen(name: str, fails: bool, *_: object) -> None:
        called.append(name)
        if fails:
            raise RuntimeError(name)

    for number, (name, listeners) in enumerate(groups.items()):
        for place in range(2):
            fails = number * 2 + place in failing
            listeners.append(partial(listen, name, fails))
    events = [
        MirrorEvent(key, json.dumps(value).encode(), Revision(1))
        for key, value in (
            ("op/config", make_rules(1, ["key"])),
            ("servers/i-1", INSTANCE),
            ("zinnia/nodes/n7", NODE),
            ("op/evacuate/hall-b", {}),
            ("zinnia/held/c:1", QUARANTINE),
        )
    ]
    changes = view.mirror.apply(events, Revision(1), 0.0)
    with capture_logs() as lines:
        view.apply_changes(changes)
    assert Counter(called) == dict.fromkeys(groups, 2)
    logged = [line for line in lines if line["event"] == "listener-failed"]
    assert len(logged) == len(failing)


ROWS = st.lists(
    st.builds(
        lambda key, revision, value: (
            f'{{"key":{key or 1},"revision":{revision},"value":{value or 1}}}'
        ),
        RAW | st.just('"else"'),
        RAW | st.just("4"),
        RAW | st.sampled_from(['"e30"', '"%%"', "null", "{}", '"\\u00e9"', '"e30="']),
    ),
    max_size=3,
)


@given(rows=ROWS, before=st.booleans())
@example(rows=['{"key":"else","revision":4,"value":"e30"}'], before=True)
@example(rows=['{"key":"\\ud800","revision":4,"value":"e30="}'], before=False)
@example(rows=['{"key":"else","revision":4,"value":"\\u00e9"}'], before=False)
def test_a_row_that_can_not_be_read_costs_no_other_row(
    rows: list[str], *, before: bool
) -> None:
    """Guards against a store that no process can read any more.

    A writer may choose any key, and a value that is no base64. An answer that
    is no JSON, or too deep, is a fault of the store and not of a writer.
    """
    sound = '{"key":"op/config","revision":3,"value":"e30="}'
    joined = ",".join([sound, *rows] if before else [*rows, sound])
    body = f'{{"items":[{joined}],"events":[{joined}],"as-of":9}}'.encode()
    try:
        json.loads(body, parse_int=float)
    except (RecursionError, ValueError):
        return

    async def test() -> None:
        async def respond(*_: object) -> tuple[int, Headers, bytes]:
            return 200, Headers(), body

        client = SimpleNamespace(fetch_with_headers=respond)
        store = KvStore(cast(HttpClient, client), Address("10.0.0.1:1"))
        found = (await store.read("")).unwrap()
        watched = (await store.watch("", Revision(1), 0.1)).unwrap()
        for items in (found.items, watched.events):
            values = {item.key: item.value for item in items}
            assert values["op/config"] == b"{}"
            assert msgspec.msgpack.encode(values)
            assert values.get("else", b"") is not None

    asyncio.run(test())


def test_unreadable_values_are_logged_once_counted_and_listed() -> None:
    """Guards against a value that is ignored without anyone's knowledge."""
    values = {
        "servers/w-77\n": b"{}",
        "servers/w-78": b"",
        "zinnia/nodes/n7": b"[]",
        "zinnia/holder": json.dumps({**HOLDER, "peer_address": "x"}).encode(),
        "zinnia/plans/d1": DEEP,
        "op/config": b"\xff",
    }
    view = FleetView(PlatformCodec())
    plans = PlanStore(cast(FleetStore, None), view.unreadable)

    def write(revision: int, key: str, value: bytes | None) -> None:
        event = MirrorEvent(key, value, Revision(revision))
        view.apply_changes(view.mirror.apply([event], Revision(revision), 0.0))

    with capture_logs() as lines:
        for revision in range(1, 4):
            for key, value in values.items():
                write(revision, key, value)
        for _ in range(3):
            assert plans.load(view.mirror) == []
    logged = [line["key"] for line in lines if "unreadable" in line["event"]]
    assert sorted(logged) == sorted(values)
    assert sum(view.unreadable.counts.values()) == 3 * len(values)

    async def list_keys() -> str:
        page = MetricsPage()
        store = SimpleNamespace(calls={})
        add_fleet_metrics(page, view, cast(FleetStore, store))
        server = HttpServer(page.handle)
        address = await server.listen(free_address())
        arguments = ["unreadable", address]
        result = await asyncio.to_thread(CliRunner().invoke, app, arguments)
        await server.drain(0.0)
        assert result.exit_code == 0, result.output
        return result.stdout

    listed = asyncio.run(list_keys()).splitlines()
    assert len(listed) == len(values)
    assert any(r"instance servers/w-77\n: the id is not valid" in one for one in listed)
    write(4, "servers/w-78", json.dumps(INSTANCE).encode())
    write(4, "zinnia/nodes/n7", None)
    write(4, "zinnia/holder", json.dumps(HOLDER).encode())
    write(4, "zinnia/plans/d1", json.dumps(PLAN).encode())
    assert sorted(view.unreadable.current) == ["op/config", "servers/w-77\n"]
    view.stop_decoding_instances()
    assert list(view.unreadable.current) == ["op/config"]


_GROUP = PLAN["groups"][0]
HOSTILE: dict[str, object] = {
    "servers/w-70": {**INSTANCE, "address": "127.0.0.9:" + "8" * 5000},
    "servers/w-71": {
        **INSTANCE,
        "group": {"name": "w", "epoch": 2**53, "rank": 0, "state": "open"},
    },
    "zinnia/nodes/w-72": {**NODE, "peer_address": "nowhere"},
    "zinnia/plans/w-73": {"domain": "w-73", "groups": [{**_GROUP, "members": []}]},
    "zinnia/plans/w-74": {"domain": "w-74", "groups": [{**_GROUP, "epoch": 2**60}]},
    "zinnia/holder": {"node": "w-75", "peer_address": "nowhere", "start": "w"},
    "zinnia/held/c:w": [],
}


@pytest.mark.parametrize("key", [*HOSTILE, "op/evacuate/hall-w"])
def test_a_fleet_starts_among_values_that_can_not_be_read(key: str) -> None:
    """Guards against groups that no holder forms and requests that all fail.

    The value is there at the start, and when all processes start again.
    """
    value = b64encode(json.dumps(HOSTILE.get(key)).encode()).decode()
    if key not in HOSTILE:
        value = "no base64"

    async def test() -> None:
        class Beset(Installation):
            async def start_node(self, name: str) -> None:
                if not self.nodes:
                    self.store.put(key, value)
                await super().start_node(name)

        async with Beset.running(nodes=2, engines=5) as made:
            await eventually(lambda: made.heads("small") and made.heads("large"))
            await made.end_nodes()
            if key == HOLDER_KEY:
                made.store.put(key, value)
            for name in ("n0", "n1"):
                await made.add_node(name)
                await made.await_served(name, "small")
            await eventually(lambda: made.find_holder())

    asyncio.run(test())
