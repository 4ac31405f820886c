"""Operators' calls about the heads themselves: who is there, who votes, and what to do when voters are lost.

GET    /control/heads                where this head stands, whom it sees, who votes
POST   /control/heads/voters/NAME    the head becomes a voter, under the identity that its disk has now
DELETE /control/heads/voters/NAME    it is one no more
POST   /control/heads/recover        voters lost for good: this head goes on alone, as a new fleet
"""

from __future__ import annotations

import json
import secrets
from datetime import timedelta
from typing import Any

import msgspec
from aiohttp import web
from loguru import logger

from stoatrouter.agreement.log import encode_voters
from stoatrouter.agreement.records import Snapshot, Voter
from stoatrouter.peering import calls
from stoatrouter.peering.bounds import OutOfBounds, check_head
from stoatrouter.peering.errors import PeerUnreachable, ReplicationError
from stoatrouter.peering.fleet import Fleet

WITHIN = timedelta(seconds=4)


def answer(status: int, told: Any) -> web.Response:
    """An answer in JSON."""
    text = json.dumps(told, indent=1) + "\n"
    return web.Response(status=status, text=text, content_type="application/json")


def seconds(span: timedelta | None) -> float | None:
    """A span as answers tell it."""
    return None if span is None else round(span.total_seconds(), 3)


class HeadCalls:
    """Answers these calls."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
        """Answer one call; None where it is not about the heads."""
        if path == "/control/heads":
            return answer(200, self.told()) if method == "GET" else answer(405, {"error": "GET"})
        if path == "/control/heads/recover":
            return await self.recover() if method == "POST" else answer(405, {"error": "POST"})
        if path.startswith("/control/heads/voters/"):
            return await self.voter(method, path.rpartition("/")[2])
        return None

    def told(self) -> dict[str, Any]:
        """What this head knows of itself and the others."""
        fleet = self.fleet
        availability, raft = fleet.availability, fleet.replication.raft
        seen = (
            {}
            if fleet.datagrams is None
            else {
                name: news.status.name.lower()
                for name, news in sorted(fleet.datagrams.detector.roster.members.items())
            }
        )
        return {
            "name": fleet.settings.name,
            "identity": fleet.me.identity,
            "process": fleet.incarnation,
            "fleet": fleet.settings.fleet,
            "origin": fleet.bootstrap.origin,
            "state": availability.state.value,
            "majority_heard_s_ago": seconds(fleet.majority_age),
            "term": raft.term,
            "leader": fleet.leader,
            "leads": raft.leads,
            "votes": raft.votes_here,
            "disk": fleet.replication.disk_writable,
            "voters": {v.name: v.identity for v in raft.voters},
            "applied": fleet.replication.machine.index,
            "committed": raft.commit_index,
            "seen": seen,
            "counts": dict(sorted(fleet.counters.by_name.items())),
        }

    async def voter(self, method: str, name: str) -> web.Response:
        """Add or remove one voter; answered once the change is agreed on."""
        if method not in ("POST", "DELETE"):
            return answer(405, {"error": "POST or DELETE"})
        try:
            check_head("voter", name)
        except OutOfBounds as error:
            return answer(400, {"error": str(error)})
        raft = self.fleet.replication.raft
        if not raft.leads:
            return answer(409, {"error": "ask the head that leads", "leader": self.fleet.leader})
        voters = raft.voters
        try:
            if method == "DELETE":
                after = tuple(v for v in voters if v.name != name)
            else:
                after = tuple(sorted((*voters, await self.identify(name))))
            if after == voters:
                return answer(200, {"voters": [v.name for v in voters]})
            await self.fleet.replication.change_voters(encode_voters(after), WITHIN)
        except (ReplicationError, PeerUnreachable) as error:
            return answer(503, {"error": str(error)})
        logger.info(
            "heads: voters are {voters}", event="heads.voters", voters=", ".join(v.name for v in after)
        )
        return answer(200, {"voters": [v.name for v in after]})

    async def identify(self, name: str) -> Voter:
        """Under which identity a head is there now. It must follow already: a voter that holds nothing yet
        would hold up the others.
        """
        fleet = self.fleet
        if name == fleet.settings.name:
            return fleet.me
        held = next((v for v in fleet.replication.raft.voters if v.name == name), None)
        voter, body = await fleet.streams.request(
            name, calls.FETCH, msgspec.msgpack.encode(calls.Fetch(1 << 60, 0))
        )
        told = msgspec.msgpack.decode(body, type=calls.Fetched)
        if held == voter:
            return voter
        if held is not None:
            raise ReplicationError(f"{name} votes under an older identity: remove it first")
        if told.origin != fleet.bootstrap.origin or told.commit + 1_000 < fleet.replication.raft.commit_index:
            raise ReplicationError(f"{name} has not caught up yet")
        return voter

    async def recover(self) -> web.Response:
        """This head goes on alone with what it holds, as a fleet of a new origin: the old one's voters,
        should they come back, are not heard, and what only they had agreed on is lost.
        """
        fleet = self.fleet
        if fleet.availability.changes:
            return answer(409, {"error": "this head hears a majority: there is nothing to recover"})
        if not fleet.replication.disk_writable or not fleet.settings.listen:
            return answer(409, {"error": "this head cannot vote: its disk fails, or it has no address"})
        machine, raft = fleet.replication.machine, fleet.replication.raft
        origin = secrets.token_hex(16)
        logger.warning(
            "heads: recovered as {origin}, alone, with what was agreed on up to {index}",
            event="heads.recovered",
            origin=origin[:8],
            index=machine.index,
        )
        snapshot = Snapshot(max(1, machine.index), raft.term, (fleet.me,), machine.state())
        fleet.bootstrap.begin_alone(origin, snapshot, raft.term + 1)
        return answer(200, {"origin": origin, "applied": machine.index})
