"""``zinniaspool-control``: forms and repairs replica groups."""
