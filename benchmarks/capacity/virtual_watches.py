"""Many heads' watches of one discovery service, in virtual time: the program's own code decides when to ask.

Only the HTTP client and the clock are replaced: `stoatrouter.net.discovery.Watch` runs as in a head, and
`VirtualDiscovery` answers, holds, spoils or withholds its calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import selectors
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any
from unittest import mock

from loguru import logger
from yarl import URL

from stoatrouter.core.discovery_timeouts import discovery_timeouts
from stoatrouter.net import discovery

DRAIN_GRACE = timedelta(seconds=2)
INCIDENT_AT, LASTS, WATCHED = (
    20.0,
    3.0,
    30.0,
)  # seconds: when it comes, how long discovery is out, and the end
MALFORMED = b'{"generation": 1, "reset": fal'
LATE_BY = 0.5  # seconds past a call's hold; watches wait 0.4


class Incident(Enum):
    """What happens to discovery, once."""

    NONE = "quiet"
    CHANGE = "one entry changes"
    MALFORMED = "one malformed answer to each"
    LATE = "answers 0.5 s late, for 3 s"
    SILENT = "silent for 3 s"
    RESTARTED = "restarted, generations anew"


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a head: when it came and was answered, and the answer's bytes."""

    asked: float
    answered: float
    size: int
    whole: bool


class VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Does not wait: the loop's time moves on instead."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Nothing is ever ready."""
        if timeout is None:
            raise RuntimeError("virtual time stands still: nothing is due")
        self.loop.virtual_now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes as fast as its work is done."""

    def __init__(self) -> None:
        self.virtual_now = 0.0
        selector = VirtualTimeSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Virtual seconds since the loop was made."""
        return self.virtual_now


class VirtualDiscovery:
    """One service: a list, calls that are held until it changes, and one incident."""

    def __init__(self, entries: list[dict[str, Any]], incident: Incident) -> None:
        self.entries, self.incident = entries, incident
        self.generation, self.past = 1_000, False
        self.happened = asyncio.Event()
        self.calls: list[Call] = []
        self.whole = json.dumps({"generation": 0, "reset": True, "instances": entries}).encode()

    async def play(self) -> None:
        """Let the incident happen at its time."""
        await asyncio.sleep(INCIDENT_AT)
        if self.incident is Incident.CHANGE:
            self.generation += 1
        elif self.incident is Incident.RESTARTED:
            self.generation = 1
        self.past = True
        self.happened.set()

    async def answer(self, url: URL) -> bytes:
        """The answer to one call, in its time."""
        loop, body = asyncio.get_running_loop(), b""
        asked = loop.time()
        try:
            body = await self.body(url, asked)
        finally:  # of a call that was given up too
            self.calls.append(Call(asked, loop.time(), len(body), b'"reset": true' in body[:60]))
        return body

    async def body(self, url: URL, asked: float) -> bytes:
        """What a call is told, after its hold."""
        out = INCIDENT_AT <= asked < INCIDENT_AT + LASTS
        if out and self.incident is Incident.SILENT:
            await asyncio.Event().wait()
        held = int(url.query.get("from", -1))
        if held == self.generation:
            before = self.past
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.until_news(), int(url.query["hold_ms"]) / 1000)
            if self.past and not before and self.incident is Incident.MALFORMED:
                return MALFORMED
        if out and self.incident is Incident.LATE:
            await asyncio.sleep(LATE_BY)
        if held < 0:
            return self.whole.replace(b'"generation": 0', b'"generation": %d' % self.generation, 1)
        entries = self.entries[:1] if held < self.generation else []
        return json.dumps({"generation": self.generation, "reset": False, "instances": entries}).encode()

    async def until_news(self) -> None:
        """Wait for the incident, if it is still to come."""
        if self.past or self.incident in (Incident.NONE, Incident.LATE, Incident.SILENT):
            await asyncio.Event().wait()
        await self.happened.wait()


class VirtualSession:
    """In the place of aiohttp's client session."""

    service: VirtualDiscovery

    def __init__(self, **_: Any) -> None:
        pass

    async def __aenter__(self) -> VirtualSession:
        return self

    async def __aexit__(self, *_: object) -> None:
        pass

    @contextlib.asynccontextmanager
    async def get(self, url: URL, **_: Any) -> AsyncIterator[VirtualResponse]:
        """One call."""
        yield VirtualResponse(await self.service.answer(url))


class VirtualResponse:
    """In the place of aiohttp's response."""

    status = 200

    def __init__(self, body: bytes) -> None:
        self.left = body
        self.content = self

    async def read(self, most: int) -> bytes:
        """The body, then nothing."""
        body, self.left = self.left, b""
        return body


@contextlib.contextmanager
def without_network(service: VirtualDiscovery) -> Iterator[None]:
    """Have watches call this service; their log is not written."""
    session = type("Session", (VirtualSession,), {"service": service})
    logger.disable("stoatrouter")
    with mock.patch.multiple(discovery.aiohttp, ClientSession=session, TCPConnector=mock.Mock()):
        try:
            yield
        finally:
            logger.enable("stoatrouter")


async def watch_all(
    heads: int, entries: list[dict[str, Any]], pushed: bool, incident: Incident
) -> list[Call]:
    """All calls of so many heads that start within the first seconds and know the list."""
    service = VirtualDiscovery(entries, incident)
    known = json.loads(service.whole) | {"generation": service.generation}
    times = discovery_timeouts(pushed, DRAIN_GRACE)
    with without_network(service):
        tasks = [asyncio.create_task(service.play())]
        for _ in range(heads):
            watch = discovery.Watch("discovery:1", known, lambda *_: None, pushed=pushed, times=times)
            watch.generation = service.generation
            tasks.append(asyncio.create_task(start_later(watch, random.uniform(0.0, 5.0))))
        await asyncio.sleep(WATCHED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return service.calls


async def start_later(watch: discovery.Watch, after: float) -> None:
    """Heads do not start in the same moment."""
    await asyncio.sleep(after)
    await watch.follow()


def calls_of_fleet(
    heads: int, entries: list[dict[str, Any]], pushed: bool, incident: Incident, seed: int
) -> list[Call]:
    """The calls of a fleet in virtual time, in the order in which they came."""
    random.seed(f"watches/{seed}")
    loop = VirtualTimeLoop()
    try:
        calls = loop.run_until_complete(watch_all(heads, entries, pushed, incident))
    finally:
        loop.close()
    return sorted(calls, key=lambda call: call.asked)
