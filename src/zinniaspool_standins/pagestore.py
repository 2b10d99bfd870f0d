"""Stand-in of the platform's store in its published protocol.

Keys, leases, watches and transactions as the platform's pages describe them,
with the faults that they allow: down in several ways, slow, answers lost after
the write or before a late one, history dropped, some callers turned away.
"""

import asyncio
import copy
from collections import Counter, deque
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpServer

__all__ = ["PageStore", "PageStoreFaults", "StoreCopy"]

PAGE_ITEMS = 50
"""Items of one page: few, so that readers meet more than one page."""

FIRST_LEASE = 227_385_101_332_953
"""As large as leases of the platform are."""

HISTORY_S = 20.0
LAPSE_S = 0.02
OPERATORS_PREFIXES = ("op/", "servers/")


class PageStoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What the store does wrong.

    Attributes:
        down: ``busy`` (503), ``many`` (429), ``reset`` or ``silent``.
        only: The listening addresses that meet ``down``; empty for all.
        delay_s: Every call waits this long.
        lose_answers: So many of the next writes are done and not answered.
        late_writes: So many of the next writes are done only a second after
            their caller has given up.
    """

    down: str = ""
    only: list[str] = []
    delay_s: float = 0.0
    lose_answers: int = 0
    late_writes: int = 0


@dataclass(slots=True)
class _Item:
    key: str
    value: str
    revision: int
    create_rev: int
    lease: int

    def describe(self) -> dict[str, object]:
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "create-rev": self.create_rev,
            "lease": self.lease,
        }


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Event:
    at: float
    revision: int
    key: str
    body: dict[str, object]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a copy of the store keeps."""

    revision: int
    next_lease: int
    items: dict[str, _Item]
    leases: dict[int, _Lease]
    events: deque[_Event]


