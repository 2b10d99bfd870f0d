"""The platform's formats: valid input is decoded, invalid input refused."""

import asyncio
import json
from base64 import b64encode
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from zinniaspool.core.fleet import (
    EngineStatus,
    Health,
    HealthAnswer,
    InstanceId,
    MembershipState,
    RequestKind,
)
from zinniaspool.core.ids import Revision, ServiceName
from zinniaspool.core.messages.fleet import InstanceAnswer
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.http import Exchange, Headers, HttpClient, HttpServer, Request
from zinniaspool.platform import wire
from zinniaspool.platform.entries import (
    apply_status,
    decode_instance,
    decode_status,
)
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.nodefile import NodeFileError, read_node_file
from zinniaspool.platform.orders import EngineClient
from zinniaspool.platform.rules import decode_rules
from zinniaspool_standins.installation import free_address, make_rules
from zinniaspool_standins.pagestore import PageStore

_FILE = """
node-name = "front-1"
ip = "10.1.0.40"
zone = "hall-a"
region = "north"
internal-ports = [7340, 7355]
unheard-of = { a = 1 }
[listen-addrs]
front = "10.1.0.40:8227"
[limits]
cpu-share = 0.5
cores = 2
[bounds]
grace-s = 8
budget-slack = 134
[platform]
address = "10.200.1.7:8223"
"""

_RECORD = {
    "service": "drafting",
    "address": "10.128.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "cold-left-ms": 0,
    "models": [{"name": "large", "version": 1, "adapters": []}],
    "staged": ["small"],
    "domain": "d1",
    "group": {"name": "g7", "epoch": 12, "rank": 0, "state": "open"},
    "seq-no": 4,
}
_OPTIONAL = ("models", "staged", "domain", "group")


