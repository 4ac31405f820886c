"""Quiet clients beside a trial: each sends a small read, waits for its answer, rests, and notes the time."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

CLIENTS = 6
REST = 0.025  # seconds between an answer and the next request
TIMEOUT = 10.0  # seconds
SHARDS = 2


@dataclass
class QuietResult:
    """What the quiet clients saw."""

    answers: list[tuple[float, int]] = field(default_factory=list)  # seconds waited and status
    disconnects: int = 0

    @property
    def worst(self) -> float:
        """The longest wait for an answer, in seconds."""
        return max((waited for waited, _ in self.answers), default=0.0)

    @property
    def refused(self) -> int:
        """The number of answers other than 200."""
        return sum(status != 200 for _, status in self.answers)


def small_read(number: int) -> bytes:
    """Return a small read of plan `premium`."""
    target = f"/score-read/{number:016x}/{number:016x}"
    return (
        f"GET {target} HTTP/1.1\r\nHost: h\r\nReq-Id: {secrets.token_hex(8)}\r\nReq-Kind: score-read\r\n"
        f"X-Plan: premium\r\nReq-Deadline-Ms: 2000\r\nX-IO: units=1,shard={number % SHARDS},hosts=1\r\n\r\n"
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> int:
    """Read one answer with a length; returns its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:-2])
    await reader.readexactly(int(fields["content-length"]))
    return int(head[9:12])


async def client(port: int, number: int, until: float, result: QuietResult) -> None:
    """Send small reads one after the other; a broken connection is opened anew and the request sent again."""
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    while time.monotonic() < until:
        began = time.monotonic()
        while True:
            try:
                if reader is None or writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(small_read(number))
                async with asyncio.timeout(TIMEOUT):
                    status = await read_answer(reader)
                break
            except (OSError, asyncio.IncompleteReadError):
                result.disconnects += 1
                if writer is not None:
                    writer.close()
                reader = writer = None
                await asyncio.sleep(0.005)
                if time.monotonic() - began > TIMEOUT:
                    status = 0
                    break
        result.answers.append((time.monotonic() - began, status))
        await asyncio.sleep(REST)


async def run(pipe: Connection, port: int, seconds: float) -> None:
    """Run all quiet clients and report what they saw."""
    result = QuietResult()
    until = time.monotonic() + seconds
    await asyncio.gather(*(client(port, number, until, result) for number in range(1, CLIENTS + 1)))
    pipe.send(result)


def run_quiet_clients(pipe: Connection, port: int, seconds: float) -> None:
    """Run the quiet clients; the entry of their process."""
    asyncio.run(run(pipe, port, seconds))
