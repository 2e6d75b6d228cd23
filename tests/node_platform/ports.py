"""Free loopback ports for nodes whose port is chosen before they start."""

from __future__ import annotations

import socket
from random import Random

from tests.fault_proxy import HOST

FIRST_PORT = 12_000
PORTS_END = 20_000  # exclusive; the kernel's ephemeral ports lie above it
RESERVATIONS: list[socket.socket] = []  # keep the ports reserved until the process ends


def free_port() -> int:
    """Return a free port that no other caller gets while this process lives.

    It lies below the ephemeral ports that the kernel uses for outgoing connections, so that it is still free
    when a node restarts. A UDP socket on the same port number keeps it reserved.
    """
    while True:
        port = Random().randrange(FIRST_PORT, PORTS_END)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind((HOST, port))
            with socket.socket() as probe:
                probe.bind((HOST, port))
        except OSError:
            reservation.close()
            continue
        RESERVATIONS.append(reservation)
        return port
