"""A whole fleet on loopback, broken under traffic.

Run by ``./demo``. The last line counts what callers and upstreams recorded.
"""

import asyncio
import random
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from zinniaspool.core.ids import Address
from zinniaspool.core.journal import DecisionKind
from zinniaspool.http import HttpClient
from zinniaspool_standins.callers import Caller, Mix, send_traffic
from zinniaspool_standins.fleet import Fleet
from zinniaspool_standins.histories import (
    Ending,
    Operation,
    ViolationKind,
    count_endings,
    judge,
)
from zinniaspool_standins.operations import Traffic, make_call
from zinniaspool_standins.samples import SampleCustomer, SampleFleet, start_sample
from zinniaspool_standins.watching import (
    SeenGroup,
    find_decisions,
    list_groups,
    read_reports,
)

__all__ = ["Demo"]

_SAMPLES = Path("samples")
_FOLDER = Path(".demo")
_START_S = 20.0
_REPAIR_S = 12.0
_QUIET_S = 1.5
_AFTER_LOSS_S = 4.0
_LOOK_S = 0.1
_SHOWN_VIOLATIONS = 20


class Demo:
    """One run of the demo.

    Args:
        sample: The running processes.
    """

    def __init__(self, sample: SampleFleet) -> None:
        self._sample = sample
        self._fleet = sample.fleet
        self._http = HttpClient()
        self._source = random.Random()
        self._began = time.monotonic()
        self._stopped = False

    async def run(self) -> bool:
        """Start, break and judge; whether every promise was kept."""
        self._apply()
        await self._wait_for_service()
        wanted = await self._show_groups()
        traffic = asyncio.create_task(self._send_traffic())
        await asyncio.sleep(_QUIET_S)
        await self._break_group(wanted)
        await self._break_entry()
        self._stopped = True
        operations = await traffic
        await self._show_groups()
        self._http.close()
        return self._judge(operations)

    def tell(self, text: str) -> None:
        """Print one line with the time since the start."""
        print(f"{time.monotonic() - self._began:5.1f} s  {text}", flush=True)

    def _apply(self) -> None:
        files = (self._sample.inventory, self._sample.rules)
        ends = time.monotonic() + _START_S
        while True:
            applied = self._fleet.run_tool(
                "apply", *files, "--store", self._fleet.store
            )
            if applied.returncode == 0:
                self.tell(applied.stdout.strip().splitlines()[-1])
                return
            if time.monotonic() > ends:
                raise TimeoutError(applied.stdout + applied.stderr)
            time.sleep(_LOOK_S)

    async def _wait_for_service(self) -> None:
        self.tell("waiting until every entry VM serves every customer's model")
        waits = [
            self._wait_for_entry(customer, self._fleet.addresses[entry])
            for customer in self._sample.customers
            for entry in self._sample.entries
        ]
        async with asyncio.timeout(_START_S):
            await asyncio.gather(*waits)

    async def _wait_for_entry(self, customer: SampleCustomer, entry: Address) -> None:
        caller = self._make_caller(customer)
        for number in range(sys.maxsize):
            call = make_call(Traffic.PLAIN, number, "first", customer.model)
            asked = await caller.ask_at(entry, call)
            if asked.ask.ending is Ending.WHOLE:
                return
            await asyncio.sleep(_LOOK_S)

    def _make_caller(self, customer: SampleCustomer) -> Caller:
        known = [self._fleet.addresses[entry] for entry in self._sample.entries]
        return Caller(self._http, customer.credential, known, self._source)

    async def _send_traffic(self) -> list[Operation]:
        mixes = [
            Mix(one.name, self._make_caller(one), one.model, one.service)
            for one in self._sample.customers
        ]
        self.tell("sending plain, streamed and non-idempotent calls")
        return await send_traffic(mixes, self._source, lambda: self._stopped)

    async def _break_group(self, wanted: list[SeenGroup]) -> None:
        victim = next(group for group in wanted if group.model == "advisory")
        vm = victim.vms[0]
        killed_at = time.time()
        self._fleet.kill(vm)
        self.tell(f"killed {vm}, a VM of group {victim.id}")
        sizes = sorted(len(group.vms) for group in wanted)
        repaired = await self._wait_for(
            lambda groups: sizes == _list_whole_sizes(groups, vm), _REPAIR_S
        )
        outcome = "as many whole groups as before" if repaired else "not repaired yet"
        self.tell(outcome)
        await self._show_decisions(f"vm:{vm}", killed_at)
        await self._show_decisions(f"group:{victim.id}", killed_at)

    async def _break_entry(self) -> None:
        entry = self._sample.entries[-1]
        self._fleet.kill(entry)
        self.tell(f"killed the entry process {entry}")
        await asyncio.sleep(_AFTER_LOSS_S)

    async def _wait_for(
        self, check: Callable[[list[SeenGroup]], bool], seconds: float
    ) -> bool:
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if check(await self._find_groups()):
                return True
            await asyncio.sleep(_LOOK_S)
        return False

    async def _find_groups(self) -> list[SeenGroup]:
        addresses = {vm: self._fleet.addresses[vm] for vm in self._sample.vms}
        return list_groups(await read_reports(self._http, addresses))

    async def _show_groups(self) -> list[SeenGroup]:
        groups = await self._find_groups()
        used = {vm for group in groups for vm in group.vms}
        for group in groups:
            state = "whole" if group.whole else "not whole"
            self.tell(
                f"  {group.model:10} {group.id:16} {state}: {', '.join(group.vms)}"
            )
        idle = [vm for vm in self._sample.vms if vm not in used]
        self.tell(f"  in no group: {', '.join(idle) or 'none'}")
        return groups

    async def _show_decisions(self, subject: str, since: float) -> None:
        operators = list(self._fleet.operators.values())
        for decision in await find_decisions(self._http, operators, subject):
            if decision.at < since or decision.kind is DecisionKind.ORDER_SENT:
                continue
            at = time.strftime("%H:%M:%S", time.gmtime(decision.at))
            self.tell(f"  {subject} {at} {decision.kind.value}: {decision.reason}")

    def _judge(self, operations: list[Operation]) -> bool:
        violations = judge(operations, self._fleet.read_runs())
        for violation in violations[:_SHOWN_VIOLATIONS]:
            self.tell(f"{violation.kind.value} {violation.marker} {violation.detail}")
        kinds = Counter(violation.kind for violation in violations)
        tally = count_endings(operations)
        refused = f"refused as not run {tally.refused - tally.outcome_unknown}"
        self.tell(f"{refused}, outcome unknown {tally.outcome_unknown}")
        print(
            f"answered {tally.answered}, refused {tally.refused}, "
            f"lost {kinds[ViolationKind.LOST]}, "
            f"doubled {kinds[ViolationKind.DOUBLED]}, "
            f"foreign {kinds[ViolationKind.FOREIGN]}",
            flush=True,
        )
        return not violations


