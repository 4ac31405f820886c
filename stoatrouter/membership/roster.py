"""What one head knows of the other members, and which membership update replaces which. No I/O, no clock.

The order is SWIM's (Das, Gupta, Motivala 2002, section 4.2): a member's incarnation is raised by that member
alone, so an update of a later incarnation replaces one of an earlier incarnation; within one incarnation,
the worse status replaces the better.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

UPDATE_FIXED_BYTES = 1 + 6 + 1  # name length, incarnation, status; see datagram.py


class Status(IntEnum):
    """The status of a member, in the order in which updates of one incarnation replace each other.

    The values are sent as one byte (datagram.py) and must not change.
    """

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2  # SWIM's "faulty", Lifeguard's "dead"
    LEFT = 3  # announced by itself (graceful shutdown): it is not taken for failed


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
        """Whether this update overrides `other`, an update of the same member (SWIM section 4.2)."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


@dataclass(slots=True)
class QueuedUpdate:
    """An update to piggyback, and how many times it has been."""

    update: MemberUpdate
    transmits: int = 0


@dataclass(slots=True)
class GossipQueue:
    """Updates to piggyback, each a bounded number of times; the least transmitted goes first.

    Attributes:
        queued: By member name, the latest update.
    """

    queued: dict[str, QueuedUpdate] = field(default_factory=dict)

    def add(self, update: MemberUpdate) -> None:
        """Gossip `update` from now on; it replaces an older update of the same member."""
        self.queued[update.name] = QueuedUpdate(update)

    def select(self, capacity: int, max_transmits: int) -> tuple[MemberUpdate, ...]:
        """Select updates for one datagram, and count them as transmitted.

        Args:
            capacity: How many bytes the datagram has left for updates.
            max_transmits: How many times each update is transmitted in all.
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
    """The size of one update on the wire in bytes: name length, name, incarnation and status."""
    return UPDATE_FIXED_BYTES + len(update.name.encode())


@dataclass(slots=True)
class Roster:
    """The membership list: the latest update of each member, and the address its datagrams come from.

    Attributes:
        members: By name, the latest update of each member known, this head included.
        addresses: By name, the address of each other member; each head has its own for another.
    """

    members: dict[str, MemberUpdate] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)

    def apply(self, update: MemberUpdate) -> bool:
        """Merge `update` into the list; returns whether it replaced what was known."""
        before = self.members.get(update.name)
        if before is not None and not update.replaces(before):
            return False
        self.members[update.name] = update
        return True

    def record_address(self, name: str, address: str) -> None:
        """Record the address that a member sent from; it replaces another name at that address."""
        for other in [known for known, at in self.addresses.items() if at == address and known != name]:
            del self.addresses[other]
        self.addresses[name] = address

    def status(self, name: str) -> Status | None:
        """The latest status of a member; None where nothing is known of it."""
        update = self.members.get(name)
        return None if update is None else update.status

    def participants(self, *excluded: str) -> list[str]:
        """The sorted names of alive or suspected members with a known address, without `excluded`."""
        return sorted(
            name
            for name, update in self.members.items()
            if update.status <= Status.SUSPECT and name in self.addresses and name not in excluded
        )

    def count(self) -> int:
        """How many members take part (alive or suspected), this head included; at least 1."""
        return max(1, sum(update.status <= Status.SUSPECT for update in self.members.values()))

    def name_at(self, address: str) -> str:
        """The name of the member that sends from an address; "" where none is known."""
        return next((name for name, at in self.addresses.items() if at == address), "")

    def unknown_addresses(self, addresses: Iterable[str]) -> list[str]:
        """Those of `addresses` at which no participating member is known."""
        known = {self.addresses[name] for name in self.participants()}
        return [address for address in addresses if address not in known]
