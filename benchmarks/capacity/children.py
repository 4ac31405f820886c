"""Child processes of a measurement, controlled by lines of JSON and always ended with it.

A child runs a module that calls `serve`: it answers each line of JSON with another, and exits at the end of
its standard input, so that it never outlives the command.
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
ANSWER_TIMEOUT = 120.0  # seconds; if a child takes longer, the command fails and ends it
EXIT_TIMEOUT = 3.0  # seconds to exit before a child is killed
PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM)
Message = dict[str, Any]


class ChildFailed(Exception):
    """A child exited or did not answer in time."""


@contextlib.contextmanager
def blocked_signals() -> Iterator[None]:
    """Block signals, so that none arrives between the start of a process and its registration."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def die_with_parent() -> None:
    """Have the kernel kill this child when its parent exits for any reason; runs before exec."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ENDING_SIGNALS)
    ctypes.CDLL(None).prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


def end_on_signals() -> None:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM, so that children are ended.

    Handlers are set explicitly because shells start background commands with SIGINT ignored.
    """

    def interrupt(number: int, frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    for number in ENDING_SIGNALS:
        signal.signal(number, interrupt)


class Child:
    """One child process that answers each line of JSON with another."""

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

    def send(self, message: Message) -> None:
        """Send a message without waiting for its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(message) + "\n")
        self.process.stdin.flush()

    def receive(self, timeout: float = ANSWER_TIMEOUT) -> Message:
        """Return the next message of the child."""
        assert self.process.stdout is not None
        # select needs no reader thread, for which the command would have to wait after an exception
        readable, _, _ = select.select([self.process.stdout], [], [], timeout)
        line = self.process.stdout.readline() if readable else ""
        if not line:
            raise ChildFailed(f"{self.module} exited or sent no answer within {timeout:g} s")
        message: Message = json.loads(line)
        return message

    def ask(self, message: Message) -> Message:
        """Send a message and return its answer."""
        self.send(message)
        return self.receive()

    def end(self) -> None:
        """Close its input so that it exits, and kill it if it does not."""
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        end_process(self.process)
        self.process.stdout.close()


def end_process(process: subprocess.Popen[Any]) -> None:
    """Wait for a process to exit, and kill it after a timeout."""
    try:
        process.wait(EXIT_TIMEOUT)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


@contextlib.contextmanager
def children(module: str, specifications: Sequence[Message]) -> Iterator[list[Child]]:
    """Run one process of a module per specification; all are ended on exit, also after an exception."""
    started: list[Child] = []
    try:
        for specification in specifications:
            with blocked_signals():
                started.append(Child(module, specification))
        yield started
    finally:
        for child in started:
            child.end()


def ask_all(targets: Sequence[Child], message: Message) -> list[Message]:
    """Send a message to all children at once; return their answers in order."""
    for child in targets:
        child.send(message)
    return [child.receive() for child in targets]


def send_line(message: Message) -> None:
    """Send one message from a child to the command."""
    print(json.dumps(message), flush=True)


def specification() -> Message:
    """Return the specification with which this child was started."""
    parsed: Message = json.loads(sys.argv[1])
    return parsed


async def serve(answer: Callable[[Message], Awaitable[Message]]) -> None:
    """Answer each message to this child until its input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        send_line(await answer(json.loads(line)))
