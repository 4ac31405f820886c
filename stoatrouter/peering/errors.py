"""Errors of the communication between heads; callers turn them into a status code or a log line.

The texts of `ReplicationError` and `PeerUnreachable` reach operators in the answers of management calls, and
other heads through `calls.Answer`. The text of `MessageRejected` is the key that it is counted under.
"""

from __future__ import annotations

from enum import StrEnum


class PeeringError(Exception):
    """Base of all errors between heads."""


# -- the replicated log -------------------------------------------------------------------------------------
class ReplicationError(PeeringError):
    """A command or read was not confirmed; it may still take effect unless the subclass rules that out."""


class ProposalRejected(ReplicationError):
    """This head's agreement did not accept a proposal or read, which therefore takes no effect."""


class CommitTimeout(ReplicationError):
    """A proposal was not committed before its timeout; it may be committed later."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("it was not agreed on in time")


class ReadTimeout(ReplicationError):
    """No majority confirmed before the timeout that a read is up to date."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("no majority confirmed it in time")


class EntryOverwritten(ReplicationError):
    """Another leader's entry was committed at a proposal's index: the proposal takes no effect."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("another leader's entry took its place")


class OutcomeCompacted(ReplicationError):
    """A snapshot covers a proposal's index: whether it was committed is unknown here."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("what became of it is in a snapshot")


class LeaderUnavailable(ReplicationError):
    """No leader answered before the timeout; the text is the reason of the last failed attempt."""


class ReplicaBehind(ReplicationError):
    """The leader confirmed a read, but this head did not apply the log that far before the timeout."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("what was agreed on has not come here in time")


# -- messages -----------------------------------------------------------------------------------------------
class PeerUnreachable(PeeringError):
    """No usable answer came from a head; the request may have been carried out.

    The last word of the text names the cause: a status code, or the type of the connection error.
    """


class RejectReason(StrEnum):
    """Why a message is dropped. The values are parts of metric keys that operators see."""

    TOO_LONG = "too_long"
    FOREIGN = "foreign"  # not authenticated with this fleet's secret
    MALFORMED = "malformed"
    FOR_ANOTHER = "for_another"
    ANOTHER_FLEET = "another_fleet"
    OLDER_PROCESS = "older_process"  # from an earlier incarnation of its head
    ANOTHER_ANSWER = "another_answer"  # the answer to a different request
    FLOOD = "flood"
    NOT_A_PEER = "not_a_peer"


class MessageRejected(PeeringError):
    """A message is not authentic, malformed or addressed to another head.

    Attributes:
        reason: The key it is counted under; in this package a `RejectReason`.
    """

    def __init__(self, reason: str) -> None:
        """Store the reason, which is also the text."""
        super().__init__(reason)
        self.reason = reason


# -- the disk -----------------------------------------------------------------------------------------------
class CorruptDatabase(PeeringError):
    """The database is damaged, incomplete or older than the last write that the head acknowledged."""


class StorageClosed(PeeringError):
    """A write was requested before `Storage.open` or after `Storage.close`."""
