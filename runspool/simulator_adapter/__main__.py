from __future__ import annotations

import sys

from runspool.simulator_adapter.host import Host
from runspool.simulator_adapter.wire import MalformedLineError


def main() -> int:
    host = Host(sys.stdin.buffer, sys.stdout.buffer)
    try:
        host.serve()
    except MalformedLineError as fault:
        print(f"runspool.simulator_adapter: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
