"""Composition root of the entry program on the users' platform."""

import socket
import sys

from zinniaspool.fleet import NodeSettings
from zinniaspool.gateway.main import CONNECT_TIMEOUT_S, GatewayProcess
from zinniaspool.http import HttpClient
from zinniaspool.platform import wire
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.orders import EngineClient
from zinniaspool.platform.program import run_on_platform
from zinniaspool.platform.signals import EarlySignals
from zinniaspool.platform.spelling import PlatformCodec

__all__ = ["make_gateway", "run"]

DIVIDE_CAPACITY = "--divide-capacity"
"""Option with which capacity that isn't enough is divided by urgency and
customer."""


def make_gateway(
    node: NodeSettings,
    metrics_port: int = 0,
    listener: socket.socket | None = None,
    opened: float | None = None,
    *,
    divides_capacity: bool = False,
) -> GatewayProcess:
    """Return an entry process that uses the platform's protocols.

    Args:
        node: The settings that the platform wrote.
        metrics_port: Port at which metrics are served; 0 for none.
        listener: Socket that already listens for callers, if there is one.
        opened: When it was opened, in seconds of the monotonic clock.
        divides_capacity: Whether capacity that isn't enough is divided by
            urgency and customer.
    """
    store = KvStore(HttpClient(connect_s=CONNECT_TIMEOUT_S), node.store_address)
    return GatewayProcess(
        node,
        store,
        PlatformCodec(),
        wire,
        EngineClient(HttpClient(connect_s=CONNECT_TIMEOUT_S)),
        metrics_port,
        listener,
        opened,
        divides_capacity=divides_capacity,
    )


def run(
    listener: socket.socket | None, opened: float, early_signals: EarlySignals
) -> None:
    """Run the program.

    Args:
        listener: Socket that already listens for callers, if there is one.
        opened: When it was opened, in seconds of the monotonic clock.
        early_signals: Handles signals until the program does.
    """

    def make(node: NodeSettings, metrics_port: int) -> GatewayProcess:
        return make_gateway(
            node,
            metrics_port,
            listener,
            opened,
            divides_capacity=DIVIDE_CAPACITY in sys.argv,
        )

    run_on_platform("entry", make, [DIVIDE_CAPACITY], early_signals)
