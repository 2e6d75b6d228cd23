"""Trials of a fleet of nodes during outages of the endpoint list; all discovery agents run in one process."""
