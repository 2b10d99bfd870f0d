"""Decision logic without I/O: no sockets, files, clocks or random source.

Each state machine in this package receives events together with ``now``, the
time of a monotonic clock in seconds, and returns actions for the calling
process to carry out. The linter rejects imports that would break this rule.
"""
