"""Goodput under overload, and a customer beside one at ten times its share.

Run as ``python -m benchmarks.overload``.
"""

from dataclasses import dataclass

from benchmarks.queue_model import (
    CoreEntry,
    FirstEntry,
    Job,
    MakeEntry,
    Shape,
    run_model,
)
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.requests import CustomerShare

__all__ = ["Goodput", "measure_fairness", "measure_goodput"]

_CARE = CustomerId("care")
_VENDORS = CustomerId("vendors")


@dataclass(frozen=True, slots=True)
class Goodput:
    """Answers in time, as a part of what the upstreams can answer.

    Attributes:
        load: What was asked for, as a multiple of capacity.
        first: With the first version.
        core: With the core.
    """

    load: float
    first: float
    core: float


def measure_goodput(load: float, shape: Shape | None = None) -> Goodput:
    """Return the goodput at a load."""
    shape = shape or Shape()
    capacity = shape.capacity_per_s
    rates = {_CARE: load * capacity / 2, _VENDORS: load * capacity / 2}
    half = shape.engines * shape.slots // 2
    shares = (CustomerShare(_CARE, half, 1), CustomerShare(_VENDORS, half, 1))

    def measure(make_entry: MakeEntry) -> float:
        jobs = run_model(shape, make_entry, rates)
        return _count_good(jobs) / (capacity * shape.length_s)

    core = measure(lambda model: CoreEntry(model, shares))
    return Goodput(load, measure(FirstEntry), core)


def measure_fairness(make: MakeEntry | None = None) -> float:
    """Return what a customer keeps of its goodput beside a greedy one.

    The first customer asks for three quarters of its guarantee, the other
    one for ten times its own.
    """
    shape = Shape()
    slots = shape.engines * shape.slots
    shares = (
        CustomerShare(_CARE, slots // 2, 1),
        CustomerShare(_VENDORS, slots // 4, 1),
    )
    make_entry = make or (lambda model: CoreEntry(model, shares))
    within = 0.75 * 0.5 * shape.capacity_per_s
    greedy = 10 * 0.25 * shape.capacity_per_s
    alone = run_model(shape, make_entry, {_CARE: within})
    beside = run_model(shape, make_entry, {_CARE: within, _VENDORS: greedy})
    return _count_good(beside, _CARE) / _count_good(alone, _CARE)


def _count_good(jobs: list[Job], customer: CustomerId | None = None) -> int:
    return sum(
        job.done_at is not None
        for job in jobs
        if customer is None or job.customer == customer
    )


def main() -> None:
    """Print the tables."""
    print("load x capacity | first version | core")
    for load in (0.9, 1.0, 2.0, 4.0):
        found = measure_goodput(load)
        print(f"{found.load:15.1f} | {found.first:13.3f} | {found.core:.3f}")
    kept = measure_fairness()
    first = measure_fairness(FirstEntry)
    print(f"goodput kept beside a greedy customer: core {kept:.3f}, first {first:.3f}")


if __name__ == "__main__":
    main()
