"""Control process on the users' platform: forms and repairs groups."""
