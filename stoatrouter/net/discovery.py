"""The watch of the node list. Errors, silence or nonsense never end it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from datetime import timedelta
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
PHASES = {"SERVING": Phase.ON, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}

Told = Callable[[ListKind, tuple[NodeInfo, ...]], None]


class Watch:
    """Follows the list and tells what changed."""

    def __init__(self, address: str, known: dict[str, Any], told: Told) -> None:
        self.address, self.told = address, told
        self.generation: int | None = None
        self.known = known
        self.failing = False
        self.moved = asyncio.Event()

    def restore(self) -> None:
        """Tell the list as this head last had it; it may be out of date."""
        try:
            generation, _, nodes = read_list(self.known) if self.known else (None, True, ())
        except ValueError as error:
            logger.warning("discovery: the known list cannot be read: {error}",
                           event="discovery.known_unreadable", error=str(error))
            generation, nodes = None, ()
        self.generation = generation
        self.told(ListKind.RESTORED, nodes)

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
        generation, whole, nodes = read_list(data)
        if not whole and (self.generation is None or generation < self.generation):
            # Guards against changes to another list than the one held, as from an agent that counts anew.
            self.generation = None  # the next call asks for the whole
            raise ValueError("changes to a list that is not held")
        self.generation = generation
        if whole or nodes:
            self.told(ListKind.FULL if whole else ListKind.CHANGES, nodes)
        return whole or bool(nodes)

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


def read_list(data: Any) -> tuple[int, bool, tuple[NodeInfo, ...]]:
    """Read a message of discovery; ValueError where it is not what the protocol promises."""
    try:
        generation, whole = int(data["generation"]), bool(data["reset"])
        nodes = tuple(read_node(entry) for entry in data["instances"])
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"bad list: {type(error).__name__}: {error}") from None
    return generation, whole, nodes


def read_node(entry: dict[str, Any]) -> NodeInfo:
    """Read one entry. The address may be absent from an entry that says the node is gone."""
    phase = PHASES[entry["lifecycle"]]
    address = str(entry.get("hostPort") or "")
    if not address and phase is not Phase.GONE:
        raise ValueError(f"no hostPort for {entry['instanceId']!r}")
    return NodeInfo(id=str(entry["instanceId"]), address=address, shard=int(entry.get("cell", -1)),
                    phase=phase, weight=float(entry.get("weight") or 1.0),
                    started=timedelta(milliseconds=int(entry.get("startedAtMs") or 0)))
