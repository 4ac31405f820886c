"""Child processes of a measurement: started with a specification, asked by lines of JSON, always ended.

A child of this family is a module whose `serve` answers one line of JSON for each line that it is sent, and
which ends with its standard input, so that it never outlives the command.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import select
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator, Sequence
from pathlib import Path
from types import FrameType
from typing import Any

ROOT = Path(__file__).parents[2]
ANSWER_WITHIN = 120.0  # seconds; a child that takes longer is killed, and the command fails
END_WITHIN = 3.0  # seconds after which a child that was asked to end is killed
PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM)
Message = dict[str, Any]


class ChildFailed(Exception):
    """A child ended or did not answer in time."""


@contextlib.contextmanager
def signals_held() -> Iterator[None]:
    """Have signals wait, so that none comes between the start of a process and the note that it runs."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def die_with_parent() -> None:
    """Run in a child before its program: the system kills it once the command is gone, however that ended."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ENDING_SIGNALS)
    ctypes.CDLL(None).prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


def end_on_signals() -> None:
    """Turn signals into an exception, so that what was started is ended, also where Ctrl-C is ignored."""

    def interrupt(number: int, frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    for number in ENDING_SIGNALS:
        signal.signal(number, interrupt)


class Child:
    """One process that answers a line of JSON for each that it is sent."""

    def __init__(self, module: str, specification: Message) -> None:
        self.module = module
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, json.dumps(specification)],
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=die_with_parent,
        )

    def tell(self, message: Message) -> None:
        """Send a line without waiting for its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(message) + "\n")
        self.process.stdin.flush()

    def receive(self, within: float = ANSWER_WITHIN) -> Message:
        """The next line that it says."""
        assert self.process.stdout is not None
        # no thread watches: an exception between its start and its end would have the command wait for it
        said, _, _ = select.select([self.process.stdout], [], [], within)
        line = self.process.stdout.readline() if said else ""
        if not line:
            raise ChildFailed(f"{self.module} ended, or said nothing within {within:g} s")
        heard: Message = json.loads(line)
        return heard

    def ask(self, message: Message) -> Message:
        """Send a line and wait for its answer."""
        self.tell(message)
        return self.receive()

    def end(self) -> None:
        """End it by the end of its input; kill it where that does not help."""
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        end_process(self.process)
        self.process.stdout.close()


def end_process(process: subprocess.Popen[Any]) -> None:
    """Wait for a process that was asked to end, then kill it."""
    try:
        process.wait(END_WITHIN)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


@contextlib.contextmanager
def children(module: str, specifications: Sequence[Message]) -> Iterator[list[Child]]:
    """So many processes of a module; all of them are ended, whatever happens meanwhile."""
    started: list[Child] = []
    try:
        for specification in specifications:
            with signals_held():
                started.append(Child(module, specification))
        yield started
    finally:
        for child in started:
            child.end()


def ask_all(asked: Sequence[Child], message: Message) -> list[Message]:
    """Have all children do the same at once; their answers in order."""
    for child in asked:
        child.tell(message)
    return [child.receive() for child in asked]


def say(message: Message) -> None:
    """In a child: one line to the command."""
    print(json.dumps(message), flush=True)


def specification() -> Message:
    """In a child: what it was started with."""
    told: Message = json.loads(sys.argv[1])
    return told


async def serve(answer: Callable[[Message], Awaitable[Message]]) -> None:
    """In a child: answer each line until the input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        say(await answer(json.loads(line)))
