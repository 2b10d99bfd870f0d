"""Engines of a simulated fleet, and their records in the store."""

import asyncio
from collections.abc import Collection
from typing import Any

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.fleet import EngineStatus, Health, HealthAnswer, InstanceId
from zinniaspool.core.formation import GroupOrder, OrderOutcome
from zinniaspool.core.ids import Address, ModelName, ServiceName
from zinniaspool.core.messages.fleet import InstanceAnswer, QueryKind
from zinniaspool.http import HttpClient, TransportFailure
from zinniaspool.platform.orders import EngineClient

__all__ = [
    "DOMAINS",
    "GROUPS_PER_DOMAIN",
    "LINK_DELAY_S",
    "MODEL",
    "RECORDS",
    "SERVICE",
    "FakeEngines",
    "SoundPaths",
]

SERVICE, MODEL, SIZE = ServiceName("drafting"), ModelName("large"), 3
DOMAINS = ("d0", "d1")
GROUPS_PER_DOMAIN = 4
LINK_DELAY_S = 0.002
HEALTH_STATUSES = {
    Health.HEALTHY: 200,
    Health.MISDIRECTED: 421,
    Health.UNHEALTHY: 503,
}


def make_instance_record(number: int) -> tuple[str, dict[str, Any]]:
    """Return the id and record of an engine in a serving group of three."""
    group, rank = divmod(number, SIZE)
    return f"i-{number:02}", {
        "service": SERVICE,
        "address": f"10.1.0.{number}:80",
        "zone": f"hall-{number % 3}",
        "version": "1",
        "slots": 8,
        "state": "ready",
        "cold-left-ms": 0,
        "seq-no": 1,
        "born": 1,
        "models": [{"name": MODEL}],
        "domain": DOMAINS[group // GROUPS_PER_DOMAIN],
        "staged": [MODEL],
        "group": {
            "name": f"g{group}",
            "epoch": 2,
            "rank": rank,
            "state": "ready" if rank else "open",
        },
    }


RECORDS = dict(
    make_instance_record(n) for n in range(SIZE * GROUPS_PER_DOMAIN * len(DOMAINS))
)


class FakeEngines:
    """All engines; the unreachable ones answer no query.

    Args:
        records: Their records, from which their statuses are made.

    Attributes:
        unreachable: Those that answer nothing.
        refusing: Addresses where no process listens.
        cut: Those that answer entry processes, but not the holder.
        relayed: The kinds of queries that entry processes sent, by engine.
        health: Answers to health queries that differ from the usual one; None
            for a missing answer.
        statuses: What differs from the record in the status of an engine;
            None for a missing answer.
        health_queries: The engines that were queried for their health.
        orders: All orders that were sent.
        running: Queries that are not answered yet.
        peak: The largest number of them.
        delay_s: Time that an answer takes, in seconds.
    """

    def __init__(self, records: dict[str, dict[str, Any]] = RECORDS) -> None:
        self.unreachable: set[InstanceId] = set()
        self.refusing: set[Address] = set()
        self.cut: set[InstanceId] = set()
        self.relayed: list[tuple[QueryKind, InstanceId]] = []
        self.health: dict[InstanceId, HealthAnswer | None] = {}
        self.statuses: dict[InstanceId, dict[str, Any] | None] = {}
        self.health_queries: list[InstanceId] = []
        self.orders: list[GroupOrder] = []
        self.running = self.peak = 0
        self.delay_s = LINK_DELAY_S
        self._codec = EngineClient(HttpClient())
        self._records = records
        self._names = {record["address"]: name for name, record in records.items()}

    async def query_status(
        self, address: Address, timeout_s: float
    ) -> Result[EngineStatus, Any]:
        name = InstanceId(self._names[address])
        answer = await self._answer_status(name, timeout_s, name not in self.cut)
        return answer.and_then(self.decode_status)

    async def fetch_status(
        self, address: Address, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        """Answer a status query of an entry process."""
        name = InstanceId(self._names[address])
        self.relayed.append((QueryKind.STATUS, name))
        return await self._answer_status(name, timeout_s, True)

    def decode_status(
        self, answer: InstanceAnswer
    ) -> Result[EngineStatus, TransportFailure]:
        return self._codec.decode_status(answer)

    async def _answer_status(
        self, name: InstanceId, timeout_s: float, is_reached: bool
    ) -> Result[InstanceAnswer, TransportFailure]:
        changes = self.statuses.get(name, {})
        answers = is_reached and changes is not None
        if not await self._transfer(name, timeout_s, answers=answers):
            return Err(TransportFailure.TIMED_OUT)
        status = {**self._records[name], **(changes or {})}
        return Ok(InstanceAnswer(200, [], msgspec.json.encode(status)))

    async def query_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[HealthAnswer, TransportFailure]:
        is_reached = instance not in self.cut
        answer = await self._answer_health(instance, timeout_s, is_reached)
        return answer.and_then(self.decode_health)

    async def fetch_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        """Answer a health query of an entry process."""
        self.relayed.append((QueryKind.HEALTH, instance))
        return await self._answer_health(instance, timeout_s, True)

    def decode_health(
        self, answer: InstanceAnswer
    ) -> Result[HealthAnswer, TransportFailure]:
        return self._codec.decode_health(answer)

    async def _answer_health(
        self, instance: InstanceId, timeout_s: float, is_reached: bool
    ) -> Result[InstanceAnswer, TransportFailure]:
        self.health_queries.append(instance)
        answer = self.health.get(instance, HealthAnswer(Health.HEALTHY, instance))
        answers = is_reached and answer is not None
        if not await self._transfer(instance, timeout_s, answers=answers):
            return Err(TransportFailure.TIMED_OUT)
        assert answer is not None
        headers = []
        if answer.instance is not None:
            headers.append(("x-zinniaspool-instance-id", str(answer.instance)))
        if answer.is_leaving:
            headers.append(("server-leaving", "1"))
        return Ok(InstanceAnswer(HEALTH_STATUSES[answer.health], headers))

    async def _transfer(
        self, name: InstanceId, timeout_s: float, *, answers: bool
    ) -> bool:
        """Wait for an answer; return whether it came."""
        is_answered = answers and name not in self.unreachable
        self.running += 1
        self.peak = max(self.peak, self.running)
        await asyncio.sleep(self.delay_s if is_answered else timeout_s)
        self.running -= 1
        return is_answered

    async def send_order(self, address: Address, order: GroupOrder) -> OrderOutcome:
        self.orders.append(order)
        await asyncio.sleep(LINK_DELAY_S)
        if order.instance in self.unreachable | self.cut:
            return OrderOutcome.UNANSWERED
        return OrderOutcome.ACCEPTED


class SoundPaths:
    """Paths of a holder that reaches all upstreams that live.

    Args:
        refusing: Addresses where no process listens.
    """

    def __init__(self, refusing: Collection[Address] = ()) -> None:
        self._refusing = refusing

    async def is_online(self) -> bool:
        return True

    async def can_judge(self, address: Address, since: float) -> bool:
        return True

    async def is_refused(self, address: Address) -> bool:
        await asyncio.sleep(LINK_DELAY_S)
        return address in self._refusing
