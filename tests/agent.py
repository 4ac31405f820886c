"""A stand-in for the discovery agent, scripted at byte level."""

from __future__ import annotations

import asyncio
import contextlib

from tests.peers import HOST


class Agent:
    """A stand-in for the discovery agent that follows its script, one step for each call."""

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.calls = []  # targets
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls.append(head.split(b" ")[1].decode())
                step = self.script.pop(0) if self.script else "silent"
                if isinstance(step, bytes):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(step) + step)
                elif step == "half":
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"gen')
                elif step == "trickle":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
                    while not self.ended.is_set():
                        writer.write(b" ")
                        await asyncio.sleep(0.005)
                elif step == "refused":
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                elif step == "reset":
                    writer.transport.abort()
                elif step == "cut":
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"gen')
                    writer.close()
        writer.close()


@contextlib.asynccontextmanager
async def agent_up(agent: Agent):
    server = await asyncio.start_server(agent.serve, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        agent.ended.set()
        server.close()
