"""The planner's work by the size of the fleet, for the capacity page.

Run as ``python -m benchmarks.capacity_planner [--write]``: losses of single
VMs replayed one after the other, less the work of a fleet without losses.
"""

from benchmarks.measurements import keep_rows
from benchmarks.repair import measure_planner

__all__ = ["main"]

_SIZES = (65, 150, 300, 600)


def main() -> None:
    """Measure and print."""
    keep_rows("planner", [measure_planner(vms) for vms in _SIZES])


if __name__ == "__main__":
    main()
