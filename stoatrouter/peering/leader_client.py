"""Sends commands and reads to the leader, and retries them until an answer or the timeout.

A retried command takes effect once: the state machine answers a known id with the first answer
(agreement/machine.py).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.machine import Command
from stoatrouter.peering import calls
from stoatrouter.peering.backoff import Backoff
from stoatrouter.peering.errors import LeaderUnavailable, PeerUnreachable, ReplicaBehind
from stoatrouter.peering.follower import Follower
from stoatrouter.peering.leader_service import LeaderService
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.streams import Streams

ATTEMPT_TIMEOUT = timedelta(seconds=3)  # of one request to the leader
MIN_APPLY_TIMEOUT = timedelta(milliseconds=50)  # for applying the log here, even after a late answer
FIRST_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(milliseconds=400)


class LeaderClient:
    """The commands and reads of one head, which only the leader answers."""

    def __init__(
        self,
        settings: HeadsSettings,
        replication: Replication,
        streams: Streams,
        follower: Follower,
        service: LeaderService,
        now: Callable[[], timedelta],
        rng: random.Random,
    ) -> None:
        """Set up.

        Args:
            settings: Names this head.
            replication: Knows the leader if this head votes, and what is applied here.
            streams: Sends requests to the leader.
            follower: Knows the leader from polls, and which voter to try if none is known.
            service: Answers if this head is the leader itself.
            now: This head's monotonic time.
            rng: Source of the backoff's jitter.
        """
        self._settings = settings
        self._replication = replication
        self._streams = streams
        self._follower = follower
        self._service = service
        self._now = now
        self._rng = rng

    @property
    def leader(self) -> str | None:
        """The name of the leader, as far as this head knows."""
        return self._replicated_leader() or self._follower.leader

    async def command(self, part: str, body: bytes, id: str, timeout: timedelta) -> bytes:
        """Have a command committed by the leader.

        Args:
            part: The part of the state machine that the command is for.
            body: The command, encoded by the part.
            id: The idempotency key: a command sent again under it is not applied again.
            timeout: The time limit, retries included.

        Returns:
            The part's answer.

        Raises:
            LeaderUnavailable: No leader answered in time; the command may still take effect. Sent again under
                its id, it gets the same answer.
        """
        command = Command(id, part, body, self._settings.name)
        encoded = msgspec.msgpack.encode(command)
        answer = await self._request(
            calls.COMMAND, encoded, timeout, lambda: self._service.answer_command(command)
        )
        return answer.body

    async def read(self, timeout: timedelta) -> None:
        """Wait until all entries committed before the call are applied here, confirmed by the leader.

        Raises:
            LeaderUnavailable: No leader answered in time.
            ReplicaBehind: The leader's committed entries were not applied here in time.
        """
        deadline = self._now() + timeout
        answer = await self._request(calls.READ, b"", timeout, self._service.answer_read)
        left = max(MIN_APPLY_TIMEOUT, deadline - self._now())
        if not await self._replication.wait_applied(answer.index, left):
            raise ReplicaBehind

    async def _request(
        self, kind: str, body: bytes, timeout: timedelta, answer_here: Callable[[], Awaitable[bytes]]
    ) -> calls.Answer:
        """Send a request to the leader, with retries until it is answered; raises LeaderUnavailable.

        `answer_here` answers it if this head is the leader itself.
        """
        deadline = self._now() + timeout
        backoff = Backoff(FIRST_BACKOFF, MAX_BACKOFF, self._rng)
        reason = "no leader is known"
        hint: str | None = None  # the leader according to the last answer
        while (left := deadline - self._now()) > timedelta(0):
            name = self._choose_head(hint)
            try:
                if self._replication.raft.leads or name == self._settings.name:
                    encoded = await answer_here()
                else:
                    reply = await self._streams.request(name, kind, body, min(left, ATTEMPT_TIMEOUT))
                    encoded = reply.body
                answer = msgspec.msgpack.decode(encoded, type=calls.Answer)
            except (PeerUnreachable, msgspec.MsgspecError) as error:
                reason = str(error)
                hint = None
                self._follower.forget_leader()
            else:
                if answer.ok:
                    return answer
                reason = answer.reason
                hint = answer.leader
            await self._pause(backoff.next_pause(), deadline)
        raise LeaderUnavailable(reason)

    def _choose_head(self, hint: str | None) -> str:
        """Return the leader, from the most reliable source that knows it, or else the next voter."""
        return (
            self._replicated_leader() or hint or self._follower.leader or self._follower.next_voter_to_call()
        )

    def _replicated_leader(self) -> str | None:
        leader = self._replication.raft.leader
        return leader.name if leader is not None else None

    async def _pause(self, seconds: float, deadline: timedelta) -> None:
        """Sleep before a retry, but not beyond the deadline."""
        left = (deadline - self._now()).total_seconds()
        await asyncio.sleep(min(seconds, max(0.0, left)))
