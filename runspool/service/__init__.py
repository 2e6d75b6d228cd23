"""A running front: its listener, its requests, its attempts, its start and stop."""
