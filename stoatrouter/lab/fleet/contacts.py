"""A simulated fleet that loses the majority of its voters: how long does each head count as connected?

The reference is computed from the state of the simulated world (machines that run or are paused, links that
are cut), never from the state of a head.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.availability import HeadFacts, HeadState, availability_of
from stoatrouter.agreement.contact import MAX_CLOCK_DRIFT, MajorityContact
from stoatrouter.agreement.records import PersistentState, Voter
from stoatrouter.lab.fleet.errors import InvariantViolated
from stoatrouter.lab.fleet.voters import VoterFleet

SECOND = timedelta(seconds=1)
CUT_OFF_AFTER = 3 * SECOND
WARNING_AFTER = 10 * SECOND
MAX_HOLD = timedelta(milliseconds=500)  # a poll is held at most so long
POLL_INTERVAL = timedelta(milliseconds=50)  # between polls, in addition to the hold time
NEVER = timedelta(days=-1)


@dataclass
class ContactFleet(VoterFleet):
    """Heads that learn from each other when a majority was last connected.

    `make_contact` creates the record of what a head knows of the majority; tests pass a mutant to show that
    the invariant is checked.
    """

    make_contact: Callable[[], MajorityContact] = MajorityContact
    poll_targets: dict[str, list[str]] = field(default_factory=dict)  # by head; default: all others
    contacts: dict[str, MajorityContact] = field(default_factory=dict)
    last_majority: dict[str, timedelta] = field(default_factory=dict)  # by head, in world time

    def boot(self, name: str, voter: Voter, disk: PersistentState) -> None:
        """Start a head, which does not know of a majority yet."""
        super().boot(name, voter, disk)
        self.heads[name].raft.contact = self.make_contact()
        self.contacts[name] = self.make_contact()

    # -- knowledge of a head ------------------------------------------------------------------------------
    def contact(self, name: str) -> MajorityContact:
        """Return what a head knows of the majority, from its own role and from reports of others."""
        raft, contact = self.heads[name].raft, self.contacts[name]
        if raft.settled or not raft.leads:
            contact.record(raft.contact.latest)
        return contact

    def is_connected(self, name: str) -> bool:
        """Whether a head counts itself as connected, according to `availability_of`."""
        if not self.world.is_running(name):
            return False
        raft = self.heads[name].raft
        age = self.contact(name).age(self.world.clock(name))
        facts = HeadFacts(True, True, age, raft.votes_here, raft.leads, True)
        return availability_of(facts, CUT_OFF_AFTER, WARNING_AFTER, SECOND).state is HeadState.CONNECTED

    def poll(self, name: str) -> None:
        """Poll one head, unless a leader sends entries to this one; the poll is held there for a while."""
        world = self.world
        if not self.hears_from_leader(name):
            others = self.poll_targets.get(name) or [n for n in world.names if n != name]
            other = world.rng.choice(others)
            asked_at, after = world.clock(name), self.heads[name].index
            world.send(name, other, lambda: self.hold_poll(other, name, asked_at, after))
        interval = POLL_INTERVAL + MAX_HOLD * world.rng.random()
        world.schedule_on(name, interval, lambda: self.poll(name))

    def hold_poll(self, name: str, poller: str, asked_at: timedelta, after: int) -> None:
        """Hold a poll that has arrived until its hold time is over."""
        arrival = self.world.clock(name)
        hold = MAX_HOLD * self.world.rng.random()
        self.world.schedule_on(name, hold, lambda: self.end_poll(name, poller, asked_at, arrival, after))

    def end_poll(self, name: str, poller: str, asked_at: timedelta, arrival: timedelta, after: int) -> None:
        """Answer a poll with committed entries and with the age of the last contact to a majority.

        Args:
            name: The polled head.
            poller: The head that polls.
            asked_at: When the poll was sent, on the clock of the poller.
            arrival: When the poll arrived, on the clock of the polled head.
            after: The index up to which the poller has applied the log.
        """
        self.answer_poll(name, poller, after)
        now, incarnation = self.world.clock(name), self.world.machines[poller].incarnation
        age, wait = self.contact(name).age(now), now - arrival
        if not self.is_connected(name) or age is None:
            return

        def deliver() -> None:
            if self.world.machines[poller].incarnation == incarnation:
                self.contacts[poller].record_report(asked_at, wait, age)

        self.world.send(name, poller, deliver)

    # -- reference state ----------------------------------------------------------------------------------
    def are_linked(self, a: str, b: str) -> bool:
        """Whether two different machines reach each other in both directions."""
        return a != b and not self.world.links[a, b].cut and not self.world.links[b, a].cut

    def has_majority(self, names: set[str]) -> bool:
        """Whether some voter among these heads has links in both directions to a majority of the voters."""
        voters = [name for name in names if self.heads[name].voter in self.founders]
        return any(2 * (1 + sum(self.are_linked(a, b) for b in voters)) > len(self.founders) for a in voters)

    def components(self) -> list[set[str]]:
        """Return the connected components of the running machines."""
        left = {name for name in self.world.names if self.world.is_running(name)}
        found: list[set[str]] = []
        while left:
            component: set[str] = set()
            border = {min(left)}
            while border:
                component |= border
                border = {b for b in left - component if any(self.are_linked(a, b) for a in border)}
            found.append(component)
            left -= component
        return found

    def update_last_majority(self) -> None:
        """Record for each head the latest time of a majority that it can know of, over any path."""
        for component in self.components():
            latest = max(self.last_majority.get(name, NEVER) for name in component)
            if self.has_majority(component):
                latest = self.world.now
            for name in self.world.names:  # messages to a paused machine wait for it
                if name in component or any(self.are_linked(name, other) for other in component):
                    self.last_majority[name] = max(latest, self.last_majority.get(name, NEVER))

    # -- invariants ---------------------------------------------------------------------------------------
    def check_contact(self) -> None:
        """Check that no head counts as connected for too long after the last majority that it can know of.

        Raises:
            InvariantViolated: A head does; all paths by which it can know of a majority are counted.
        """
        self.update_last_majority()
        for name, last in self.last_majority.items():
            if self.world.now - last > CUT_OFF_AFTER * MAX_CLOCK_DRIFT and self.is_connected(name):
                raise InvariantViolated(
                    f"{name} counts as connected at {self.world.now}, the last majority was at {last}"
                )

    def check_all_connected(self, when: str) -> None:
        """Check that every head is connected; to be called while there is a majority and no fault.

        Raises:
            InvariantViolated: Some head is not connected.
        """
        missing = [name for name in self.world.names if not self.is_connected(name)]
        if missing:
            raise InvariantViolated(f"{', '.join(missing)} not connected {when}")
