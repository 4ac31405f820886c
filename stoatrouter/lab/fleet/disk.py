"""A voter's disk as SQLite keeps it: a transaction is on it whole or not at all."""

from __future__ import annotations

from stoatrouter.agreement.records import Disk, Write


def apply_write(disk: Disk, write: Write) -> Disk:
    """Return the disk as it is after a write."""
    term, voted = disk.term, disk.voted
    if write.term is not None:
        term, voted = write.term, write.voted
    remaining = [entry for entry in disk.entries if write.cut_from is None or entry.index < write.cut_from]
    entries = {entry.index: entry for entry in (*remaining, *write.entries)}
    if write.keep_from is not None:
        entries = {index: entry for index, entry in entries.items() if index >= write.keep_from}
    ordered = tuple(entries[index] for index in sorted(entries))
    return Disk(term, voted, write.snapshot or disk.snapshot, ordered)
