"""The peers of a node on sockets, for tests: scripted engines, a scripted discovery agent and raw clients."""
