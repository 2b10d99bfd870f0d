"""What the entry and control processes share."""

from zinniaspool.node.board import Board
from zinniaspool.node.follower import ConfigurationFollower
from zinniaspool.node.frame import NodeFrame
from zinniaspool.node.operators import OperatorInterface

__all__ = ["Board", "ConfigurationFollower", "NodeFrame", "OperatorInterface"]
