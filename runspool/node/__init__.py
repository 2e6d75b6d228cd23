"""The platform's front node: the platform's protocols, process start, signal handling and resource limits."""
