"""Processes of the soak beside the story's own: each has a loop, and a clock, that others do not hold up.

A child reads its specification from its first line of input, says one line once it is at work, works until
the end of its input, and then writes its result. All are JSON. Times are those of the system's monotonic
clock, which the processes of one machine have in common.
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

LONGEST_LINE = 1 << 20  # bytes

Say = Callable[[Any], None]
# what a child does: with its specification, a function that says its line, and an event at which it ends
Work = Callable[[dict[str, Any], Say, asyncio.Event], Awaitable[dict[str, Any]]]


class Child:
    """A child, as its parent sees it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self.process, self.input, self.output = process, process.stdin, process.stdout

    @classmethod
    async def start(cls, module: str) -> Child:
        """Start a child, which imports what it needs meanwhile."""
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
            limit=LONGEST_LINE,
        )
        return cls(process)

    async def begin(self, **specification: Any) -> Any:
        """Hand a child its specification; what it says once it is at work."""
        self.input.write(msgspec.json.encode(specification) + b"\n")
        await self.input.drain()
        return msgspec.json.decode(await self.output.readline())

    async def end(self) -> dict[str, Any]:
        """End its work, and return its result, with the lag of its loop."""
        self.input.close()
        result: dict[str, Any] = msgspec.json.decode(await self.output.read())
        await self.process.wait()
        return result | {"lag": Lag(**result["lag"])}

    def stop(self) -> None:
        """Kill it, if it has not ended."""
        if self.process.returncode is None:
            kill(self.process)


def run_child(work: Work) -> None:
    """Run the process of a child."""
    asyncio.run(work_until_told(work))


async def work_until_told(work: Work) -> None:
    """Work from the first line of input to its end."""
    reader, loop = asyncio.StreamReader(limit=LONGEST_LINE), asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if not line:
        return
    specification, over, lag = msgspec.json.decode(line), asyncio.Event(), Lag()
    waiting = asyncio.create_task(set_at_end(reader, over))
    async with measured(lag):
        if specification.get("stall"):
            loop.call_later(1.0, time.sleep, specification["stall"])
        result = await work(specification, say, over)
    await waiting
    say(result | {"lag": asdict(lag)})


async def set_at_end(reader: asyncio.StreamReader, over: asyncio.Event) -> None:
    """Set an event at the end of the input."""
    await reader.read()
    over.set()


def say(something: Any) -> None:
    """Write a line to the parent."""
    sys.stdout.buffer.write(msgspec.json.encode(something) + b"\n")
    sys.stdout.buffer.flush()