class PageStore:
    """The store, listening on one address for each caller that may be cut."""

    def __init__(self) -> None:
        self.faults = PageStoreFaults()
        self.calls: Counter[str] = Counter()
        self.revision = 1
        self.era = 1
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._events: deque[_Event] = deque()
        self._dropped = 0
        self._next_lease = FIRST_LEASE
        self._changed = asyncio.Event()

    async def listen(self, address: Address) -> None:
        """Serve callers of one address."""

        async def handle(exchange: Exchange) -> None:
            await self._handle(exchange, address)

        await HttpServer(handle).listen(address)

    async def run(self) -> None:
        """End leases whose time is over, until cancelled."""
        while True:
            now = _now()
            for number, lease in list(self._leases.items()):
                if lease.ends <= now:
                    self._end(number)
            while self._events and self._events[0].at < now - HISTORY_S:
                self._dropped = self._events.popleft().revision
            await asyncio.sleep(LAPSE_S)

    # What the platform and the stand-in of instances write.

    def put(self, key: str, value: str, lease: int = 0) -> int:
        """Write a key without condition; return the new revision."""
        self.revision += 1
        before = self._items.get(key)
        created = self.revision if before is None else before.create_rev
        if before is not None and before.lease in self._leases:
            self._leases[before.lease].keys.discard(key)
        item = _Item(key, value, self.revision, created, lease)
        self._items[key] = item
        if lease:
            self._leases[lease].keys.add(key)
        self._record(key, item.describe())
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._record(key, {"key": key, "revision": self.revision, "removed": True})

    def drop_history(self) -> None:
        """Forget all changes: watches must read anew."""
        self._events.clear()
        self._dropped = self.revision

    def make_copy(self) -> StoreCopy:
        """Return a copy of what the store has now."""
        return copy.deepcopy(
            StoreCopy(
                self.revision,
                self._next_lease,
                self._items,
                self._leases,
                self._events,
            )
        )

    def restore(self, kept: StoreCopy) -> None:
        """Come back from a copy: all that came after it is gone."""
        kept = copy.deepcopy(kept)
        self.era += 1
        self.revision, self._next_lease = kept.revision, kept.next_lease
        self._items, self._leases = kept.items, kept.leases
        self._events = kept.events
        for lease in self._leases.values():
            lease.ends = _now() + lease.ttl_s
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, exchange: Exchange, status: int, body: object) -> None:
        headers = Headers.of(content_type="application/json", store_era=str(self.era))
        await exchange.respond(status, headers, msgspec.json.encode(body))

    def get(self, key: str) -> str | None:
        """Return a key's value."""
        item = self._items.get(key)
        return None if item is None else item.value

    # Calls.

    async def _handle(self, exchange: Exchange, address: Address) -> None:
        split = urlsplit(exchange.request.target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        self.calls[split.path.split("/")[2]] += 1
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.down and (not faults.only or address in faults.only):
            await self._fail(exchange, faults.down)
            return
        match (exchange.request.method, split.path.split("/")[2:]):
            case ("GET", ["kv-key"]):
                await self._answer_key(exchange, query["key"])
            case ("GET", ["kv-range"]):
                await self._answer_range(exchange, query)
            case ("GET", ["kv-watch"]):
                await self._answer_watch(exchange, query, address)
            case ("POST", ["kv-txn"]):
                await self._answer_txn(exchange)
            case ("POST", ["kv-lease"]):
                await self._answer_grant(exchange)
            case ("POST", ["kv-keep", number]):
                await self._answer_keep(exchange, int(number))
            case ("DELETE", ["kv-lease-end", number]):
                found = self._end(int(number))
                await self._answer(exchange, 200 if found else 404, {})
            case _:
                await self._answer(exchange, 400, {})

    async def _fail(self, exchange: Exchange, how: str) -> None:
        match how:
            case "busy":
                await self._answer(exchange, 503, {})
            case "many":
                await self._answer(exchange, 429, {})
            case "reset":
                exchange.abort()
            case _:
                await asyncio.sleep(60.0)

    async def _answer_key(self, exchange: Exchange, key: str) -> None:
        item = self._items.get(key)
        if item is None:
            await self._answer(exchange, 404, {"as-of": self.revision})
            return
        await self._answer(exchange, 200, {**item.describe(), "as-of": self.revision})

    async def _answer_range(self, exchange: Exchange, query: dict[str, str]) -> None:
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = [self._items[key].describe() for key in keys[:PAGE_ITEMS]]
        body = {
            "items": page,
            "truncated": len(keys) > PAGE_ITEMS,
            "as-of": self.revision,
        }
        await self._answer(exchange, 200, body)

    async def _answer_watch(
        self, exchange: Exchange, query: dict[str, str], address: Address
    ) -> None:
        prefix, after = query.get("path-prefix", ""), int(query["after"])
        ends = _now() + int(query["wait-ms"]) / 1000
        while True:
            if not self._dropped <= after <= self.revision:
                await self._answer(exchange, 410, {})
                return
            found = [
                event.body
                for event in self._events
                if event.revision > after and event.key.startswith(prefix)
            ]
            left = ends - _now()
            if found or left <= 0:
                body = {"events": found, "as-of": self.revision}
                await self._answer(exchange, 200, body)
                return
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
            faults = self.faults
            if faults.down and (not faults.only or address in faults.only):
                await self._fail(exchange, faults.down)
                return

    async def _answer_txn(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        if self.faults.late_writes:
            self.faults.late_writes -= 1
            asyncio.get_running_loop().call_later(2.0, self._commit, body)
            await asyncio.sleep(30.0)
        status, answer = self._commit(body)
        if status == HTTPStatus.OK and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await asyncio.sleep(30.0)
        await self._answer(exchange, status, answer)

    def _commit(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, object]:
        expected = body.get("expected", [])
        for row in expected:
            item = self._items.get(str(row["key"]))
            if (0 if item is None else item.revision) != row["revision"]:
                found = [self._items.get(str(one["key"])) for one in expected]
                return 412, {"items": [it.describe() for it in found if it]}
        writes = body.get("set-keys", [])
        for row in writes:
            lease = int(str(row.get("lease", 0)))
            if lease and lease not in self._leases:
                return 404, {}
            if str(row["key"]).startswith(OPERATORS_PREFIXES):
                return 403, {}
        for row in writes:
            self.put(str(row["key"]), str(row["value"]), int(str(row.get("lease", 0))))
        for key in body.get("remove", []):
            self.remove(str(key))
        return 200, {"revision": self.revision}

    async def _answer_grant(self, exchange: Exchange) -> None:
        ttl_ms = msgspec.json.decode(exchange.request.body)["ttl-ms"]
        self._next_lease += 1
        ttl_s = max(1.0, ttl_ms / 1000)
        self._leases[self._next_lease] = _Lease(ttl_s, _now() + ttl_s)
        body = {"lease": self._next_lease, "ttl-ms": int(ttl_s * 1000)}
        await self._answer(exchange, 200, body)

    async def _answer_keep(self, exchange: Exchange, number: int) -> None:
        lease = self._leases.get(number)
        if lease is None:
            await self._answer(exchange, 404, {})
            return
        lease.ends = _now() + lease.ttl_s
        await self._answer(exchange, 200, {"ttl-ms": int(lease.ttl_s * 1000)})

    def _end(self, number: int) -> bool:
        lease = self._leases.pop(number, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.remove(key)
        return True

    def _record(self, key: str, body: dict[str, object]) -> None:
        self._events.append(_Event(_now(), self.revision, key, body))
        self._changed.set()
        self._changed = asyncio.Event()


def _now() -> float:
    return asyncio.get_running_loop().time()
