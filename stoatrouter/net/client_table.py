"""The table of client connections: their states, timeouts and limits, and which are evicted first."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from datetime import timedelta
from enum import Enum, StrEnum
from typing import Protocol

from stoatrouter.net.input_turns import InputTurns
from stoatrouter.net.memory import MemoryAccount

# A connection without an open request is closed after this time, whether it has sent anything or not.
IDLE_TIMEOUT = timedelta(seconds=2)
# The first request of a connection younger than this may still be in transit.
JUST_CONNECTED = timedelta(milliseconds=250)
SPARE_CONNECTIONS = 8  # connections over the limit that are still read, to answer them with a rejection
SWEEP_INTERVAL = timedelta(milliseconds=200)
# How long a request head may take: real clients need up to 2 s, and a connection whose head never ends must
# be closed within 3 s.
HEAD_TIMEOUT = timedelta(milliseconds=2750)
# A connection that has received nothing of an incomplete request for this long is evicted before others.
STALE_AFTER = timedelta(milliseconds=700)
# How long input after the last answer is read and discarded: closing a connection with unread input would
# reset it, and the client might never receive that answer.
LINGER_TIMEOUT = timedelta(seconds=2)
WRITE_STALL_TIMEOUT = timedelta(seconds=10)  # how long a client may read nothing of its answer


class State(Enum):
    """The state of a client connection."""

    LINGERING = 0  # the last answer has been sent
    NEW = 1  # no part of a request has arrived
    IDLE_AFTER_FIRST = 2  # between requests, after exactly one request
    IDLE = 3  # between requests, after several
    BUSY = 4  # a request is open and has arrived completely
    RECEIVING = 5  # a request is open, and part of its body is missing; ordered by the latest bytes
    ANSWERING = 6  # a request's answer is being written
    READING_HEAD = 7  # part of a request head has arrived; ordered by the arrival of the latest bytes


class CloseReason(StrEnum):
    """Why this head closed a client's connection, or ended its request; counted in the log."""

    EVICTED_IDLE = "evicted_idle"  # for a new connection, at the limit
    EVICTED_HALTING = "evicted_halting"  # the same; part of its request was missing
    OVER_LIMIT = "over_limit"  # new, and all others have an open request
    IDLE = "idle"
    HEAD_TIMEOUT = "head_timeout"
    HEAD_TOO_LARGE = "head_too_large"
    NO_MEMORY = "no_memory"
    FRAMING = "framing"  # a chunked body that consists of framing in the main
    MALFORMED = "malformed"
    BODY_TIMEOUT = "body_timeout"
    NOT_READING = "not_reading"  # its answer
    DRAINED = "drained"


class TrackedConnection(Protocol):
    """The interface of a client connection that the table uses."""

    loop: asyncio.AbstractEventLoop
    state: State
    state_since: float  # when it entered its state, in the loop's time
    head_since: float  # when the incomplete request head began, in the loop's time

    def close_now(self) -> None:
        """Close immediately."""

    def close_unless_unread(self) -> None:
        """Close immediately, unless bytes have arrived that the loop has not read yet."""

    def seconds_in_state(self) -> float:
        """Return how many seconds the connection has been in its current state."""
        ...

    def seconds_stalled(self) -> float:
        """Return how many seconds the client has read nothing of a pending answer."""
        ...


