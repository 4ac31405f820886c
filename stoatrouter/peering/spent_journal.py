"""The journal of what this head has spent of each allotment, in a memory-mapped file.

It survives a kill of the process: each charge is a write of 20 bytes to the mapped memory, well under a
microsecond, before the answer is sent. A crash of the machine may lose what the system had not written back
yet: then less is settled than was spent, at most the sum of this head's allotments (docs/credit.md).

The file (`spent.book`) has SLOTS slots of SLOT_BYTES each. A slot holds the allotment's name, padded with
zero bytes, and a record: the amount twice and its CRC-32, which reveals a torn write.
"""

from __future__ import annotations

import mmap
import os
import struct
import zlib
from pathlib import Path

SLOTS = 4_096  # allotments recorded at a time; beyond, `begin` refuses one, and nothing of it is spent
SLOT_BYTES = 64
NAME_BYTES = 32
AMOUNT_SIZE = 8  # little-endian, as the CRC covers it
RECORD = struct.Struct("<QQI")


class SpentJournal:
    """The journal of one head, which `credit.escrow.HeadEscrow` records to.

    Slots are found by allotment; a slot with an empty name is free.
    """

    def __init__(self, path: Path | None) -> None:
        """Map the file, created if missing.

        Args:
            path: The file; None if the disk takes no writes: the journal is then lost with this process.

        Raises:
            OSError: The file cannot be opened or mapped.
        """
        self._file = -1
        if path is None:
            self._map = mmap.mmap(-1, SLOTS * SLOT_BYTES)
        else:
            self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
            os.ftruncate(self._file, SLOTS * SLOT_BYTES)
            self._map = mmap.mmap(self._file, SLOTS * SLOT_BYTES)
        self._slots: dict[str, int] = {}
        self._free = list(range(SLOTS - 1, -1, -1))  # the lowest is used first

    def read(self) -> dict[str, int]:
        """Read what an earlier process had spent, and take over its slots.

        Returns:
            The total spent, by allotment. Of a torn record the larger amount counts, so that no charge to a
            customer is lost.
        """
        spent: dict[str, int] = {}
        for slot in range(SLOTS):
            start = slot * SLOT_BYTES
            name = self._map[start : start + NAME_BYTES].rstrip(b"\0")
            if not name:
                continue
            allotment = name.decode("ascii", "replace")
            spent[allotment] = self._read_amount(slot)
            self._slots[allotment] = slot
        used = set(self._slots.values())
        self._free = [slot for slot in range(SLOTS - 1, -1, -1) if slot not in used]
        return spent

    def _read_amount(self, slot: int) -> int:
        first: int
        second: int
        first, second, checksum = RECORD.unpack_from(self._map, slot * SLOT_BYTES + NAME_BYTES)
        if first == second and checksum_of(first) == checksum:
            return first
        return max(first, second)

    def begin(self, allotment: str) -> bool:
        """Take a slot for an unspent allotment; return False if no slot is free or its name is too long."""
        if not self._free or len(allotment) > NAME_BYTES:
            return False
        slot = self._free.pop()
        self._slots[allotment] = slot
        self.set(allotment, 0)  # before the name, so that each named slot has a valid record
        start = slot * SLOT_BYTES
        self._map[start : start + NAME_BYTES] = allotment.encode().ljust(NAME_BYTES, b"\0")
        return True

    def set(self, allotment: str, spent: int) -> None:
        """Record the total spent of an allotment; ignored if it has no slot."""
        slot = self._slots.get(allotment)
        if slot is not None:
            start = slot * SLOT_BYTES + NAME_BYTES
            RECORD.pack_into(self._map, start, spent, spent, checksum_of(spent))

    def end(self, allotment: str) -> None:
        """Free the slot of a settled allotment; ignored if it has none."""
        slot = self._slots.pop(allotment, None)
        if slot is not None:
            self._map[slot * SLOT_BYTES : (slot + 1) * SLOT_BYTES] = bytes(SLOT_BYTES)
            self._free.append(slot)

    def close(self) -> None:
        """Unmap and close the file."""
        self._map.close()
        if self._file >= 0:
            os.close(self._file)


def checksum_of(spent: int) -> int:
    """Return the CRC-32 of an amount, as stored in its record."""
    return zlib.crc32(spent.to_bytes(AMOUNT_SIZE, "little"))
