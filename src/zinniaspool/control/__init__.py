"""Program ``zinniaspool-control``, which forms and repairs replica groups."""
