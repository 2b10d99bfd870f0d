"""How a process learns of the fleet: the store's copy and what it says."""

from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.fleet.follower import StoreFollower
from zinniaspool.fleet.leases import KeptLease

__all__ = ["FleetBelief", "KeptLease", "StoreFollower"]
