"""Instrumented head that splits its processor time by place; takes the configuration of `stoatrouter`.

With CAPACITY_SPLIT set, the thread time of each callback of the event loop is added to the place to which it
belongs; nested calls of the reducer and the decision module are added to their own places instead. Time of
the process beyond the sum is that of the loop itself (select, scheduling) and of the timing. On SIGUSR1 the
sums are written as JSON to the file named by CAPACITY_SNAPSHOT. CAPACITY_IDLE_SECONDS keeps idle clients
longer than the program does, so that their memory can be measured.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from stoatrouter import __main__ as program
from stoatrouter.core.reducer import Reducer
from stoatrouter.net import client_table, clients
from stoatrouter.net.node_connection import NodeConnection
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.pool import NodePool
from stoatrouter.policy import Scheduler

FRONT, NODE_CLIENT, DIAL = "front", "node client", "dial"
REDUCER, DECISION, READING, LIST = "reducer", "decision", "reading", "list"
TIMERS, ACCEPT, OTHER = "timers", "accept", "other"


class PlaceTimes:
    """Processor time by place; the time of a nested call is subtracted from its caller."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.nested_seconds = [0.0]  # time of the calls nested in each running call, outermost first

    def run(self, place: str, function: Callable[..., Any], *arguments: Any, **named: Any) -> Any:
        """Call a function and add its time to a place."""
        started_at = time.thread_time()
        self.nested_seconds.append(0.0)
        try:
            return function(*arguments, **named)
        finally:
            elapsed = time.thread_time() - started_at
            self.seconds[place] = self.seconds.get(place, 0.0) + elapsed - self.nested_seconds.pop()
            self.calls[place] = self.calls.get(place, 0) + 1
            self.nested_seconds[-1] += elapsed

    def wrap(self, owner: Any, name: str, place: Callable[..., str]) -> None:
        """Time all calls of a method; the place may depend on its arguments."""
        function = getattr(owner, name)

        @functools.wraps(function)
        def timed(*arguments: Any, **named: Any) -> Any:
            return self.run(place(*arguments), function, *arguments, **named)

        setattr(owner, name, timed)


PLACE_TIMES = PlaceTimes()
PLACES_BY_PROTOCOL = {clients.ClientConnection: FRONT, NodeConnection: NODE_CLIENT}
PLACES_BY_COROUTINE = {
    "RequestHandler.start": FRONT,
    "RequestHandler._handle_request": FRONT,
    "BaseSelectorEventLoop._accept_connection2": ACCEPT,
    "ClientTable.sweep_periodically": FRONT,
    "NodeClient.attempt": NODE_CLIENT,
    "TrackedRequest.write_bytes": NODE_CLIENT,
    "Watch.follow": LIST,
}
PLACES_BY_CALLBACK = {
    "Engine.timer_due": TIMERS,
    "Engine.overdue": TIMERS,
    "Engine.attempt_ended": NODE_CLIENT,
    "ClientRequest.__reset_writer": NODE_CLIENT,
    "BaseSelectorEventLoop._accept_connection": ACCEPT,
    "BaseSelectorEventLoop._sock_write_done": NODE_CLIENT,
    "BaseSelectorEventLoop._sock_connect_cb": DIAL,
    "ClientConnection.connection_made": ACCEPT,
    "NodeConnection.connection_made": DIAL,
}


def place_of(callback: Any) -> str:
    """Return the place of a callback, and count callbacks without a known place by name."""
    place = known_place(callback)
    if place == OTHER:
        name = f"unplaced {describe(callback)}"
        PLACE_TIMES.calls[name] = PLACE_TIMES.calls.get(name, 0) + 1
    return place


def describe(callback: Any) -> str:
    """Return the name of a callback."""
    function = getattr(callback, "func", callback)
    owner = getattr(function, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {getattr(owner.get_coro(), '__qualname__', '?')}"
    return str(getattr(function, "__qualname__", function))


def known_place(callback: Any) -> str:
    """Return the place of a callback, or OTHER."""
    function = getattr(callback, "func", callback)  # of a functools.partial
    owner = getattr(function, "__self__", None)
    if isinstance(owner, asyncio.Task):
        name = getattr(owner.get_coro(), "__qualname__", "")
        return PLACES_BY_COROUTINE.get(name, OTHER)
    protocol = getattr(owner, "_protocol", None)
    if protocol is not None:
        return PLACES_BY_PROTOCOL.get(type(protocol), OTHER)
    name = getattr(function, "__qualname__", "")
    if isinstance(owner, clients.ClientConnection | NodeConnection):
        return PLACES_BY_CALLBACK.get(name, PLACES_BY_PROTOCOL[type(owner)])
    return PLACES_BY_CALLBACK.get(name, OTHER)


def decision_place(scheduler: Scheduler, now: int, event: Any) -> str:
    """Return the place of a scheduler call, with readings and lists separate from requests."""
    name = type(event).__name__
    if name == "EndpointList":
        return LIST
    return READING if name == "TimerFired" and event.token == 0 else DECISION


def instrument() -> None:
    """Time the callbacks of the event loop, and the calls of the reducer and the decision module."""
    run = asyncio.events.Handle._run

    def timed(handle: asyncio.Handle) -> Any:
        return PLACE_TIMES.run(place_of(handle._callback), run, handle)  # type: ignore[attr-defined]

    asyncio.events.Handle._run = timed  # type: ignore[method-assign]
    PLACE_TIMES.wrap(Reducer, "reduce", lambda *_: REDUCER)
    PLACE_TIMES.wrap(Scheduler, "handle", decision_place)
    count_calls(NodeClient, "attempt", "attempts")
    count_calls(NodePool, "_create_connection", "connections dialled")


def count_calls(owner: Any, name: str, what: str) -> None:
    """Count the calls of a coroutine function."""
    function = getattr(owner, name)

    @functools.wraps(function)
    async def counted(*arguments: Any, **named: Any) -> Any:
        PLACE_TIMES.calls[what] = PLACE_TIMES.calls.get(what, 0) + 1
        return await function(*arguments, **named)

    setattr(owner, name, counted)


def write_snapshot() -> None:
    """Write the sums so far to the snapshot file."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    snapshot = {
        "seconds": PLACE_TIMES.seconds,
        "calls": PLACE_TIMES.calls,
        "user_s": usage.ru_utime,
        "system_s": usage.ru_stime,
        "peak_mb": usage.ru_maxrss / 1000,
    }
    path = Path(os.environ["CAPACITY_SNAPSHOT"])
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(snapshot))
    temporary.replace(path)


def main() -> int:
    """Run the program with instrumentation."""
    if os.environ.get("CAPACITY_SPLIT"):
        instrument()
    if idle := os.environ.get("CAPACITY_IDLE_SECONDS"):
        client_table.IDLE_TIMEOUT = timedelta(seconds=float(idle))
    start = program.Head.start

    async def start_and_watch(head: Any) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, write_snapshot)
        await start(head)

    program.Head.start = start_and_watch  # type: ignore[method-assign]
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
