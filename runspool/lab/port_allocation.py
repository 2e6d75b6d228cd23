"""Reserve loopback ports for a scenario, so that scenarios that run at the same time use different ports."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from runspool.lab.errors import ScenarioFailedError

HOST = "127.0.0.1"

# Ports are reserved in blocks below the range from which Linux takes the ports of outgoing connections (32768
# by default). A block is reserved as long as a socket is bound to its first port.
BLOCK_SIZE = 100  # ports per block
FIRST_BLOCK = 20_000  # first port of the first block
END_OF_BLOCKS = 30_000  # first port after the last block


@dataclass(frozen=True, slots=True)
class PortReservation:
    """A reserved block of ports.

    Attributes:
        guard_socket: the socket that is bound to the first port of the block.
        ports: the ports of the block that may be used.
    """

    guard_socket: socket.socket
    ports: list[int]

    def release(self) -> None:
        """End the reservation."""
        self.guard_socket.close()


def reserve_ports(count: int) -> PortReservation:
    """Reserve `count` free ports.

    Raises:
        ScenarioFailedError: no unreserved block has so many free ports.
    """
    for first_port in range(FIRST_BLOCK, END_OF_BLOCKS, BLOCK_SIZE):
        guard_socket = _bind_guard_socket(first_port)
        if guard_socket is None:
            continue
        ports = [port for port in range(first_port + 1, first_port + BLOCK_SIZE) if _is_free(port)]
        if len(ports) >= count:
            return PortReservation(guard_socket, ports[:count])
        guard_socket.close()
    raise ScenarioFailedError(
        f"no block of ports from {FIRST_BLOCK} to {END_OF_BLOCKS - 1} has {count} free ports"
    )


def _bind_guard_socket(port: int) -> socket.socket | None:
    """Return a socket that is bound to the port, or None if the port is in use."""
    guard_socket = socket.socket()
    try:
        guard_socket.bind((HOST, port))
    except OSError:
        guard_socket.close()
        return None
    return guard_socket


def _is_free(port: int) -> bool:
    """Return whether a server can bind the port at present."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
