"""How the voters named in the settings become a fleet, once. No I/O.

The first by name asks all of them to promise that they will be founded by it, under the identity of its disk.
Only when each has promised, and none belongs to a fleet already, does it name the first voters: their names
with their identities. A head belongs to one founding for as long as its disk lasts. So two foundings cannot
both get a majority: each would need the promise of the same head, which gives it again only to a founder that
asks later and then refuses what the earlier one sends; and a head whose disk is empty has another identity,
which no founding before names.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from stoatrouter.agreement.records import Snapshot, Voter


class Founded(msgspec.Struct, frozen=True, array_like=True):
    """The beginning of a fleet; its origin is the identity of its founder."""

    origin: str
    voters: tuple[Voter, ...]

    def snapshot(self) -> Snapshot:
        """The state that the log of this fleet begins with."""
        return Snapshot(1, 0, self.voters, b"")


class Promised(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a founder: who promises; or to which fleet this head belongs."""

    voter: Voter
    origin: str  # "": to none
    founder: str  # the identity promised to


@dataclass(slots=True)
class Founding:
    """One head's part, until it belongs to a fleet.

    What `promise` and `adopt` answer must be durable first.
    """

    me: Voter
    names: tuple[str, ...]  # the voters of the settings
    origin: str = ""
    promised_to: str = ""  # the identity of a founder
    answers: dict[str, Promised] = field(default_factory=dict)

    @property
    def is_founder(self) -> bool:
        """Whether this head is the one that asks the others."""
        return not self.origin and bool(self.names) and self.me.name == min(self.names)

    def promise(self, founder: Voter) -> Promised:
        """Answer a founder; the promise goes to the latest one that asks."""
        if not self.origin and self.names and founder.name == min(self.names) and self.me.name in self.names:
            self.promised_to = founder.identity
        return Promised(self.me, self.origin, self.promised_to)

    def receive(self, answer: Promised) -> Founded | None:
        """Take in an answer to this founder; returns the founding once all have promised to it."""
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
        """Begin with a founding that names this head's disk and that it promised to; whether it does."""
        if self.origin or self.me not in founded.voters or self.promised_to != founded.origin:
            return False
        self.origin = founded.origin
        return True
