"""Child processes of the soak, each with an event loop of its own that other processes do not delay.

A child reads its specification from its first line of input, writes one line once it is running, works until
the end of its input, and then writes its result. All are JSON. Times are those of the system's monotonic
clock, which the processes of one machine share.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

import msgspec

from tests.process_signals import kill
from tests.program_process import ROOT, end_with_parent
from tests.soak.lag import Lag, measured

MAX_LINE_BYTES = 1 << 20

SendLine = Callable[[Any], None]
# The work of a child, given its specification, a function that writes a line, and an event at which it ends.
Work = Callable[[dict[str, Any], SendLine, asyncio.Event], Awaitable[dict[str, Any]]]


class Child:
    """A child process, as its parent sees it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self.process = process
        self.input = process.stdin
        self.output = process.stdout

    @classmethod
    async def start(cls, module: str) -> Child:
        """Start a child; it imports its modules in the meantime."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            module,
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
            limit=MAX_LINE_BYTES,
        )
        return cls(process)

    async def begin(self, **specification: Any) -> Any:
        """Send a child its specification, and return the line that it writes once it is running."""
        self.input.write(msgspec.json.encode(specification) + b"\n")
        await self.input.drain()
        return msgspec.json.decode(await self.output.readline())

    async def end(self) -> dict[str, Any]:
        """End the child's work, and return its result with the lag of its event loop."""
        self.input.close()
        result: dict[str, Any] = msgspec.json.decode(await self.output.read())
        await self.process.wait()
        return result | {"lag": Lag(**result["lag"])}

    def stop(self) -> None:
        """Kill the child if it has not ended."""
        if self.process.returncode is None:
            kill(self.process)


def run_child(work: Work) -> None:
    """Run the work of this child process."""
    asyncio.run(work_until_end_of_input(work))


async def work_until_end_of_input(work: Work) -> None:
    """Run the work from the first line of input to the end of the input."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if not line:
        return
    specification = msgspec.json.decode(line)
    stop_event = asyncio.Event()
    lag = Lag()
    end_of_input = asyncio.create_task(set_at_end_of_input(reader, stop_event))
    async with measured(lag):
        if specification.get("stall"):
            loop.call_later(1.0, time.sleep, specification["stall"])
        result = await work(specification, send_line, stop_event)
    await end_of_input
    send_line(result | {"lag": asdict(lag)})


async def set_at_end_of_input(reader: asyncio.StreamReader, stop_event: asyncio.Event) -> None:
    """Set an event at the end of the input."""
    await reader.read()
    stop_event.set()


def send_line(something: Any) -> None:
    """Write a line to the parent."""
    sys.stdout.buffer.write(msgspec.json.encode(something) + b"\n")
    sys.stdout.buffer.flush()
