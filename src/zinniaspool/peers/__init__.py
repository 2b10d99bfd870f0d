"""Streams of msgpack messages over TCP between processes of the fleet."""

from zinniaspool.peers.frames import (
    FrameDecoder,
    FrameError,
    UnknownMessage,
    encode_frame,
    read_frame,
    write_frame,
)
from zinniaspool.peers.links import PeerLinks
from zinniaspool.peers.listener import PeerHandler, PeerListener, TunnelHandler
from zinniaspool.peers.timeouts import limit_running_time

__all__ = [
    "FrameDecoder",
    "FrameError",
    "PeerHandler",
    "PeerLinks",
    "PeerListener",
    "TunnelHandler",
    "UnknownMessage",
    "encode_frame",
    "limit_running_time",
    "read_frame",
    "write_frame",
]
