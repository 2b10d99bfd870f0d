"""Credentials, peer secrets and TLS, and their replacement while running."""

import asyncio
import json
import ssl
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog

from tests.certificates import issue_certificates
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FailureDomainId,
    Incarnation,
    NodeId,
)
from zinniaspool.core.journal import DecisionKind, Journal
from zinniaspool.core.messages import PROTOCOL_VERSION, Accepted, Hello, Message
from zinniaspool.entry.credentials import Credentials
from zinniaspool.http import Headers, HttpClient, HttpServer, Request, TransportError
from zinniaspool.node.files import FileReloader, PeerSecrets
from zinniaspool.node.operators import OperatorInterface, load_operators
from zinniaspool.node.tls import TlsEndpoint
from zinniaspool.peers import PeerLinks, PeerListener

_ANY = Address("127.0.0.1:0")


def _write(path: Path, content: Any) -> Path:
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return path


def test_a_replaced_credential_file_is_used_and_a_broken_one_is_not(
    tmp_path: Path,
) -> None:
    """Guards against callers losing access while a file is being replaced.

    A reader may see half of a file that is being written. The credentials
    loaded before must then stay in use.
    """
    path = _write(tmp_path / "c", {"callers": {"old": "care"}})
    credentials = Credentials(path)
    reloader = FileReloader(60.0)
    reloader.add(credentials)
    _write(path, {"callers": {"newer": "care"}})
    reloader.reload_changed()
    assert credentials.find_customer("Bearer newer") == "care"
    assert credentials.find_customer("Bearer old") is None
    with structlog.testing.capture_logs() as events:
        _write(path, '{"callers": {"half')
        reloader.reload_changed()
        reloader.reload_changed()
        path.unlink()
        reloader.reload_changed()
    assert [event["event"] for event in events] == ["credentials-unreadable"] * 2
    assert "half" not in str(events)
    assert credentials.find_customer("bearer newer") == "care"


@pytest.mark.parametrize(
    "authorization",
    [None, "", "Bearer", "Bearer ", "Basic key", "Bearer k\xe9y", "key"],
)
def test_an_authorization_without_a_known_credential_finds_no_customer(
    tmp_path: Path, authorization: str | None
) -> None:
    credentials = Credentials(_write(tmp_path / "c", {"callers": {"key": "care"}}))
    assert credentials.find_customer(authorization) is None


def test_an_empty_credential_is_refused(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="empty"):
        Credentials(_write(tmp_path / "c", {"callers": {"": "care"}}))


def test_peers_accept_every_secret_of_the_file_and_present_the_first(
    tmp_path: Path,
) -> None:
    secrets = PeerSecrets(_write(tmp_path / "s", "new\nold\n"))
    assert secrets.presented == "new"
    assert [secrets.accepts(s) for s in ("new", "old", "", "x")] == [
        True,
        True,
        False,
        False,
    ]


def _make_interface(folder: Path) -> OperatorInterface:
    operators = {
        "all-key": {"name": "fleet"},
        "care-key": {"name": "carer", "customer": "care"},
    }
    path = _write(folder / "operators", {"operators": operators})
    journal = Journal()
    kind = DecisionKind.REQUEST_REFUSED
    journal.record(1.0, kind, ("customer:care", "request:1"), "limit")
    journal.record(2.0, kind, ("customer:rival", "request:2"), "limit")
    interface = OperatorInterface(journal, load_operators(path), lambda: b"metric 1\n")
    interface.add_section("all", lambda: "secret of rival")
    interface.add_section(
        "shares", lambda: {"rival": 1}, lambda customer: {customer: 2}
    )
    interface.add_query("/who", lambda operator, query: [operator.name, query["q"]])
    return interface


async def _send_requests(
    interface: OperatorInterface, requests: list[tuple[str, str, str | None]]
) -> list[tuple[int, bytes]]:
    server, client = HttpServer(interface.handle), HttpClient()
    address = await server.listen(_ANY)
    answers = []
    for method, target, credential in requests:
        headers = Headers()
        if credential is not None:
            headers.add("authorization", f"Bearer {credential}")
        answers.append(
            await client.fetch(address, Request(method, target, headers), 5.0)
        )
    client.close()
    await server.drain(0.0)
    return answers


