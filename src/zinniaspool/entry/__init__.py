"""``zinniaspool-entry``: faces callers and upstreams."""
