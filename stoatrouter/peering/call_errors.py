"""Errors of operators' calls; `operator_calls.py` maps them to status codes.

Two further errors are mapped there: `bounds.OutOfBoundsError`, and `errors.ReplicationError` for a call that
no majority confirmed.
"""

from __future__ import annotations


class CallError(Exception):
    """A call failed; the text is for the operator."""


class UnknownCallError(CallError):
    """No call has this method and path."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("no such call")


class MethodNotAllowedError(CallError):
    """The call's path accepts other methods only; the text names them."""


class MalformedCallError(CallError):
    """The call's body or path cannot be parsed, or does not have the expected form."""


class NotFoundError(CallError):
    """The call names a customer, entry, version or id that does not exist."""


class ConflictError(CallError):
    """The call is well-formed, but the current state does not allow it."""


class EditRejectedError(ConflictError):
    """The history rejects an edit or undo."""

    def __init__(self, reason: str, newest: int) -> None:
        """Store the history's reason and the number of the version in force."""
        super().__init__(reason)
        self.newest = newest


class NotLeaderError(ConflictError):
    """Only the leader answers this call."""

    def __init__(self, leader: str | None) -> None:
        """Store the leader's name, if it is known."""
        super().__init__("ask the head that leads")
        self.leader = leader


class UnavailableError(CallError):
    """Another head that the call depends on did not answer, or cannot do what the call asks."""
