"""Watches of one discovery service by many heads, in virtual time, with the program's own timing of calls.

Only the HTTP client and the clock are replaced: `stoatrouter.net.discovery.Watch` runs as in a head, and
`VirtualDiscovery` answers its calls, holds them, gives malformed answers or none.
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
# Times in seconds.
INCIDENT_AT = 20.0
INCIDENT_LENGTH = 3.0  # for which discovery is late or silent
RUN_LENGTH = 30.0
MALFORMED = b'{"generation": 1, "reset": fal'
ANSWER_DELAY = 0.5  # seconds after the hold of a call; watches wait for 0.4


class Incident(Enum):
    """Kinds of incident at discovery, one per run."""

    NONE = "quiet"
    CHANGE = "one entry changes"
    MALFORMED = "one malformed answer to each"
    LATE = "answers 0.5 s late, for 3 s"
    SILENT = "silent for 3 s"
    RESTARTED = "restarted, generations anew"


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a head: times of call and answer, and the bytes of the answer."""

    asked: float
    answered: float
    size: int
    whole: bool


class VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """A selector that advances the virtual time of its loop instead of waiting."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance virtual time by the timeout, without waiting."""
        if timeout is None:
            raise RuntimeError("virtual time cannot advance: no timer is due")
        self.loop.virtual_now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose virtual time advances without waiting."""

    def __init__(self) -> None:
        self.virtual_now = 0.0
        selector = VirtualTimeSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self.virtual_now


class VirtualDiscovery:
    """A discovery service with a list, calls that are held until it changes, and one incident."""

    def __init__(self, entries: list[dict[str, Any]], incident: Incident) -> None:
        self.entries, self.incident = entries, incident
        self.generation, self.incident_started = 1_000, False
        self.incident_event = asyncio.Event()
        self.calls: list[Call] = []
        self.whole = json.dumps({"generation": 0, "reset": True, "instances": entries}).encode()

    async def run_incident(self) -> None:
        """Trigger the incident at its time."""
        await asyncio.sleep(INCIDENT_AT)
        if self.incident is Incident.CHANGE:
            self.generation += 1
        elif self.incident is Incident.RESTARTED:
            self.generation = 1
        self.incident_started = True
        self.incident_event.set()

    async def answer(self, url: URL) -> bytes:
        """Return the answer to one call, when it is due, and record the call."""
        loop, body = asyncio.get_running_loop(), b""
        asked = loop.time()
        try:
            body = await self.body(url, asked)
        finally:  # also records cancelled calls
            self.calls.append(Call(asked, loop.time(), len(body), b'"reset": true' in body[:60]))
        return body

    async def body(self, url: URL, asked: float) -> bytes:
        """Return the body of an answer, after holding the call."""
        unavailable = INCIDENT_AT <= asked < INCIDENT_AT + INCIDENT_LENGTH
        if unavailable and self.incident is Incident.SILENT:
            await asyncio.Event().wait()
        known_generation = int(url.query.get("from", -1))
        if known_generation == self.generation:
            had_started = self.incident_started
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wait_for_incident(), int(url.query["hold_ms"]) / 1000)
            if self.incident_started and not had_started and self.incident is Incident.MALFORMED:
                return MALFORMED
        if unavailable and self.incident is Incident.LATE:
            await asyncio.sleep(ANSWER_DELAY)
        if known_generation < 0:
            return self.whole.replace(b'"generation": 0', b'"generation": %d' % self.generation, 1)
        entries = self.entries[:1] if known_generation < self.generation else []
        return json.dumps({"generation": self.generation, "reset": False, "instances": entries}).encode()

    async def wait_for_incident(self) -> None:
        """Wait for an incident that changes the answers, or forever if there is none to come."""
        if self.incident_started or self.incident in (Incident.NONE, Incident.LATE, Incident.SILENT):
            await asyncio.Event().wait()
        await self.incident_event.wait()


class VirtualSession:
    """Replaces the client session of aiohttp."""

    service: VirtualDiscovery

    def __init__(self, **_: Any) -> None:
        pass

    async def __aenter__(self) -> VirtualSession:
        return self

    async def __aexit__(self, *_: object) -> None:
        pass

    @contextlib.asynccontextmanager
    async def get(self, url: URL, **_: Any) -> AsyncIterator[VirtualResponse]:
        """Make one call."""
        yield VirtualResponse(await self.service.answer(url))


class VirtualResponse:
    """Replaces the response of aiohttp."""

    status = 200

    def __init__(self, body: bytes) -> None:
        self.remaining = body
        self.content = self

    async def read(self, most: int) -> bytes:
        """Return the body, and then nothing."""
        body, self.remaining = self.remaining, b""
        return body


@contextlib.contextmanager
def without_network(service: VirtualDiscovery) -> Iterator[None]:
    """Direct watches to a service, with their log disabled."""
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
    """Return all calls of heads that know the list and start within the first 5 seconds."""
    service = VirtualDiscovery(entries, incident)
    known = json.loads(service.whole) | {"generation": service.generation}
    times = discovery_timeouts(pushed, DRAIN_GRACE)
    with without_network(service):
        tasks = [asyncio.create_task(service.run_incident())]
        for _ in range(heads):
            watch = discovery.Watch("discovery:1", known, lambda *_: None, pushed=pushed, times=times)
            watch.generation = service.generation
            tasks.append(asyncio.create_task(start_later(watch, random.uniform(0.0, 5.0))))
        await asyncio.sleep(RUN_LENGTH)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return service.calls


async def start_later(watch: discovery.Watch, after: float) -> None:
    """Start a watch after a delay, as heads do not all start at once."""
    await asyncio.sleep(after)
    await watch.follow()


def calls_of_fleet(
    heads: int, entries: list[dict[str, Any]], pushed: bool, incident: Incident, seed: int
) -> list[Call]:
    """Return the calls of a fleet in virtual time, in order."""
    random.seed(f"watches/{seed}")
    loop = VirtualTimeLoop()
    try:
        calls = loop.run_until_complete(watch_all(heads, entries, pushed, incident))
    finally:
        loop.close()
    return sorted(calls, key=lambda call: call.asked)
