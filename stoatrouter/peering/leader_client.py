"""Commands and reads, brought to whichever head leads, and answered at that head."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.machine import Command
from stoatrouter.peering import calls
from stoatrouter.peering.errors import PeerUnreachable, ReplicationError
from stoatrouter.peering.follower import Follower
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.streams import Streams

ANSWER_WITHIN = timedelta(seconds=2)  # at the leader
ASK_WITHIN = timedelta(seconds=3)  # of the leader
FIRST_BACKOFF, LONGEST_BACKOFF = timedelta(milliseconds=50), timedelta(milliseconds=400)


class LeaderClient:
    """Asks the leader, and answers others as the leader."""

    def __init__(
        self,
        settings: HeadsSettings,
        agreed: Replication,
        streams: Streams,
        follower: Follower,
        now: Callable[[], timedelta],
        draws: random.Random,
    ) -> None:
        self.settings, self.replication, self.streams = settings, agreed, streams
        self.follower, self.now, self.draws = follower, now, draws

    @property
    def leader(self) -> str | None:
        """Who leads, as far as this head knows."""
        raft = self.replication.raft
        return raft.leader.name if raft.leader is not None else self.follower.leader

    # -- asking -------------------------------------------------------------------------------------------
    async def command(self, part: str, body: bytes, id: str, within: timedelta) -> bytes:
        """Bring a command through at whoever leads; its answer.

        Raises ReplicationError: it may come to hold later, and asked again under its id it gives one answer.
        """
        command = Command(id, part, body, self.settings.name)
        encoded = msgspec.msgpack.encode(command)
        answer = await self._ask(calls.COMMAND, encoded, within, lambda: self.answer_command(command))
        return answer.body

    async def read(self, within: timedelta) -> None:
        """Wait until this head holds all that was agreed on before; raises ReplicationError."""
        deadline = self.now() + within
        answer = await self._ask(calls.READ, b"", within, self.answer_read)
        if not await self.replication.applied(answer.index, max(FIRST_BACKOFF, deadline - self.now())):
            raise ReplicationError("what was agreed on has not come here in time")

    async def _ask(
        self, kind: str, body: bytes, within: timedelta, answer_here: Callable[[], Awaitable[bytes]]
    ) -> calls.Answer:
        """Ask whoever leads, again and again until it answers. `answer_here` is for this head itself."""
        deadline, why, hint, wait = self.now() + within, "no leader is known", None, FIRST_BACKOFF
        while (left := deadline - self.now()) > timedelta(0):
            raft = self.replication.raft
            known = raft.leader.name if raft.leader else None
            name = known or hint or self.follower.leader or self.follower.next_voter()
            try:
                if raft.leads or name == self.settings.name:
                    answered = await answer_here()
                else:
                    _, answered = await self.streams.request(name, kind, body, min(left, ASK_WITHIN))
                answer = msgspec.msgpack.decode(answered, type=calls.Answer)
                if answer.ok:
                    return answer
                why, hint = answer.why, answer.leader
            except (PeerUnreachable, msgspec.MsgspecError) as error:
                why, hint, self.follower.leader = str(error), None, None
                self.follower.turn += 1
            await self._pause(wait, deadline)
            wait = min(2 * wait, LONGEST_BACKOFF)
        raise ReplicationError(why)

    async def _pause(self, wait: timedelta, deadline: timedelta) -> None:
        """Wait about so long before another try, and not beyond the deadline."""
        drawn = wait.total_seconds() * (0.5 + self.draws.random())
        left = (deadline - self.now()).total_seconds()
        await asyncio.sleep(min(drawn, max(0.0, left)))

    # -- answering ----------------------------------------------------------------------------------------
    async def answer_command(self, command: Command) -> bytes:
        """A command that another head passes on; the leader's answer."""
        try:
            body = await self.replication.command(command, ANSWER_WITHIN)
            answer = calls.Answer(True, body, self.replication.machine.index)
        except ReplicationError as error:
            answer = self._refused(error)
        return msgspec.msgpack.encode(answer)

    async def answer_read(self) -> bytes:
        """Up to which index a read must have applied; the leader's answer."""
        try:
            answer = calls.Answer(True, index=await self.replication.read(ANSWER_WITHIN))
        except ReplicationError as error:
            answer = self._refused(error)
        return msgspec.msgpack.encode(answer)

    def _refused(self, error: ReplicationError) -> calls.Answer:
        leader = self.replication.raft.leader
        return calls.Answer(False, why=str(error), leader=leader.name if leader else None)
