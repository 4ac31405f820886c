"""A number in a mapped file of its own, which a crash of the process does not lose.

A head has two beside its database: the number of the last write that it acknowledged, by which an older copy
of the database is found out, and up to where the log on the disk is committed (`storage`).
"""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

RECORD = struct.Struct(">QQ")  # the number twice: a torn store is found out


class MappedNumber:
    """A number that goes up, in a file of its own."""

    def __init__(self, path: Path) -> None:
        """Map the file, which is created where there is none; raises OSError."""
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._file, RECORD.size)
        self._map = mmap.mmap(self._file, RECORD.size)

    def read(self) -> int:
        """The number; 0 where the file is new. Of two halves that differ the lower counts: it was torn."""
        first: int
        second: int
        first, second = RECORD.unpack(self._map[:])
        return min(first, second)

    def set(self, number: int) -> None:
        """Set the number."""
        self._map[:] = RECORD.pack(number, number)

    def close(self) -> None:
        """Unmap and close the file."""
        self._map.close()
        os.close(self._file)
