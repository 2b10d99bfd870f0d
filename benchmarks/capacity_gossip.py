"""What membership and configuration cost a process, by size of the fleet.

Run as ``python -m benchmarks.capacity_gossip [--write]``. Many instances of
the core run in one process over a simulated network and store; messages are
encoded and their bytes counted. ``core_ms`` is processor time of all the
machines and of the simulation round them, so it is an upper bound.
"""

import time
from collections import Counter
from dataclasses import dataclass
from functools import partial

import msgspec
from tests.configuration_net import ConfigurationNetwork, make_configuration

from benchmarks.measurements import keep_rows
from zinniaspool.core.configuration import split_parts
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Revision

__all__ = ["GossipRow", "measure_gossip"]

_SIZES = (8, 32, 128, 380)
_DOMAINS = 5
_SEEDS = ("n0", "n1", "n2")
_DAY_S = 86_400.0
_CHANGES_A_DAY = 2_900
_RESTARTS_A_DAY = 340
_COMING_NODES = 380
_IDLE_S = 20.0
_BUSY_S = 120.0
_TRACKED = ("ReadRoot", "WatchRoot", "ReadPart")


class GossipRow(msgspec.Struct):
    """One size of fleet.

    Attributes:
        nodes: Processes.
        ready_s: From a start of all at once until all have the configuration.
        restart_calls: Store calls of that start.
        restart_peak: Most of them in one second.
        idle_bytes: Bytes sent by a process a second, nothing changing.
        idle_messages: Messages sent by a process a second.
        busy_bytes: The same with changes and restarts.
        busy_messages: The same with changes and restarts.
        core_ms: Processor time a process a second, with changes.
        in_force_s: Longest time until a change was in force everywhere.
        calls_a_change: Store calls of the whole fleet for one change.
        idle_calls: Store calls of the whole fleet a second, nothing changing.
        whole_bytes: Bytes that the first version moved to each node for one
            change: the whole configuration.
    """

    nodes: int
    ready_s: float
    restart_calls: int
    restart_peak: int
    idle_bytes: float
    idle_messages: float
    busy_bytes: float
    busy_messages: float
    core_ms: float
    in_force_s: float
    calls_a_change: float
    idle_calls: float
    whole_bytes: int


@dataclass(frozen=True, slots=True)
class _Started:
    ready_s: float
    peak: int


@dataclass(frozen=True, slots=True)
class _Changed:
    slowest_s: float
    calls_a_change: float


def measure_gossip(nodes: int, seed: int = 1) -> GossipRow:
    """Start, idle and change one fleet."""
    net = ConfigurationNetwork(seed)
    first = _make(0)
    newest = net.accept(first)
    started = _start_all(net, nodes, newest)
    restart_calls = _count_calls(net.calls)
    net.run(30.0)
    _clear(net)
    net.run(_IDLE_S)
    idle_bytes = net.sent_bytes.total() / nodes / _IDLE_S
    idle_messages = net.messages.total() / nodes / _IDLE_S
    idle_calls = _count_calls(net.calls) / _IDLE_S
    _clear(net)
    began = time.process_time()
    changed = _run_changes(net, nodes)
    spent_s = time.process_time() - began
    contents = split_parts(first)
    return GossipRow(
        nodes,
        round(started.ready_s, 1),
        restart_calls,
        started.peak,
        round(idle_bytes),
        round(idle_messages, 2),
        round(net.sent_bytes.total() / nodes / _BUSY_S),
        round(net.messages.total() / nodes / _BUSY_S, 2),
        round(1000 * spent_s / nodes / _BUSY_S, 2),
        round(changed.slowest_s, 1),
        round(changed.calls_a_change, 1),
        round(idle_calls, 2),
        sum(len(content) for content in contents.values()),
    )


def _make(change: int) -> Configuration:
    return make_configuration(change, customers=30, vms=600, domains=19)


def _start_all(net: ConfigurationNetwork, nodes: int, revision: Revision) -> _Started:
    for k in range(nodes):
        _start(net, k)
    began, peak = net.now, 0
    while not (net.is_active_everywhere(revision) and len(net.followers) == nodes):
        before = _count_calls(net.calls)
        net.run(1.0)
        peak = max(peak, _count_calls(net.calls) - before)
    return _Started(net.now - began, peak)


def _start(net: ConfigurationNetwork, k: int) -> None:
    net.start(f"n{k}", _SEEDS, domain=f"domain{k % _DOMAINS}")


def _run_changes(net: ConfigurationNetwork, nodes: int) -> _Changed:
    """Accept changes at the coming rate, and restart at its rate a node."""
    pause_s = _DAY_S / _CHANGES_A_DAY
    restarts = nodes * _BUSY_S * _RESTARTS_A_DAY / _COMING_NODES / _DAY_S
    changes = int(_BUSY_S / pause_s)
    slowest, calls = 0.0, 0
    for change in range(1, changes + 1):
        due = round(change * restarts / changes) - round(
            (change - 1) * restarts / changes
        )
        for k in range(due):
            _start(net, nodes - 1 - k)
        began = net.now
        before = _count_calls(net.calls)
        revision = net.accept(_make(change))
        slowest = max(
            slowest, net.run_until(partial(net.is_active_everywhere, revision), 60.0)
        )
        calls += _count_calls(net.calls) - before
        net.run(pause_s - (net.now - began))
    net.run(_BUSY_S - changes * pause_s)
    return _Changed(slowest, calls / changes)


def _clear(net: ConfigurationNetwork) -> None:
    net.sent_bytes.clear()
    net.messages.clear()
    net.calls.clear()


def _count_calls(calls: Counter[str]) -> int:
    return sum(calls[name] for name in _TRACKED)


def main() -> None:
    """Measure each size."""
    keep_rows("gossip", [measure_gossip(nodes) for nodes in _SIZES])


if __name__ == "__main__":
    main()
