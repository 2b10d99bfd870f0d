"""Starts the entry program, with the callers' port open before it loads.

Loading the program takes 0.3 to 0.8 s on a VM with one core, while the VM's
control program starts too. A caller that connects meanwhile would be refused.
After a power loss of all VMs, every VM would refuse it until it has no tries
left. With the port open, the kernel accepts the connection and keeps what the
caller sends until the program can read it.
"""

import os
import socket
import sys
import time
import tomllib

from zinniaspool.platform.signals import EarlySignals
from zinniaspool.platform.variables import FILE_VARIABLE

__all__ = ["listen_early", "main", "open_callers_port"]

LISTEN_BACKLOG = 1024
"""Connections that can wait for the program: as many as 1,000 callers a second
open while it loads."""


def listen_early(host: str, port: int) -> socket.socket:
    """Return a listening, non-blocking socket.

    It is created with an explicit protocol, since asyncio sets ``TCP_NODELAY``
    only on such sockets. Without it, events of streams would wait for the
    caller's next acknowledgement, about 40 ms.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def open_callers_port() -> socket.socket | None:
    """Listen at the callers' address of the settings; return None on failure.

    The program itself reads all settings later and reports faults in them.
    """
    try:
        with open(os.environ[FILE_VARIABLE], "rb") as file:
            address = tomllib.load(file)["listen-addrs"]["front"]
        host, _, port = address.rpartition(":")
        listener = listen_early(host, int(port))
    except (OSError, LookupError, ValueError, AttributeError, TypeError) as error:
        print(f"callers' port not opened early: {error!r}", file=sys.stderr)
        return None
    return listener


def main() -> None:
    """Run the program."""
    early_signals = EarlySignals()
    early_signals.install()
    opened = time.monotonic()
    listener = open_callers_port()
    # The libraries are loaded only now, when the port is open.
    from zinniaspool.platform.gateway import run

    run(listener, opened, early_signals)


if __name__ == "__main__":
    main()
