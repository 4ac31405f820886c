"""Handles messages from other heads: one handler for each kind."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.founding import Founded
from stoatrouter.agreement.machine import Command
from stoatrouter.agreement.records import AnyMessage, AppendEntries, Voter
from stoatrouter.peering import calls
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.envelope import Envelope
from stoatrouter.peering.follower_feed import FollowerFeed
from stoatrouter.peering.leader_service import LeaderService
from stoatrouter.peering.propagation import ChangePropagation
from stoatrouter.peering.replication import Replication

MessageHandler = Callable[[Envelope], Awaitable[bytes | None]]


class MessageHandlers:
    """The message handlers of one head.

    Attributes:
        by_kind: The handler of each kind of message; parts add handlers of their own kinds.
    """

    def __init__(
        self,
        me: Voter,
        replication: Replication,
        bootstrap: FleetBootstrap,
        monitor: AvailabilityMonitor,
        feed: FollowerFeed,
        service: LeaderService,
        propagation: ChangePropagation,
        now: Callable[[], timedelta],
    ) -> None:
        """Set up the handlers of the kinds in `calls`.

        Args:
            me: This head, with the identity of its disk.
            replication: Receives the agreement's messages.
            bootstrap: Answers founders.
            monitor: Notified of a leader's contacts with a majority.
            feed: Answers the polls of followers.
            service: Answers commands and reads, as the leader.
            propagation: Records polls, and answers requests for progress.
            now: This head's monotonic time.
        """
        self._me = me
        self._replication = replication
        self._bootstrap = bootstrap
        self._monitor = monitor
        self._feed = feed
        self._service = service
        self._propagation = propagation
        self._now = now
        self.by_kind: dict[str, MessageHandler] = {
            calls.AGREE: self._receive_batch,
            calls.FETCH: self._answer_fetch,
            calls.COMMAND: self._answer_command,
            calls.READ: self._answer_read,
            calls.PROGRESS: propagation.answer,
            calls.PROMISE: self._promise,
            calls.FOUND: self._adopt,
        }

    async def handle(self, envelope: Envelope) -> bytes | None:
        """Handle an authentic message; return the answer, None if there is none or the kind is unknown.

        Raises:
            msgspec.MsgspecError: The message is malformed.
        """
        handler = self.by_kind.get(envelope.kind)
        return None if handler is None else await handler(envelope)

    async def _receive_batch(self, envelope: Envelope) -> None:
        for identity, message in msgspec.msgpack.decode(envelope.body, type=calls.Batch):
            # A message for an earlier identity of this head (another disk) must not count as received: what
            # that disk had promised is lost.
            if identity == self._me.identity:
                self._receive(envelope.sender, message)

    def _receive(self, sender: Voter, message: AnyMessage) -> None:
        """Pass a message to the agreement."""
        # Until the founding is on the disk, writing it would erase any promise made on these messages.
        if not self._bootstrap.durable:
            return
        self._replication.receive(sender, message)
        raft = self._replication.raft
        if isinstance(message, AppendEntries) and raft.leader == sender and message.term == raft.term:
            self._monitor.note_contact(raft.contact, message.leader_commit)

    async def _answer_fetch(self, envelope: Envelope) -> bytes:
        fetch = msgspec.msgpack.decode(envelope.body, type=calls.Fetch)
        name, incarnation = envelope.sender.name, envelope.incarnation
        self._propagation.polls.note(name, incarnation, fetch.after, self._now())
        answer = await self._feed.answer(fetch)
        # The follower's copy is current as of the answer, so the poll is recorded again at that time.
        self._propagation.polls.note(name, incarnation, fetch.after, self._now())
        return answer

    async def _answer_command(self, envelope: Envelope) -> bytes:
        return await self._service.answer_command(msgspec.msgpack.decode(envelope.body, type=Command))

    async def _answer_read(self, envelope: Envelope) -> bytes:
        return await self._service.answer_read()

    async def _promise(self, envelope: Envelope) -> bytes:
        return await self._bootstrap.promise(envelope.sender)

    async def _adopt(self, envelope: Envelope) -> None:
        self._bootstrap.adopt(msgspec.msgpack.decode(envelope.body, type=Founded))
