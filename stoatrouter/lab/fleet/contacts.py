"""Heads in virtual time that lose the majority of their voters: how long each goes on as if it were in touch.

The world alone says when a majority was connected last: from which machines run, which are paused and which
links are cut, never from what a head thinks of itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.availability import Facts, HeadState, availability_of
from stoatrouter.agreement.contact import CLOCK_DRIFT, MajorityContact
from stoatrouter.agreement.records import PersistentState, Voter
from stoatrouter.lab.fleet.voters import Broken, VoterFleet
from stoatrouter.lab.fleet.world import World

SECOND = timedelta(seconds=1)
CUT_OFF_AFTER = 3 * SECOND
LONGEST_HOLD = timedelta(milliseconds=500)  # a question waits so long for news
FETCH_EVERY = timedelta(milliseconds=50)
CALM, WITHOUT, AFTER = 6 * SECOND, 20 * SECOND, 12 * SECOND  # the spans of a story
NEVER = timedelta(days=-1)
LOSSES = ("kill", "wipe", "split", "pause", "region")


@dataclass
class ContactFleet(VoterFleet):
    """Heads that learn of the majority from each other. `make_contact` builds what a head holds of it (a
    mutant's, where a test shows that the promise is checked).
    """

    make_contact: Callable[[], MajorityContact] = MajorityContact
    asks: dict[str, list[str]] = field(default_factory=dict)  # whom a head asks; all others by default
    contacts: dict[str, MajorityContact] = field(default_factory=dict)
    last_majority: dict[str, timedelta] = field(default_factory=dict)  # by head, in the world's time

    def boot(self, name: str, voter: Voter, disk: PersistentState) -> None:
        """Start a head: it knows of no majority yet."""
        super().boot(name, voter, disk)
        self.heads[name].raft.contact = self.make_contact()
        self.contacts[name] = self.make_contact()

    # -- what a head knows --------------------------------------------------------------------------------
    def contact(self, name: str) -> MajorityContact:
        """What a head knows of the majority, itself or from others."""
        raft, contact = self.heads[name].raft, self.contacts[name]
        if raft.settled or not raft.leads:
            contact.record(raft.contact.latest)
        return contact

    def in_touch(self, name: str) -> bool:
        """Whether a head counts itself as in touch, by the program's own table."""
        machine = self.world.machines[name]
        if not machine.up or machine.paused_until > self.world.now:
            return False
        raft, age = self.heads[name].raft, self.contact(name).age(self.world.clock(name))
        facts = Facts(True, True, age, raft.votes_here, raft.leads, True)
        return availability_of(facts, CUT_OFF_AFTER, 10 * SECOND, SECOND).state is HeadState.CONNECTED

    def fetch(self, name: str) -> None:
        """Ask one head, unless a leader tells this one. The answer is held for a while."""
        world, raft = self.world, self.heads[name].raft
        if not raft.leads and not (raft.votes_here and raft.leader is not None):
            others = self.asks.get(name) or [n for n in world.names if n != name]
            other, asked_at, after = world.draws.choice(others), world.clock(name), self.heads[name].index
            world.send(name, other, lambda: self.hold(other, name, asked_at, after))
        world.on(name, FETCH_EVERY + LONGEST_HOLD * world.draws.random(), lambda: self.fetch(name))

    def hold(self, name: str, to: str, asked_at: timedelta, after: int) -> None:
        """A question has come: it waits for news."""
        came_at, hold = self.world.clock(name), LONGEST_HOLD * self.world.draws.random()
        self.world.on(name, hold, lambda: self.tell(name, to, asked_at, came_at, after))

    def tell(self, name: str, to: str, asked_at: timedelta, came_at: timedelta, after: int) -> None:
        """The answer: what was agreed on, and when a majority was connected."""
        self.answer(name, to, after)
        now, life = self.world.clock(name), self.world.machines[to].life
        age, held_for = self.contact(name).age(now), now - came_at
        if not self.in_touch(name) or age is None:
            return

        def arrive() -> None:
            if self.world.machines[to].life == life:
                self.contacts[to].record_report(asked_at, held_for, age)

        self.world.send(name, to, arrive)

    # -- what the world sees ------------------------------------------------------------------------------
    def running(self) -> list[str]:
        """Machines that are up and not paused."""
        machines = self.world.machines.items()
        return [name for name, m in machines if m.up and m.paused_until <= self.world.now]

    def linked(self, a: str, b: str) -> bool:
        """Whether two different machines reach each other."""
        return a != b and not self.world.links[a, b].cut and not self.world.links[b, a].cut

    def has_majority(self, names: set[str]) -> bool:
        """Whether some voter among these reaches, both ways, a majority of the voters."""
        voters = [name for name in names if self.heads[name].voter in self.firsts]
        return any(2 * (1 + sum(self.linked(a, b) for b in voters)) > len(self.firsts) for a in voters)

    def components(self) -> list[set[str]]:
        """Running machines, by who reaches whom through any others."""
        left, found = set(self.running()), []
        while left:
            reached, border = set(), {min(left)}
            while border:
                reached |= border
                border = {b for b in left - reached if any(self.linked(a, b) for a in border)}
            found.append(reached)
            left -= reached
        return found

    def look(self) -> None:
        """Note for each head the latest majority that it may have heard of, through whomever."""
        for component in self.components():
            latest = max(self.last_majority.get(name, NEVER) for name in component)
            if self.has_majority(component):
                latest = self.world.now
            for name in self.world.names:  # what is sent to a paused machine waits for it
                if name in component or any(self.linked(name, other) for other in component):
                    self.last_majority[name] = max(latest, self.last_majority.get(name, NEVER))

    def check(self) -> None:
        """Promise: nobody counts as in touch for longer than the span after the last majority that it can
        have heard of, by whatever path.
        """
        self.look()
        for name, last in self.last_majority.items():
            if self.world.now - last > CUT_OFF_AFTER * CLOCK_DRIFT and self.in_touch(name):
                raise Broken(f"{name} is in touch at {self.world.now}, the last majority was at {last}")

    def all_in_touch(self, when: str) -> None:
        """Promise: with a majority there and no faults, every head is in touch."""
        missing = [name for name in self.world.names if not self.in_touch(name)]
        if missing:
            raise Broken(f"{', '.join(missing)} not in touch {when}")


def paths(world: World, voters: int) -> dict[str, list[str]]:
    """Whom heads without a vote ask: anybody, the one before in a chain of relays, or mostly each other."""
    first, rest = world.names[:voters], world.names[voters:]
    match world.draws.randrange(3):
        case 0:
            return {}
        case 1:
            return {name: [world.names[voters + i - 1]] for i, name in enumerate(rest)}
        case _:
            return {name: [*(n for n in rest if n != name), first[0]] for name in rest}


def lose_majority(fleet: ContactFleet, how: str) -> None:
    """Take so many voters away that the others are no majority; perhaps all of them."""
    world = fleet.world
    names = [voter.name for voter in fleet.firsts]
    if how == "region":  # a minority of the voters, with some of the others, beside the majority
        few = world.draws.sample(names, world.draws.randint(1, len(names) // 2))
        region = few + [name for name in world.names[len(names) :] if world.draws.random() < 0.5]
        world.split(region, [name for name in world.names if name not in region])
        return
    lost = world.draws.sample(names, world.draws.randint(len(names) // 2 + 1, len(names)))
    for name in lost:
        match how:
            case "kill":
                fleet.kill(name, wipe=False)
            case "wipe":  # back at once with an empty disk, which is another identity
                fleet.kill(name, wipe=False)
                fleet.fresh += 1
                fleet.heads[name].disk = PersistentState()
                fleet.heads[name].voter = Voter(name, f"{name}/{fleet.fresh}")
                world.at(SECOND * world.draws.random(), lambda name=name: fleet.start(name))
            case "split":
                world.split([name], [n for n in world.names if n != name])
            case "pause":
                world.pause(name, WITHOUT)


def disturb(fleet: ContactFleet, until: timedelta) -> None:
    """Heads without a vote are paused, and messages are slow or lost, now and then."""
    world, rest = fleet.world, fleet.world.names[len(fleet.firsts) :]
    if world.now >= until:
        return
    if rest and world.draws.random() < 0.3:
        world.pause(world.draws.choice(rest), 5 * SECOND * world.draws.random())
    for link in world.links.values():
        link.loss, link.most = 0.1 * world.draws.random(), SECOND * world.draws.random() ** 4
    world.at(SECOND, lambda: disturb(fleet, until))


def majority_lost(seed: int, make_contact: Callable[[], MajorityContact] = MajorityContact) -> None:
    """A calm fleet, or a region of it, loses its majority in one of several ways, and gets it back where its
    disks are left. Raises Broken where a promise is not kept.
    """
    voters = 3 if seed % 2 else 5
    world = World(seed, [f"h{i}" for i in range(voters + seed % 4)])
    fleet = ContactFleet(world, voters, make_contact=make_contact)
    fleet.asks = paths(world, voters)
    world.run(CALM, fleet.check)
    fleet.all_in_touch("while all is calm")
    how = LOSSES[seed // 4 % len(LOSSES)]
    lose_majority(fleet, how)
    fleet.check()
    disturb(fleet, world.now + WITHOUT)
    world.run(CALM + WITHOUT, fleet.check)
    if how == "wipe":
        return
    world.heal()
    for name in world.names:
        if not world.machines[name].up:
            fleet.start(name)
    world.run(world.now + AFTER, fleet.check)
    fleet.all_in_touch("after the faults")
