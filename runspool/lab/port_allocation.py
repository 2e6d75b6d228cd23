"""Reserves loopback ports for a scenario, so that two scenarios at once do not find each other's engines."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from runspool.lab.errors import ScenarioFailedError

HOST = "127.0.0.1"

# Below the range from which the kernel takes ports for outgoing connections. The first port of a block is
# held for as long as the block is reserved.
BLOCK_SIZE = 100
FIRST_BLOCK = 20_000
END_OF_BLOCKS = 30_000


@dataclass(frozen=True, slots=True)
class PortReservation:
    """A reserved block of ports.

    Attributes:
        claim: the socket that holds the block's first port.
        ports: free ports of the block.
    """

    claim: socket.socket
    ports: list[int]

    def release(self) -> None:
        """Give the block back."""
        self.claim.close()


def reserve_ports(count: int) -> PortReservation:
    """Reserve `count` free ports.

    Raises:
        ScenarioFailedError: no block has so many free ports.
    """
    for first_port in range(FIRST_BLOCK, END_OF_BLOCKS, BLOCK_SIZE):
        claim = _claim(first_port)
        if claim is None:
            continue
        ports = [port for port in range(first_port + 1, first_port + BLOCK_SIZE) if _is_free(port)]
        if len(ports) >= count:
            return PortReservation(claim, ports[:count])
        claim.close()
    raise ScenarioFailedError(f"no block of ports with {count} free ones")


def _claim(port: int) -> socket.socket | None:
    """Bind a socket to the port; None where another has it."""
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
