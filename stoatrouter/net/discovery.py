"""The watch of the node list. Errors, silence or nonsense never end it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import aiohttp
from loguru import logger
from yarl import URL

from cypressworks.interface import ListKind, Phase
from stoatrouter.core.model import NodeInfo
from stoatrouter.net.nodes import Broken, only_once

HOLD = timedelta(seconds=20)
ANSWER_WITHIN = HOLD + timedelta(seconds=2)  # silence past this: the watch is started anew
PAUSE = timedelta(milliseconds=100)  # after an error; within the 200 ms in which a watch continues
LARGEST_LIST = 4 * 1024 * 1024
MOST_SAID = 1000  # faults of entries that are remembered as said
NONE_HELD: Mapping[str, NodeInfo] = MappingProxyType({})
PHASES = {"SERVING": Phase.ON, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}

Told = Callable[[ListKind, tuple[NodeInfo, ...]], None]


class Watch:
    """Follows the list and tells what changed."""

    def __init__(self, address: str, known: dict[str, Any], told: Told,
                 count: Callable[[str], None] = lambda _: None) -> None:
        self.address, self.told, self.count = address, told, count
        self.held: dict[str, NodeInfo] = {}  # as last told, for entries that cannot be read
        self.said: set[str] = set()
        self.generation: int | None = None
        self.known = known
        self.failing = False
        self.moved = asyncio.Event()

    def restore(self) -> None:
        """Tell the list as this head last had it; it may be out of date."""
        try:
            generation, _, nodes, faults = read_list(self.known) if self.known else (None, True, (), ())
        except ValueError as error:
            logger.warning("discovery: the known list cannot be read: {error}",
                           event="discovery.known_unreadable", error=str(error))
            generation, nodes, faults = None, (), ()
        self.generation = generation
        self.tell(ListKind.RESTORED, nodes, faults)

    def move(self, address: str) -> None:
        """Watch at another address from now on. The list and its generation stay: the next call asks there
        for what is newer, so that nothing is missed and nothing is forgotten."""
        if address != self.address:
            self.address = address
            self.moved.set()

    async def run(self) -> None:
        """Watch for as long as the program runs, wherever the list is to be had."""
        while True:
            self.moved.clear()
            following = asyncio.create_task(self.follow())
            try:
                await self.moved.wait()
            finally:
                # Guards a moved watch against the old agent, which may be silent from now on.
                following.cancel()
                await asyncio.gather(following, return_exceptions=True)

    async def follow(self) -> None:
        """Watch at one address."""
        # one connection of its own: nothing of the pool to nodes can hold it up
        connector = aiohttp.TCPConnector(limit=2, keepalive_timeout=ANSWER_WITHIN.total_seconds())
        timeout = aiohttp.ClientTimeout(total=ANSWER_WITHIN.total_seconds(), sock_connect=2.0)
        async with aiohttp.ClientSession(
                connector=connector, middlewares=(only_once,), cookie_jar=aiohttp.DummyCookieJar(),
                trust_env=False, timeout=timeout) as session:
            while True:
                try:
                    began = asyncio.get_running_loop().time()
                    news = await self.call(session)
                    self.recovered()
                    # Guards the core against an agent that does not hold calls: asking is paced then.
                    if not news and asyncio.get_running_loop().time() - began < PAUSE.total_seconds():
                        await asyncio.sleep(PAUSE.total_seconds())
                except (aiohttp.ClientError, Broken, OSError, ValueError, TimeoutError) as error:
                    self.failed(error)
                    await asyncio.sleep(PAUSE.total_seconds())
                except Exception:
                    # Guards against a list that sets off a fault elsewhere: the watch must outlive it.
                    logger.exception("discovery: what was told could not be taken", event="discovery.fault")
                    await asyncio.sleep(PAUSE.total_seconds())

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """One call: the whole list where none is held, else what is newer than it. Whether it told any."""
        query = ""
        if self.generation is not None:
            query = f"?from={self.generation}&hold_ms={HOLD // timedelta(milliseconds=1)}"
        url = URL(f"http://{self.address}/v1/servers{query}", encoded=True)
        async with session.get(url, allow_redirects=False) as response:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            raw = await response.content.read(LARGEST_LIST)
            while chunk := await response.content.read(LARGEST_LIST):
                raw += chunk
                if len(raw) > LARGEST_LIST:  # guards memory against an answer without end
                    raise ValueError("list too large")
        try:
            data = json.loads(raw)
        except RecursionError:  # brackets without end
            raise ValueError("list nested too deeply") from None
        return self.take(data)

    def take(self, data: Any) -> bool:
        """Take one message, if it makes sense as what follows the list that is held."""
        generation, whole, nodes, faults = read_list(data, self.held)
        if not whole and (self.generation is None or generation < self.generation):
            # Guards against changes to another list than the one held, as from an agent that counts anew.
            self.generation = None  # the next call asks for the whole
            raise ValueError("changes to a list that is not held")
        self.generation = generation
        if whole or nodes or faults:
            self.tell(ListKind.FULL if whole else ListKind.CHANGES, nodes, faults)
        return whole or bool(nodes)

    def tell(self, kind: ListKind, nodes: tuple[NodeInfo, ...], faults: tuple[str, ...]) -> None:
        """Tell what could be read, and say once what could not."""
        for fault in faults:
            self.count("entry_unreadable")
            if fault not in self.said and len(self.said) < MOST_SAID:
                self.said.add(fault)
                logger.warning("discovery: an entry cannot be read, the others are taken: {error}",
                               event="discovery.entry_unreadable", error=fault)
        if kind is not ListKind.CHANGES:
            self.held.clear()
        for node in nodes:
            self.held[node.id] = node
            if node.phase is Phase.GONE:
                del self.held[node.id]
        if nodes or kind is not ListKind.CHANGES:
            self.told(kind, nodes)

    def failed(self, error: BaseException) -> None:
        if not self.failing:
            logger.warning("discovery: not reached, the list held stays in use: {error}",
                           event="discovery.lost", error=repr(error))
        self.failing = True

    def recovered(self) -> None:
        if self.failing:
            logger.info("discovery: reached again, generation {generation}", event="discovery.reached",
                        generation=self.generation)
        self.failing = False


def read_list(data: Any, held: Mapping[str, NodeInfo] = NONE_HELD,
              ) -> tuple[int, bool, tuple[NodeInfo, ...], tuple[str, ...]]:
    """Read a message of discovery: its entries, and what is wrong with those that cannot be read. ValueError
    where the message as a whole is not what the protocol promises."""
    try:
        generation, whole, entries = int(data["generation"]), bool(data["reset"]), data["instances"]
        if not isinstance(entries, list):
            raise TypeError("instances is no list")
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"bad list: {type(error).__name__}: {error}") from None
    nodes: list[NodeInfo] = []
    faults: list[str] = []
    for entry in entries:
        # Guards the list against one spoilt entry: it would void all others, and what they say of drains.
        try:
            nodes.append(read_node(entry))
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            faults.append(f"{name!r}: {type(error).__name__}: {error}"[:200])
            # nor is the node that it stands for taken for gone
            if whole and isinstance(name, str) and name in held:
                nodes.append(held[name])
    return generation, whole, tuple(nodes), tuple(faults)


def read_node(entry: dict[str, Any]) -> NodeInfo:
    """Read one entry. The address may be absent from an entry that says the node is gone."""
    phase = PHASES[entry["lifecycle"]]
    address = str(entry.get("hostPort") or "")
    if not address and phase is not Phase.GONE:
        raise ValueError(f"no hostPort for {entry['instanceId']!r}")
    return NodeInfo(id=str(entry["instanceId"]), address=address, shard=int(entry.get("cell", -1)),
                    phase=phase, weight=float(entry.get("weight") or 1.0),
                    started=timedelta(milliseconds=int(entry.get("startedAtMs") or 0)))
