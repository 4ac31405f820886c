"""Rule tables of hollow heads: each set of files is compiled once for each process, not once for each head.

A real head compiles each set while it serves requests. A hundred hollow heads in one process would compile
the same set a hundred times under one interpreter lock, so they share the result. The cost of compiling an
edit on one head must therefore be measured on real heads.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from stoatrouter.net.tables import CompiledTable, TableService

MAX_CACHED = 8  # compiled sets; the oldest is evicted first and compiled again if it is needed


class SharedTableCache:
    """The cache of compiled tables of all hollow heads in one process."""

    def __init__(self, service: TableService) -> None:
        """Create a cache that compiles with one table service, of which a real head has its own."""
        self.service = service
        self.compiled = 0  # number of compiled sets of files, for reports
        self.compilations: dict[str, asyncio.Task[CompiledTable]] = {}  # by digest

    async def compile(self, path: Path) -> CompiledTable:
        """Compile files in a folder named by their digest, or reuse the result; raises SettingsError."""
        digest = path.parent.name
        if digest not in self.compilations:
            if len(self.compilations) >= MAX_CACHED:
                del self.compilations[next(iter(self.compilations))]
            self.compiled += 1
            self.compilations[digest] = asyncio.get_running_loop().create_task(self.service.compile(path))
        return await asyncio.shield(self.compilations[digest])


@dataclass(slots=True)
class HollowTables:
    """The tables of one hollow head, with the interface that the history of rules uses (net/tables.py)."""

    cache: SharedTableCache
    managed: bool = False
    active: CompiledTable | None = field(default=None, repr=False)

    async def compile(self, path: Path) -> CompiledTable:
        """Compile a table of other files without putting it in force; raises SettingsError."""
        return await self.cache.compile(path)

    def activate(self, compiled: CompiledTable) -> None:
        """Activate a compiled table."""
        self.active = compiled
