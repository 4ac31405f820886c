"""The in-memory log of one head: a snapshot and the entries after it. No I/O; indices start at 1."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from stoatrouter.agreement.errors import EntryMissing
from stoatrouter.agreement.records import VOTERS, Entry, Snapshot, Voter

MAX_ENTRIES_IN_MESSAGE = 256
MAX_BYTES_IN_MESSAGE = 4 * 1024 * 1024  # total size of the entries, in bytes
ENTRY_OVERHEAD = 32  # bytes counted per entry in addition to its body


@dataclass(slots=True, frozen=True)
class VoterSet:
    """A set of voters, and the index of the entry or snapshot that set it."""

    set_at: int
    voters: tuple[Voter, ...]


@dataclass(slots=True)
class Log:
    """The log of one head.

    Attributes:
        snapshot: The latest snapshot.
        entries: Entries in order of their index; some at the snapshot's index or before may be retained.
        voter_changes: Those of `entries` that change the voters.
    """

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    voter_changes: list[Entry] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Collect the voter changes among the initial entries (the latest one applies, thesis 4.1)."""
        self.voter_changes = [entry for entry in self.entries if entry.kind == VOTERS]

    def append(self, entries: list[Entry]) -> None:
        """Append entries that directly follow the last one."""
        self.entries += entries
        self.voter_changes += [entry for entry in entries if entry.kind == VOTERS]

    @property
    def first(self) -> int:
        """Return the index of the first entry in the log; if there is none, the one after the snapshot."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def last(self) -> int:
        """Return the index of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index; None if the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.entries and self.first <= index <= self.last:
            return self.entries[index - self.first].term
        return None

    def require_term_at(self, index: int) -> int:
        """Return the term of the entry at an index; raise EntryMissing if the log does not hold it."""
        term = self.term_at(index)
        if term is None:
            raise EntryMissing(index, self.first, self.last)
        return term

    def entries_from(self, index: int, last_index: int | None = None) -> tuple[Entry, ...]:
        """Return the entries from an index on that fit into one message: at least one if there is any.

        With `last_index`, no entry after it is returned.
        """
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
        """Return the entries after index `after`, up to and including `to`."""
        return tuple(self.entries[max(0, after + 1 - self.first) : max(0, to + 1 - self.first)])

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        del self.entries[max(0, index - self.first) :]
        self.voter_changes = [entry for entry in self.voter_changes if entry.index < index]

    def compact(self, snapshot: Snapshot, max_retained: int) -> int:
        """Install a snapshot, and retain some entries before it for followers slightly behind (thesis 5.1).

        Args:
            snapshot: The new snapshot; its index is at most that of the last entry.
            max_retained: The maximum number of entries up to the snapshot's index to retain.

        Returns:
            The index of the first retained entry.
        """
        retained_from = max(self.first, snapshot.index + 1 - max_retained)
        self.entries = self.entries[retained_from - self.first :]
        self.voter_changes = [entry for entry in self.voter_changes if entry.index > snapshot.index]
        self.snapshot = snapshot
        return retained_from

    def voter_set(self, last_index: int | None = None) -> VoterSet:
        """Return the latest voter set, committed or not; with `last_index`, the set as of that index."""
        for entry in reversed(self.voter_changes):
            if (last_index is None or entry.index <= last_index) and entry.index > self.snapshot.index:
                return VoterSet(entry.index, decode_voters(entry.body))
        return VoterSet(self.snapshot.index, self.snapshot.voters)


def decode_voters(body: bytes) -> tuple[Voter, ...]:
    """Decode the body of an entry that sets the voters."""
    return msgspec.msgpack.decode(body, type=tuple[Voter, ...])


def encode_voters(voters: tuple[Voter, ...]) -> bytes:
    """Encode the body of an entry that sets the voters."""
    return msgspec.msgpack.encode(voters)
