"""Sound storage nodes and a discovery agent for pressure trials, in a process of their own.

The query of a request's target tells a node how to answer: `size` bytes, in pieces of `piece` bytes that are
`gap` seconds apart, the first of them `late` seconds after the head, with `chunked=1` for the framing. A body
is read in steps of `step` bytes that are `pause` seconds apart. With `hang=1` the first run of a request
never gets further than the head of its answer.
"""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from urllib.parse import parse_qs

HOST = "127.0.0.1"
SHARDS = 2
FIRST_GENERATION = 1
HOLD = re.compile(rb"hold_ms=(\d+)")  # milliseconds that a watch is held
FILLER = b"x"
HANG = 3600.0  # seconds


@dataclass
class Answer:
    """How a node answers one request."""

    size: int = 64
    piece: int = 64 * 1024
    gap: float = 0.0
    late: float = 0.0
    chunked: bool = False
    step: int = 1 << 20
    pause: float = 0.0
    hang: bool = False

    @classmethod
    def of(cls, target: str) -> Answer:
        """Read the answer from the query of a target."""
        fields = {name: values[0] for name, values in parse_qs(target.partition("?")[2]).items()}
        return cls(
            size=int(fields.get("size", cls.size)),
            piece=int(fields.get("piece", cls.piece)),
            gap=float(fields.get("gap", cls.gap)),
            late=float(fields.get("late", cls.late)),
            chunked=fields.get("chunked") == "1",
            step=int(fields.get("step", cls.step)),
            pause=float(fields.get("pause", cls.pause)),
            hang=fields.get("hang") == "1",
        )


@dataclass
class Nodes:
    """All nodes of a trial, and what they ran."""

    ran: dict[str, int] = field(default_factory=dict)  # how often, by request id
    cut_off: int = 0  # answers whose connection the head closed
    told_deadlines: dict[str, list[float]] = field(default_factory=dict)  # seconds, by request id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of the head."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await self._answer(head.decode("latin-1"), reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = head.split("\r\n")
        target = lines[0].split(" ")[1]
        fields = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
        }
        answer = Answer.of(target)
        left = int(fields.get("content-length", 0))
        while left:
            left -= len(await reader.read(min(left, answer.step)))
            await asyncio.sleep(answer.pause)
        if (request := fields.get("req-id")) is not None:
            self.ran[request] = self.ran.get(request, 0) + 1
            deadline = int(fields.get("req-deadline-ms", 0)) / 1000
            self.told_deadlines.setdefault(request, []).append(deadline)
            if answer.hang and self.ran[request] == 1:
                answer.late = HANG
        try:
            await self._write(answer, writer)
        except OSError:
            self.cut_off += 1
            raise

    async def _write(self, answer: Answer, writer: asyncio.StreamWriter) -> None:
        framing = "Transfer-Encoding: chunked" if answer.chunked else f"Content-Length: {answer.size}"
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
        if answer.chunked and answer.piece == 1 and not answer.gap:  # as fast as a node can write them
            writer.write(b"1\r\nx\r\n" * answer.size + b"0\r\n\r\n")
            return await writer.drain()
        left, wait = answer.size, answer.late
        while left:
            await asyncio.sleep(wait)
            piece = FILLER * min(left, answer.piece)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if answer.chunked else piece)
            await writer.drain()
            left -= len(piece)
            wait = answer.gap
        if answer.chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


def list_of(ports: list[int]) -> dict[str, object]:
    """Return discovery's list of nodes at these ports."""
    entries = [
        {
            "instanceId": f"s-{number}",
            "hostPort": f"{HOST}:{port}",
            "zone": "a",
            "machineType": "m",
            "cell": number % SHARDS,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for number, port in enumerate(ports)
    ]
    return {"generation": FIRST_GENERATION, "reset": True, "instances": entries}


async def serve_list(ports: list[int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection to discovery: the whole list, and watches that bring nothing new."""
    try:
        while head := await reader.readuntil(b"\r\n\r\n"):
            answer: dict[str, object] = list_of(ports)
            if (hold := HOLD.search(head)) is not None:
                answer = {"generation": FIRST_GENERATION, "reset": False, "instances": []}
                await asyncio.sleep(int(hold[1]) / 1000)
            body = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def run(pipe: Connection) -> None:
    """Serve until the other side sends anything, then report what was run."""
    nodes = Nodes()
    servers = [await asyncio.start_server(nodes.serve, HOST, 0) for _ in range(SHARDS)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    discovery = await asyncio.start_server(lambda r, w: serve_list(ports, r, w), HOST, 0)
    pipe.send((ports, discovery.sockets[0].getsockname()[1]))
    await asyncio.to_thread(pipe.recv)
    pipe.send(nodes)


def serve_nodes(pipe: Connection) -> None:
    """Run the stand-ins; the entry of their process."""
    asyncio.run(run(pipe))
