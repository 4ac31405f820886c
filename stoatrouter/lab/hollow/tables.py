"""Rule tables of hollow heads: each set of files is compiled once for each process, not once for each head.

A real head compiles each set beside its requests. A hundred hollow heads in one process would compile the
same set a hundred times over one interpreter lock, so they share the result. What an edit costs one head in
compiling is therefore to be measured at real heads.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from stoatrouter.net.tables import CompiledTable, TableService

MOST_KEPT = 8  # compiled sets; beyond, the oldest is forgotten and compiled again when it is asked for


class SharedTables:
    """What all hollow heads of one process compile."""

    def __init__(self, service: TableService) -> None:
        self.service = service
        self.compiled = 0
        self.made: dict[str, asyncio.Task[CompiledTable]] = {}

    async def compile(self, path: Path) -> CompiledTable:
        """The table of a set of files, whose folder is named by its digest; raises SettingsError."""
        digest = path.parent.name
        if digest not in self.made:
            if len(self.made) >= MOST_KEPT:
                del self.made[next(iter(self.made))]
            self.compiled += 1
            self.made[digest] = asyncio.get_running_loop().create_task(self.service.compile(path))
        return await asyncio.shield(self.made[digest])


@dataclass(slots=True)
class HollowTables:
    """One hollow head's tables, as the history of rules needs them (net/tables.py)."""

    shared: SharedTables
    managed: bool = False
    in_force: CompiledTable | None = field(default=None, repr=False)

    async def compile(self, path: Path) -> CompiledTable:
        """A table of other files, put nowhere yet; raises SettingsError."""
        return await self.shared.compile(path)

    def put(self, made: CompiledTable) -> None:
        """Put a table in force that was made before."""
        self.in_force = made
