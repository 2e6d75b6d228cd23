"""Run many isolated fronts for the simulator, over standard input and standard output."""

from __future__ import annotations

import sys

from runspool.simulator_adapter.host import FrontHost
from runspool.simulator_adapter.line_protocol import MalformedLineError

EXIT_MALFORMED_INPUT = 2  # exit status for a line that the protocol does not allow


def main() -> int:
    """Serve the simulator until the input ends, and return the exit status."""
    host = FrontHost(sys.stdin.buffer, sys.stdout.buffer)
    try:
        host.serve()
    except MalformedLineError as error:
        print(f"runspool.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
