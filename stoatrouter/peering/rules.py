"""The shared history of rules at one head, running: compiles versions beside requests and activates them.

Decides nothing: what wins stands in history/rule_history.py, when a version is activated in
history/activation.py. Files are rule_store.py's, tables rule_compiler.py's, reports rule_rollout.py's.
"""

from __future__ import annotations

import asyncio
import contextlib
from datetime import timedelta

from loguru import logger

from stoatrouter.history.records import Version
from stoatrouter.history.rule_history import RuleHistory
from stoatrouter.net.tables import TableService
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.rule_compiler import RuleCompiler
from stoatrouter.peering.rule_rollout import HeadReport, RuleRollout
from stoatrouter.peering.rule_store import RuleStore
from stoatrouter.peering.settings import RulesSettings

STEP_INTERVAL = timedelta(milliseconds=50)  # also without a change


class RulesService:
    """The history of rules at one head."""

    def __init__(
        self,
        settings: RulesSettings,
        fleet: Fleet,
        history: RuleHistory,
        tables: TableService,
        active_version: int = 0,
    ) -> None:
        """Take the rule tables over from the head's own files.

        Args:
            settings: The operator's settings of the history.
            fleet: The heads.
            history: The versions that the heads agreed on.
            tables: The head's rule tables.
            active_version: The stored version that the head started with; 0: its own files.
        """
        self.settings, self.fleet, self.history, self.tables = settings, fleet, history, tables
        self.active_version = active_version
        self.active_since = fleet.now()
        self.store = RuleStore(fleet.settings.folder)
        self.compiler = RuleCompiler(tables, self.store, history)
        self.rollout = RuleRollout(settings, fleet, history, self.make_report)
        tables.managed = True

    @property
    def caught_up(self) -> bool:
        """Whether this head decides by the version in force, or cannot load it."""
        newest = self._newest()
        return newest is None or self.active_version >= newest.number or newest.digest in self.compiler.errors

    async def run(self) -> None:
        """Take a step after each agreed change, and every STEP_INTERVAL; runs until it is cancelled."""
        while True:
            try:
                await self.step()
            except Exception:
                # Guards a serving head: a fault here must end neither the history's work nor the head.
                logger.exception("rules: a step failed in an unforeseen way", event="rules.step_fault")
            changed = self.fleet.replication.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STEP_INTERVAL.total_seconds()):
                    await changed.wait()

    async def step(self) -> None:
        """Activate, compile and report what is due, and decide where this head leads."""
        self.activate_newest()
        self.compiler.retain({version.digest for version in self._current_versions()})
        self.compiler.start_next(self._missing_versions())
        await self.rollout.send_report()
        await self.rollout.decide_pending()

    def _newest(self) -> Version | None:
        """The version in force; None before the first."""
        return self.history.versions[-1] if self.history.versions else None

    def _current_versions(self) -> list[Version]:
        """The version in force and the pending one, as far as there are any."""
        pending = [self.history.pending] if self.history.pending is not None else []
        return [*self.history.versions[-1:], *pending]

    def _missing_versions(self) -> list[Version]:
        """Versions whose tables this head needs, the one in force first."""
        return [version for version in self._current_versions() if version.number > self.active_version]

    def activate_newest(self) -> None:
        """Decide by the version in force from now on, once its table is compiled. Numbers only go up."""
        newest = self._newest()
        if newest is None or newest.number <= self.active_version:
            return
        if newest.digest not in self.compiler.compiled:
            return
        self.tables.put(self.compiler.compiled[newest.digest])
        self.active_version, self.active_since = newest.number, self.fleet.now()
        logger.info(
            "rules: version {number} of {author} is in force here",
            event="rules.version",
            number=newest.number,
            author=newest.author,
            kind=newest.kind.value,
            digest=newest.digest,
        )
        self.store.save_in_background(newest, self.history.packed_rule_sets[newest.digest])

    def make_report(self) -> HeadReport:
        """What this head reports of itself to the leader."""
        pending = self.history.pending
        if pending is not None and pending.digest in self.compiler.errors:
            error = self.compiler.errors[pending.digest]
            return HeadReport(self.active_version, pending.number, False, error)
        if pending is not None and pending.digest in self.compiler.compiled:
            return HeadReport(self.active_version, pending.number)
        return HeadReport(self.active_version)

    async def close(self) -> None:
        """Cancel a compilation; wait until a version being stored is on the disk."""
        await self.compiler.close()
        await self.store.close()
