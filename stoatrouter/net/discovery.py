"""The watch of discovery's endpoint list; errors, silence or malformed messages never end it."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import aiohttp
from loguru import logger
from yarl import URL

from stoatrouter.core.list_times import ListTimes, list_times
from stoatrouter.core.model import NodeInfo
from stoatrouter.net.background import start_task
from stoatrouter.net.endpoint_list import read_list
from stoatrouter.net.errors import ExchangeBroken, MalformedList
from stoatrouter.net.tracked_request import prevent_resend
from stoatrouter.policy.interface import ListKind, Phase

MIN_CALL_INTERVAL = timedelta(milliseconds=50)  # of calls that are answered at once and bring nothing
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_BACKOFF_DOUBLINGS = 10  # of the backoff
MAX_LOGGED_FAULTS = 1000  # faults of entries that are remembered as logged

# the kind, the entries, and how long before now they may have counted as notified; None: not known
ListCallback = Callable[[ListKind, tuple[NodeInfo, ...], timedelta | None], None]


@dataclass(slots=True, frozen=True)
class PlannedCall:
    """One call of discovery: its URL, and the timeout of all of it."""

    url: URL
    timeout: timedelta


class EntryFaults:
    """Counts unreadable entries, and logs each fault once."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Start with no fault logged.

        Args:
            count: Called with entry_unreadable for each fault.
        """
        self.count = count
        self.logged: set[str] = set()

    def record(self, faults: tuple[str, ...]) -> None:
        """Count these faults, and log those that are new; at most MAX_LOGGED_FAULTS are logged."""
        for fault in faults:
            self.count("entry_unreadable")
            if fault not in self.logged and len(self.logged) < MAX_LOGGED_FAULTS:
                self.logged.add(fault)
                logger.warning(
                    "discovery: an entry cannot be read, the others are taken: {error}",
                    event="discovery.entry_unreadable",
                    error=fault,
                )


class Watch:
    """Follows the node list and reports what changed."""

    def __init__(
        self,
        address: str,
        known: dict[str, Any],
        on_list: ListCallback,
        count: Callable[[str], None] = lambda _: None,
        pushed: bool = True,
        times: ListTimes | None = None,
        zones: tuple[str, ...] = (),
    ) -> None:
        """Set up a watch of the endpoint list; it polls nothing until run.

        Args:
            address: Where discovery answers, as host:port.
            known: The list this head last had (as discovery wrote it), to restore; empty: none.
            on_list: Called with the kind, the entries, and how long before now they may have been notified
                (None: not known), for a restored list and for each list or watch event that changes anything.
            count: Called with the name of a fault that is counted, such as entry_unreadable.
            pushed: Whether an agent on this machine pushes the list, and is polled often; else one discovery
                service serves all heads and is polled seldom.
            times: The timeouts and backoff of calls; None: those that list_times gives for `pushed`.
            zones: The zones by name, in the order in which the settings number them.
        """
        self.address = address
        self.on_list = on_list
        self.pushed = pushed
        self.zones = zones
        self.times = times or list_times(pushed, timedelta(seconds=2))
        self.known = known
        self.entry_faults = EntryFaults(count)
        self.cached: dict[str, NodeInfo] = {}  # as last notified, for entries that cannot be read
        self.generation: int | None = None
        self.call_started = 0.0  # in the loop's time
        self.current_at: float | None = None  # in the loop's time: up to when the cached list is current
        self.failures = 0  # calls in a row
        self.address_changed = asyncio.Event()
        self.answered = asyncio.Event()

    def restore(self) -> None:
        """Report the list that this head last had, which may be out of date."""
        self.generation = None
        nodes: tuple[NodeInfo, ...] = ()
        faults: tuple[str, ...] = ()
        try:
            if self.known:
                message = read_list(self.known, zones=self.zones)
                self.generation = message.generation
                nodes = message.nodes
                faults = message.faults
        except ValueError as error:
            logger.warning(
                "discovery: the known list cannot be read: {error}",
                event="discovery.known_unreadable",
                error=str(error),
            )
        self.report(ListKind.RESTORED, nodes, faults)

    async def wait_for_first_answer(self) -> None:
        """Wait for the first answer, within a bound: a start must not depend on discovery.

        What the agent of a new process has is binding from its first moment, and the restored list may be
        old.
        """
        try:
            async with asyncio.timeout(self.times.first_answer.total_seconds()):
                await self.answered.wait()
        except TimeoutError:
            logger.warning(
                "discovery: no answer yet, serving on the list known before", event="discovery.unheard"
            )

    def change_address(self, address: str) -> None:
        """Watch at another address from now on.

        The list and its generation stay: the next call requests newer changes there, so that none is missed.
        """
        if address != self.address:
            self.address = address
            self.address_changed.set()

    async def run(self) -> None:
        """Watch until cancelled, at whatever address is current."""
        while True:
            self.address_changed.clear()
            following = start_task("discovery's watch", self.follow)
            try:
                await self.address_changed.wait()
            finally:
                # Guards a moved watch against the old agent, which may be silent from now on.
                following.cancel()
                await asyncio.gather(following, return_exceptions=True)

    async def follow(self) -> None:
        """Watch at one address until cancelled."""
        # one connection of its own: nothing of the pool to nodes can hold it up
        connector = aiohttp.TCPConnector(limit=2, keepalive_timeout=2 * self.times.hold.total_seconds())
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.times.connect.total_seconds())
        async with aiohttp.ClientSession(
            connector=connector,
            middlewares=(prevent_resend,),
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
            timeout=timeout,
        ) as session:
            while True:
                try:
                    changed = await self.call(session)
                    self.record_success()
                    # Guards the core against an agent that does not hold calls: polling is paced then.
                    elapsed = asyncio.get_running_loop().time() - self.call_started
                    if not changed and elapsed < MIN_CALL_INTERVAL.total_seconds():
                        await asyncio.sleep(MIN_CALL_INTERVAL.total_seconds())
                except (aiohttp.ClientError, ExchangeBroken, OSError, ValueError, TimeoutError) as error:
                    self.record_failure(error)
                    await asyncio.sleep(self.backoff().total_seconds())
                except Exception:
                    # Guards against a list that sets off a fault elsewhere: the watch must outlive it.
                    logger.exception("discovery: a list could not be applied", event="discovery.fault")
                    self.failures += 1
                    await asyncio.sleep(self.backoff().total_seconds())

    def backoff(self) -> timedelta:
        """The backoff after a failure: doubled per failure in a row, up to times.max_backoff.

        It is jittered, as all heads lose discovery at the same moment.
        """
        doubled = self.times.backoff * (1 << min(MAX_BACKOFF_DOUBLINGS, max(0, self.failures - 1)))
        return min(self.times.max_backoff, doubled) * (0.5 + random.random() / 2)

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """Make one call, for the complete list or for changes; returns whether it brought any.

        Raises MalformedList or ValueError for a malformed answer, and the client's errors.
        """
        planned = self.plan_call()
        self.call_started = asyncio.get_running_loop().time()
        # one timeout for all of it, as bytes may trickle: dial, wait, head and body
        async with asyncio.timeout(planned.timeout.total_seconds()):
            raw = await fetch(session, planned.url)
        try:
            data = json.loads(raw)
        except RecursionError:  # brackets without end
            raise MalformedList("list nested too deeply") from None
        changed = self.apply(data, self.age())
        self.current_at = asyncio.get_running_loop().time()
        self.answered.set()
        return changed

    def plan_call(self) -> PlannedCall:
        """Plan the next call: for the complete list, or for changes since the cached generation.

        After a failure the call is not held: an answer is then due at once, and a silent peer is detected in
        a fraction of the time.
        """
        times = self.times
        hold = times.hold * (0.75 + random.random() / 4)  # so that the calls of all heads do not coincide
        if self.failures or not self.answered.is_set():
            hold = times.brief
        timeout = hold + times.late if hold > times.brief else times.answer
        query = ""
        if self.generation is not None:
            query = f"?from={self.generation}&hold_ms={hold // timedelta(milliseconds=1)}"
        else:
            timeout = times.answer
        return PlannedCall(URL(f"http://{self.address}/v1/servers{query}", encoded=True), timeout)

    def apply(self, data: Any, age: timedelta | None = timedelta(0)) -> bool:
        """Apply one message; returns whether it brought changes.

        Args:
            data: The message as JSON data.
            age: For how long it may already have been binding; None: not known.

        Raises:
            MalformedList: It breaks the protocol, or does not follow on the cached list.
        """
        message = read_list(data, self.cached, self.zones)
        if not message.complete and (self.generation is None or message.generation < self.generation):
            # Guards against changes to another list than the cached one, as from an agent that restarted
            # its generations.
            self.generation = None  # the next call requests the complete list
            raise MalformedList("changes to a list that is not cached")
        self.generation = message.generation
        if message.complete or message.nodes or message.faults:
            kind = ListKind.FULL if message.complete else ListKind.CHANGES
            self.report(kind, message.nodes, message.faults, age)
        return message.complete or bool(message.nodes)

    def age(self) -> timedelta | None:
        """For how long the message just read may already have been binding; None: not known.

        Where lists are pushed a message is binding once the agent has it, so that is the time since the last
        answer, less the time in which the agent could have answered this call.
        """
        if not self.pushed:
            return timedelta(0)  # it counts as notified once it is written
        if self.current_at is None:
            return None
        return timedelta(seconds=max(0.0, self.call_started - self.current_at))

    def report(
        self,
        kind: ListKind,
        nodes: tuple[NodeInfo, ...],
        faults: tuple[str, ...],
        age: timedelta | None = timedelta(0),
    ) -> None:
        """Report the entries that could be read, and log each unreadable one once."""
        self.entry_faults.record(faults)
        if kind is not ListKind.CHANGES:
            self.cached.clear()
        for node in nodes:
            self.cached[node.id] = node
            if node.phase is Phase.GONE:
                del self.cached[node.id]
        if nodes or kind is not ListKind.CHANGES:
            self.on_list(kind, nodes, age)

    def record_failure(self, error: BaseException) -> None:
        """Count a failed call; the first one in a row is logged."""
        if not self.failures:
            logger.warning(
                "discovery: not reached, the list held stays in use: {error}",
                event="discovery.lost",
                error=repr(error),
            )
        self.failures += 1

    def record_success(self) -> None:
        """End a row of failures; it is logged where there was one."""
        if self.failures:
            logger.info(
                "discovery: reached again, generation {generation}",
                event="discovery.reached",
                generation=self.generation,
            )
        self.failures = 0


async def fetch(session: aiohttp.ClientSession, url: URL) -> bytearray:
    """Read the body at a URL; raises MalformedList for a status but 200 or more than MAX_LIST_BYTES bytes."""
    async with session.get(url, allow_redirects=False) as response:
        if response.status != 200:
            raise MalformedList(f"status {response.status} (allowed: 200)")
        raw = bytearray()
        while chunk := await response.content.read(MAX_LIST_BYTES):
            raw += chunk
            if len(raw) > MAX_LIST_BYTES:  # guards memory against an answer without end
                raise MalformedList(
                    f"list too large: {len(raw)} bytes or more (allowed: {MAX_LIST_BYTES} or less)"
                )
    return raw