def test_settings_are_read_and_unknown_ones_ignored(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(_FILE)
    node = read_node_file(path)
    assert (node.node, node.caller_address) == ("front-1", "10.1.0.40:8227")
    assert node.ready_address is None
    assert (node.grace_s, node.repeat_slack, node.cores) == (8.0, 134.0, 1.0)


@pytest.mark.parametrize("missing", ["node-name", "zone", "address", "internal-ports"])
def test_a_missing_setting_is_named(tmp_path: Path, missing: str) -> None:
    path = tmp_path / "node.toml"
    lines = [line for line in _FILE.splitlines() if not line.startswith(missing)]
    path.write_text("\n".join(lines))
    with pytest.raises(NodeFileError, match=missing):
        read_node_file(path)


def test_settings_that_are_no_toml_or_absent_are_an_error(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    with pytest.raises(NodeFileError):
        read_node_file(path)
    path.write_text("node-name = ")
    with pytest.raises(NodeFileError):
        read_node_file(path)


@pytest.mark.parametrize(
    ("contracts", "retains"),
    [
        ("", False),
        ('contracts = ["evacuation"]', False),
        ('contracts = ["health"]', True),
    ],
)
def test_instances_are_retained_where_the_health_contract_is_in_force(
    contracts: str, retains: bool, tmp_path: Path
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(contracts + _FILE)
    assert read_node_file(path).retains_instances is retains


@pytest.mark.parametrize(
    ("path", "decoded"),
    [("/healthz", "/healthz"), (None, None), ("", None), ("/a b", None), ("x", None)],
)
def test_only_a_path_that_a_request_line_can_have_is_a_health_path(
    path: str | None, decoded: str | None
) -> None:
    """A wrong path must neither refuse the rules nor break a request."""
    rules = make_rules(7, ["k"])
    rules["services"][0]["health-path"] = path
    catalog = decode_rules(msgspec.json.encode(rules)).unwrap()
    assert catalog.services[ServiceName("drafting")].health_path == decoded


@pytest.mark.parametrize(
    ("status", "headers", "answer"),
    [
        (200, {"x_zinniaspool_instance_id": "i-1"}, (Health.HEALTHY, "i-1", False)),
        (200, {"server_leaving": "1"}, (Health.HEALTHY, None, True)),
        (503, {}, (Health.UNHEALTHY, None, False)),
        (421, {"server_leaving": "1"}, (Health.MISDIRECTED, None, False)),
        (429, {}, None),
        (404, {}, None),
    ],
)
def test_health_answers_are_decoded(
    status: int,
    headers: dict[str, str],
    answer: tuple[Health, str | None, bool] | None,
) -> None:
    """An answer that states nothing about the health counts as missing."""

    async def test() -> None:
        async def respond(exchange: Exchange) -> None:
            request = exchange.request
            assert (request.method, request.path) == ("GET", "/healthz")
            assert request.headers.get("x-zinniaspool-expect-instance") == "i-1"
            await exchange.respond(status, Headers.of(**headers), b"")

        server = HttpServer(respond)
        address = await server.listen(free_address())
        engines = EngineClient(HttpClient())
        found = await engines.query_health(address, InstanceId("i-1"), "/healthz", 2.0)
        expected = None if answer is None else HealthAnswer(*answer)  # type: ignore[arg-type]
        assert found.ok() == expected
        raw = await engines.fetch_health(address, InstanceId("i-1"), "/healthz", 2.0)
        sent = msgspec.msgpack.decode(
            msgspec.msgpack.encode(raw.unwrap()), type=InstanceAnswer
        )
        assert engines.decode_health(sent).ok() == expected
        await server.drain(0.0)

    asyncio.run(test())


def test_a_status_tells_that_its_engine_leaves() -> None:
    body: dict[str, object] = {"group": None, "models": [], "staged": []}
    for state, is_leaving in (("draining", True), ("ready", False), ("new", False)):
        status = decode_status(msgspec.json.encode({**body, "state": state})).unwrap()
        assert status.is_leaving is is_leaving


def test_rules_become_routes_by_longest_prefix() -> None:
    rules = make_rules(7, ["k"])
    rules["routes"].append({**rules["routes"][1], "path-prefix": "/cards/urgent/"})
    catalog = decode_rules(msgspec.json.encode(rules)).unwrap()
    assert catalog.version == 7
    found = catalog.find_route("CARE.example", "/cards/urgent/1")
    assert found is not None and found.path_prefix == "/cards/urgent/"
    assert catalog.find_route("care.example", "/cardsx/1") is None
    stream = catalog.find_route("care.example", "/drafts/1")
    assert stream is not None
    assert (stream.kind, stream.repeatable, stream.max_pause_s) == (
        RequestKind.STREAM,
        True,
        0.25,
    )
    engine = catalog.services[stream.shares[0].service].engine
    assert engine is not None
    assert [(model.name, model.size) for model in engine.models] == [
        ("large", 3),
        ("small", 2),
    ]


def test_a_request_of_an_unknown_kind_runs_at_most_once() -> None:
    """A request to a route of a new kind must not run twice."""
    rules = make_rules(7, ["k"])
    rules["routes"][2]["kind"] = "something-new"
    catalog = decode_rules(msgspec.json.encode(rules)).unwrap()
    route = catalog.find_route("care.example", "/receipts/1")
    assert route is not None and not route.repeatable


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version":"x"}', b"\xff"])
def test_invalid_rules_are_refused(value: bytes) -> None:
    assert isinstance(decode_rules(value), Err)


def test_a_record_contains_its_group() -> None:
    instance = decode_instance("servers/i-1", msgspec.json.encode(_RECORD)).unwrap()
    assert (instance.id, instance.model, instance.staged) == (
        "i-1",
        "large",
        ("small",),
    )
    assert instance.membership is not None
    assert (instance.membership.group, instance.membership.state) == (
        "g7",
        MembershipState.OPEN,
    )


def _make_record(**changes: object) -> bytes:
    return msgspec.json.encode({**_RECORD, **changes})


_GROUP = {"name": "g7", "epoch": 12, "rank": 0, "state": "open"}


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b'{"service":3}',
        b'{"x":' + b"[" * 100_000,
        _make_record(state="resting"),
        _make_record(state=None),
        _make_record(slots="13"),
        _make_record(slots=-1),
        _make_record(slots=1.5),
        _make_record(address="nowhere"),
        _make_record(address="10.0.0.1:http"),
        _make_record(address="10.0.0.1:0"),
        _make_record(address="10.0.0.1:" + "8" * 5000),
        _make_record(zone=7),
        _make_record(staged="small"),
        _make_record(models={"name": "large"}),
        _make_record(born="1700000000000"),
        _make_record(born=1.5),
        _make_record(born=None),
        _make_record(group="g7"),
        _make_record(group={"name": "g7", "state": "open"}),
        _make_record(group={**_GROUP, "state": "odd"}),
        _make_record(group={**_GROUP, "epoch": 2**70}),
    ],
)
def test_a_record_of_another_writer_is_invalid(value: bytes) -> None:
    """Otherwise requests go to an address that does not serve the service.

    The record of another writer is like an instance's only in part: it has an
    unknown state, a count that is a text, or a field of another type.
    """
    assert isinstance(decode_instance("servers/i-1", value), Err)


@pytest.mark.parametrize(
    "missing", [field for field in _RECORD if field not in _OPTIONAL]
)
def test_a_record_without_a_field_that_all_instances_write_is_invalid(
    missing: str,
) -> None:
    record = {name: value for name, value in _RECORD.items() if name != missing}
    assert isinstance(decode_instance("servers/i-1", msgspec.json.encode(record)), Err)


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\r\nx: y"])
def test_an_id_that_no_header_can_carry_is_invalid(key: str) -> None:
    assert isinstance(decode_instance(key, _make_record()), Err)


def test_the_start_time_is_decoded_from_records_and_reports() -> None:
    instance = decode_instance(
        "servers/i-1", _make_record(born=1_700_000_000_123)
    ).unwrap()
    assert instance.started_at_ms == 1_700_000_000_123
    assert decode_instance("servers/i-1", _make_record()).unwrap().started_at_ms is None
    assert decode_status(b'{"born":5}').unwrap().born == 5


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*_RECORD, "born", "name", "x"]), inner)
    ),
    max_leaves=12,
)
_BYTES = st.binary(max_size=64) | _JSON.map(lambda value: json.dumps(value).encode())
_CHANGED = st.dictionaries(st.sampled_from([*_RECORD, "born"]), _JSON, max_size=3).map(
    lambda changes: json.dumps({**_RECORD, **changes}).encode()
)


