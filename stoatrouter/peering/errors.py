"""What can go wrong between heads, as types; the edge turns them into a status or a log line.

The texts of `ReplicationError` and `PeerUnreachable` reach operators in the answers of management calls and,
through `calls.Answer`, other heads; those of `MessageRejected` are the keys it is counted under.
"""

from __future__ import annotations

from enum import StrEnum


class PeeringError(Exception):
    """Base of all errors between heads."""


# -- the replicated log -------------------------------------------------------------------------------------
class ReplicationError(PeeringError):
    """A command or a read was not brought through; it may still take effect unless a subclass says more."""


class ProposalRejected(ReplicationError):
    """This head's agreement did not accept a proposal or a read: nothing of it takes effect."""


class CommitTimeout(ReplicationError):
    """A proposal was not committed within its time; it may be committed later."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("it was not agreed on in time")


class ReadTimeout(ReplicationError):
    """No majority confirmed within its time that a read is up to date."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("no majority confirmed it in time")


class EntryOverwritten(ReplicationError):
    """Another leader's entry was committed at a proposal's index: the proposal takes no effect."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("another leader's entry took its place")


class OutcomeCompacted(ReplicationError):
    """A snapshot covers a proposal's index: whether it was committed is not known here."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("what became of it is in a snapshot")


class LeaderUnavailable(ReplicationError):
    """No leader answered within the time; the text is the last reason met."""


class ReplicaBehind(ReplicationError):
    """The leader confirmed a read, but this head did not apply the log that far within the time."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("what was agreed on has not come here in time")


# -- messages -----------------------------------------------------------------------------------------------
class PeerUnreachable(PeeringError):
    """No answer of a head came that can be used; whatever was requested may have been done.

    The last word of the text names the cause: a status, or the kind of the connection's error.
    """


class RejectReason(StrEnum):
    """Why a message is dropped. The values are parts of metric keys that operators see."""

    TOO_LONG = "too_long"
    FOREIGN = "foreign"  # not authenticated with this fleet's secret
    MALFORMED = "malformed"
    FOR_ANOTHER = "for_another"
    ANOTHER_FLEET = "another_fleet"
    OLDER_PROCESS = "older_process"  # from an earlier incarnation of its head
    ANOTHER_ANSWER = "another_answer"  # answers a request other than the one it came for
    FLOOD = "flood"
    NOT_A_PEER = "not_a_peer"


class MessageRejected(PeeringError):
    """A message is not authentic, not well formed or not for this head.

    Attributes:
        reason: What it is counted under, a `RejectReason` as far as this package is concerned.
    """

    def __init__(self, reason: str) -> None:
        """Reject a message for a reason, which is the text too."""
        super().__init__(reason)
        self.reason = reason


# -- the disk -----------------------------------------------------------------------------------------------
class CorruptDatabase(PeeringError):
    """The database of a head is damaged, incomplete or older than what the head acknowledged."""


class StorageClosed(PeeringError):
    """A write was requested while no database is open; `Storage.open` comes first, `close` last."""