class ClientTable:
    """All client connections, by state, each in the order in which they entered it."""

    def __init__(
        self,
        max_connections: int,
        max_idle: int,
        max_busy: int,
        max_busy_tightened: int | None = None,
        memory: MemoryAccount | None = None,
        max_streams: int = sys.maxsize,
    ) -> None:
        """Start with no connection.

        Args:
            max_connections: The maximum number of open connections.
            max_idle: The maximum number in State.IDLE_AFTER_FIRST.
            max_busy: The maximum number in State.BUSY, and of those in State.RECEIVING.
            max_busy_tightened: The maximum number with an open request while this head is short of processor
                time; None: max_busy.
            memory: Charged with what the connections hold; None: an account without a limit.
            max_streams: The maximum number whose answer is streamed.
        """
        self.max_streams = max_streams
        self.streaming: set[TrackedConnection] = set()  # connections whose answer is streamed
        self.memory = memory if memory is not None else MemoryAccount(sys.maxsize)
        self.turns = InputTurns()
        self.closes: Counter[CloseReason] = Counter()  # since they were last taken
        self.max_connections = max_connections
        self.max_idle = max_idle
        self.max_busy = max_busy
        # on an overloaded head connections outlive their answers, and clients soon have no free ones left
        self.max_busy_tightened = max_busy if max_busy_tightened is None else max_busy_tightened
        self.busy_at_predecessor = 0  # connections with an open request in the previous process
        self.tightened_until = 0.0  # in the loop's time
        self.keep_idle = False  # set during shutdown, when clients cannot open new connections
        # each with the time at which it entered its state
        self.by_state: dict[State, dict[TrackedConnection, float]] = {state: {} for state in State}

    def __len__(self) -> int:
        """Return the number of open connections, in all states."""
        return sum(len(connections) for connections in self.by_state.values())

    def set_state(self, connection: TrackedConnection, state: State) -> None:
        """Move a connection to the end of a state's order."""
        self.remove(connection)
        connection.state = state
        connection.state_since = connection.loop.time()
        self.by_state[state][connection] = connection.state_since
        after_first = self.by_state[State.IDLE_AFTER_FIRST]
        if len(after_first) > self.max_idle and not self.keep_idle:
            # The connections of all clients share one limit, and clients that send one request and stay
            # connected would exhaust it. Connections with more requests stay: at a high rate, opening new
            # ones would use a whole core.
            self._close(next(iter(after_first)), CloseReason.EVICTED_IDLE)

    def remove(self, connection: TrackedConnection) -> None:
        """Remove a connection from the table."""
        self.by_state[connection.state].pop(connection, None)
        self.streaming.discard(connection)

    def may_stream(self) -> bool:
        """Return whether one more answer may be streamed, which may take long and leaves memory to others."""
        return len(self.streaming) < self.max_streams and self.memory.allows(0, complete=False)

    def begin_stream(self, connection: TrackedConnection) -> None:
        """Record that a connection's answer is streamed, until it enters another state."""
        self.set_state(connection, State.ANSWERING)
        self.streaming.add(connection)

    def add(self, connection: TrackedConnection) -> None:
        """Add a new connection.

        Over the limit, another connection without an open request is evicted in exchange.
        """
        self.set_state(connection, State.NEW)
        if len(self) > self.max_connections and (evicted := self.eviction_candidate(connection)) is not None:
            halting = evicted.state in (State.READING_HEAD, State.RECEIVING)
            return self._close(evicted, CloseReason.EVICTED_HALTING if halting else CloseReason.EVICTED_IDLE)
        if len(self) > self.max_connections + SPARE_CONNECTIONS:
            self._close(connection, CloseReason.OVER_LIMIT)  # all others have an open request

    def _close(self, connection: TrackedConnection, reason: CloseReason) -> None:
        self.closes[reason] += 1
        connection.close_now()

    def _close_unless_unread(self, connection: TrackedConnection, reason: CloseReason) -> None:
        connection.close_unless_unread()
        if connection not in self.by_state[connection.state]:
            self.closes[reason] += 1

    def take_closes(self) -> dict[str, int]:
        """Return how often connections were closed since the last call, by reason, and reset the counts."""
        closes, self.closes = self.closes, Counter()
        return {reason.value: count for reason, count in closes.items()}

    def eviction_candidate(self, newest: TrackedConnection) -> TrackedConnection | None:
        """Return the connection to evict for a new one; None if all others have an open request.

        Idle connections are evicted before one that was just opened: the first request of that one is
        probably in transit and not read yet.
        """
        oldest = {state: next(iter(connections), None) for state, connections in self.by_state.items()}
        new, reading_head = oldest[State.NEW], oldest[State.READING_HEAD]
        if new is newest:
            new = None
        new_for_long = new is not None and new.seconds_in_state() > JUST_CONNECTED.total_seconds()
        return (
            oldest[State.LINGERING]
            or (new if new_for_long else None)
            or if_stale(reading_head)
            or if_stale(oldest[State.RECEIVING])
            or oldest[State.IDLE_AFTER_FIRST]
            or oldest[State.IDLE]
            or new
            or reading_head
        )

    @property
    def open(self) -> int:
        """The number of connections with an open request, in any state."""
        return sum(len(self.by_state[state]) for state in (State.RECEIVING, State.BUSY, State.ANSWERING))

    @property
    def busy(self) -> int:
        """The number of connections whose open request has arrived completely and has no answer yet."""
        return len(self.by_state[State.BUSY])

    def over_limit(self, receiving: bool = False) -> bool:
        """Return whether too many requests are open; then requests are rejected.

        Those that have arrived completely and those that are still `receiving` have a limit each, and those
        that are being answered none, so that slow or halting clients do not keep others from being served.
        """
        count = len(self.by_state[State.RECEIVING]) if receiving else self.busy
        return count > self.busy_limit()

    def busy_limit(self) -> int:
        """Return how many connections may have an open request now, in each of its two states."""
        tightened = asyncio.get_running_loop().time() < self.tightened_until
        limit = self.max_busy_tightened if tightened else self.max_busy
        return max(0, limit - self.busy_at_predecessor)

    def tighten_busy_limit(self, span: timedelta) -> None:
        """Apply the lower limit for at least this time, as this head is short of processor time."""
        until = asyncio.get_running_loop().time() + span.total_seconds()
        self.tightened_until = max(self.tightened_until, until)

    def sweep(self) -> None:
        """Close connections that exceed a timeout: idle, new, reading a head, or not reading their answer."""
        for connection in list(self.by_state[State.READING_HEAD]):
            if connection.loop.time() - connection.head_since > HEAD_TIMEOUT.total_seconds():
                self._close(connection, CloseReason.HEAD_TIMEOUT)
        for connection in [*self.by_state[State.BUSY], *self.by_state[State.ANSWERING]]:
            if connection.seconds_stalled() > WRITE_STALL_TIMEOUT.total_seconds():
                self._close(connection, CloseReason.NOT_READING)
        for state in (State.NEW, State.IDLE_AFTER_FIRST, State.IDLE, State.LINGERING):
            if state in (State.IDLE_AFTER_FIRST, State.IDLE) and self.keep_idle:
                continue
            timeout = LINGER_TIMEOUT if state is State.LINGERING else IDLE_TIMEOUT
            for connection, since in list(self.by_state[state].items()):
                if connection.loop.time() - since < timeout.total_seconds():
                    break
                if state is State.LINGERING:
                    connection.close_now()
                else:
                    self._close_unless_unread(connection, CloseReason.IDLE)

    async def sweep_periodically(self) -> None:
        """Sweep every SWEEP_INTERVAL, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            self.sweep()

    def close_idle(self, include_new: bool = True) -> None:
        """Close all connections between requests.

        With `include_new` also those without a complete request, except ones that were just opened, whose
        first request may be in transit.
        """
        for state in (
            State.IDLE_AFTER_FIRST,
            State.IDLE,
            *((State.NEW, State.READING_HEAD) if include_new else ()),
        ):
            for connection in list(self.by_state[state]):
                if state is not State.NEW or connection.seconds_in_state() > JUST_CONNECTED.total_seconds():
                    self._close_unless_unread(connection, CloseReason.DRAINED)

    def close_stale_receiving(self) -> None:
        """Close connections of whose incomplete request nothing has arrived for STALE_AFTER."""
        for connection in list(self.by_state[State.RECEIVING]):
            if if_stale(connection) is not None:
                self._close_unless_unread(connection, CloseReason.DRAINED)

    def any_lingering(self) -> bool:
        """Return whether any client has not closed its connection after the last answer."""
        return bool(self.by_state[State.LINGERING])

    def close_lingering(self) -> None:
        """Close the connections whose last answer has been sent."""
        for connection in list(self.by_state[State.LINGERING]):
            connection.close_now()

    def any_just_connected(self) -> bool:
        """Return whether any connection is so new that its first request may still be in transit."""
        return any(
            connection.seconds_in_state() <= JUST_CONNECTED.total_seconds()
            for connection in self.by_state[State.NEW]
        )


def if_stale(connection: TrackedConnection | None) -> TrackedConnection | None:
    """Return the connection if nothing of its incomplete request has arrived for STALE_AFTER."""
    if connection is None or connection.seconds_in_state() <= STALE_AFTER.total_seconds():
        return None
    return connection