@given(value=_BYTES | _CHANGED)
def test_any_record_is_decoded_or_refused_and_can_be_updated(value: bytes) -> None:
    """A record that crashes one process would crash every one of the fleet."""
    status = EngineStatus(None, None, (), 0, 0, 1.0, 5)
    updated = apply_status(value, status)
    decoded = decode_instance("servers/i-1", value)
    if isinstance(decoded, Ok):
        again = decode_instance("servers/i-1", updated.unwrap()).unwrap()
        assert (again.started_at_ms, again.membership) == (5, None)
        assert again.address == decoded.ok_value.address


def test_an_updated_record_contains_the_status_of_its_engine() -> None:
    report = {**_RECORD, "group": None, "models": [], "staged": ["large"], "pace": 1.0}
    status = decode_status(msgspec.json.encode(report)).unwrap()
    assert isinstance(status, EngineStatus)
    value = apply_status(msgspec.json.encode(_RECORD), status).unwrap()
    instance = decode_instance("servers/i-1", value).unwrap()
    assert (instance.membership, instance.model, instance.staged) == (
        None,
        None,
        ("large",),
    )
    assert instance.address == "10.128.0.9:8080"


def test_upstream_headers_are_set_here_and_lack_the_api_key() -> None:
    """A caller that sets our headers must not act for another customer."""
    request = Request(
        "POST",
        "/x",
        Headers.of(
            host="care.example",
            authorization="Token secret",
            x_zinniaspool_tenant="another",
            x_zinniaspool_expect_instance="i-9",
            x_zinniaspool_request_id="r1",
            connection="keep-alive, x-private",
            x_private="1",
            x_kept="2",
        ),
    )
    sent = wire.make_upstream_headers(request, InstanceId("i-1"), 1.2345, None, None, 7)
    names = dict(sent.raw())
    assert b"authorization" not in names and b"x-private" not in names
    assert b"x-zinniaspool-tenant" not in names
    assert sent.get("x-zinniaspool-expect-instance") == "i-1"
    assert sent.get("x-zinniaspool-deadline-ms") == "1234"
    assert sent.get("last-event-id") == "7"
    assert (sent.get("x-kept"), sent.get("host")) == ("2", "care.example")


