"""The log of one head in memory: a snapshot and the entries after it. No I/O; indices count from 1."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from stoatrouter.agreement.records import VOTERS, Entry, Snapshot, Voter

MOST_IN_MESSAGE, MOST_BYTES = 256, 4 * 1024 * 1024  # entries and bytes of them in one message


@dataclass(slots=True)
class Log:
    """One head's log: a snapshot, and the entries after it."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    changes: list[Entry] = field(default_factory=list)  # of the voters, among the entries

    def __post_init__(self) -> None:
        """Find the changes of the voters among the entries given (thesis 4.1: the latest one counts)."""
        self.changes = [entry for entry in self.entries if entry.kind == VOTERS]

    def add(self, entries: list[Entry]) -> None:
        """Append entries that follow on the last one."""
        self.entries += entries
        self.changes += [entry for entry in entries if entry.kind == VOTERS]

    @property
    def first(self) -> int:
        """The index of the first entry that is held, or would be."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """The term of an entry; None where it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.entries and self.first <= index <= self.last:
            return self.entries[index - self.first].term
        return None

    def since(self, index: int, until: int | None = None) -> tuple[Entry, ...]:
        """Entries from an index on, as many as one message may hold (one at the least)."""
        taken: list[Entry] = []
        size = 0
        for entry in self.entries[max(0, index - self.first) :]:
            if until is not None and entry.index > until or len(taken) >= MOST_IN_MESSAGE:
                break
            size += len(entry.body) + 32
            if taken and size > MOST_BYTES:
                break
            taken.append(entry)
        return tuple(taken)

    def between(self, after: int, to: int) -> tuple[Entry, ...]:
        """The entries after one index, up to another."""
        return tuple(self.entries[max(0, after + 1 - self.first) : max(0, to + 1 - self.first)])

    def cut(self, index: int) -> None:
        """Entries from an index on go."""
        del self.entries[max(0, index - self.first) :]
        self.changes = [entry for entry in self.changes if entry.index < index]

    def compact(self, snapshot: Snapshot, keep: int) -> int:
        """Take a snapshot and retain some entries before it, for heads a little behind (thesis 5.1).

        Args:
            snapshot: The new snapshot; its index is at most the last entry's.
            keep: How many entries before the snapshot to retain, at most.

        Returns:
            The index of the first entry retained.
        """
        retained_from = max(self.first, snapshot.index + 1 - keep)
        self.entries = self.entries[retained_from - self.first :]
        self.snapshot = snapshot
        return retained_from

    def voters(self, until: int | None = None) -> tuple[int, tuple[Voter, ...]]:
        """The newest set of voters, committed or not, and the index that set it."""
        for entry in reversed(self.changes):
            if (until is None or entry.index <= until) and entry.index > self.snapshot.index:
                return entry.index, read_voters(entry.body)
        return self.snapshot.index, self.snapshot.voters


def read_voters(body: bytes) -> tuple[Voter, ...]:
    """The voters that an entry names."""
    return msgspec.msgpack.decode(body, type=tuple[Voter, ...])


def write_voters(voters: tuple[Voter, ...]) -> bytes:
    """The body of an entry that names the voters."""
    return msgspec.msgpack.encode(voters)
