"""The loads of the pictures: what many or single peers do to a head, each by a name."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import socket
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection

KIB, MIB = 1 << 10, 1 << 20
SHARDS = 2
READ_PAUSE = 0.05  # seconds between two reads of a slow reader
Load = Callable[[int, float, random.Random], Awaitable[None]]


def head_of(
    method: str, query: str = "", body: str = "", shard: int = 0, more: str = "", volume: int = 7
) -> bytes:
    """Return the head of a request, with the line that frames its body."""
    kind = "event-write" if method == "PUT" else "score-read"
    key = " Idempotency-Key: k\r\n".strip(" ") if method == "PUT" else ""
    return (
        f"{method} /{kind}/{volume:016x}/{secrets.token_hex(8)}{query} HTTP/1.1\r\nHost: h\r\n"
        f"Req-Id: {secrets.token_hex(8)}\r\nReq-Kind: {kind}\r\nX-Plan: premium\r\nReq-Deadline-Ms: 2000\r\n"
        f"X-IO: units=1,shard={shard},hosts=1\r\n{key}{body}{more}\r\n"
    ).encode()


async def connect(
    port: int, receive_buffer: int | None = None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open one connection to the head; a small receive buffer makes slow reading felt at once."""
    sock = socket.socket()
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=sock, limit=16 * KIB)


