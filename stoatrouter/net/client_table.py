"""The table of clients' connections: how many are open, in which state, for how long, and which end first."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from enum import Enum
from typing import Protocol

# A connection with no open request is ended after this time, whether it has said anything or not.
IDLE = timedelta(seconds=2)
JUST_CONNECTED = timedelta(milliseconds=250)
SPARE = 8  # connections beyond the bound that are still heard, to be refused in words
SWEEP_EVERY = timedelta(milliseconds=200)
# A head: clients in service take up to 2 s for one, and those that never end theirs are owed a close in 3 s.
HEAD_WITHIN = timedelta(milliseconds=2750)
STALE = timedelta(milliseconds=700)  # a head of which nothing has come for so long makes room before others
# How long what a client still sends is read and dropped after its last answer: closing over unread input
# would reset the connection, and the client might never see that answer.
LINGER = timedelta(seconds=2)
UNREAD = timedelta(seconds=10)  # how long a client may take nothing of its answer


class State(Enum):
    """The state of a client's connection."""

    ENDING = 0  # has its last answer
    SILENT = 1  # nothing has come that is a request
    ONCE = 2  # has asked once and not again
    IDLE = 3  # between requests
    BUSY = 4  # a request is open
    BEGUN = 5  # a part of a head has come; in the order of the latest bytes


class TrackedConnection(Protocol):
    """What the table needs of a client's connection."""

    loop: asyncio.AbstractEventLoop
    state: State
    since: float  # in the loop's time: when it entered its state
    begun: float  # in the loop's time: when the head that is under way began

    def end(self) -> None:
        """Close at once."""

    def end_unless_asked(self) -> None:
        """Close at once, unless bytes have arrived that the loop has not yet read."""

    def seconds_in_state(self) -> float:
        """For how many seconds the connection has been in its present state."""
        ...

    def unread_for(self) -> float:
        """For how many seconds the client has read nothing of a waiting answer."""
        ...


class ClientTable:
    """All connections of clients, by state, and within it in the order in which they entered it."""

    def __init__(self, most: int, idle_most: int, busy_most: int, busy_pressed: int | None = None) -> None:
        """Start with no connection.

        Args:
            most: How many connections this head keeps open at most.
            idle_most: How many of them may be between requests of clients that asked only once.
            busy_most: How many of them may have a request open.
            busy_pressed: How many may have a request open while this head lacks time; None: busy_most.
        """
        self.most, self.idle_most = most, idle_most
        # how many may have a request open, and how many while this head lacks time: connections then outlive
        # their answers, and clients soon have none left
        self.busy_most, self.busy_pressed = busy_most, busy_most if busy_pressed is None else busy_pressed
        self.busy_elsewhere = 0  # at the process before this one
        self.pressed_until = 0.0
        self.keep_idle = False  # a stopping head's clients cannot open new ones
        self.by_state: dict[State, dict[TrackedConnection, float]] = {
            state: {} for state in State
        }  # since when

    def __len__(self) -> int:
        """How many connections are open, in all states."""
        return sum(len(connections) for connections in self.by_state.values())

    def put(self, connection: TrackedConnection, state: State) -> None:
        """Move a connection to a state, as the latest of it."""
        self.leave(connection)
        connection.state, connection.since = state, connection.loop.time()
        self.by_state[state][connection] = connection.since
        once = self.by_state[State.ONCE]
        if len(once) > self.idle_most and not self.keep_idle:
            # Guards the other clients: what they may hold together is bounded, and those that ask once and
            # keep their connection would take all of it. Those that ask again keep theirs: at a high rate,
            # opening new ones would take a core's time.
            next(iter(once)).end()

    def leave(self, connection: TrackedConnection) -> None:
        """Remove a connection from the table."""
        self.by_state[connection.state].pop(connection, None)

    def enter(self, connection: TrackedConnection) -> None:
        """Add a new connection.

        Above the bound the least useful connection is closed in its place; those with a request open stay.
        """
        self.put(connection, State.SILENT)
        if len(self) > self.most and (least := self.least_used(connection)) is not None:
            return least.end()
        if len(self) > self.most + SPARE:
            connection.end()  # all others have a request open

    def least_used(self, newest: TrackedConnection) -> TrackedConnection | None:
        """Which connection to close for a new one; None where all others have a request open.

        A connection that was just opened is spared before those between requests: its first request is on
        its way, and most likely has not been read yet.
        """
        oldest = {state: next(iter(connections), None) for state, connections in self.by_state.items()}
        silent, begun, now = oldest[State.SILENT], oldest[State.BEGUN], newest.loop.time()
        if silent is newest:
            silent = None
        long_silent = silent is not None and now - silent.since > JUST_CONNECTED.total_seconds()
        stale = begun is not None and now - begun.since > STALE.total_seconds()
        return (
            oldest[State.ENDING]
            or (silent if long_silent else None)
            or (begun if stale else None)
            or oldest[State.ONCE]
            or oldest[State.IDLE]
            or silent
            or begun
        )

    @property
    def open(self) -> int:
        """How many connections have a request open."""
        return len(self.by_state[State.BUSY])

    def crowded(self) -> bool:
        """Whether requests on further connections are to be refused."""
        return self.open > self.busy_bound()

    def busy_bound(self) -> int:
        """How many connections may have a request open now."""
        pressed = asyncio.get_running_loop().time() < self.pressed_until
        return max(0, (self.busy_pressed if pressed else self.busy_most) - self.busy_elsewhere)

    def press(self, span: timedelta) -> None:
        """Apply the lower bound for at least this time, as the event loop lags."""
        self.pressed_until = max(self.pressed_until, asyncio.get_running_loop().time() + span.total_seconds())

    def sweep(self) -> None:
        """Close connections that were idle or silent for too long, send endless heads, or read no answer."""
        for connection in list(self.by_state[State.BEGUN]):
            if connection.loop.time() - connection.begun > HEAD_WITHIN.total_seconds():
                connection.end()
        for connection in list(self.by_state[State.BUSY]):
            if connection.unread_for() > UNREAD.total_seconds():
                connection.end()
        for state in (State.SILENT, State.ONCE, State.IDLE, State.ENDING):
            if state in (State.ONCE, State.IDLE) and self.keep_idle:
                continue
            after = LINGER if state is State.ENDING else IDLE
            for connection, since in list(self.by_state[state].items()):
                if connection.loop.time() - since < after.total_seconds():
                    break
                if state is State.ENDING:
                    connection.end()
                else:
                    connection.end_unless_asked()

    async def keep_swept(self) -> None:
        """Sweep every SWEEP_EVERY, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_EVERY.total_seconds())
            self.sweep()

    def end_idle(self, silent: bool = True) -> None:
        """Close all connections between requests.

        With `silent` also those that have not begun a request, except those that were just opened, whose
        first request is on its way.
        """
        for state in (State.ONCE, State.IDLE, *((State.SILENT, State.BEGUN) if silent else ())):
            for connection in list(self.by_state[state]):
                if (
                    state is not State.SILENT
                    or connection.seconds_in_state() > JUST_CONNECTED.total_seconds()
                ):
                    connection.end_unless_asked()

    def any_just_connected(self) -> bool:
        """Whether any connection is so new that its first request may still be on its way."""
        return any(
            c.seconds_in_state() <= JUST_CONNECTED.total_seconds() for c in self.by_state[State.SILENT]
        )
