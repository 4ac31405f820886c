"""All that a head has of heads that know each other, put together from its file. Loaded only where it is
on.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import web

from stoatrouter.config import Config
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.head_calls import HeadCalls
from stoatrouter.peering.services import Call, ServingHead, credit, persisted_version, rules
from stoatrouter.peering.settings import HeadsSettings, load_heads

if TYPE_CHECKING:
    from stoatrouter.agreement.machine import Part


class Heads:
    """The fleet and what it agrees on."""

    def __init__(self, settings: HeadsSettings, head: ServingHead, started_with: int) -> None:
        self.settings = settings
        self.tasks: list[asyncio.Task[None]] = []
        parts: dict[str, Part] = {}
        self.fleet = Fleet(settings, head.conf.seed, parts)
        self.calls: list[Call] = [HeadCalls(self.fleet).call]
        self.credit = credit(settings, head, self.fleet, parts, self.calls)
        self.rules = rules(settings, head, self.fleet, parts, self.calls, started_with)
        self.fleet.restart()  # all parts are known: what the disk holds is applied to them

    async def start(self) -> None:
        """Take part; returns once this head may serve, or serves with what it kept."""
        await self.fleet.start()
        if self.credit is not None:
            self.tasks.append(asyncio.get_running_loop().create_task(self.credit.run()))
        if self.rules is not None:
            self.tasks.append(asyncio.get_running_loop().create_task(self.rules.run()))
        while not self.fleet.availability.serves:
            await asyncio.sleep(0.02)
        # a head that comes back decides by what is in force, however long its table takes to make
        while self.rules is not None and not self.rules.caught_up:
            await asyncio.sleep(0.02)
        until = self.fleet.now() + self.settings.wait_at_start
        while (
            self.credit is not None
            and not self.credit.begun
            and self.fleet.availability.draws
            and self.fleet.now() < until
        ):
            await asyncio.sleep(0.02)

    @property
    def ready(self) -> bool:
        """Whether this head may be sent requests."""
        return self.fleet.availability.ready

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
        """An operators' call that concerns the heads; None where it does not."""
        for call in self.calls:
            if (response := await call(method, path, body)) is not None:
                return response
        return None

    async def close(self) -> None:
        """End all parts, the fleet last."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.rules is not None:
            await self.rules.close()
        if self.credit is not None:
            await self.credit.close()
        await self.fleet.close()


__all__ = ["Heads", "persisted_version", "load"]


def load(path: str, conf: Config) -> HeadsSettings:
    """Read the operator's file; raises ConfigError."""
    return load_heads(Path(path), conf)
