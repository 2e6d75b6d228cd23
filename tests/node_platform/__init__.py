"""What a node meets on sockets, played by tests: scripted engines, a discovery agent and raw clients."""
