"""Fleets of nodes whose agents are one process, as outages of the endpoint list meet them."""
