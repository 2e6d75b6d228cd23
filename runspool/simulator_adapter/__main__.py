"""Runs the router under the simulator: many isolated fronts on standard input and standard output."""

from __future__ import annotations

import sys

from runspool.simulator_adapter.host import Host
from runspool.simulator_adapter.wire import MalformedLineError

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Serve the simulator until its input ends; return the exit code, 2 after a malformed line."""
    host = Host(sys.stdin.buffer, sys.stdout.buffer)
    try:
        host.serve()
    except MalformedLineError as error:
        print(f"runspool.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
