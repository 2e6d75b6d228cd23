"""`python -m runspool.node`: runs one front node, as the platform starts it."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    """Runs a node until it is told to stop; exits with 0, or 2 where its configuration is not usable."""
    # Ignore SIGHUP until its handler is installed, or it would end the process: the imports alone take 0.4 s.
    # No reload is missed, as the configuration file is read after this.
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
