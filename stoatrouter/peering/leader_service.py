"""Answers the commands and reads of other heads, as the leader."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from stoatrouter.agreement.machine import Command
from stoatrouter.peering import calls
from stoatrouter.peering.errors import ReplicationError
from stoatrouter.peering.replication import Replication

COMMIT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=2)


class LeaderService:
    """The leader's answers; a head that does not lead names the leader in its refusal, if known."""

    def __init__(self, replication: Replication) -> None:
        """Answer from this head's replicated log."""
        self._replication = replication

    async def answer_command(self, command: Command) -> bytes:
        """Have a command committed; return the encoded `calls.Answer`."""
        try:
            body = await self._replication.command(command, COMMIT_TIMEOUT)
            answer = calls.Answer(True, body, self._replication.machine.index)
        except ReplicationError as error:
            answer = self._refusal(error)
        return msgspec.msgpack.encode(answer)

    async def answer_read(self) -> bytes:
        """Confirm the index that a read must have applied; return the encoded `calls.Answer`."""
        try:
            answer = calls.Answer(True, index=await self._replication.read(READ_TIMEOUT))
        except ReplicationError as error:
            answer = self._refusal(error)
        return msgspec.msgpack.encode(answer)

    def _refusal(self, error: ReplicationError) -> calls.Answer:
        leader = self._replication.raft.leader
        return calls.Answer(False, reason=str(error), leader=leader.name if leader else None)
