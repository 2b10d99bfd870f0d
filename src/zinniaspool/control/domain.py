"""One fabric domain in the hands of the control process that leases it."""

import asyncio
import secrets

import msgspec
import structlog
from result import Err, Ok

from zinniaspool.core.deployment import Configuration
from zinniaspool.core.groups import decide_orders, plan_domain
from zinniaspool.core.ids import Address, Epoch, FabricDomainId, NodeId, Revision, VmId
from zinniaspool.core.messages import AgedReport, DomainState
from zinniaspool.core.plans import DomainPlan, EngineReport, Order
from zinniaspool.http import Headers, HttpClient, Request, TransportError
from zinniaspool.platform import LeaseId, Store, settle_swap

__all__ = ["DomainHolder"]

_log = structlog.get_logger(__name__)
_CALL_S = 1.0
_OK = 200


class _PlanValue(msgspec.Struct):
    tag: str
    plan: DomainPlan


class _HolderValue(msgspec.Struct):
    tag: str
    node: NodeId


class DomainHolder:
    """Holds one fabric domain's lease, plans its groups, orders its engines.

    Args:
        domain: The fabric domain.
        node: This process.
        store: The platform's store.
        http: For engines.
        lease_s: Length of the lease.
        vm_absent_s: Silence after which a VM is absent.
    """

    def __init__(
        self,
        domain: FabricDomainId,
        node: NodeId,
        store: Store,
        http: HttpClient,
        lease_s: float,
        vm_absent_s: float,
    ) -> None:
        self.domain = domain
        self._node = node
        self._store = store
        self._http = http
        self._lease_s = lease_s
        self._vm_absent_s = vm_absent_s
        self._lease: LeaseId | None = None
        self._held_until = 0.0
        self._plan = DomainPlan(domain)
        self._plan_revision = Revision(0)
        self._reports: dict[VmId, tuple[float, EngineReport]] = {}
        self._addresses: dict[VmId, Address] = {}
        self._began = 0.0

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def holds(self) -> bool:
        """Whether this process may act on the domain now."""
        return self._lease is not None and self._now < self._held_until

    def state(self) -> DomainState:
        """Return the plan and the reports, for the entry processes."""
        now = self._now
        reports = tuple(
            AgedReport(report, now - made_at)
            for made_at, report in self._reports.values()
        )
        return DomainState(self._plan, reports)

    async def step(self, configuration: Configuration) -> bool:
        """Keep the lease and do what is due; False without the lease."""
        if not await self._keep_lease():
            return False
        await self._poll_engines(configuration)
        await self._adjust_plan(configuration)
        await self._send_orders()
        return True

    async def release(self) -> None:
        """Give the lease up."""
        if self._lease is not None:
            await self._store.revoke(self._lease)
            self._lease = None

    async def _keep_lease(self) -> bool:
        asked = self._now
        if self._lease is not None:
            renewed = await self._store.renew(self._lease)
            if isinstance(renewed, Ok):
                self._held_until = asked + self._lease_s / 2
                return True
            if self.holds:
                return True
            self._lease = None
        return await self._take_lease()

    async def _take_lease(self) -> bool:
        key = f"holders/{self.domain}"
        found = await self._store.get(key)
        if isinstance(found, Err) or found.ok_value is not None:
            return False
        asked = self._now
        granted = await self._store.grant(self._lease_s)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        value = msgspec.json.encode(_HolderValue(secrets.token_hex(8), self._node))
        written = await settle_swap(
            self._store, key, value.decode(), Revision(0), lease
        )
        if isinstance(written, Err) or not await self._read_plan():
            await self._store.revoke(lease)
            return False
        self._lease = lease
        self._held_until = asked + self._lease_s / 2
        self._began = self._now
        _log.info("domain-held", fabric_domain=self.domain)
        return True

    async def _read_plan(self) -> bool:
        found = await self._store.get(f"plans/{self.domain}")
        if isinstance(found, Err):
            return False
        if found.ok_value is not None:
            value = msgspec.json.decode(found.ok_value.value, type=_PlanValue)
            self._plan = value.plan
            self._plan_revision = found.ok_value.revision
        return True

    async def _poll_engines(self, configuration: Configuration) -> None:
        self._addresses = {
            vm.id: vm.address
            for vm in configuration.inventory.vms
            if vm.fabric_domain == self.domain
        }
        async with asyncio.TaskGroup() as tasks:
            for vm, address in self._addresses.items():
                tasks.create_task(self._poll_engine(vm, address))

    async def _poll_engine(self, vm: VmId, address: Address) -> None:
        asked = self._now
        try:
            status, body = await self._http.fetch(
                address, Request("GET", "/report"), _CALL_S
            )
            if status != _OK:
                return
            report = msgspec.json.decode(body, type=EngineReport)
        except (TransportError, msgspec.MsgspecError):
            return
        self._reports[vm] = (asked, report)

    async def _adjust_plan(self, configuration: Configuration) -> None:
        oldest = self._now - self._vm_absent_s
        present = {vm for vm, (at, _) in self._reports.items() if at >= oldest}
        epoch = Epoch(self._plan_revision + 1)
        plan = plan_domain(configuration, self._plan, present, epoch)
        if plan == self._plan or not self.holds:
            return
        value = _PlanValue(secrets.token_hex(8), plan)
        written = await settle_swap(
            self._store,
            f"plans/{self.domain}",
            msgspec.json.encode(value).decode(),
            self._plan_revision,
        )
        if isinstance(written, Err):
            await self._read_plan()
            return
        self._plan, self._plan_revision = plan, written.ok_value
        for group in plan.groups:
            _log.info("group-planned", group=group.id, vms=",".join(group.vms))

    async def _send_orders(self) -> None:
        reports = {vm: report for vm, (_, report) in self._reports.items()}
        for order in decide_orders(self._plan, reports):
            if not self.holds:
                return
            await self._send_order(order)

    async def _send_order(self, order: Order) -> None:
        headers = Headers.of(content_type="application/json")
        request = Request("POST", "/orders", headers, msgspec.json.encode(order))
        try:
            status, _ = await self._http.fetch(
                self._addresses[order.vm], request, _CALL_S
            )
        except TransportError as error:
            _log.warning("order-unanswered", vm=order.vm, error=str(error))
            return
        _log.info("order-sent", vm=order.vm, kind=order.kind.value, status=status)
