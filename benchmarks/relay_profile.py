"""Where an entry process spends its time on a request.

Run as ``python -m benchmarks.relay_profile [PART OF A SHAPE]``. Under cProfile
each call costs more than it does without, so that shares are to be compared,
not seconds.
"""

import asyncio
import os
import pstats
import signal
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.relay import SHAPES, measure, wait_until_serving
from benchmarks.rig import start_rig

__all__ = ["main"]

_SHOWN = 45
_WAIT_S = 0.1


def main() -> None:
    """Print the functions by their own time and by their whole time."""
    kind = sys.argv[1] if len(sys.argv) > 1 else "plain"
    shape = next(shape for shape in SHAPES if kind in shape.name)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "profile"
        os.environ["PROFILE_FILE"] = str(file)
        with start_rig(profiled=True) as rig:
            asyncio.run(wait_until_serving(rig))
            asyncio.run(measure(rig.entry, shape, 32, shape.requests))
            os.kill(rig.entry.pid, signal.SIGUSR2)
            while not file.exists() or not file.stat().st_size:
                time.sleep(_WAIT_S)
        time.sleep(_WAIT_S)
        statistics = pstats.Stats(str(file))
    print(f"{shape.name}: {shape.requests} requests")
    statistics.sort_stats("tottime").print_stats(_SHOWN)
    statistics.sort_stats("cumulative").print_stats("zinniaspool|h11", _SHOWN)


if __name__ == "__main__":
    main()
