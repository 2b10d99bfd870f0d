"""Starts the control program, shortly after the VM's entry program."""

import time

from zinniaspool.platform.signals import EarlySignals

__all__ = ["main"]

START_DELAY_S = 0.3
"""How long the entry program has the VM's processor for itself, in seconds.
Callers wait for it, and nothing needs the control program within its first
second. Both load for about as long, and twice as long when both load at once.
"""


def main() -> None:
    """Run the program."""
    early_signals = EarlySignals()
    early_signals.install()
    time.sleep(START_DELAY_S)
    from zinniaspool.platform.keeper import run

    run(early_signals)


if __name__ == "__main__":
    main()
