"""What can go wrong between heads, as types; the edge turns them into a status or a log line."""

from __future__ import annotations


class PeeringError(Exception):
    """Base of all errors between heads."""


class ReplicationError(PeeringError):
    """A command or read that this head cannot bring through; what was asked may or may not come to hold."""


class PeerUnreachable(PeeringError):
    """No answer came; whatever was asked may have been done."""


class MessageRejected(PeeringError):
    """Not a message for this head; the text is the reason it is counted under."""
