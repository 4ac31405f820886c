"""Bootstrap of a fleet from the voters named in the settings, at most once per fleet. No I/O.

The voter with the lowest name is the founder. It asks every voter to promise to be founded by it, under the
identity of its disk. When all have promised and none belongs to a fleet already, it announces the initial
voters with their names and identities. A head belongs to one founding for the lifetime of its disk.

Two foundings therefore cannot both get a majority. Both would need the promise of the same head. That head
promises again only to a founder that asks later, and then rejects what the earlier founder sends. A head
whose disk was wiped has a new identity, which no earlier founding names.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from stoatrouter.agreement.records import Snapshot, Voter


class Founded(msgspec.Struct, frozen=True, array_like=True):
    """The announcement of a new fleet."""

    origin: str  # the founder's identity, which identifies the fleet
    voters: tuple[Voter, ...]

    def snapshot(self) -> Snapshot:
        """Return the snapshot that the fleet's log starts with."""
        return Snapshot(1, 0, self.voters, b"")


class Promised(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a founder: the promise of a head, or the fleet that the head already belongs to."""

    voter: Voter  # the head that answers
    origin: str  # the fleet that it belongs to; "" for none
    founder: str  # the identity of the founder that it has promised to


@dataclass(slots=True)
class Founding:
    """The bootstrap state of one head, until it belongs to a fleet.

    The caller must store the results of `promise` and `adopt` durably before it sends or uses them.
    """

    me: Voter
    names: tuple[str, ...]  # the voters named in the settings
    origin: str = ""  # the fleet that this head belongs to; "" for none
    promised_to: str = ""  # the identity of the founder that this head has promised to; "" for none
    answers: dict[str, Promised] = field(default_factory=dict)  # valid promises to this founder, by name

    @property
    def is_founder(self) -> bool:
        """Return whether this head is the founder and has no fleet yet."""
        return not self.origin and bool(self.names) and self.me.name == min(self.names)

    def promise(self, founder: Voter) -> Promised:
        """Answer a founder's request; a later request replaces an earlier promise."""
        if not self.origin and self.names and founder.name == min(self.names) and self.me.name in self.names:
            self.promised_to = founder.identity
        return Promised(self.me, self.origin, self.promised_to)

    def receive(self, answer: Promised) -> Founded | None:
        """Process a voter's answer to this founder; return the founding once all voters have promised."""
        if not self.is_founder:
            return None
        if answer.origin or answer.founder != self.me.identity or answer.voter.name not in self.names:
            self.answers.pop(answer.voter.name, None)
            return None
        self.answers[answer.voter.name] = answer
        self.answers[self.me.name] = self.promise(self.me)
        if set(self.answers) != set(self.names):
            return None
        return Founded(self.me.identity, tuple(sorted(answer.voter for answer in self.answers.values())))

    def adopt(self, founded: Founded) -> bool:
        """Join a fleet if the founding names this head's identity and comes from the promised founder.

        Returns whether the head has joined.
        """
        if self.origin or self.me not in founded.voters or self.promised_to != founded.origin:
            return False
        self.origin = founded.origin
        return True
