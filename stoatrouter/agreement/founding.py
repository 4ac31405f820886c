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
    promised: str = ""
    answers: dict[str, Promised] = field(default_factory=dict)

    @property
    def founds(self) -> bool:
        """Whether this head is the one that asks the others."""
        return not self.origin and bool(self.names) and self.me.name == min(self.names)

    def promise(self, founder: Voter) -> Promised:
        """Asked by a founder: the latest one that asks is the one."""
        if not self.origin and self.names and founder.name == min(self.names) and self.me.name in self.names:
            self.promised = founder.identity
        return Promised(self.me, self.origin, self.promised)

    def heard(self, answer: Promised) -> Founded | None:
        """A founder's answers: the founding, once all have promised to it."""
        if not self.founds:
            return None
        if answer.origin or answer.founder != self.me.identity or answer.voter.name not in self.names:
            self.answers.pop(answer.voter.name, None)
            return None
        self.answers[answer.voter.name] = answer
        self.answers[self.me.name] = self.promise(self.me)
        if set(self.answers) != set(self.names):
            return None
        return Founded(self.me.identity, tuple(sorted(a.voter for a in self.answers.values())))

    def adopt(self, founded: Founded) -> bool:
        """Whether this head begins with this founding: one that it promised to, or that names its disk."""
        if self.origin or self.me not in founded.voters or self.promised != founded.origin:
            return False
        self.origin = founded.origin
        return True
