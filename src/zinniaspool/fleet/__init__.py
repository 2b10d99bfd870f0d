"""How a process learns of the fleet: the store's copy and what it says."""

from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.fleet.duties import run_duty
from zinniaspool.fleet.follower import FleetFollower, Place, make_place
from zinniaspool.fleet.leases import KeptLease
from zinniaspool.fleet.mesh import FleetMesh
from zinniaspool.fleet.settings import NodeSettings
from zinniaspool.fleet.sight import HolderSight, boot_time
from zinniaspool.fleet.spelling import FleetSpelling
from zinniaspool.fleet.store import FleetStore

__all__ = [
    "Place",
    "make_place",
    "FleetBelief",
    "FleetFollower",
    "FleetMesh",
    "FleetSpelling",
    "FleetStore",
    "HolderSight",
    "KeptLease",
    "NodeSettings",
    "boot_time",
    "run_duty",
]
