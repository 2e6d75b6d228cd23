"""The front process: client connections, request execution, attempts at engines, startup and shutdown."""
