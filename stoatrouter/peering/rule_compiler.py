"""Compiles the tables of versions beside the requests, one at a time; remembers which cannot be loaded."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Container, Iterable

from loguru import logger

from stoatrouter.config import ConfigError
from stoatrouter.history.records import Version
from stoatrouter.history.rule_history import RuleHistory
from stoatrouter.net.tables import CompiledTable, TableService, in_thread
from stoatrouter.peering.rule_store import RuleStore
from stoatrouter.settings import SettingsError

MAX_ERROR_LENGTH = 2_000  # characters; the rest is cut off


class RuleCompiler:
    """The compiled tables and load errors of one head, by the digest of their rule set."""

    def __init__(self, tables: TableService, store: RuleStore, history: RuleHistory) -> None:
        """Compile nothing yet.

        Args:
            tables: Compiles rule files.
            store: Where the files of rule sets are written.
            history: Holds the rule sets.
        """
        self.tables, self.store, self.history = tables, store, history
        self.compiled: dict[str, CompiledTable] = {}
        self.errors: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None

    def start_next(self, wanted: Iterable[Version]) -> None:
        """Start to compile the first of these versions that was not tried yet, unless one is compiling."""
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
            path = await in_thread(lambda: self.store.extract(version.digest, packed))
            self.compiled[version.digest] = await self.tables.compile(path)
        except (SettingsError, ConfigError) as error:
            self._record_error(version, str(error))
        except (OSError, MemoryError) as error:
            # Guards a head that lacks a resource which others have: it reports so, and serves on.
            self._record_error(version, f"{type(error).__name__}: {error}")

    def _record_error(self, version: Version, error: str) -> None:
        # where the set lies at this head is of no use to whoever reads it at another
        error = error.replace(f"{self.store.rule_sets / version.digest}{os.sep}", "")[:MAX_ERROR_LENGTH]
        self.errors[version.digest] = error
        logger.error(
            "rules: version {number} cannot be loaded: {why}",
            event="rules.unloadable",
            number=version.number,
            why=error,
        )

    def retain(self, digests: Container[str]) -> None:
        """Forget the tables and errors of all other rule sets."""
        self.compiled = {digest: made for digest, made in self.compiled.items() if digest in digests}
        self.errors = {digest: error for digest, error in self.errors.items() if digest in digests}

    async def close(self) -> None:
        """Cancel the compilation under way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
