"""What the agreement raises where its own rules are broken: faults of the program, never of a caller."""

from __future__ import annotations


class AgreementError(AssertionError):
    """A rule of the agreement does not hold.

    An AssertionError, as the searches and stories of the fleet lab take it: nothing in a head handles it.
    """


class CommittedEntryConflict(AgreementError):
    """A leader's entry would replace one that is committed (Raft's leader completeness, thesis 3.6.3)."""

    def __init__(self, index: int, commit_index: int) -> None:
        """Name the entry and how far this head has committed."""
        super().__init__(
            f"a committed entry would go: a leader sends another one at index {index}, and all up to "
            f"{commit_index} are committed here; a leader of a later term holds all committed entries"
        )


class EntryMissing(AgreementError):
    """An index is asked for that the log does not hold."""

    def __init__(self, index: int, first: int, last: int) -> None:
        """Name the index and the bounds of the log."""
        super().__init__(f"the log holds no entry at index {index}; it holds those from {first} to {last}")