def _list_whole_sizes(groups: list[SeenGroup], without: str) -> list[int]:
    return sorted(
        len(group.vms) for group in groups if group.whole and without not in group.vms
    )


def _show_commands(sample: SampleFleet) -> None:
    fleet, customer = sample.fleet, sample.customers[0]
    entry = fleet.addresses[sample.entries[0]]
    nodes = [
        address
        for node, address in fleet.operators.items()
        if not fleet.has_ended(node)
    ]
    show = f"-H 'Authorization: Bearer {customer.credential}'"
    body = '{"prompt": "how warm is it", "max_tokens": 8, "stream": true}'
    print("Still running; end it with Ctrl-C. To try, from this folder:")
    print(f"  curl {show} http://{entry}/v1/entries")
    target = f"http://{entry}/v1/models/{customer.model}/generate"
    print(f"  curl -N {show} -d '{body}' {target}")
    key = "-H 'Idempotency-Key: \"k1\"'"
    print(
        f"  curl {show} {key} -d '{{}}' http://{entry}/v1/services/{customer.service}"
    )
    tool = ".venv/bin/zinniaspool"
    print(f'  export ZINNIASPOOL_NODES="{" ".join(nodes)}"')
    print(f"  {tool} show")
    print(f"  {tool} explain vm {sample.vms[0]}")
    print(f"  {tool} dump")
    print(f"  {tool} history --store {fleet.store}", flush=True)


async def _run(sample: SampleFleet, keep: bool) -> bool:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    kept = await Demo(sample).run()
    if keep:
        _show_commands(sample)
        await asyncio.Event().wait()
    return kept


def _main(
    keep: Annotated[bool, typer.Option(help="Leave the fleet running.")] = False,
    folder: Annotated[Path, typer.Option(help="Gets logs and records.")] = _FOLDER,
) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    fleet = Fleet(folder)
    try:
        kept = asyncio.run(_run(start_sample(fleet, _SAMPLES), keep))
    except asyncio.CancelledError:
        kept = keep
    finally:
        fleet.stop()
    raise typer.Exit(0 if kept else 1)


if __name__ == "__main__":
    typer.run(_main)
