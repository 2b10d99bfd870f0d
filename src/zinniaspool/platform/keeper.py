"""Composition root of the control program on the users' platform."""

from zinniaspool.fleet import NodeSettings
from zinniaspool.http import HttpClient
from zinniaspool.keeper.main import CONNECT_S, ControllerProcess
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.orders import EngineClient
from zinniaspool.platform.program import run_on_platform
from zinniaspool.platform.signals import EarlySignals
from zinniaspool.platform.spelling import PlatformCodec

__all__ = ["make_controller", "run"]


def make_controller(node: NodeSettings, metrics_port: int = 0) -> ControllerProcess:
    """Return a control process that uses the platform's protocols.

    Args:
        node: The settings that the platform wrote.
        metrics_port: Port at which metrics are served; 0 for none.
    """
    return ControllerProcess(
        node,
        KvStore(HttpClient(connect_s=CONNECT_S), node.store_address),
        PlatformCodec(),
        lambda connector: EngineClient(
            HttpClient(connect_s=CONNECT_S, connector=connector)
        ),
        metrics_port,
    )


def run(early_signals: EarlySignals) -> None:
    """Run the program.

    Args:
        early_signals: Handles signals until the program does.
    """
    run_on_platform("control", make_controller, early_signals=early_signals)
