"""Reserve loopback ports for a scenario, so that scenarios that run at the same time use different ports."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from runspool.lab.errors import ScenarioFailedError

HOST = "127.0.0.1"

# Ports are reserved in blocks below the range from which Linux takes the ports of outgoing connections (32768
# by default). A block is reserved as long as a socket is bound to its first port.
BLOCK_SIZE = 100
FIRST_BLOCK = 20_000
END_OF_BLOCKS = 30_000


@dataclass(frozen=True, slots=True)
class PortReservation:
    """A reserved block of ports.

    Attributes:
        claim: the socket that is bound to the first port of the block.
        ports: the ports of the block that may be used.
    """

    claim: socket.socket
    ports: list[int]

    def release(self) -> None:
        """End the reservation."""
        self.claim.close()


def reserve_ports(count: int) -> PortReservation:
    """Reserve `count` free ports.

    Raises:
        ScenarioFailedError: no unreserved block has so many free ports.
    """
    for first_port in range(FIRST_BLOCK, END_OF_BLOCKS, BLOCK_SIZE):
        claim = _claim(first_port)
        if claim is None:
            continue
        ports = [port for port in range(first_port + 1, first_port + BLOCK_SIZE) if _is_free(port)]
        if len(ports) >= count:
            return PortReservation(claim, ports[:count])
        claim.close()
    raise ScenarioFailedError(
        f"no block of ports from {FIRST_BLOCK} to {END_OF_BLOCKS - 1} has {count} free ports"
    )


def _claim(port: int) -> socket.socket | None:
    """Return a socket that is bound to the port, or None if the port is in use."""
    claim = socket.socket()
    try:
        claim.bind((HOST, port))
    except OSError:
        claim.close()
        return None
    return claim


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
