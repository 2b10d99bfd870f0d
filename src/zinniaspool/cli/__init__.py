"""``zinniaspool``: the operators' command line."""
