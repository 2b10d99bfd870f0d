"""Benchmarks: counted work and ratios, never absolute times."""
