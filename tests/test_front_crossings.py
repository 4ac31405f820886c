"""Requests sent while their connection or listener is being closed, at both fronts: answered, or never run.

During an upgrade, clients of the HTTP front, whose listening socket the new process does not inherit,
sometimes had their connection reset although they had connected and sent a request. The operating system
resets the connections that wait in the accept queue of a listening socket when it is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from stoatrouter.head import Head
from stoatrouter.net.client_table import State
from stoatrouter.net.listener import Listener
from tests.http_client import gateway, two_nodes
from tests.peers import HOST, Node, run, until
from tests.platform_client import HEADERS, PATH, WRITE, started

WAITING_CLIENTS = 20  # connected but not yet accepted
OK = b"HTTP/1.1 200"


@dataclass
class Front:
    """A front of a running head, and the nodes behind it."""

    head: Head
    listener: Listener
    nodes: tuple[Node, ...]
    is_platform: bool

    @property
    def attempts(self) -> int:
        return sum(len(node.seen if self.is_platform else node.asked) for node in self.nodes)

    def request(self, number: int, body: bytes) -> bytes:
        """Return the bytes of a request."""
        path = (WRITE if body else PATH) if self.is_platform else "/feed/x"
        fields = {"Host": "scores.example", "Content-Length": str(len(body))}
        if self.is_platform:
            fields |= HEADERS | {"Req-Id": f"r{number}", "Idempotency-Key": f"k{number}"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"{'PUT' if body else 'GET'} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


@contextlib.asynccontextmanager
async def front_up(kind: str, folder: Path) -> AsyncIterator[Front]:
    if kind == "platform":
        node = Node("a", 0)
        async with started(node) as (head, _):
            yield Front(head, head.platform, (node,), True)
        return
    nodes = two_nodes()
    async with gateway(folder, *nodes) as head:
        yield Front(head, head.http, nodes, False)


def read_status(client: socket.socket) -> bytes:
    """Return the first bytes of an answer; raise ConnectionResetError if the connection was reset."""
    client.settimeout(10.0)
    return client.recv(len(OK))


@pytest.mark.parametrize("kind", ["platform", "http"])
@pytest.mark.parametrize("body", [b"", b"data"])
@pytest.mark.parametrize("ends", ["stop", "handover"])
def test_who_has_connected_as_a_front_stops_to_accept_is_answered(tmp_path, kind, body, ends):
    """The clients connect and send while the loop is blocked, in the iteration that closes the socket."""

    async def scenario():
        async with front_up(kind, tmp_path) as front:
            port = front.listener.port
            clients = []
            for number in range(WAITING_CLIENTS):
                clients.append(socket.create_connection((HOST, port)))
                clients[-1].sendall(front.request(number, body))
            if ends == "handover":
                front.head.drain.handed_over = True
            front.listener.stop_accepting()
            stopping = asyncio.create_task(front.head.stop()) if ends == "stop" else None
            answers = await asyncio.gather(*(asyncio.to_thread(read_status, client) for client in clients))
            assert answers == [OK] * WAITING_CLIENTS and front.attempts == WAITING_CLIENTS
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((HOST, port))
            for client in clients:
                client.close()
            if stopping is not None:
                await stopping

    run(scenario())


@pytest.mark.parametrize("kind", ["platform", "http"])
@pytest.mark.parametrize("body", [b"", b"data"])
@pytest.mark.parametrize("earlier", [0, 1, 2])
def test_a_request_on_a_kept_connection_that_is_ended_is_answered_or_never_run(tmp_path, kind, body, earlier):
    """A request sent before the head closes the connection is answered; a later one is dropped unread."""

    async def scenario():
        async with front_up(kind, tmp_path) as front:
            reader, writer = await asyncio.open_connection(HOST, front.listener.port)
            descriptor = writer.get_extra_info("socket").fileno()
            for number in range(earlier):
                writer.write(front.request(number, body))
                await read_answer(reader)
            clients = front.head.clients
            await until(lambda: len(clients) == 1 and not clients.open)
            (connection,) = (open_one for state in State for open_one in clients.by_state[state])
            sock = connection.transport.get_extra_info("socket")
            os.write(descriptor, front.request(earlier, body))  # not read by the loop yet
            select.select([sock], [], [])
            clients.close_idle()
            await read_answer(reader)
            assert front.attempts == earlier + 1
            await until(lambda: not clients.open)
            clients.close_idle()
            assert await reader.read() == b""
            with contextlib.suppress(OSError):
                os.write(descriptor, front.request(earlier + 1, body))
            await asyncio.sleep(0.05)
            assert front.attempts == earlier + 1
            writer.close()

    run(scenario())


async def read_answer(reader: asyncio.StreamReader) -> None:
    """Read one answer and check that it is a success."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    assert head.startswith(OK.lower()), head
    await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r\n")[0]))
