"""A running front: its listener, its queries, its shots, its start and stop."""
