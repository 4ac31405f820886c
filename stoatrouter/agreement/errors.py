"""Errors for violated invariants of the consensus protocol: defects of the program, never of a caller."""

from __future__ import annotations


class AgreementError(AssertionError):
    """An invariant of the consensus protocol is violated.

    It is an AssertionError because the fleet lab's searches and scenarios expect one; heads do not handle it.
    """


class CommittedEntryConflict(AgreementError):
    """A leader's entry conflicts with a committed one (Raft's leader completeness, thesis 3.6.3)."""

    def __init__(self, index: int, commit_index: int) -> None:
        """Record the index of the entry and this head's commit index."""
        super().__init__(
            f"a leader sent a conflicting entry at index {index}, but entries up to {commit_index} are "
            "committed here; a leader of a later term must hold all committed entries"
        )


class EntryMissing(AgreementError):
    """A requested index is not in the log."""

    def __init__(self, index: int, first: int, last: int) -> None:
        """Record the index and the bounds of the log."""
        super().__init__(f"the log has no entry at index {index}; its entries are {first} to {last}")
