"""The watch of discovery's node list; errors, silence or malformed messages never end it."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import aiohttp
from loguru import logger
from yarl import URL

from stoatrouter.core.list_times import ListTimes, list_times
from stoatrouter.core.model import NodeInfo
from stoatrouter.net.errors import Broken
from stoatrouter.net.tracked_request import only_once
from stoatrouter.policy.interface import ListKind, Phase

LEAST_CALL_INTERVAL = timedelta(milliseconds=50)  # of calls that are answered at once and bring nothing
LARGEST_LIST = 4 * 1024 * 1024
UNNAMED_ZONES = 1 << 16  # numbers from here on are of zones that the settings do not name
MOST_LOGGED_FAULTS = 1000  # faults of entries that are remembered as logged
NONE_CACHED: Mapping[str, NodeInfo] = MappingProxyType({})
PHASES = {"SERVING": Phase.ON, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}

# the kind, the entries, and how long before now they may have counted as told; None: nobody knows
ListCallback = Callable[[ListKind, tuple[NodeInfo, ...], timedelta | None], None]


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
        self.address, self.on_list, self.count, self.pushed = address, on_list, count, pushed
        self.zones = zones  # by name, as the settings number them
        self.times = times or list_times(pushed, timedelta(seconds=2))
        # in the loop's time: when the present call began, and up to when the cached list is current
        self.call_began, self.current_at = 0.0, None
        self.cached: dict[str, NodeInfo] = {}  # as last notified, for entries that cannot be read
        self.logged_faults: set[str] = set()
        self.generation: int | None = None
        self.known = known
        self.failures = 0  # calls in a row
        self.address_changed, self.answered = asyncio.Event(), asyncio.Event()

    def restore(self) -> None:
        """Report the list that this head last had, which may be out of date."""
        try:
            generation, _, nodes, faults = (
                read_list(self.known, zones=self.zones) if self.known else (None, True, (), ())
            )
        except ValueError as error:
            logger.warning(
                "discovery: the known list cannot be read: {error}",
                event="discovery.known_unreadable",
                error=str(error),
            )
            generation, nodes, faults = None, (), ()
        self.generation = generation
        self.report(ListKind.RESTORED, nodes, faults)

    async def first_answer(self) -> None:
        """Wait for the first answer, within a bound: a start must not depend on discovery.

        What the agent of a new process has is binding from its first moment, and the list it was given may
        be old.
        """
        try:
            async with asyncio.timeout(self.times.first.total_seconds()):
                await self.answered.wait()
        except TimeoutError:
            logger.warning(
                "discovery: no answer yet, serving on the list known before", event="discovery.unheard"
            )

    def move(self, address: str) -> None:
        """Watch at another address from now on.

        The list and its generation stay: the next call asks there for newer changes, so that none is missed.
        """
        if address != self.address:
            self.address = address
            self.address_changed.set()

    async def run(self) -> None:
        """Watch until cancelled, at whatever address is current."""
        while True:
            self.address_changed.clear()
            following = asyncio.create_task(self.follow())
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
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.times.dial.total_seconds())
        async with aiohttp.ClientSession(
            connector=connector,
            middlewares=(only_once,),
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
            timeout=timeout,
        ) as session:
            while True:
                try:
                    changed = await self.call(session)
                    self.recovered()
                    # Guards the core against an agent that does not hold calls: asking is paced then.
                    took = asyncio.get_running_loop().time() - self.call_began
                    if not changed and took < LEAST_CALL_INTERVAL.total_seconds():
                        await asyncio.sleep(LEAST_CALL_INTERVAL.total_seconds())
                except (aiohttp.ClientError, Broken, OSError, ValueError, TimeoutError) as error:
                    self.failed(error)
                    await asyncio.sleep(self.backoff().total_seconds())
                except Exception:
                    # Guards against a list that sets off a fault elsewhere: the watch must outlive it.
                    logger.exception("discovery: what was told could not be taken", event="discovery.fault")
                    self.failures += 1
                    await asyncio.sleep(self.backoff().total_seconds())

    def backoff(self) -> timedelta:
        """The backoff after a failure: doubled per failure in a row, up to times.longest_pause.

        It is jittered, as all heads lose discovery at the same moment.
        """
        doubled = self.times.pause * 2 ** min(10, max(0, self.failures - 1))
        return min(self.times.longest_pause, doubled) * (0.5 + random.random() / 2)

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """Make one call, for the whole list or for changes; returns whether it brought any.

        After a failure the call is not held: an answer is then due at once, and a silent peer is found out
        in a fraction of the time. Raises ValueError for a malformed answer, and the client's errors.
        """
        times, query = self.times, ""
        hold = times.hold * (0.75 + random.random() / 4)  # all heads' calls do not come together
        if self.failures or not self.answered.is_set():
            hold = times.brief
        within = hold + times.late if hold > times.brief else times.answer
        if self.generation is not None:
            query = f"?from={self.generation}&hold_ms={hold // timedelta(milliseconds=1)}"
        else:
            within = times.answer
        url = URL(f"http://{self.address}/v1/servers{query}", encoded=True)
        self.call_began = asyncio.get_running_loop().time()
        # one time for all of it, as bytes may trickle: dial, wait, head and body
        async with asyncio.timeout(within.total_seconds()):
            async with session.get(url, allow_redirects=False) as response:
                if response.status != 200:
                    raise ValueError(f"status {response.status}")
                raw = bytearray()
                while chunk := await response.content.read(LARGEST_LIST):
                    raw += chunk
                    if len(raw) > LARGEST_LIST:  # guards memory against an answer without end
                        raise ValueError("list too large")
        try:
            data = json.loads(raw)
        except RecursionError:  # brackets without end
            raise ValueError("list nested too deeply") from None
        changed = self.take(data, self.age())
        self.current_at = asyncio.get_running_loop().time()
        self.answered.set()
        return changed

    def take(self, data: Any, age: timedelta | None = timedelta(0)) -> bool:
        """Apply one message; returns whether it brought changes.

        Raises ValueError where it does not follow on the list that is held.
        """
        generation, complete, nodes, faults = read_list(data, self.cached, self.zones)
        if not complete and (self.generation is None or generation < self.generation):
            # Guards against changes to another list than the one held, as from an agent that counts anew.
            self.generation = None  # the next call asks for the complete list
            raise ValueError("changes to a list that is not held")
        self.generation = generation
        if complete or nodes or faults:
            self.report(ListKind.FULL if complete else ListKind.CHANGES, nodes, faults, age)
        return complete or bool(nodes)

    def age(self) -> timedelta | None:
        """For how long the message just read may already have been binding; None: not known.

        Where lists are pushed a message is binding once the agent has it, so that is the time since the last
        answer, less the time in which the agent could have answered this call.
        """
        if not self.pushed:
            return timedelta(0)  # told by being written
        if self.current_at is None:
            return None
        return timedelta(seconds=max(0.0, self.call_began - self.current_at))

    def report(
        self,
        kind: ListKind,
        nodes: tuple[NodeInfo, ...],
        faults: tuple[str, ...],
        age: timedelta | None = timedelta(0),
    ) -> None:
        """Report the entries that could be read, and log each unreadable one once."""
        for fault in faults:
            self.count("entry_unreadable")
            if fault not in self.logged_faults and len(self.logged_faults) < MOST_LOGGED_FAULTS:
                self.logged_faults.add(fault)
                logger.warning(
                    "discovery: an entry cannot be read, the others are taken: {error}",
                    event="discovery.entry_unreadable",
                    error=fault,
                )
        if kind is not ListKind.CHANGES:
            self.cached.clear()
        for node in nodes:
            self.cached[node.id] = node
            if node.phase is Phase.GONE:
                del self.cached[node.id]
        if nodes or kind is not ListKind.CHANGES:
            self.on_list(kind, nodes, age)

    def failed(self, error: BaseException) -> None:
        """Count a failed call; the first one in a row is logged."""
        if not self.failures:
            logger.warning(
                "discovery: not reached, the list held stays in use: {error}",
                event="discovery.lost",
                error=repr(error),
            )
        self.failures += 1

    def recovered(self) -> None:
        """End a row of failures; it is logged where there was one."""
        if self.failures:
            logger.info(
                "discovery: reached again, generation {generation}",
                event="discovery.reached",
                generation=self.generation,
            )
        self.failures = 0


def read_list(
    data: Any,
    cached: Mapping[str, NodeInfo] = NONE_CACHED,
    zones: tuple[str, ...] = (),
) -> tuple[int, bool, tuple[NodeInfo, ...], tuple[str, ...]]:
    """Parse a message: generation, whether it is complete, its nodes, and faults of unreadable entries.

    Raises ValueError where the message as a whole breaks the protocol.
    """
    try:
        generation, complete, entries = int(data["generation"]), bool(data["reset"]), data["instances"]
        if not isinstance(entries, list):
            raise TypeError("instances is no list")
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"bad list: {type(error).__name__}: {error}") from None
    nodes: list[NodeInfo] = []
    faults: list[str] = []
    for entry in entries:
        # Guards the list against one spoilt entry: it would void all others, and what they say of drains.
        try:
            nodes.append(read_node(entry, zones))
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            faults.append(f"{name!r}: {type(error).__name__}: {error}"[:200])
            # nor is the node that it stands for taken for gone
            if complete and isinstance(name, str) and name in cached:
                nodes.append(cached[name])
    return generation, complete, tuple(nodes), tuple(faults)


def zone_number(name: Any, zones: tuple[str, ...]) -> int:
    """A zone's number as the settings have it.

    A zone that the settings do not name gets a number of its own, the same in every process, as some repeats
    are dropped only within one zone.
    """
    return zones.index(name) if name in zones else UNNAMED_ZONES + zlib.crc32(str(name).encode())


def read_node(entry: dict[str, Any], zones: tuple[str, ...] = ()) -> NodeInfo:
    """Parse one entry; only an entry of a node that is gone may lack its address.

    Raises KeyError, TypeError or ValueError.
    """
    phase = PHASES[entry["lifecycle"]]
    address = str(entry.get("hostPort") or "")
    if not address and phase is not Phase.GONE:
        raise ValueError(f"no hostPort for {entry['instanceId']!r}")
    return NodeInfo(
        id=str(entry["instanceId"]),
        address=address,
        shard=int(entry.get("cell", -1)),
        phase=phase,
        zone=zone_number(entry.get("zone"), zones),
        weight=float(entry.get("weight") or 1.0),
        started=timedelta(milliseconds=int(entry.get("startedAtMs") or 0)),
    )
