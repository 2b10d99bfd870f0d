"""Streams of msgpack messages over TCP between processes of the fleet."""

from zinniaspool.peers.frames import (
    FrameError,
    UnknownMessage,
    encode_frame,
    read_frame,
    write_frame,
)
from zinniaspool.peers.links import PeerLinks
from zinniaspool.peers.listener import PeerHandler, PeerListener

__all__ = [
    "FrameError",
    "PeerHandler",
    "PeerLinks",
    "PeerListener",
    "UnknownMessage",
    "encode_frame",
    "read_frame",
    "write_frame",
]
