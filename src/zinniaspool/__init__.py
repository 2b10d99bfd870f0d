"""A serving system for models whose replicas span several VMs.

The package consists of a core that does no input or output
(:mod:`zinniaspool.core`) and of packages around it that do: one for each
protocol, and one composition root for each program.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
