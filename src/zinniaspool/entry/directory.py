"""Answers callers which entry VMs to use."""

import asyncio
import random
from collections.abc import Callable, Mapping
from urllib.parse import parse_qs, urlsplit

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.core.membership import Member
from zinniaspool.core.requests.addresses import choose_entries
from zinniaspool.http import Exchange, Headers

__all__ = ["EntryDirectory"]

_JSON = Headers.of(content_type="application/json")


class _EntryAddress(msgspec.Struct):
    address: Address
    failure_domain: FailureDomainId


class _Entries(msgspec.Struct):
    entries: list[_EntryAddress]
    lifetime_s: float
    session: str


class EntryDirectory:
    """Names entry VMs to callers.

    Args:
        list_members: The processes known.
        list_loads: Requests that each entry VM carries.
        make_session: Makes sessions for callers' idempotency keys.
        own_domain: The failure domain of this process.
        lifetime_s: How long callers may keep an answer.
    """

    def __init__(
        self,
        list_members: Callable[[], list[Member]],
        list_loads: Callable[[], Mapping[NodeId, float]],
        make_session: Callable[[], str],
        own_domain: FailureDomainId,
        lifetime_s: float,
    ) -> None:
        self._list_members = list_members
        self._list_loads = list_loads
        self._make_session = make_session
        self._own_domain = own_domain
        self._lifetime_s = lifetime_s
        self._source = random.Random()
        self._leaving = asyncio.Event()

    def leave(self) -> None:
        """Note that this process leaves."""
        self._leaving.set()

    async def answer(self, exchange: Exchange) -> Result[None, Fault]:
        """Answer ``GET /v1/entries``, with ``?near=FAILURE_DOMAIN`` or not."""
        query = parse_qs(urlsplit(exchange.request.target).query)
        near = FailureDomainId(query.get("near", [self._own_domain])[0])
        members = self._list_members()
        chosen = choose_entries(members, self._list_loads(), near, self._source)
        if not chosen:
            leaving = self._leaving.is_set()
            return Err(Fault(ErrorKind.LEAVING if leaving else ErrorKind.NOT_READY))
        entries = [
            _EntryAddress(member.caller_address, member.failure_domain)
            for member in chosen
        ]
        # A leaving process makes no more sessions: their keys would die with
        # it, and the callers' repeats would be told "outcome unknown".
        session = "" if self._leaving.is_set() else self._make_session()
        body = msgspec.json.encode(_Entries(entries, self._lifetime_s, session))
        await exchange.respond(200, _JSON, body)
        return Ok(None)
