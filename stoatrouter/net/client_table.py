"""The table of clients' connections: how many are open, in which state, for how long, and which end first."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from enum import Enum
from typing import Protocol

# A connection with no open request is ended after this time, whether it has sent anything or not.
IDLE_TIMEOUT = timedelta(seconds=2)
JUST_CONNECTED = timedelta(milliseconds=250)
SPARE_CONNECTIONS = 8  # connections beyond the bound that are still read, to be answered with a rejection
SWEEP_INTERVAL = timedelta(milliseconds=200)
# A head: clients in service take up to 2 s for one, and those that never end theirs are owed a close in 3 s.
HEAD_TIMEOUT = timedelta(milliseconds=2750)
# A head of which nothing has arrived for so long is evicted before others.
STALE_HEAD_AFTER = timedelta(milliseconds=700)
# How long what a client still sends is read and dropped after its last answer: closing over unread input
# would reset the connection, and the client might never see that answer.
LINGER_TIMEOUT = timedelta(seconds=2)
WRITE_STALL_TIMEOUT = timedelta(seconds=10)  # how long a client may take nothing of its answer


class State(Enum):
    """The state of a client's connection."""

    LINGERING = 0  # has its last answer
    NEW = 1  # no part of a request has arrived
    IDLE_AFTER_FIRST = 2  # between requests, and has sent only one
    IDLE = 3  # between requests
    BUSY = 4  # a request is open
    READING_HEAD = 5  # a part of a head has arrived; in the order of the latest bytes


class TrackedConnection(Protocol):
    """What the table needs of a client's connection."""

    loop: asyncio.AbstractEventLoop
    state: State
    state_since: float  # in the loop's time: when it entered its state
    head_since: float  # in the loop's time: when the head that is under way began

    def close_now(self) -> None:
        """Close at once."""

    def close_unless_unread(self) -> None:
        """Close at once, unless bytes have arrived that the loop has not yet read."""

    def seconds_in_state(self) -> float:
        """For how many seconds the connection has been in its present state."""
        ...

    def seconds_stalled(self) -> float:
        """For how many seconds the client has read nothing of a waiting answer."""
        ...


class ClientTable:
    """All connections of clients, by state, and within it in the order in which they entered it."""

    def __init__(
        self, max_connections: int, max_idle: int, max_busy: int, max_busy_tightened: int | None = None
    ) -> None:
        """Start with no connection.

        Args:
            max_connections: How many connections this head keeps open at most.
            max_idle: How many of them may be between requests of clients that have sent only one.
            max_busy: How many of them may have a request open.
            max_busy_tightened: How many may have a request open while this head lacks time; None: max_busy.
        """
        self.max_connections = max_connections
        self.max_idle = max_idle
        self.max_busy = max_busy
        # while this head lacks time, connections outlive their answers, and clients soon have none left
        self.max_busy_tightened = max_busy if max_busy_tightened is None else max_busy_tightened
        self.busy_at_predecessor = 0  # connections with a request open at the previous process
        self.tightened_until = 0.0  # in the loop's time
        self.keep_idle = False  # a stopping head's clients cannot open new ones
        # each with the time since which it has been in its state
        self.by_state: dict[State, dict[TrackedConnection, float]] = {state: {} for state in State}

    def __len__(self) -> int:
        """How many connections are open, in all states."""
        return sum(len(connections) for connections in self.by_state.values())

    def set_state(self, connection: TrackedConnection, state: State) -> None:
        """Move a connection to a state, as the latest of it."""
        self.remove(connection)
        connection.state = state
        connection.state_since = connection.loop.time()
        self.by_state[state][connection] = connection.state_since
        once = self.by_state[State.IDLE_AFTER_FIRST]
        if len(once) > self.max_idle and not self.keep_idle:
            # Guards the other clients: their connections together are bounded, and clients that send one
            # request and stay connected would use them up. Those that send more stay: at a high rate, opening
            # new connections would take a core's time.
            next(iter(once)).close_now()

    def remove(self, connection: TrackedConnection) -> None:
        """Remove a connection from the table."""
        self.by_state[connection.state].pop(connection, None)

    def add(self, connection: TrackedConnection) -> None:
        """Add a new connection.

        Above the bound the least useful connection is closed in its place; those with a request open stay.
        """
        self.set_state(connection, State.NEW)
        if len(self) > self.max_connections and (evicted := self.eviction_candidate(connection)) is not None:
            return evicted.close_now()
        if len(self) > self.max_connections + SPARE_CONNECTIONS:
            connection.close_now()  # all others have a request open

    def eviction_candidate(self, newest: TrackedConnection) -> TrackedConnection | None:
        """Which connection to close for a new one; None where all others have a request open.

        A connection that was just opened is spared before those between requests: its first request is on
        its way, and most likely has not been read yet.
        """
        oldest = {state: next(iter(connections), None) for state, connections in self.by_state.items()}
        silent, begun = oldest[State.NEW], oldest[State.READING_HEAD]
        now = newest.loop.time()
        if silent is newest:
            silent = None
        long_silent = silent is not None and now - silent.state_since > JUST_CONNECTED.total_seconds()
        stale = begun is not None and now - begun.state_since > STALE_HEAD_AFTER.total_seconds()
        return (
            oldest[State.LINGERING]
            or (silent if long_silent else None)
            or (begun if stale else None)
            or oldest[State.IDLE_AFTER_FIRST]
            or oldest[State.IDLE]
            or silent
            or begun
        )

    @property
    def open(self) -> int:
        """How many connections have a request open."""
        return len(self.by_state[State.BUSY])

    def over_busy_limit(self) -> bool:
        """Whether more connections have a request open than may: further requests are rejected."""
        return self.open > self.busy_limit()

    def busy_limit(self) -> int:
        """How many connections may have a request open now."""
        tightened = asyncio.get_running_loop().time() < self.tightened_until
        limit = self.max_busy_tightened if tightened else self.max_busy
        return max(0, limit - self.busy_at_predecessor)

    def tighten_busy_limit(self, span: timedelta) -> None:
        """Apply the lower bound for at least this time, as this head lacks processor time."""
        until = asyncio.get_running_loop().time() + span.total_seconds()
        self.tightened_until = max(self.tightened_until, until)

    def sweep(self) -> None:
        """Close connections that were idle or silent for too long, send endless heads, or read no answer."""
        for connection in list(self.by_state[State.READING_HEAD]):
            if connection.loop.time() - connection.head_since > HEAD_TIMEOUT.total_seconds():
                connection.close_now()
        for connection in list(self.by_state[State.BUSY]):
            if connection.seconds_stalled() > WRITE_STALL_TIMEOUT.total_seconds():
                connection.close_now()
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
                    connection.close_unless_unread()

    async def sweep_periodically(self) -> None:
        """Sweep every SWEEP_INTERVAL, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            self.sweep()

    def close_idle(self, silent: bool = True) -> None:
        """Close all connections between requests.

        With `silent` also those that have not begun a request, except those that were just opened, whose
        first request is on its way.
        """
        for state in (
            State.IDLE_AFTER_FIRST,
            State.IDLE,
            *((State.NEW, State.READING_HEAD) if silent else ()),
        ):
            for connection in list(self.by_state[state]):
                if state is not State.NEW or connection.seconds_in_state() > JUST_CONNECTED.total_seconds():
                    connection.close_unless_unread()

    def any_just_connected(self) -> bool:
        """Whether any connection is so new that its first request may still be on its way."""
        return any(
            connection.seconds_in_state() <= JUST_CONNECTED.total_seconds()
            for connection in self.by_state[State.NEW]
        )
