"""Operators' calls about the heads: status, changes of voters, and recovery from the loss of voters.

GET    /control/heads                this head's status, the heads it sees, the voters
POST   /control/heads/voters/NAME    add a head to the voters, under the current identity of its disk
DELETE /control/heads/voters/NAME    remove it from the voters
POST   /control/heads/recover        after a permanent loss of voters: continue alone, as a new fleet
"""

from __future__ import annotations

import secrets
from datetime import timedelta

import msgspec
from loguru import logger

from stoatrouter.agreement.log import encode_voters
from stoatrouter.agreement.records import Snapshot, Voter
from stoatrouter.peering import calls
from stoatrouter.peering.bounds import check_head
from stoatrouter.peering.call_errors import (
    ConflictError,
    MethodNotAllowedError,
    NotLeaderError,
    UnavailableError,
)
from stoatrouter.peering.errors import PeerUnreachable, ReplicationError
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.operator_calls import OperatorCalls, round_seconds

ROOT = "/control/heads"
RECOVER = f"{ROOT}/recover"
VOTERS = f"{ROOT}/voters/"
CHANGE_TIMEOUT = timedelta(seconds=4)
PAST_ANY_INDEX = 1 << 60  # a poll for entries after it is answered without entries
MAX_CANDIDATE_LAG = 1_000  # entries that a head may lag behind when it becomes a voter
ORIGIN_SIZE = 16  # bytes of a fleet's identity


class HeadStatus(msgspec.Struct):
    """What this head knows about itself and the other heads."""

    name: str
    identity: str
    process: int  # incarnation: increases with each process of the head
    fleet: str
    origin: str  # identity of the fleet; "": this head belongs to none yet
    state: str
    majority_age: float | None = msgspec.field(name="majority_heard_s_ago")  # seconds
    term: int
    leader: str | None
    leads: bool
    votes: bool
    disk_writable: bool = msgspec.field(name="disk")
    voters: dict[str, str]  # identities by name
    applied: int  # index in the log
    committed: int  # index in the log
    seen: dict[str, str]  # the detector's status of each head, by name
    counts: dict[str, int]


class VotersAnswer(msgspec.Struct):
    """The voters after a change."""

    voters: list[str]


class RecoveredAnswer(msgspec.Struct):
    """The new fleet that a recovered head begins alone."""

    origin: str
    applied: int  # the last index of the lost fleet's log that is part of its state


class HeadCalls(OperatorCalls):
    """Answers the calls about heads and voters."""

    def __init__(self, fleet: Fleet) -> None:
        """Answer calls about this head's fleet."""
        self.fleet = fleet

    async def answer(self, method: str, path: str, body: bytes) -> msgspec.Struct | None:
        """Answer one call; None if it is not about the heads themselves."""
        if path == ROOT:
            check_method(method, "GET")
            return self.status()
        if path == RECOVER:
            check_method(method, "POST")
            return self.recover()
        if path.startswith(VOTERS):
            check_method(method, "POST", "DELETE")
            name = path.rpartition("/")[2]
            check_head("voter", name)
            return await self.change_voter(name, add=method == "POST")
        return None

    def status(self) -> HeadStatus:
        """Return what this head knows about itself and the other heads."""
        fleet, raft = self.fleet, self.fleet.replication.raft
        return HeadStatus(
            name=fleet.settings.name,
            identity=fleet.me.identity,
            process=fleet.incarnation,
            fleet=fleet.settings.fleet,
            origin=fleet.bootstrap.origin,
            state=fleet.availability.state.value,
            majority_age=round_seconds(fleet.majority_age),
            term=raft.term,
            leader=fleet.leader,
            leads=raft.leads,
            votes=raft.votes_here,
            disk_writable=fleet.replication.disk_writable,
            voters={voter.name: voter.identity for voter in raft.voters},
            applied=fleet.replication.machine.index,
            committed=raft.commit_index,
            seen=self._seen_heads(),
            counts=dict(sorted(fleet.counters.by_name.items())),
        )

    def _seen_heads(self) -> dict[str, str]:
        """Return the failure detector's status of each head; empty if there is no detector."""
        if self.fleet.datagrams is None:
            return {}
        members = self.fleet.datagrams.detector.roster.members
        return {name: member.status.name.lower() for name, member in sorted(members.items())}

    async def change_voter(self, name: str, *, add: bool) -> VotersAnswer:
        """Add or remove one voter; return once the change is committed.

        Raises:
            NotLeaderError: Another head leads, or no head.
            UnavailableError: The candidate is not fit to vote, or no majority confirmed the change in time.
        """
        raft = self.fleet.replication.raft
        if not raft.leads:
            raise NotLeaderError(self.fleet.leader)
        before = raft.voters
        try:
            if add:
                after = tuple(sorted((*before, await self._identify_candidate(name))))
            else:
                after = tuple(voter for voter in before if voter.name != name)
            names = [voter.name for voter in after]
            if after == before:
                return VotersAnswer(names)
            await self.fleet.replication.change_voters(encode_voters(after), CHANGE_TIMEOUT)
        except (ReplicationError, PeerUnreachable) as error:
            raise UnavailableError(str(error)) from error
        logger.info("heads: voters are {voters}", event="heads.voters", voters=", ".join(names))
        return VotersAnswer(names)

    async def _identify_candidate(self, name: str) -> Voter:
        """Return the current identity of a head, which must follow the log already.

        A voter that lacks the log would delay commits.

        Raises:
            PeerUnreachable: The head does not answer.
            UnavailableError: It is not fit to vote.
        """
        fleet, raft = self.fleet, self.fleet.replication.raft
        if name == fleet.settings.name:
            return fleet.me
        voting = next((voter for voter in raft.voters if voter.name == name), None)
        poll = msgspec.msgpack.encode(calls.Fetch(PAST_ANY_INDEX, 0))
        candidate, body = await fleet.streams.request(name, calls.FETCH, poll)
        fetched = msgspec.msgpack.decode(body, type=calls.Fetched)
        if voting == candidate:
            return candidate
        if voting is not None:
            raise UnavailableError(f"{name} votes under an older identity: remove it first")
        behind = fetched.commit + MAX_CANDIDATE_LAG < fleet.replication.raft.commit_index
        if fetched.origin != fleet.bootstrap.origin or behind:
            raise UnavailableError(f"{name} has not caught up yet")
        return candidate

    def recover(self) -> RecoveredAnswer:
        """Continue alone with the state of this head, as a new fleet.

        If the old fleet's voters come back, their messages are rejected, and what only they had committed is
        lost.

        Raises:
            ConflictError: A majority is connected, or this head cannot vote.
        """
        fleet = self.fleet
        if fleet.availability.changes:
            raise ConflictError("this head hears a majority: there is nothing to recover")
        if not fleet.replication.disk_writable or not fleet.settings.listen:
            raise ConflictError("this head cannot vote: its disk fails, or it has no address")
        machine, raft = fleet.replication.machine, fleet.replication.raft
        origin = secrets.token_hex(ORIGIN_SIZE)
        logger.warning(
            "heads: recovered alone as fleet {origin}, with the log up to index {index}",
            event="heads.recovered",
            origin=origin[:8],
            index=machine.index,
        )
        snapshot = Snapshot(max(1, machine.index), raft.term, (fleet.me,), machine.state())
        fleet.bootstrap.start_new_fleet(origin, snapshot, raft.term + 1)
        return RecoveredAnswer(origin, machine.index)


def check_method(method: str, *allowed: str) -> None:
    """Raise MethodNotAllowedError unless the method is one of these."""
    if method not in allowed:
        raise MethodNotAllowedError(" or ".join(allowed))