@pytest.mark.parametrize(
    ("text", "key"),
    [("Token abc", "abc"), ("token  abc ", "abc"), ("Bearer abc", None), ("", None)],
)
def test_api_keys_are_read(text: str, key: str | None) -> None:
    request = Request("GET", "/", Headers.of(authorization=text))
    assert wire.parse_key(request) == key


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e07a2:800,91bd3f06:410", ("5c1e07a2", "91bd3f06")),
        (" 5c1e07a2:800 , ,:7", ("5c1e07a2",)),
        ("5c1e07a2", ("5c1e07a2",)),
        ("", ()),
    ],
)
def test_the_parts_of_a_prompt_are_read(text: str, parts: tuple[str, ...]) -> None:
    headers = Headers.of(x_zinniaspool_prefix_hash=text)
    assert wire.parse_terms(Request("POST", "/", headers)).prompt_parts == parts


def test_invalid_headers_of_a_caller_are_ignored() -> None:
    request = Request(
        "POST",
        "/",
        Headers.of(
            x_zinniaspool_deadline_ms="soon",
            x_zinniaspool_token_count="a,b",
            last_event_id="-3",
        ),
    )
    terms = wire.parse_terms(request)
    assert (terms.timeout_s, terms.prompt_tokens, terms.resume_after) == (
        None,
        0,
        None,
    )


def test_the_store_is_read_in_pages_and_watched() -> None:
    async def test() -> None:
        server, address = PageStore(), free_address()
        await server.listen(address)
        for number in range(120):
            server.put(f"servers/{number:03}", b64encode(b"x").decode())
        store = KvStore(HttpClient(), address)
        reading = (await store.read("servers/")).unwrap()
        assert len(reading.items) == 120
        watching = asyncio.create_task(store.watch("", reading.as_of, 2.0))
        await asyncio.sleep(0.05)
        server.remove("servers/007")
        watched = (await watching).unwrap()
        assert [(event.key, event.value) for event in watched.events] == [
            ("servers/007", None)
        ]
        server.drop_history()
        gap = (await store.watch("", Revision(1), 0.1)).unwrap()
        assert not gap.complete

    asyncio.run(test())


def test_a_commit_is_all_or_nothing_and_its_faults_are_distinguished() -> None:
    async def test() -> None:
        server, address = PageStore(), free_address()
        await server.listen(address)
        store = KvStore(HttpClient(), address)
        write = KeyWrite("zinnia/a", b"1")
        first = (await store.commit([("zinnia/a", Revision(0))], [write])).unwrap()
        again = await store.commit([("zinnia/a", Revision(0))], [write])
        assert again == Err(StoreFault.CONFLICT)
        assert (await store.get("zinnia/a")).unwrap().revision == first  # type: ignore[union-attr]
        server.faults.down = "many"
        assert await store.get("zinnia/a") == Err(StoreFault.LIMITED)
        server.faults.down = "busy"
        assert await store.get("zinnia/a") == Err(StoreFault.UNAVAILABLE)
        server.faults.down = "reset"
        assert await store.get("zinnia/a") == Err(StoreFault.UNKNOWN)
        server.faults.down = ""
        lease = (await store.grant(1.0)).unwrap()
        assert await store.renew(lease) == Ok(None)
        await store.end_lease(lease)
        assert await store.renew(lease) == Err(StoreFault.NO_LEASE)

    asyncio.run(test())


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ('control = "10.1.0.40:8229"', "10.1.0.40:8229"),
        ("", "10.1.0.40:8469"),
    ],
)
def test_each_process_knows_where_its_vm_s_control_process_listens(
    tmp_path: Path, line: str, expected: str
) -> None:
    """Without it an entry process would follow the holder over the network.

    Only the control process's own settings name its address; the seeds have
    the port, which is the same on all VMs.
    """
    path = tmp_path / "node.toml"
    seeds = 'seeds = ["10.3.0.19:8469"]\n'
    path.write_text(seeds + _FILE.replace("[limits]", f"{line}\n[limits]"))
    node = read_node_file(path)
    assert node.control_address == expected
