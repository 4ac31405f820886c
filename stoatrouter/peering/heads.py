"""Assembles the fleet and the services that heads share, from the operator's file.

Imported only if STOATROUTER_HEADS names a file.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from aiohttp import web

from stoatrouter.config import Config
from stoatrouter.net.background import start_task
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.head_calls import HeadCalls
from stoatrouter.peering.parts import ReplicatedParts
from stoatrouter.peering.services import Call, ServingHead, add_credit, add_rules, persisted_version
from stoatrouter.peering.settings import HeadsSettings, load_heads
from stoatrouter.peering.tasks import cancel_tasks

__all__ = ["Heads", "load", "persisted_version"]

POLL_INTERVAL = timedelta(milliseconds=20)  # between two checks whether this head may serve


class Heads:
    """The fleet, and the services whose state the heads replicate.

    Attributes:
        settings: The settings of the heads.
        fleet: This head's view of the other heads.
        calls: Handlers of management calls, in the order they are tried.
        credit: Prepaid credit; None if it is off.
        rules: The shared history of rules; None if it is off.
        tasks: The background loops of the services, started by `start`.
    """

    def __init__(self, settings: HeadsSettings, head: ServingHead, starting_version: int) -> None:
        """Open the disk and create all components; nothing is sent or received before `start`.

        Args:
            settings: The settings of the heads.
            head: The head that the services belong to.
            starting_version: The version of the rules that the head starts with (`persisted_version`).

        Raises:
            ConfigError: The heads' folder is in use, or its database belongs to another program or a later
                version.
        """
        self.settings = settings
        self.tasks: list[asyncio.Task[None]] = []
        parts = ReplicatedParts()
        self.fleet = Fleet(settings, head.conf.seed, parts.by_name())
        self.calls: list[Call] = [HeadCalls(self.fleet).call]
        self.credit = add_credit(settings, head, self.fleet, parts.ledger, self.calls)
        self.rules = add_rules(settings, head, self.fleet, parts.history, self.calls, starting_version)
        self._rules_loaded = False  # once, while a majority was heard
        self.fleet.restore_stored()

    async def start(self) -> None:
        """Start all loops; return once this head may serve, if need be with its stored state.

        Raises:
            OSError: An address cannot be listened on.
        """
        await self.fleet.start()
        if self.credit is not None:
            self.tasks.append(start_task("credit", self.credit.run))
        if self.rules is not None:
            self.tasks.append(start_task("rules", self.rules.run))
        await poll_until(lambda: self.fleet.availability.serves)
        await poll_until(self._has_loaded_rules)
        deadline = self.fleet.now() + self.settings.wait_at_start
        await poll_until(lambda: self._credit_ready() or self.fleet.now() >= deadline)

    def _credit_ready(self) -> bool:
        """Return whether credit needs no wait: it is off, registered, or the ledger cannot be reached now."""
        return self.credit is None or self.credit.registered or not self.fleet.availability.draws

    @property
    def ready(self) -> bool:
        """Whether this head may be sent requests."""
        return self.fleet.availability.ready and self._has_loaded_rules()

    def _has_loaded_rules(self) -> bool:
        """Return whether this head has loaded the version in force since its start, as far as it knows one.

        However long its table takes to compile: a restarted head serves by that version. Later versions
        are loaded while it is ready.
        """
        if self.rules is None or self._rules_loaded:
            return True
        self._rules_loaded = self.rules.caught_up and self.fleet.availability.changes
        return self.rules.caught_up

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
        """Answer a management call about the heads; None if it is about something else."""
        for call in self.calls:
            if (response := await call(method, path, body)) is not None:
                return response
        return None

    async def close(self) -> None:
        """Stop all services, the fleet last."""
        await cancel_tasks(self.tasks)
        if self.rules is not None:
            await self.rules.close()
        if self.credit is not None:
            await self.credit.close()
        await self.fleet.close()


async def poll_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, checked at once and then every POLL_INTERVAL."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL.total_seconds())


def load(path: str, conf: Config) -> HeadsSettings:
    """Read the operator's file; raises ConfigError."""
    return load_heads(Path(path), conf)
