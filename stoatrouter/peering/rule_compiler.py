"""Compiles rule tables of versions in the background, one at a time; keeps the errors of failed ones."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Container, Iterable

from loguru import logger

from stoatrouter.config import ConfigError
from stoatrouter.history.records import Version
from stoatrouter.history.rule_history import RuleHistory
from stoatrouter.net.tables import CompiledTable, TableService, run_in_thread
from stoatrouter.peering.rule_store import RuleStore
from stoatrouter.settings import SettingsError

MAX_ERROR_LENGTH = 2_000  # characters; longer texts are truncated


class RuleCompiler:
    """The compiled tables and load errors of one head, by digest of the rule set."""

    def __init__(self, tables: TableService, store: RuleStore, history: RuleHistory) -> None:
        """Start without tables.

        Args:
            tables: Compiles rule files.
            store: Writes the files of rule sets.
            history: Holds the rule sets.
        """
        self.tables, self.store, self.history = tables, store, history
        self.compiled: dict[str, CompiledTable] = {}
        self.errors: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None

    def start_next(self, wanted: Iterable[Version]) -> None:
        """Start compiling the first of these versions not tried yet, unless a compilation is running."""
        if self._task is not None and not self._task.done():
            return
        for version in wanted:
            if version.digest not in self.compiled and version.digest not in self.errors:
                self._task = asyncio.get_running_loop().create_task(self._compile(version))
                return

    async def _compile(self, version: Version) -> None:
        packed = self.history.packed_rule_sets.get(version.digest)
        if packed is None:
            return
        try:
            path = await run_in_thread(lambda: self.store.extract(version.digest, packed))
            self.compiled[version.digest] = await self.tables.compile(path)
        except (SettingsError, ConfigError) as error:
            self._record_error(version, str(error))
        except (OSError, MemoryError) as error:
            # A head that lacks a resource which others have reports that and continues to serve.
            self._record_error(version, f"{type(error).__name__}: {error}")

    def _record_error(self, version: Version, error: str) -> None:
        # The error is read at other heads, to which the local path of the rule set means nothing.
        error = error.replace(f"{self.store.rule_sets / version.digest}{os.sep}", "")[:MAX_ERROR_LENGTH]
        self.errors[version.digest] = error
        logger.error(
            "rules: version {number} cannot be loaded: {why}",
            event="rules.unloadable",
            number=version.number,
            why=error,
        )

    def retain(self, digests: Container[str]) -> None:
        """Drop the tables and errors of all other rule sets."""
        self.compiled = {digest: made for digest, made in self.compiled.items() if digest in digests}
        self.errors = {digest: error for digest, error in self.errors.items() if digest in digests}

    async def close(self) -> None:
        """Cancel the running compilation."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
