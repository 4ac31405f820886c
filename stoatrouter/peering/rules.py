"""The shared history of rules at one head: compiles versions in the background and activates them.

history/rule_history.py decides which version wins, and history/activation.py when it is activated. Files are
handled by rule_store.py, tables by rule_compiler.py, and reports by rule_rollout.py.
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

STEP_INTERVAL = timedelta(milliseconds=50)  # without a change; a change triggers a step at once


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
        """Take control of the rule tables, which the head's own files no longer change.

        Args:
            settings: The operator's settings of the history.
            fleet: The heads.
            history: The replicated history of versions.
            tables: The head's rule tables.
            active_version: The stored version that the head started with; 0: the head's own files.
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
        """Whether the version in force is active at this head, or cannot be loaded here."""
        newest = self._newest()
        return newest is None or self.active_version >= newest.number or newest.digest in self.compiler.errors

    async def run(self) -> None:
        """Take a step after each replicated change and every STEP_INTERVAL, until cancelled."""
        while True:
            try:
                await self.step()
            except Exception:
                # An error here must stop neither this loop nor the head, which serves requests.
                logger.exception("rules: a step failed unexpectedly", event="rules.step_fault")
            changed = self.fleet.replication.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STEP_INTERVAL.total_seconds()):
                    await changed.wait()

    async def step(self) -> None:
        """Activate, compile and report as due; decide about the pending version if this head leads."""
        self.activate_newest()
        self.compiler.retain({version.digest for version in self._current_versions()})
        self.compiler.start_next(self._missing_versions())
        await self.rollout.send_report()
        await self.rollout.decide_pending()

    def _newest(self) -> Version | None:
        """Return the version in force; None before the first."""
        return self.history.versions[-1] if self.history.versions else None

    def _current_versions(self) -> list[Version]:
        """Return the version in force and the pending one, if any."""
        pending = [self.history.pending] if self.history.pending is not None else []
        return [*self.history.versions[-1:], *pending]

    def _missing_versions(self) -> list[Version]:
        """Return the versions whose tables this head needs, the one in force first."""
        return [version for version in self._current_versions() if version.number > self.active_version]

    def activate_newest(self) -> None:
        """Activate the version in force here, once its table is compiled. Numbers only increase."""
        newest = self._newest()
        if newest is None or newest.number <= self.active_version:
            return
        if newest.digest not in self.compiler.compiled:
            return
        self.tables.activate(self.compiler.compiled[newest.digest])
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
        """Return this head's report to the leader."""
        pending = self.history.pending
        if pending is not None and pending.digest in self.compiler.errors:
            error = self.compiler.errors[pending.digest]
            return HeadReport(self.active_version, pending.number, False, error)
        if pending is not None and pending.digest in self.compiler.compiled:
            return HeadReport(self.active_version, pending.number)
        return HeadReport(self.active_version)

    async def close(self) -> None:
        """Cancel a running compilation, and wait until pending writes are on the disk."""
        await self.compiler.close()
        await self.store.close()
