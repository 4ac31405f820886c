"""Membership changes of a simulated fleet: one voter at a time, proposed at the leader."""

from __future__ import annotations

from datetime import timedelta

from stoatrouter.agreement.log import encode_voters
from stoatrouter.agreement.records import VOTERS, Propose, Voter
from stoatrouter.lab.fleet.voters import VoterFleet

INTERVAL = timedelta(seconds=1)  # between proposals
MIN_VOTERS, MAX_VOTERS = 3, 5
MAX_LAG = 50  # maximum number of entries by which a new voter may be behind the leader


def change_voters(fleet: VoterFleet, until: timedelta) -> None:
    """Propose a change at every head that leads, now and every second until a time."""
    world = fleet.world
    if world.now >= until:
        return
    for name, head in fleet.heads.items():
        if head.raft.leads and world.machines[name].up:
            voters = next_voters(fleet, name)
            if voters is not None:
                fleet.voter_changes += 1
                fleet.reduce(name, Propose(world.clock(name), "0=change", encode_voters(voters), VOTERS))
    world.schedule(INTERVAL, lambda: change_voters(fleet, until))


def next_voters(fleet: VoterFleet, leader: str) -> tuple[Voter, ...] | None:
    """Choose the next voters: a wiped one is removed, else one is added, else one removed; None: no change.

    The name of a wiped voter becomes a candidate again under its new identity.
    """
    rng = fleet.world.rng
    head = fleet.heads[leader]
    voters = head.raft.voters
    present = {other.voter for other in fleet.heads.values()}
    wiped = [voter for voter in voters if voter not in present]
    candidates = voter_candidates(fleet, voters, head.index)
    if wiped:
        return tuple(voter for voter in voters if voter != wiped[0])
    if candidates and len(voters) < MAX_VOTERS:
        return tuple(sorted((*voters, rng.choice(candidates))))
    if len(voters) > MIN_VOTERS:
        # Drawn for each voter, so none, one or several may be removed; the leader rejects several.
        return tuple(voter for voter in voters if voter != rng.choice(voters))
    return None


def voter_candidates(fleet: VoterFleet, voters: tuple[Voter, ...], leader_index: int) -> list[Voter]:
    """Return the heads that may become voters: not too far behind, and with a name that no voter has."""
    names = {voter.name for voter in voters}
    return [
        head.voter
        for name, head in fleet.heads.items()
        if head.voter not in voters and head.index + MAX_LAG > leader_index and name not in names
    ]
