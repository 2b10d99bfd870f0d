"""Parts that the entry and control processes share."""

from zinniaspool.node.access import AccessControl
from zinniaspool.node.board import GossipService, NoticeHandler
from zinniaspool.node.files import CredentialFile
from zinniaspool.node.follower import ConfigurationFollower
from zinniaspool.node.frame import NodeRuntime
from zinniaspool.node.operators import Operator, OperatorInterface, OperatorQuery
from zinniaspool.node.program import run_program

__all__ = [
    "AccessControl",
    "ConfigurationFollower",
    "CredentialFile",
    "GossipService",
    "NodeRuntime",
    "NoticeHandler",
    "Operator",
    "OperatorInterface",
    "OperatorQuery",
    "run_program",
]
