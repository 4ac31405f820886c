"""A simulated disk of a voter with the semantics of SQLite: writes are atomic."""

from __future__ import annotations

import msgspec

from stoatrouter.agreement.records import PersistentState, Write


def apply_write(disk: PersistentState, write: Write) -> PersistentState:
    """Return the contents of the disk after a write."""
    term, voted_for = disk.term, disk.voted_for
    if write.term is not None:
        term, voted_for = write.term, write.voted_for
    remaining = [entry for entry in disk.entries if write.cut_from is None or entry.index < write.cut_from]
    entries = {entry.index: entry for entry in (*remaining, *write.entries)}
    if write.keep_from is not None:
        entries = {index: entry for index, entry in entries.items() if index >= write.keep_from}
    ordered = tuple(entries[index] for index in sorted(entries))
    return PersistentState(term, voted_for, write.snapshot or disk.snapshot, ordered, disk.commit)


def record_commit(disk: PersistentState, index: int) -> PersistentState:
    """Return the disk with a new commit index, which is stored in a mapped file beside the database."""
    return msgspec.structs.replace(disk, commit=index) if index != disk.commit else disk
