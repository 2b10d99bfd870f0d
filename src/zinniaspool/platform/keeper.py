"""Composition root of the control program on the users' platform."""

from zinniaspool.fleet import NodeSettings
from zinniaspool.http import HttpClient
from zinniaspool.keeper.main import CONNECT_S, KeeperProcess
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.orders import EngineClient
from zinniaspool.platform.program import run_on_platform
from zinniaspool.platform.spelling import PlatformSpelling

__all__ = ["make_keeper", "run"]


def make_keeper(node: NodeSettings, metrics_port: int = 0) -> KeeperProcess:
    """Return a control process that speaks the platform's protocols.

    Args:
        node: The platform's settings.
        metrics_port: Where metrics are served; 0 for nowhere.
    """
    return KeeperProcess(
        node,
        KvStore(HttpClient(connect_s=CONNECT_S), node.store_address),
        PlatformSpelling(),
        EngineClient(HttpClient(connect_s=CONNECT_S)),
        metrics_port,
    )


def run() -> None:
    """Run the program."""
    run_on_platform("control", make_keeper)
