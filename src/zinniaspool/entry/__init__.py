"""``zinniaspool-entry``: relays requests between callers and upstreams."""
