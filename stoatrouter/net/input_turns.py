"""Divides each turn of the event loop among connections with much input.

Input is counted in lines: each chunk, header field and blank line costs a parser a step, however few bytes it
has. A connection's input of more than a few steps is parsed in slices, one slice in a turn, and all
connections together get a bounded number of steps in a turn. The input that waits is bounded by one read, as
reading is paused until it is parsed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

STEP_END = b"\n"
UNDIVIDED_STEPS = 32  # input of up to so many steps, such as a real client's request, is parsed at once
SLICE_STEPS = 128  # of one connection in one turn
TURN_STEPS = 512  # of all divided input in one turn
TURN_REQUESTS = 2  # requests that clients sent before they had an answer, started in one turn


class DividedConnection(Protocol):
    """The interface of a connection whose input is divided."""

    def parse_slice(self) -> int:
        """Parse the next slice of the waiting input; returns its steps, 0 if it cannot be parsed now."""
        ...

    @property
    def has_backlog(self) -> bool:
        """Whether input waits that can be parsed now."""
        ...


class InputTurns:
    """The connections whose input waits for a turn, and the requests that wait for one."""

    def __init__(self) -> None:
        """Start with none waiting."""
        self._connections: deque[DividedConnection] = deque()
        self._requests: deque[asyncio.Future[None]] = deque()
        self._scheduled = False

    def add(self, connection: DividedConnection) -> None:
        """Let a connection parse its waiting input, one slice in each of the next turns."""
        if connection not in self._connections:
            self._connections.append(connection)
        self._schedule()

    async def wait_for_request(self) -> None:
        """Wait until a request that was sent before the answer to an earlier one may start."""
        turn = asyncio.get_running_loop().create_future()
        self._requests.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Parse one slice of each connection in turn, up to TURN_STEPS, and start a few requests."""
        self._scheduled = False
        steps = 0
        for _ in range(len(self._connections)):
            if steps >= TURN_STEPS:
                break
            connection = self._connections.popleft()
            steps += connection.parse_slice()
            if connection.has_backlog:
                self._connections.append(connection)
        started = 0
        while self._requests and started < TURN_REQUESTS:
            turn = self._requests.popleft()
            if not turn.done():
                turn.set_result(None)
                started += 1
        if self._connections or self._requests:
            self._schedule()


def count_steps(data: bytes) -> int:
    """Return how many steps the parsing of `data` takes."""
    return data.count(STEP_END) + 1


def slice_size(data: bytes) -> int:
    """Return how many bytes of `data` to parse in one turn."""
    size = len(data)
    while count_steps(data[:size]) > SLICE_STEPS:
        size //= 2
    return size


class DividedInput:
    """A mixin for aiohttp's protocols: parses a connection's input in slices, and pauses reading meanwhile.

    The class that uses it has the attributes `turns` and `backlog`, and a method `parse` for one slice.
    """

    turns: InputTurns
    backlog: bytes  # input that was read and waits for its turn
    transport: asyncio.Transport | None
    _reading_paused: bool
    _buffer_paused: bool

    def parse(self, data: bytes) -> None:
        """Parse one slice of input."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Parse received input at once if it is small and none waits, else in the next turns."""
        if not self.backlog and count_steps(data) <= UNDIVIDED_STEPS:
            return self.parse(data)
        self.hold(data)
        self.turns.add(self)

    def hold(self, data: bytes) -> None:
        """Keep received input, and read no more until it is parsed."""
        self.backlog += data
        if self.transport is not None:
            self.transport.pause_reading()

    @property
    def has_backlog(self) -> bool:
        """Whether input waits that can be parsed now: flow control may have paused the parser."""
        paused = self._reading_paused or self._buffer_paused
        return bool(self.backlog) and not paused and self.transport is not None

    def parse_slice(self) -> int:
        """Parse the next slice of the waiting input; returns its steps, 0 if it cannot be parsed now."""
        if not self.has_backlog:
            return 0
        size = slice_size(self.backlog)
        data, self.backlog = self.backlog[:size], self.backlog[size:]
        self.parse(data)
        if not self.backlog and not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()
        return count_steps(data)

    def _resume_transport_reading(self) -> None:
        """Resume reading, as aiohttp's flow control allows it; waiting input comes first."""
        if self.backlog:
            self.turns.add(self)
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
