"""The control program on the users' platform: forms and repairs groups."""
