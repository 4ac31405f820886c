"""A child process whose clients make heads hold much: none of their requests is ever complete.

So no request reaches a node, and the judge of requests need not know of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from typing import Any

from tests.soak.children import SendLine, run_child
from tests.soak.plan import Pressure

MIB = 1 << 20
BODY_BYTES = MIB
FIELDS = 3_000
CHUNKS = 300_000
SLOW_PIECE_BYTES = 6_000
SLOW_PIECE_INTERVAL = 0.1  # seconds
RECONNECT_DELAY = 0.2  # seconds
CLIENTS = {  # of each head
    Pressure.NONE: 0,
    Pressure.HALTING_WRITERS: 300,
    Pressure.SLOW_WRITERS: 100,
    Pressure.LONG_HEADS: 100,
    Pressure.ONE_BYTE_CHUNKS: 2,
}
numbers = itertools.count()


def request_head(head: str, framing: str) -> bytes:
    """Return the head of a request with a body, of a class that may be repeated with its key."""
    name = f"{head}-pressure{next(numbers)}"
    return (
        f"PUT /note/00000003b4d60021/{next(numbers):016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\n"
        "X-Plan: premium\r\nReq-Deadline-Ms: 1200\r\nX-IO: units=1,shard=0,hosts=1\r\n"
        f"Idempotency-Key: {name}\r\n{framing}\r\n"
    ).encode()


async def halt(head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write most of a large body at full speed, and then nothing."""
    writer.write(request_head(head, f"Content-Length: {BODY_BYTES}\r\n"))
    writer.write(bytes(BODY_BYTES * 9 // 10))
    await reader.read()


async def write_slowly(head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write a large body in small pieces, without its last one."""
    writer.write(request_head(head, f"Content-Length: {BODY_BYTES}\r\n"))
    for _ in range(BODY_BYTES // SLOW_PIECE_BYTES - 1):
        writer.write(bytes(SLOW_PIECE_BYTES))
        await writer.drain()
        await asyncio.sleep(SLOW_PIECE_INTERVAL)


async def send_long_head(head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write very many short fields of a head that never ends."""
    writer.write(request_head(head, "")[:-2] + b"".join(b"a%d: 1\r\n" % number for number in range(FIELDS)))
    await reader.read()


async def send_one_byte_chunks(head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write a body in one-byte chunks at full speed, without its end."""
    writer.write(request_head(head, "Transfer-Encoding: chunked\r\n") + b"1\r\nx\r\n" * CHUNKS)
    await writer.drain()
    await reader.read()


BEHAVIOURS: dict[Pressure, Callable[..., Any]] = {
    Pressure.HALTING_WRITERS: halt,
    Pressure.SLOW_WRITERS: write_slowly,
    Pressure.LONG_HEADS: send_long_head,
    Pressure.ONE_BYTE_CHUNKS: send_one_byte_chunks,
}


async def press(head: dict[str, Any], pressure: Pressure) -> None:
    """Be one client of a head: connect, behave, and connect again once the head ends the connection."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(head["host"], head["port"])
            try:
                await BEHAVIOURS[pressure](head["name"], reader, writer)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_DELAY)


async def work(
    specification: dict[str, Any], send_line: SendLine, stop_event: asyncio.Event
) -> dict[str, Any]:
    """Run the clients of all heads until the end."""
    pressure = Pressure(specification["pressure"])
    clients = [
        asyncio.create_task(press(head, pressure))
        for head in specification["heads"]
        for _ in range(CLIENTS[pressure])
    ]
    send_line(None)
    await stop_event.wait()
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return {}


if __name__ == "__main__":
    run_child(work)
