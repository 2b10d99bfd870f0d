"""Directory of the entry VMs that callers should use."""

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

_JSON_HEADERS = Headers.of(content_type="application/json")


class _EntryAddress(msgspec.Struct):
    address: Address
    failure_domain: FailureDomainId


class _Entries(msgspec.Struct):
    entries: list[_EntryAddress]
    lifetime_s: float
    session: str


class EntryDirectory:
    """Responds with the addresses of entry VMs.

    Args:
        list_members: Returns the known processes.
        list_loads: Returns the number of requests in each entry process.
        make_session: Makes sessions for callers' idempotency keys.
        local_domain: Failure domain of this process.
        lifetime_s: Seconds for which callers may cache a response.
    """

    def __init__(
        self,
        list_members: Callable[[], list[Member]],
        list_loads: Callable[[], Mapping[NodeId, float]],
        make_session: Callable[[], str],
        local_domain: FailureDomainId,
        lifetime_s: float,
    ) -> None:
        self._list_members = list_members
        self._list_loads = list_loads
        self._make_session = make_session
        self._local_domain = local_domain
        self._lifetime_s = lifetime_s
        self._rng = random.Random()
        self._leaving = asyncio.Event()

    def mark_leaving(self) -> None:
        """Record that this process is leaving."""
        self._leaving.set()

    async def answer(self, exchange: Exchange) -> Result[None, Fault]:
        """Respond to ``GET /v1/entries``, with an optional failure domain.

        The query ``?near=FAILURE_DOMAIN`` names the preferred failure domain;
        the default is that of this process.
        """
        query = parse_qs(urlsplit(exchange.request.target).query)
        preferred_domain = FailureDomainId(query.get("near", [self._local_domain])[0])
        members = self._list_members()
        chosen = choose_entries(
            members, self._list_loads(), preferred_domain, self._rng
        )
        if not chosen:
            leaving = self._leaving.is_set()
            return Err(Fault(ErrorKind.LEAVING if leaving else ErrorKind.NOT_READY))
        entries = [
            _EntryAddress(member.caller_address, member.failure_domain)
            for member in chosen
        ]
        # A leaving process makes no more sessions. Their keys would be lost
        # when it ends, and retries would get the error "outcome unknown".
        session = "" if self._leaving.is_set() else self._make_session()
        body = msgspec.json.encode(_Entries(entries, self._lifetime_s, session))
        await exchange.respond(200, _JSON_HEADERS, body)
        return Ok(None)
