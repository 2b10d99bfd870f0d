"""What the benchmarks of groups share."""
