"""A counter in a memory-mapped file of its own, which survives a crash of the process.

A head has two beside its database (`storage`): the number of the last write that it acknowledged, which
reveals an older copy of the database, and the commit index of the log on the disk.
"""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

RECORD = struct.Struct(">QQ")  # the value twice, which reveals a torn write


class MappedCounter:
    """An increasing counter in a memory-mapped file."""

    def __init__(self, path: Path) -> None:
        """Map the file, created if missing; raises OSError."""
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._file, RECORD.size)
        self._map = mmap.mmap(self._file, RECORD.size)

    def read(self) -> int:
        """Return the value, 0 in a new file; after a torn write, the lower of the two copies."""
        first: int
        second: int
        first, second = RECORD.unpack(self._map[:])
        return min(first, second)

    def set(self, value: int) -> None:
        """Set the value."""
        self._map[:] = RECORD.pack(value, value)

    def close(self) -> None:
        """Unmap and close the file."""
        self._map.close()
        os.close(self._file)
