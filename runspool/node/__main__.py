"""`python -m runspool.node`: one front node, as the platform starts it. Exit 2 where its posting is bad."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    # Against a SIGHUP ending the process before its handler stands: imports alone take 0.4 s. Nothing is
    # missed, as the file is read after it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import anyio

    from runspool.logs import keep_standard_descriptors, start_logs
    from runspool.node.config import InvalidNodeConfigError
    from runspool.node.server import run_node

    keep_standard_descriptors()
    start_logs(os.environ.get("RUNSPOOL_LOG", "info"))
    try:
        anyio.run(run_node, os.environ, backend_options={"use_uvloop": True})
    except InvalidNodeConfigError as fault:
        print(f"runspool.node: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
