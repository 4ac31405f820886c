"""Loopback addresses and ports for programs whose address is configured before they start.

A port that the system chose is free only while it is bound: once released, an outgoing connection or another
test process may take it before the program binds it. Each test process therefore has a block of its own: a
range of ports and a range of loopback addresses. The ports are below the range that the system chooses from.
"""

from __future__ import annotations

import itertools
import socket
from functools import cache

FIRST_PORT = 10_000
BLOCKS = 200
PORTS_OF_BLOCK = 100  # the last block ends below 32768, the first of the ephemeral ports of Linux
FIRST_NETWORK = 10  # 127.10.0.0/16 belongs to the first block
HOSTS_OF_SUBNET = 200


class Block:
    """The ports and addresses of this process; its first port stays bound and so claims the block."""

    def __init__(self, number: int, claim: socket.socket) -> None:
        self.number = number
        self.claim = claim
        first = FIRST_PORT + number * PORTS_OF_BLOCK
        self.ports = itertools.cycle(range(first + 1, first + PORTS_OF_BLOCK))
        self.hosts = itertools.count()

    def next_host(self) -> str:
        subnet, host = divmod(next(self.hosts), HOSTS_OF_SUBNET)
        return f"127.{FIRST_NETWORK + self.number}.{subnet + 1}.{host + 1}"


def bound(host: str, port: int) -> socket.socket | None:
    """Return a socket that is bound to this port, or None if the port is in use."""
    bound_socket = socket.socket()
    try:
        bound_socket.bind((host, port))
    except OSError:
        bound_socket.close()
        return None
    return bound_socket


@cache
def own_block() -> Block:
    """Return the first block that no other process has claimed; it belongs to this process until its end."""
    for number in range(BLOCKS):
        claim = bound("127.0.0.1", FIRST_PORT + number * PORTS_OF_BLOCK)
        if claim is not None:
            return Block(number, claim)
    raise OSError(f"all {BLOCKS} blocks of ports are held by other processes")


def own_host() -> str:
    """Return an unused loopback address; outgoing connections have 127.0.0.1 as their source."""
    return own_block().next_host()


def free_ports(host: str, count: int) -> list[int]:
    """Return unbound ports below those that the system chooses from; call once for each host."""
    ports = []
    for port in range(FIRST_PORT, FIRST_PORT + BLOCKS * PORTS_OF_BLOCK):
        bound_socket = bound(host, port)
        if bound_socket is not None:
            bound_socket.close()
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"{host} has no {count} free ports")


def free_port() -> int:
    """Return a port of this process at 127.0.0.1, a different one by each call until the block is used up."""
    block = own_block()
    for _ in range(PORTS_OF_BLOCK):
        port = next(block.ports)
        bound_socket = bound("127.0.0.1", port)
        if bound_socket is not None:
            bound_socket.close()
            return port
    raise OSError("every port of this process's block is bound")
