"""What membership raises: bytes that are no datagram of the fleet, and broken rules of the follower."""

from __future__ import annotations


class MembershipError(Exception):
    """The base of this package's errors."""


class MalformedDatagram(MembershipError):
    """Bytes that are not a datagram of this fleet.

    `str()` of it is the reason under which it is counted (peering/datagrams.py): operators see these
    labels, so they do not change. Each subclass names one reason; `detail` says what is wrong and what
    would be right.
    """

    reason = "malformed"

    def __init__(self, detail: str = "") -> None:
        """Record the detail; it is for logs and tests, not for the count's label."""
        super().__init__(self.reason)
        self.detail = detail


class DatagramTooLong(MalformedDatagram):
    """More bytes than a datagram may have."""

    reason = "too_long"


class DatagramTooShort(MalformedDatagram):
    """Fewer bytes than the smallest datagram has."""

    reason = "too_short"


class ForeignDatagram(MalformedDatagram):
    """The MAC fails: another fleet, another key, or bytes changed on the way."""

    reason = "foreign"


class UnreadableField(MalformedDatagram):
    """A field inside a sealed datagram cannot be read: a string too long, not UTF-8, or cut short."""

    reason = "malformed"


class UnsupportedVersion(MalformedDatagram):
    """A version this head does not speak, or a datagram without a sender's name."""

    reason = "other_version"


class RevisionUnknown(MembershipError):
    """The follower needs a revision before it has read any list; a fault of the program."""

    def __init__(self, phase: str) -> None:
        """Name the phase that the follower is in."""
        super().__init__(f"no revision is known while {phase}: a list must be read before it is watched")
