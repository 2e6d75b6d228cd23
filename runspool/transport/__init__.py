"""TCP connections with low overhead per receive and send."""
