"""Starts the control program, a moment after the VM's entry program."""

import time

__all__ = ["main"]

START_S = 0.3
"""Seconds that the entry program has the VM's processor for itself: callers
wait for it, and nobody waits for this one within its first second. Both load
for about as long, and side by side each took twice that."""


def main() -> None:
    """Run the program."""
    time.sleep(START_S)
    from zinniaspool.platform.keeper import run

    run()


if __name__ == "__main__":
    main()
