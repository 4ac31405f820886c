"""Rule tables of a running head: loaded at startup, and reloaded on SIGHUP while it serves."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

from loguru import logger

from stoatrouter.matching.files import RuleSources, TableLoader
from stoatrouter.matching.matcher import Matcher
from stoatrouter.matching.table import Table
from stoatrouter.settings import SettingsError

# The thread switch interval while a table is compiled in another thread, so that the event loop gets to run
# more often than with the default of 5 ms.
SWITCH_INTERVAL = timedelta(microseconds=500)
Result = TypeVar("Result")
MAX_LOGGED_LINES = 20  # about one table
LOG_INTERVAL = timedelta(seconds=10)


async def run_in_thread(work: Callable[[], Result]) -> Result:
    """Run work in a daemon thread of its own, and return the result.

    The process would wait for the threads of an executor at exit, however long they take.
    """
    loop = asyncio.get_running_loop()
    result: asyncio.Future[Result] = loop.create_future()

    def resolve(set_outcome: Callable[[Any], None], outcome: Any) -> None:
        if not result.done():  # it is done if the caller was cancelled
            set_outcome(outcome)

    def run() -> None:
        try:
            value = work()
        except BaseException as error:  # noqa: BLE001 - raised again in the coroutine that awaits it
            deliver = partial(resolve, result.set_exception, error)
        else:
            deliver = partial(resolve, result.set_result, value)
        with contextlib.suppress(RuntimeError):  # the loop is closed
            loop.call_soon_threadsafe(deliver)

    threading.Thread(target=run, daemon=True, name="rules").start()
    return await result


def run_without_long_pauses(work: Callable[[], Result]) -> Result:
    """Run work that creates many objects, with a short switch interval and without garbage collection.

    A collection would stall requests for up to a second. The new objects are long-lived, so they are frozen.
    """
    previous_interval = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL.total_seconds())
    # Collecting garbage among the new objects would take a third of the time, and a second without pause at
    # the end, in which requests stall. The new objects stay alive; reference counting frees everything else.
    gc.disable()
    try:
        return work()
    finally:
        gc.freeze()
        gc.enable()
        sys.setswitchinterval(previous_interval)


@dataclass(slots=True, frozen=True)
class CompiledTable:
    """A compiled table, the loader of its files, and the files as they were read."""

    loader: TableLoader
    table: Table
    sources: RuleSources


@dataclass(slots=True, frozen=True)
class LoadedTables:
    """The tables loaded from the operator's files: the one to activate, and the shadow table, if any."""

    table: Table
    sources: RuleSources
    shadow: Table | None


class TableService:
    """Loads rule tables and activates them, one at a time."""

    def __init__(
        self, loader: TableLoader, shadow_loader: TableLoader | None, windows: dict[int, timedelta]
    ) -> None:
        """Load the tables and activate them at once.

        Args:
            loader: Loads the active table.
            shadow_loader: Loads the shadow table; None: no shadow table.
            windows: The repeat windows of idempotent classes, by class number.

        Raises:
            SettingsError: The tables cannot be loaded.
        """
        self.loader = loader
        self.shadow_loader = shadow_loader
        loaded = self.load()
        self.matcher = Matcher(self.log_active(loaded.table, loaded.sources), windows)
        self.matcher.set_shadow(loaded.shadow)
        self.reload_task: asyncio.Task[None] | None = None
        self.reload_again = False
        self.managed = False  # whether the table comes from the heads' history, not from this head's files

    def log_active(self, table: Table, sources: RuleSources) -> Table:
        """Log which table is active, and its warnings; returns the table."""
        logger.info(
            "rules: table {epoch} with {rules} rules in {scopes} scopes is active",
            event="rules.in_force",
            epoch=table.epoch,
            rules=table.size,
            scopes=len(table.scopes),
        )
        for warning in table.warnings[:MAX_LOGGED_LINES]:
            logger.warning("rules: {warning}", event="rules.idle", warning=str(sources.locate(warning)))
        return table

    def reload(self) -> None:
        """Reload the files in the background; a call during a reload causes another one after it."""
        if self.managed:
            logger.warning(
                "rules: files are not reloaded, as the table comes from the heads' history",
                event="rules.managed",
            )
            return
        if self.reload_task is not None and not self.reload_task.done():
            self.reload_again = True
            return
        self.reload_task = asyncio.get_running_loop().create_task(self.run_reloads())

    async def run_reloads(self) -> None:
        """Load the files in a thread and activate the table; if it is rejected, the old one stays active."""
        self.reload_again = True
        while self.reload_again:
            self.reload_again = False
            try:
                loaded = await run_in_thread(self.load)
            except SettingsError as error:
                # Rules that are faulty or only partly written must not affect a serving head.
                self.log_rejected(error)
                continue
            except Exception:
                logger.exception("rules: loading failed with an unexpected error", event="rules.fault")
                continue
            self.matcher.replace(self.log_active(loaded.table, loaded.sources))
            self.matcher.set_shadow(loaded.shadow)

    def log_rejected(self, error: SettingsError) -> None:
        """Log that the files were rejected, and their faults."""
        logger.error(
            "rules: new rules rejected; table {epoch} stays active",
            event="rules.refused",
            epoch=self.matcher.table.epoch,
        )
        for fault in error.faults[:MAX_LOGGED_LINES]:
            logger.error("rules: {wrong}", event="rules.wrong", wrong=str(fault))

    def load(self) -> LoadedTables:
        """Load the tables from their files; raises SettingsError."""
        return run_without_long_pauses(self._load)

    def _load(self) -> LoadedTables:
        table, sources = self.loader.load()
        shadow = self.shadow_loader.load()[0] if self.shadow_loader is not None else None
        return LoadedTables(table, sources, shadow)

    async def compile(self, path: Path) -> CompiledTable:
        """Compile a table from other files without activating it; raises SettingsError."""
        current = self.loader
        loader = TableLoader(
            path, current.vocabulary, current.environment, current.buckets, cache=current.cache
        )
        table, sources = await run_in_thread(lambda: run_without_long_pauses(loader.load))
        return CompiledTable(loader, table, sources)

    def activate(self, compiled: CompiledTable) -> None:
        """Activate a compiled table."""
        self.loader = compiled.loader
        self.matcher.replace(self.log_active(compiled.table, compiled.sources))

    async def log_periodically(self) -> None:
        """Log differences from the shadow table and evicted placements every LOG_INTERVAL."""
        logged_differences = 0
        evicted = 0
        while True:
            await asyncio.sleep(LOG_INTERVAL.total_seconds())
            matcher = self.matcher
            differences = matcher.differences.total()
            if matcher.shadow is not None and differences != logged_differences:
                self.log_differences()
            logged_differences = differences
            if matcher.placements.evicted != evicted:
                evicted = matcher.placements.evicted
                logger.warning(
                    "rules: {count} placements evicted before they expired",
                    event="rules.forgotten",
                    count=evicted,
                )

    def log_differences(self) -> None:
        """Log the most frequent differences between the active table and the shadow table."""
        for (active, other), count in self.matcher.differences.most_common(MAX_LOGGED_LINES):
            logger.info(
                "rules: shadow differs in {count} of {asked} requests: active {in_force}, shadow {other}",
                event="rules.shadow",
                count=count,
                asked=self.matcher.shadowed,
                in_force=active,
                other=other,
            )

    async def close(self) -> None:
        """Cancel a reload in progress."""
        if self.reload_task is not None:
            self.reload_task.cancel()
            await asyncio.gather(self.reload_task, return_exceptions=True)
