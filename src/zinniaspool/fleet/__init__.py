"""How a process learns of the fleet: from the store and from its peers."""

from zinniaspool.fleet.belief import FleetView, RecordArrival
from zinniaspool.fleet.connector import UpstreamConnector
from zinniaspool.fleet.duties import run_supervised
from zinniaspool.fleet.follower import FleetFollower, ProcessLocation, make_location
from zinniaspool.fleet.leases import RenewedLease
from zinniaspool.fleet.mesh import PeerExchange
from zinniaspool.fleet.queries import QueryConnections
from zinniaspool.fleet.records import OwnRecord
from zinniaspool.fleet.settings import NodeSettings
from zinniaspool.fleet.sight import HolderHeartbeat, read_boot_clock
from zinniaspool.fleet.spelling import FleetCodec
from zinniaspool.fleet.store import FleetStore
from zinniaspool.fleet.tunnels import LEAVING_SPREAD_S, TunnelServer
from zinniaspool.fleet.unreadable import UnreadableValues, ValueKind

__all__ = [
    "LEAVING_SPREAD_S",
    "FleetCodec",
    "FleetFollower",
    "FleetStore",
    "FleetView",
    "HolderHeartbeat",
    "NodeSettings",
    "OwnRecord",
    "PeerExchange",
    "ProcessLocation",
    "QueryConnections",
    "RecordArrival",
    "RenewedLease",
    "TunnelServer",
    "UnreadableValues",
    "UpstreamConnector",
    "ValueKind",
    "make_location",
    "read_boot_clock",
    "run_supervised",
]
