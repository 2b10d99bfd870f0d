"""A serving system for models whose replicas span several VMs.

The package is laid out as a core without input or output
(:mod:`zinniaspool.core`) and shells round it: one folder for each protocol
and one composition root for each program.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
