"""Loopback addresses and ports for programs that must be told theirs before they start.

A port that the system chose is free only as long as it is held: once it is let go, a connection that goes
out or another test process may take it before the program binds it. So each test process has a block of its
own: a range of ports and a range of loopback addresses. The ports lie below those that the system chooses
from.
"""

from __future__ import annotations

import itertools
import socket
from functools import cache

FIRST_PORT = 10_000
BLOCKS = 200
PORTS_OF_BLOCK = 100  # the last one ends below 32768, where the ports begin that Linux chooses from
FIRST_NETWORK = 10  # 127.10.0.0/16 belongs to the first block
HOSTS_OF_SUBNET = 200


class Block:
    """The ports and addresses of this process. The first port stays bound: it keeps others from the block."""

    def __init__(self, number: int, claim: socket.socket) -> None:
        self.number, self.claim = number, claim
        first = FIRST_PORT + number * PORTS_OF_BLOCK
        self.ports = itertools.cycle(range(first + 1, first + PORTS_OF_BLOCK))
        self.hosts = itertools.count()

    def next_host(self) -> str:
        subnet, host = divmod(next(self.hosts), HOSTS_OF_SUBNET)
        return f"127.{FIRST_NETWORK + self.number}.{subnet + 1}.{host + 1}"


def bound(host: str, port: int) -> socket.socket | None:
    """A socket that holds this port, or None where somebody has it."""
    held = socket.socket()
    try:
        held.bind((host, port))
    except OSError:
        held.close()
        return None
    return held


@cache
def own_block() -> Block:
    """The first block that no other process holds; it is this one's until it ends."""
    for number in range(BLOCKS):
        claim = bound("127.0.0.1", FIRST_PORT + number * PORTS_OF_BLOCK)
        if claim is not None:
            return Block(number, claim)
    raise OSError(f"all {BLOCKS} blocks of ports are held by other processes")


def own_host() -> str:
    """A loopback address that nobody else uses; connections that go out have 127.0.0.1 as theirs."""
    return own_block().next_host()


def free_ports(host: str, count: int) -> list[int]:
    """Ports below those that the system chooses, which nobody has bound there; ask once for each host."""
    ports = []
    for port in range(FIRST_PORT, FIRST_PORT + BLOCKS * PORTS_OF_BLOCK):
        held = bound(host, port)
        if held is not None:
            held.close()
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"{host} has no {count} free ports")


def free_port() -> int:
    """A port of this process at 127.0.0.1; each call gives another one until the block is used up."""
    block = own_block()
    for _ in range(PORTS_OF_BLOCK):
        port = next(block.ports)
        held = bound("127.0.0.1", port)
        if held is not None:
            held.close()
            return port
    raise OSError("every port of this process's block is bound")
