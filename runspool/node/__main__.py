"""Entry point of `python -m runspool.node`, the command with which the platform starts a front node."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    """Run a node until it is told to stop.

    Returns:
        The process's exit status: 0 after a shutdown, 2 if the configuration is invalid.
    """
    # Ignore SIGHUP until its handler is installed: its default action would end the process, and the imports
    # alone take 0.4 s. No reload request is lost, because the configuration file is read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import anyio

    from runspool.logs import configure_logging, open_standard_descriptors
    from runspool.node.config import InvalidNodeConfigError
    from runspool.node.server import run_node

    open_standard_descriptors()
    configure_logging(os.environ.get("RUNSPOOL_LOG", "info"))
    try:
        anyio.run(run_node, os.environ, backend_options={"use_uvloop": True})
    except InvalidNodeConfigError as error:
        print(f"runspool.node: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