def test_an_operator_of_one_customer_sees_no_other_customer(tmp_path: Path) -> None:
    requests = [
        ("GET", "/dump", None),
        ("GET", "/dump", "wrong"),
        ("GET", "/dump", "all-key"),
        ("GET", "/dump", "care-key"),
        ("GET", "/explain?subject=request:2", "all-key"),
        ("GET", "/explain?subject=request:2", "care-key"),
        ("GET", "/metrics", "all-key"),
        ("GET", "/metrics", "care-key"),
        ("POST", "/drain", "care-key"),
        ("GET", "/who?q=x", "care-key"),
    ]
    answers = asyncio.run(_send_requests(_make_interface(tmp_path), requests))
    statuses = [status for status, _ in answers]
    assert statuses == [401, 401, 200, 200, 200, 200, 200, 403, 403, 200]
    full_dump, customer_dump = (msgspec.json.decode(answers[k][1]) for k in (2, 3))
    assert full_dump["version"] == customer_dump["version"] == 1
    assert full_dump["state"]["all"] == "secret of rival"
    assert customer_dump["state"]["shares"] == {"care": 2}
    assert b"rival" not in answers[3][1]
    assert len(full_dump["state"]["decisions"]) == 2
    assert msgspec.json.decode(answers[4][1])[0]["reason"] == "limit"
    assert answers[5][1] == b"[]"
    assert answers[9][1] == b'["carer","x"]'


def test_callers_reach_a_server_by_tls_and_not_without(tmp_path: Path) -> None:
    server_certificates = issue_certificates(tmp_path, "a")
    other_certificates = issue_certificates(tmp_path, "b")
    endpoint = TlsEndpoint(
        server_certificates.files.model_copy(update={"authority_file": None})
    )
    trusting = ssl.create_default_context(cafile=str(server_certificates.authority))
    distrusting = ssl.create_default_context(cafile=str(other_certificates.authority))
    answers = asyncio.run(_fetch_with(endpoint, [trusting, None, distrusting]))
    assert answers[0] == (200, b"x" * 100_000)
    assert isinstance(answers[1], TransportError)
    assert isinstance(answers[2], TransportError)


async def _fetch_with(
    endpoint: TlsEndpoint, contexts: list[ssl.SSLContext | None]
) -> list[object]:
    async def answer(exchange: Any) -> None:
        await exchange.respond(200, Headers(), b"x" * 100_000)

    server = HttpServer(answer, tls=endpoint.server)
    address = await server.listen(_ANY)
    results: list[object] = []
    for context in contexts:
        client = HttpClient(tls=context)
        try:
            results.append(await client.fetch(address, Request("GET", "/"), 5.0))
        except TransportError as error:
            results.append(error)
        client.close()
    await server.drain(0.0)
    return results


def test_peers_need_a_certificate_of_their_authority(tmp_path: Path) -> None:
    endpoint = TlsEndpoint(issue_certificates(tmp_path, "a").files, between_peers=True)
    stranger = TlsEndpoint(issue_certificates(tmp_path, "b").files, between_peers=True)
    reached = asyncio.run(
        _connect_with(endpoint, [endpoint.client, stranger.client, None])
    )
    assert reached == [True, False, False]


async def _connect_with(
    endpoint: TlsEndpoint, contexts: list[ssl.SSLContext | None]
) -> list[bool]:
    async def handle(hello: Hello, message: Message) -> Message:
        return Accepted(1, NodeId("answer"))

    listener = PeerListener(NodeId("b"), lambda s: s == "s", handle, endpoint.server)
    address = await listener.listen(_ANY)
    hello = Hello(
        PROTOCOL_VERSION, NodeId("a"), Incarnation(1), FailureDomainId("d"), "s"
    )
    reached = []
    for context in contexts:
        links = PeerLinks(lambda: hello, 2.0, context)
        reached.append(await links.request(address, hello) is not None)
        links.close()
    listener.close()
    return reached


def test_metrics_limit_the_number_of_customers_with_series() -> None:
    from zinniaspool.telemetry.metrics import Metrics

    journal = Journal()
    journal.record(1.0, DecisionKind.GROUP_FORMED, (), "")
    metrics = Metrics(journal, max_customers=2)
    for name in ("a", "b", "c", "d", "a"):
        metrics.observe_request(CustomerId(name), "answered", 0.02)
    metrics.observe_request(None, "bad-credential", 0.001)
    metrics.add_gauge("zinniaspool_open", "Open.", lambda: 3)
    text = metrics.render().decode()
    assert 'zinniaspool_requests_total{customer="a",end="answered"} 2.0' in text
    assert 'zinniaspool_requests_total{customer="other",end="answered"} 2.0' in text
    assert 'customer="c"' not in text
    assert 'zinniaspool_decisions_total{kind="group-formed"} 1.0' in text
    buckets = "zinniaspool_request_duration_buckets_total"
    for upper_bound, count in (("0.01", 0.0), ("0.025", 2.0), ("+Inf", 2.0)):
        assert f'{buckets}{{customer="a",le="{upper_bound}"}} {count}' in text
    assert "zinniaspool_open 3.0" in text
    other_metrics = Metrics(Journal())
    assert 'customer="a"' not in other_metrics.render().decode()
