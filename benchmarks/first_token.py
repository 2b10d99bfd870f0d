"""Time to the first token, by routing, with late load and a straggler.

Run as ``python -m benchmarks.first_token``.
"""

from dataclasses import dataclass

from benchmarks.queue_model import (
    CoreEntry,
    MakeEntry,
    Model,
    RandomEntry,
    RoundRobinEntry,
    Shape,
    run_model,
)
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.requests import CustomerShare

__all__ = ["ROUTINGS", "FirstToken", "measure_first_token"]

_CARE = CustomerId("care")


@dataclass(frozen=True, slots=True)
class FirstToken:
    """Time to the first token, in seconds.

    Attributes:
        p50: Of half of the requests.
        p95: Of 95 in 100.
        p99: Of 99 in 100.
    """

    p50: float
    p95: float
    p99: float


def _make_core(model: Model) -> CoreEntry:
    slots = sum(engine.slots for engine in model.engines)
    return CoreEntry(model, (CustomerShare(_CARE, slots, 1),))


ROUTINGS: dict[str, MakeEntry] = {
    "random": RandomEntry,
    "round robin": RoundRobinEntry,
    "core": _make_core,
}


def measure_first_token(
    routing: str, load: float, stragglers: int, lag_s: float = 0.5
) -> FirstToken:
    """Return the times of one routing at today's size."""
    shape = Shape(
        engines=65,
        entries=8,
        length_s=30.0,
        deadline_s=30.0,
        stragglers=stragglers,
        lag_s=lag_s,
    )
    rates = {_CARE: load * shape.capacity_per_s}
    jobs = run_model(shape, ROUTINGS[routing], rates)
    waits = sorted((job.first_token_at or job.deadline) - job.arrived for job in jobs)
    return FirstToken(*(waits[int(len(waits) * part)] for part in (0.5, 0.95, 0.99)))


def main() -> None:
    """Print the table."""
    print("load | stragglers | lag s | routing     | p50 s | p95 s | p99 s")
    for load in (0.7, 0.9):
        for stragglers in (0, 1):
            for lag_s in (0.5, 2.0):
                for routing in ROUTINGS:
                    found = measure_first_token(routing, load, stragglers, lag_s)
                    row = f"{load:4.1f} | {stragglers:10d} | {lag_s:5.1f} | "
                    row += f"{routing:11s} | {found.p50:5.3f} | {found.p95:5.3f}"
                    row += f" | {found.p99:.3f}"
                    print(row)


if __name__ == "__main__":
    main()
