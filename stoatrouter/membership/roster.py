"""The membership list of one head, the precedence of updates, and the gossip queue. No I/O, no clock.

The precedence is SWIM's (Das, Gupta, Motivala 2002, section 4.2). Only the member itself raises its
incarnation, so an update with a higher incarnation replaces one with a lower incarnation. Within one
incarnation the status with the higher value replaces the other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

UPDATE_FIXED_BYTES = 1 + 6 + 1  # name length, incarnation and status; see datagram.py


class Status(IntEnum):
    """The status of a member; within one incarnation a higher value replaces a lower one.

    The values are sent as one byte (datagram.py) and must not change.
    """

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2  # SWIM's "faulty", Lifeguard's "dead"
    LEFT = 3  # announced by the member itself (graceful shutdown); not a failure


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """The status of one member at an incarnation, as SWIM disseminates it (section 4.1).

    Attributes:
        name: The member's name, UTF-8, 1 to 24 bytes.
        incarnation: Raised only by the member itself, to refute a suspicion; 0 to 2**48 - 1.
        status: The member's status at that incarnation.
    """

    name: str
    incarnation: int
    status: Status

    def replaces(self, other: MemberUpdate) -> bool:
        """Return whether this update replaces `other`, an update of the same member (SWIM section 4.2)."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


@dataclass(slots=True)
class QueuedUpdate:
    """An update to piggyback, and how many times it has been transmitted."""

    update: MemberUpdate
    transmits: int = 0


@dataclass(slots=True)
class GossipQueue:
    """Updates to piggyback, each a limited number of times; the least transmitted update goes first.

    Attributes:
        queued: The latest update of each member, by name.
    """

    queued: dict[str, QueuedUpdate] = field(default_factory=dict)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an older one of the same member."""
        self.queued[update.name] = QueuedUpdate(update)

    def select(self, capacity: int, max_transmits: int) -> tuple[MemberUpdate, ...]:
        """Select updates for one datagram, and count them as transmitted.

        Args:
            capacity: The number of bytes that the datagram has left for updates.
            max_transmits: How many times each update is transmitted in total.
        """
        selected: list[MemberUpdate] = []
        for name, queued in sorted(self.queued.items(), key=lambda item: (item[1].transmits, item[0])):
            size = wire_size(queued.update)
            if size > capacity:
                continue
            capacity -= size
            selected.append(queued.update)
            queued.transmits += 1
            if queued.transmits >= max_transmits:
                del self.queued[name]
        return tuple(selected)


def wire_size(update: MemberUpdate) -> int:
    """Return the size of one update on the wire in bytes: name length, name, incarnation and status."""
    return UPDATE_FIXED_BYTES + len(update.name.encode())


@dataclass(slots=True)
class Roster:
    """The membership list: the latest update of each member, and the source address of its datagrams.

    Attributes:
        members: The latest update of each known member, by name, including this head.
        addresses: The address of each other member, by name, as seen from this head.
    """

    members: dict[str, MemberUpdate] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)

    def apply(self, update: MemberUpdate) -> bool:
        """Merge an update into the list; return whether it was new."""
        before = self.members.get(update.name)
        if before is not None and not update.replaces(before):
            return False
        self.members[update.name] = update
        return True

    def record_address(self, name: str, address: str) -> None:
        """Record a member's source address, and remove any other member's name from that address."""
        for other in [known for known, at in self.addresses.items() if at == address and known != name]:
            del self.addresses[other]
        self.addresses[name] = address

    def status(self, name: str) -> Status | None:
        """Return the latest status of a member; None if the member is unknown."""
        update = self.members.get(name)
        return None if update is None else update.status

    def participants(self, *excluded: str) -> list[str]:
        """Return the sorted names, except `excluded`, of alive or suspect members with a known address."""
        return sorted(
            name
            for name, update in self.members.items()
            if update.status <= Status.SUSPECT and name in self.addresses and name not in excluded
        )

    def count(self) -> int:
        """Return the number of alive or suspect members, including this head; at least 1."""
        return max(1, sum(update.status <= Status.SUSPECT for update in self.members.values()))

    def name_at(self, address: str) -> str:
        """Return the name of the member that sends from an address; "" if none is known."""
        return next((name for name, at in self.addresses.items() if at == address), "")

    def unknown_addresses(self, addresses: Iterable[str]) -> list[str]:
        """Return those of `addresses` at which no alive or suspect member is known."""
        known = {self.addresses[name] for name in self.participants()}
        return [address for address in addresses if address not in known]
