"""What this head has spent of each allotment, in a mapped file: a killed process loses none of it.

Each charge is one store of 24 bytes into memory that is the file's, well under a microsecond, before the
answer goes out. A crash of the whole machine may lose what the system had not written yet: then less is
settled than was spent, at most what this head's allotments held (docs/credit.md).
"""

from __future__ import annotations

import mmap
import os
import struct
import zlib
from pathlib import Path

SLOTS, SIZE = 4_096, 64  # allotments at once, and bytes of each
NAME = 32  # bytes
SPENT = struct.Struct("<QQI")  # the figure twice and a check of it: a torn store is found out


class SpentJournal:
    """One file. Slots are found by allotment; a slot whose name is empty is free."""

    def __init__(self, path: Path | None) -> None:
        self.file = -1
        if path is None:  # the disk takes no writes: what is spent is known to this process alone
            self.map: mmap.mmap = mmap.mmap(-1, SLOTS * SIZE)
        else:
            self.file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
            os.ftruncate(self.file, SLOTS * SIZE)
            self.map = mmap.mmap(self.file, SLOTS * SIZE)
        self.places: dict[str, int] = {}
        self.free = list(range(SLOTS - 1, -1, -1))

    def read(self) -> dict[str, int]:
        """What an earlier process had spent, by allotment. A figure that is torn counts as the larger
        half.
        """
        found: dict[str, int] = {}
        for slot in range(SLOTS):
            at = slot * SIZE
            name = self.map[at : at + NAME].rstrip(b"\0")
            if not name:
                continue
            first, second, check = SPENT.unpack_from(self.map, at + NAME)
            spent = (
                first
                if zlib.crc32(first.to_bytes(8, "little")) == check and first == second
                else max(first, second)
            )
            found[name.decode("ascii", "replace")] = spent
            self.places[name.decode("ascii", "replace")] = slot
        self.free = [slot for slot in range(SLOTS - 1, -1, -1) if slot not in self.places.values()]
        return found

    def begin(self, allotment: str) -> bool:
        """Take a slot for an allotment; whether there is one."""
        if not self.free or len(allotment) > NAME:
            return False
        slot = self.places[allotment] = self.free.pop()
        self.set(allotment, 0)
        self.map[slot * SIZE : slot * SIZE + NAME] = allotment.encode().ljust(NAME, b"\0")
        return True

    def set(self, allotment: str, spent: int) -> None:
        """Record what was spent of it in all."""
        slot = self.places.get(allotment)
        if slot is not None:
            SPENT.pack_into(
                self.map, slot * SIZE + NAME, spent, spent, zlib.crc32(spent.to_bytes(8, "little"))
            )

    def end(self, allotment: str) -> None:
        """Free its slot."""
        slot = self.places.pop(allotment, None)
        if slot is not None:
            self.map[slot * SIZE : (slot + 1) * SIZE] = bytes(SIZE)
            self.free.append(slot)

    def close(self) -> None:
        """Close the file."""
        self.map.close()
        if self.file >= 0:
            os.close(self.file)
