"""Decisions as pure steps: no sockets, files, clocks or random source.

Each machine in here takes events together with the time in seconds of a
monotonic clock, ``now``, and returns actions for its shell to carry out.
The linter refuses imports that would break this.
"""