async def many(count: int, one: Callable[[int], Awaitable[None]]) -> None:
    """Run `count` clients at once; a client that the head ends does not come again."""

    async def guarded(number: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await one(number)

    await asyncio.gather(*(guarded(number) for number in range(count)))


def halting_writers(count: int, size: int, part: float) -> Load:
    """Many clients write a part of a large body at full speed, and then nothing."""

    async def load(port: int, seconds: float, draws: random.Random) -> None:
        async def one(number: int) -> None:
            _, writer = await connect(port)
            writer.write(head_of("PUT", body=f"Content-Length: {size}\r\n", shard=number % SHARDS))
            writer.write(b"x" * int(size * part))
            await asyncio.sleep(seconds)
            writer.close()

        await many(count, one)

    return load


def slow_writers(count: int, size: int, rate: int) -> Load:
    """Many clients write a large body at `rate` bytes a second."""

    async def load(port: int, seconds: float, draws: random.Random) -> None:
        async def one(number: int) -> None:
            _, writer = await connect(port)
            writer.write(head_of("PUT", body=f"Content-Length: {size}\r\n", shard=number % SHARDS))
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                writer.write(b"x" * (rate // 10))
                await writer.drain()
                await asyncio.sleep(0.1)
            writer.close()

        await many(count, one)

    return load


def slow_readers(count: int, size: int) -> Load:
    """Many clients read a long answer slowly."""

    async def load(port: int, seconds: float, draws: random.Random) -> None:
        async def one(number: int) -> None:
            reader, writer = await connect(port, receive_buffer=4 * KIB)
            writer.write(head_of("GET", f"?size={size}", shard=number % SHARDS))
            until = time.monotonic() + seconds
            while time.monotonic() < until and await reader.read(4 * KIB):
                await asyncio.sleep(READ_PAUSE)
            writer.close()

        await many(count, one)

    return load


def long_heads(count: int, fields: int) -> Load:
    """Many clients send heads of very many short fields that never end."""

    async def load(port: int, seconds: float, draws: random.Random) -> None:
        async def one(number: int) -> None:
            _, writer = await connect(port)
            writer.write(head_of("GET")[:-2] + b"".join(b"a%d: 1\r\n" % i for i in range(fields)))
            await asyncio.sleep(seconds)
            writer.close()

        await many(count, one)

    return load


def flood(count: int, make: Callable[[random.Random], bytes]) -> Load:
    """Clients send the same kind of input at full speed, again and again, on connections opened anew."""

    async def load(port: int, seconds: float, draws: random.Random) -> None:
        until = time.monotonic() + seconds

        async def one(number: int) -> None:
            while time.monotonic() < until:
                with contextlib.suppress(OSError):
                    reader, writer = await connect(port)
                    discarding = asyncio.create_task(discard(reader))
                    try:
                        while time.monotonic() < until and not discarding.done():
                            writer.write(make(draws))
                            async with asyncio.timeout(max(0.01, until - time.monotonic())):
                                await writer.drain()
                    except TimeoutError:
                        pass
                    finally:
                        discarding.cancel()
                        writer.transport.abort()
                await asyncio.sleep(0.001)

        await many(count, one)

    return load


async def discard(reader: asyncio.StreamReader) -> None:
    """Read answers until the head closes the connection."""
    with contextlib.suppress(OSError):
        while await reader.read(64 * KIB):
            pass


def mixture(*loads: Load) -> Load:
    """Several loads at once."""

    async def load(port: int, seconds: float, draws: random.Random) -> None:
        await asyncio.gather(*(one(port, seconds, draws) for one in loads))

    return load


def tiny_chunks(count: int) -> bytes:
    """Return a chunked body of one-byte chunks, with its end."""
    return b"1\r\nx\r\n" * count + b"0\r\n\r\n"


def endless_chunks(draws: random.Random) -> bytes:
    """Return a chunked request of very many one-byte chunks."""
    return head_of("PUT", body="Transfer-Encoding: chunked\r\n", shard=draws.randrange(SHARDS)) + tiny_chunks(
        300_000
    )


def whole_chunked(draws: random.Random) -> bytes:
    """Return a chunked request of 30,000 one-byte chunks."""
    return head_of("PUT", body="Transfer-Encoding: chunked\r\n", shard=draws.randrange(SHARDS)) + tiny_chunks(
        30_000
    )


def pipelined(draws: random.Random) -> bytes:
    """Return a hundred small reads of ever new volumes."""
    return b"".join(
        head_of("GET", shard=draws.randrange(SHARDS), volume=draws.randrange(1 << 60)) for _ in range(100)
    )


def unknown_classes(draws: random.Random) -> bytes:
    """Return a hundred requests whose class is not in the settings."""
    return b"".join(
        head_of("GET").replace(b"score-read", b"no-class-%d" % draws.randrange(10**9)) for _ in range(100)
    )


def health_checks(draws: random.Random) -> bytes:
    """Return five hundred health checks."""
    return b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n" * 500


def blank_lines(draws: random.Random) -> bytes:
    """Return blank lines and a health check."""
    return b"\r\n" * 30_000 + b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"


def many_fields(draws: random.Random) -> bytes:
    """Return requests of a hundred fields each."""
    fields = "".join(f"f{number}: {draws.randrange(10**9)}\r\n" for number in range(100))
    return b"".join(head_of("GET", more=fields) for _ in range(20))


def trailers(draws: random.Random) -> bytes:
    """Return a chunked request with trailers."""
    body = b"1\r\nx\r\n0\r\n" + b"".join(b"t%d: 1\r\n" % number for number in range(100)) + b"\r\n"
    return head_of("PUT", body="Transfer-Encoding: chunked\r\n") + body


def tiny_answers(count: int) -> Load:
    """Clients read answers that a node sends in one-byte chunks."""
    return flood(
        count, lambda draws: head_of("GET", "?size=300000&piece=1&chunked=1", shard=draws.randrange(SHARDS))
    )


MEMORY_LOADS: dict[str, Load] = {
    "halting": halting_writers(580, MIB, 0.9),
    "halting-small": halting_writers(580, 60 * KIB, 0.9),
    "slow-writers": slow_writers(350, MIB, 64_000),
    "large-bodies": halting_writers(200, 32 * MIB, 0.1),
    "slow-readers": slow_readers(300, 16 * MIB),
    "slow-small-answers": slow_readers(300, 64 * KIB),
    "long-heads": long_heads(580, 6_000),
    "mixed": mixture(
        halting_writers(250, 700 * KIB, 0.9), halting_writers(180, 60 * KIB, 0.9), slow_readers(150, 16 * MIB)
    ),
}
FLOODS: dict[str, Callable[[random.Random], bytes]] = {
    "endless-chunks": endless_chunks,
    "whole-chunked": whole_chunked,
    "pipelined": pipelined,
    "unknown-classes": unknown_classes,
    "health-checks": health_checks,
    "blank-lines": blank_lines,
    "many-fields": many_fields,
    "trailers": trailers,
}


def find_load(name: str) -> Load:
    """Return a load by its name; that of a flood ends with the number of its connections."""
    if name == "none":
        return mixture()
    if name in MEMORY_LOADS:
        return MEMORY_LOADS[name]
    kind, _, count = name.rpartition(":")
    if kind == "tiny-answers":
        return tiny_answers(int(count))
    return flood(int(count), FLOODS[kind])


def run_load(pipe: Connection, name: str, port: int, seconds: float, seed: int) -> None:
    """Run one load; the entry of its process."""
    asyncio.run(find_load(name)(port, seconds, random.Random(seed)))
    pipe.send(None)
