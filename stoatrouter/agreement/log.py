"""The log of one head in memory: a snapshot and the entries after it. No I/O; indices count from 1."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from stoatrouter.agreement.errors import EntryMissing
from stoatrouter.agreement.records import VOTERS, Entry, Snapshot, Voter

MAX_ENTRIES_IN_MESSAGE = 256  # entries in one message
MAX_BYTES_IN_MESSAGE = 4 * 1024 * 1024  # of entries in one message
ENTRY_OVERHEAD = 32  # bytes counted for an entry beside its body


@dataclass(slots=True, frozen=True)
class VoterSet:
    """The voters, and at which index an entry or the snapshot set them."""

    set_at: int
    voters: tuple[Voter, ...]


@dataclass(slots=True)
class Log:
    """One head's log: a snapshot, and the entries after it."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    voter_changes: list[Entry] = field(default_factory=list)  # those among the entries

    def __post_init__(self) -> None:
        """Find the changes of the voters among the entries given (thesis 4.1: the latest one counts)."""
        self.voter_changes = [entry for entry in self.entries if entry.kind == VOTERS]

    def append(self, entries: list[Entry]) -> None:
        """Append entries that follow on the last one."""
        self.entries += entries
        self.voter_changes += [entry for entry in entries if entry.kind == VOTERS]

    @property
    def first(self) -> int:
        """The index of the first entry that the log holds, or would hold."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.entries and self.first <= index <= self.last:
            return self.entries[index - self.first].term
        return None

    def require_term_at(self, index: int) -> int:
        """The term of an entry; raises EntryMissing where the log does not hold it."""
        term = self.term_at(index)
        if term is None:
            raise EntryMissing(index, self.first, self.last)
        return term

    def entries_from(self, index: int, last_index: int | None = None) -> tuple[Entry, ...]:
        """Entries from an index on, as many as one message may hold (one at the least)."""
        batch: list[Entry] = []
        size = 0
        for entry in self.entries[max(0, index - self.first) :]:
            if last_index is not None and entry.index > last_index or len(batch) >= MAX_ENTRIES_IN_MESSAGE:
                break
            size += len(entry.body) + ENTRY_OVERHEAD
            if batch and size > MAX_BYTES_IN_MESSAGE:
                break
            batch.append(entry)
        return tuple(batch)

    def entries_between(self, after: int, to: int) -> tuple[Entry, ...]:
        """The entries after one index, up to another."""
        return tuple(self.entries[max(0, after + 1 - self.first) : max(0, to + 1 - self.first)])

    def truncate_from(self, index: int) -> None:
        """Remove the entries from an index on."""
        del self.entries[max(0, index - self.first) :]
        self.voter_changes = [entry for entry in self.voter_changes if entry.index < index]

    def compact(self, snapshot: Snapshot, max_retained: int) -> int:
        """Take a snapshot and retain some entries before it, for heads a little behind (thesis 5.1).

        Args:
            snapshot: The new snapshot; its index is at most the last entry's.
            max_retained: How many entries before the snapshot to retain, at most.

        Returns:
            The index of the first entry retained.
        """
        retained_from = max(self.first, snapshot.index + 1 - max_retained)
        self.entries = self.entries[retained_from - self.first :]
        self.voter_changes = [entry for entry in self.voter_changes if entry.index > snapshot.index]
        self.snapshot = snapshot
        return retained_from

    def voter_set(self, last_index: int | None = None) -> VoterSet:
        """The newest set of voters, committed or not; with `last_index`, as of that index."""
        for entry in reversed(self.voter_changes):
            if (last_index is None or entry.index <= last_index) and entry.index > self.snapshot.index:
                return VoterSet(entry.index, decode_voters(entry.body))
        return VoterSet(self.snapshot.index, self.snapshot.voters)


def decode_voters(body: bytes) -> tuple[Voter, ...]:
    """The voters that an entry names."""
    return msgspec.msgpack.decode(body, type=tuple[Voter, ...])


def encode_voters(voters: tuple[Voter, ...]) -> bytes:
    """The body of an entry that names the voters."""
    return msgspec.msgpack.encode(voters)
