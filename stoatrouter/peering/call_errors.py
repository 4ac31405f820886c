"""Why an operator's call is not answered as asked. `operator_calls.py` turns these into status codes.

Beside them stand `bounds.OutOfBoundsError` and the replication's own error for what no majority confirmed.
"""

from __future__ import annotations


class CallError(Exception):
    """A call that is not answered as asked; the text is for the operator."""


class UnknownCallError(CallError):
    """There is no such call."""

    def __init__(self) -> None:
        """Word the error."""
        super().__init__("no such call")


class MethodNotAllowedError(CallError):
    """The call exists by other methods; the text names them."""


class MalformedCallError(CallError):
    """The call's body or path cannot be read, or does not have the call's form."""


class NotFoundError(CallError):
    """The call names a customer, entry, version or id that is not there."""


class ConflictError(CallError):
    """The call is well-formed, and the state that it would change does not allow it."""


class EditRejectedError(ConflictError):
    """The history rejects an edit or undo."""

    def __init__(self, reason: str, newest: int) -> None:
        """Take the history's reason and the number of the version in force."""
        super().__init__(reason)
        self.newest = newest


class NotLeaderError(ConflictError):
    """The call is answered by the leader alone."""

    def __init__(self, leader: str | None) -> None:
        """Take the leader's name, where it is known."""
        super().__init__("ask the head that leads")
        self.leader = leader


class UnavailableError(CallError):
    """Other heads that the call needs did not answer, or not as it needs."""
