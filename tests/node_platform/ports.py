"""Ports on loopback for nodes that listen on a port chosen beforehand."""

from __future__ import annotations

import socket
from random import Random

from tests.fault_proxy import HOST

FIRST_PORT = 12_000
PORTS_END = 20_000  # the kernel takes ports for outgoing connections from above
RESERVATIONS: list[socket.socket] = []


def free_port() -> int:
    """Return a free port, to be given to no other caller as long as this process lives.

    It lies below those that the kernel takes for outgoing connections, so that a node that restarts finds it
    free again. It stays reserved by a UDP socket on the same number.
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
