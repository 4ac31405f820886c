"""Rule tables of hollow heads: each set of files is compiled once for each process, not once for each head.

A real head compiles each set beside its requests. A hundred hollow heads in one process would compile the
same set a hundred times over one interpreter lock, so they use one result. What one head spends on
compiling an edit is therefore to be measured at real heads.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from stoatrouter.net.tables import CompiledTable, TableService

MAX_CACHED = 8  # compiled sets; beyond, the oldest is evicted and compiled again when it is needed


class CompilationCache:
    """The cache of compiled tables of all hollow heads in one process."""

    def __init__(self, service: TableService) -> None:
        """Compile by a service that a real head would have for itself."""
        self.service = service
        self.compiled = 0  # sets of files, for reports
        self.compilations: dict[str, asyncio.Task[CompiledTable]] = {}  # by digest

    async def compile(self, path: Path) -> CompiledTable:
        """Compile a set of files, whose folder is named by its digest; raises SettingsError."""
        digest = path.parent.name
        if digest not in self.compilations:
            if len(self.compilations) >= MAX_CACHED:
                del self.compilations[next(iter(self.compilations))]
            self.compiled += 1
            self.compilations[digest] = asyncio.get_running_loop().create_task(self.service.compile(path))
        return await asyncio.shield(self.compilations[digest])


@dataclass(slots=True)
class HollowTables:
    """One hollow head's tables, as the history of rules needs them (net/tables.py)."""

    compilation_cache: CompilationCache
    managed: bool = False
    active: CompiledTable | None = field(default=None, repr=False)

    async def compile(self, path: Path) -> CompiledTable:
        """Compile a table of other files without activating it; raises SettingsError."""
        return await self.compilation_cache.compile(path)

    def activate(self, compiled: CompiledTable) -> None:
        """Activate a compiled table."""
        self.active = compiled
