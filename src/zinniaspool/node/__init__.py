"""What the entry and control processes share."""

from zinniaspool.node.access import Access
from zinniaspool.node.board import Board, NoticeTaker
from zinniaspool.node.files import CredentialFile
from zinniaspool.node.follower import ConfigurationFollower
from zinniaspool.node.frame import NodeFrame
from zinniaspool.node.operators import Operator, OperatorInterface, View
from zinniaspool.node.program import run_program

__all__ = [
    "Access",
    "Board",
    "ConfigurationFollower",
    "CredentialFile",
    "NodeFrame",
    "NoticeTaker",
    "Operator",
    "OperatorInterface",
    "View",
    "run_program",
]
