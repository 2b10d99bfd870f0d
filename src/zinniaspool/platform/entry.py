"""Starts the entry program: opens the callers' port first, then the rest.

Loading the program takes three to eight tenths of a second on a VM of one
core, while its other program starts too. A caller that connects meanwhile
would be refused, and after a power cut of all VMs each caller is refused
everywhere until it has no tries left. An open port keeps its connection
until the program can read what it has sent.
"""

import os
import socket
import sys
import time
import tomllib

from zinniaspool.platform.variables import FILE_VARIABLE

__all__ = ["listen_early", "main", "open_callers_port"]

BACKLOG = 1024
"""Connections that wait for the program: what 1,000 callers a second open
while it loads."""


def listen_early(host: str, port: int) -> socket.socket:
    """Return a socket that listens, and does not block.

    Its protocol is named: asyncio turns off the delay of small segments only
    where it is, and events of streams would wait for the caller's next
    acknowledgement, some 40 ms.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def open_callers_port() -> socket.socket | None:
    """Listen where callers connect, by the settings; None where that fails.

    Whatever is wrong with the settings is told by the program itself, which
    reads all of them.
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
    opened = time.monotonic()
    listener = open_callers_port()
    # Only now, with the port open, the libraries are loaded.
    from zinniaspool.platform.gateway import run

    run(listener, opened)


if __name__ == "__main__":
    main()
