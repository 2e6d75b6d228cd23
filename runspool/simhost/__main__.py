from __future__ import annotations

import sys

from runspool.simhost.host import Host
from runspool.simhost.wire import Malformed


def main() -> int:
    host = Host(sys.stdin.buffer, sys.stdout.buffer)
    try:
        host.serve()
    except Malformed as fault:
        print(f"runspool.simhost: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
