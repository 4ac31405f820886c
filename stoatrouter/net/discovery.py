"""Watches discovery's endpoint list; errors, timeouts and malformed messages never end the watch."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import aiohttp
from loguru import logger
from yarl import URL

from stoatrouter.core.discovery_timeouts import DiscoveryTimeouts, discovery_timeouts
from stoatrouter.core.model import NodeInfo
from stoatrouter.net.background import start_task
from stoatrouter.net.discovery_connection import DiscoveryConnector
from stoatrouter.net.endpoint_list import read_list
from stoatrouter.net.errors import ExchangeBroken, MalformedList
from stoatrouter.net.memory import MemoryAccount, MemoryKind
from stoatrouter.net.tracked_request import prevent_resend
from stoatrouter.policy.interface import ListKind, Phase

MIN_CALL_INTERVAL = timedelta(milliseconds=50)  # between calls that return at once without changes
MAX_LIST_BYTES = 4 * 1024 * 1024
LIST_COST = 8  # bytes held for each byte of a list: as received, as JSON data, and as entries
MAX_BACKOFF_DOUBLINGS = 10
MAX_LOGGED_FAULTS = 1000  # distinct faults of entries that are logged

# Receives the kind, the entries, and how long they may already have been in effect; None: not known.
ListCallback = Callable[[ListKind, tuple[NodeInfo, ...], timedelta | None], None]


@dataclass(slots=True, frozen=True)
class PlannedCall:
    """One call to discovery: its URL, and the timeout for the whole call."""

    url: URL
    timeout: timedelta


class EntryFaults:
    """Counts malformed entries, and logs each distinct fault once."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Start with no fault logged.

        Args:
            count: Called with "entry_unreadable" for each fault.
        """
        self.count = count
        self.logged: set[str] = set()

    def record(self, faults: tuple[str, ...]) -> None:
        """Count these faults and log the new ones, up to MAX_LOGGED_FAULTS in total."""
        for fault in faults:
            self.count("entry_unreadable")
            if fault not in self.logged and len(self.logged) < MAX_LOGGED_FAULTS:
                self.logged.add(fault)
                logger.warning(
                    "discovery: skipped a malformed entry: {error}",
                    event="discovery.entry_unreadable",
                    error=fault,
                )


class Watch:
    """Watches the endpoint list and reports changes to it."""

    def __init__(
        self,
        address: str,
        last_list: dict[str, Any],
        on_list: ListCallback,
        count: Callable[[str], None] = lambda _: None,
        pushed: bool = True,
        times: DiscoveryTimeouts | None = None,
        zones: tuple[str, ...] = (),
        memory: MemoryAccount | None = None,
    ) -> None:
        """Set up a watch of the endpoint list; it makes no calls until run.

        Args:
            address: The host:port of discovery.
            last_list: The last list this head had (in discovery's format), to restore; empty: none.
            on_list: Called with the kind, the entries, and how long they may already have been in effect
                (None: not known), for a restored list and for each list or watch event that changes anything.
            count: Called with the name of a fault to count, such as entry_unreadable.
            pushed: Whether an agent on this machine, to which the list is pushed, is polled often; otherwise
                one discovery service serves all heads and is polled rarely.
            times: The timeouts and backoff of calls; None: those of discovery_timeouts for `pushed`.
            zones: The names of the zones, in the order in which the settings number them.
            memory: Charged with lists while they are read; None: an account without a limit.
        """
        self.memory = memory if memory is not None else MemoryAccount(sys.maxsize)
        self.address = address
        self.on_list = on_list
        self.pushed = pushed
        self.zones = zones
        self.times = times or discovery_timeouts(pushed, timedelta(seconds=2))
        self.last_list = last_list
        self.entry_faults = EntryFaults(count)
        self.cached: dict[str, NodeInfo] = {}  # as last received, to replace malformed entries
        self.generation: int | None = None
        self.call_started = 0.0  # in the loop's time
        self.current_at: float | None = None  # up to when the cached list is current, in the loop's time
        self.failures = 0  # consecutive failed calls
        self.address_changed = asyncio.Event()
        self.answered = asyncio.Event()

    def restore(self) -> None:
        """Report the last list this head had, which may be out of date."""
        self.generation = None
        nodes: tuple[NodeInfo, ...] = ()
        faults: tuple[str, ...] = ()
        try:
            if self.last_list:
                message = read_list(self.last_list, zones=self.zones)
                self.generation = message.generation
                nodes = message.nodes
                faults = message.faults
        except ValueError as error:
            logger.warning(
                "discovery: cannot restore the last known list: {error}",
                event="discovery.known_unreadable",
                error=str(error),
            )
        self.report(ListKind.RESTORED, nodes, faults)

    async def wait_for_first_answer(self) -> None:
        """Wait for the first answer, for a limited time, as startup must not depend on discovery.

        The agent's list is binding for a new process from its start, and the restored list may be out of
        date.
        """
        try:
            async with asyncio.timeout(self.times.first_answer.total_seconds()):
                await self.answered.wait()
        except TimeoutError:
            logger.warning(
                "discovery: no answer yet; serving with the last known list", event="discovery.unheard"
            )

    def change_address(self, address: str) -> None:
        """Switch the watch to another address.

        The list and its generation are kept: the next call asks for changes since then, so that none is lost.
        """
        if address != self.address:
            self.address = address
            self.address_changed.set()

    async def run(self) -> None:
        """Watch the list until cancelled, at the address that is current."""
        while True:
            self.address_changed.clear()
            following = start_task("discovery's watch", self.follow)
            try:
                await self.address_changed.wait()
            finally:
                # The old agent may never answer again; its call must not delay the watch at the new address.
                following.cancel()
                await asyncio.gather(following, return_exceptions=True)

    async def follow(self) -> None:
        """Watch the list at one address until cancelled."""
        # separate from the pool of node connections, so that a full pool cannot delay the watch
        connector = DiscoveryConnector(limit=2, keepalive_timeout=2 * self.times.hold.total_seconds())
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
                    # An agent that does not hold calls open would otherwise be polled in a busy loop.
                    elapsed = asyncio.get_running_loop().time() - self.call_started
                    if not changed and elapsed < MIN_CALL_INTERVAL.total_seconds():
                        await asyncio.sleep(MIN_CALL_INTERVAL.total_seconds())
                except (aiohttp.ClientError, ExchangeBroken, OSError, ValueError, TimeoutError) as error:
                    self.record_failure(error)
                    await asyncio.sleep(self.backoff().total_seconds())
                except Exception:
                    # A list may trigger an unexpected error where it is applied; the watch must survive that.
                    logger.exception("discovery: failed to apply a list", event="discovery.fault")
                    self.failures += 1
                    await asyncio.sleep(self.backoff().total_seconds())

    def backoff(self) -> timedelta:
        """Return the backoff after a failure: doubled per consecutive failure, up to times.max_backoff.

        It has jitter, as all heads lose discovery at the same moment.
        """
        doubled = self.times.backoff * (1 << min(MAX_BACKOFF_DOUBLINGS, max(0, self.failures - 1)))
        return min(self.times.max_backoff, doubled) * (0.5 + random.random() / 2)

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """Make one call, for the complete list or for changes; returns whether it brought changes.

        Raises MalformedList or ValueError for a malformed answer, and the errors of the HTTP client.
        """
        planned = self.plan_call()
        self.call_started = asyncio.get_running_loop().time()
        # one timeout covers connecting, waiting, head and body, as bytes may trickle in
        async with asyncio.timeout(planned.timeout.total_seconds()):
            raw = await fetch(session, planned.url)
        # a list is read whatever the limit: others have to wait until its memory is free
        self.memory.take_always(MemoryKind.LISTS, LIST_COST * len(raw))
        try:
            changed = self.apply(json.loads(raw), self.age())
        except RecursionError:
            raise MalformedList("list is nested too deeply") from None
        finally:
            self.memory.release(MemoryKind.LISTS, LIST_COST * len(raw))
        self.current_at = asyncio.get_running_loop().time()
        self.answered.set()
        return changed

    def plan_call(self) -> PlannedCall:
        """Plan the next call: for the complete list, or for changes since the cached generation.

        After a failure the call asks not to be held open: the answer is then due at once, and an unresponsive
        peer is detected much sooner.
        """
        times = self.times
        hold = times.hold * (0.75 + random.random() / 4)  # jitter, so that the calls of heads do not coincide
        if self.failures or not self.answered.is_set():
            hold = times.short_hold
        timeout = hold + times.hold_grace if hold > times.short_hold else times.answer
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
            age: How long it may already have been in effect; None: not known.

        Raises:
            MalformedList: It violates the protocol, or its changes are not based on the cached list.
        """
        message = read_list(data, self.cached, self.zones)
        if not message.complete and (self.generation is None or message.generation < self.generation):
            # These are changes to another list, for example of an agent whose generations were reset.
            self.generation = None  # the next call requests the complete list
            raise MalformedList("changes are not based on the cached list")
        self.generation = message.generation
        if message.complete or message.nodes or message.faults:
            kind = ListKind.FULL if message.complete else ListKind.CHANGES
            self.report(kind, message.nodes, message.faults, age)
        return message.complete or bool(message.nodes)

    def age(self) -> timedelta | None:
        """Return how long the message just read may already have been in effect; None: not known.

        A pushed list takes effect once the agent has it. The agent answers a waiting call at once, so a
        change can only date from the time between the previous answer and the start of this call.
        """
        if not self.pushed:
            return timedelta(0)  # a list of the discovery service takes effect when it is sent
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
        """Report the valid entries, and log each malformed one once."""
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
        """Count a failed call; only the first of consecutive failures is logged."""
        if not self.failures:
            logger.warning(
                "discovery: unreachable; keeping the current list: {error}",
                event="discovery.lost",
                error=repr(error),
            )
        self.failures += 1

    def record_success(self) -> None:
        """Reset the count of failures, and log the recovery if there were any."""
        if self.failures:
            logger.info(
                "discovery: reachable again, generation {generation}",
                event="discovery.reached",
                generation=self.generation,
            )
        self.failures = 0


async def fetch(session: aiohttp.ClientSession, url: URL) -> bytearray:
    """Fetch a body; raises MalformedList for a status other than 200 or more than MAX_LIST_BYTES bytes."""
    async with session.get(url, allow_redirects=False) as response:
        if response.status != 200:
            raise MalformedList(f"status {response.status} (allowed: 200)")
        raw = bytearray()
        while chunk := await response.content.read(MAX_LIST_BYTES):
            raw += chunk
            if len(raw) > MAX_LIST_BYTES:  # limits the memory that an endless answer can use
                raise MalformedList(
                    f"list too large: {len(raw)} bytes or more (allowed: {MAX_LIST_BYTES} or less)"
                )
    return raw
