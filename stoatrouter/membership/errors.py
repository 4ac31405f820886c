"""Errors of the membership package: invalid datagrams, and violated invariants of the follower."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of this package's errors."""


class MalformedDatagram(MembershipError):
    """Bytes that are not a datagram of this fleet.

    `str()` of it is the label under which it is counted (peering/datagrams.py). Operators see these labels,
    so they must not change. Each subclass has one label; `detail` describes the actual and the expected data.
    """

    reason = "malformed"

    def __init__(self, detail: str = "") -> None:
        """Record the detail, which is meant for logs and tests and is not part of the label."""
        super().__init__(self.reason)
        self.detail = detail


class DatagramTooLong(MalformedDatagram):
    """The data is longer than the largest datagram."""

    reason = "too_long"


class DatagramTooShort(MalformedDatagram):
    """The data is shorter than the smallest datagram."""

    reason = "too_short"


class ForeignDatagram(MalformedDatagram):
    """The MAC does not verify: another fleet, another key, or data corrupted in transit."""

    reason = "foreign"


class UnreadableField(MalformedDatagram):
    """A field of an authenticated datagram is invalid: a string too long, not UTF-8, or truncated."""

    reason = "malformed"


class UnsupportedVersion(MalformedDatagram):
    """An unsupported version, or a datagram without a sender's name."""

    reason = "other_version"


class RevisionUnknown(MembershipError):
    """The follower needs a revision before it has read a list; a defect of the program."""

    def __init__(self, phase: str) -> None:
        """Record the follower's phase."""
        super().__init__(f"no revision is known while {phase}: the list must be read before it is watched")
