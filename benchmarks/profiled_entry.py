"""An entry process under cProfile; SIGUSR2 has it write what it saw.

The statistics go to the file that the environment's ``PROFILE_FILE`` names.
"""

import cProfile
import os
import signal
from types import FrameType

from zinniaspool.entry.main import main as run_entry

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    profiler = cProfile.Profile()

    def write(number: int, frame: FrameType | None) -> None:
        profiler.dump_stats(os.environ["PROFILE_FILE"])

    signal.signal(signal.SIGUSR2, write)
    profiler.runcall(run_entry)
