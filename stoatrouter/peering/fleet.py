"""One head among the others: detector, agreement, founding and standing, put together and kept going."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec
from loguru import logger

from stoatrouter import config
from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.agreement.founding import Founded, Founding, Promised
from stoatrouter.agreement.machine import Command, Machine, Part
from stoatrouter.agreement.records import AnyMessage, Append, Voter
from stoatrouter.agreement.standing import Facts, Standing, stand
from stoatrouter.membership.detector import Detector
from stoatrouter.membership.roster import Status
from stoatrouter.peering import calls
from stoatrouter.peering.agreed import Agreed, NotAgreed
from stoatrouter.peering.counts import Counts
from stoatrouter.peering.datagrams import Datagrams
from stoatrouter.peering.envelope import Envelope, Seal
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.storage import Storage
from stoatrouter.peering.streams import Streams, Unreachable

HOLD = timedelta(milliseconds=500)  # a fetch waits so long for news
AGAIN, LONGEST_AGAIN = timedelta(milliseconds=50), timedelta(seconds=1)
FOUND_EVERY = timedelta(milliseconds=300)
READ_ANSWERS = timedelta(seconds=2)

Extra = Callable[[Envelope], Awaitable[bytes]]


class Fleet:
    """What other parts of the head see of the others. `parts` are what the heads agree on, by name."""

    def __init__(self, settings: HeadsSettings, seed: int, parts: dict[str, Part]) -> None:
        self.settings, self.counts = settings, Counts()
        self.draws = random.Random(f"fleet/{seed}/{settings.name}")
        self.storage = Storage(settings.folder)
        found = self.found = self.storage.open()
        if found.fresh is not None:
            logger.error(
                "heads: begins under a new identity, without a vote: {why}",
                event="heads.fresh",
                why=found.fresh,
            )
        self.me = Voter(settings.name, found.identity)
        self.founding = Founding(self.me, settings.voters, found.origin, found.promised)
        # what an earlier process of this head said is told from what this one says by a number that goes up,
        # also without a disk as long as the clock does not go back
        self.process = max(time.time_ns() // 1_000_000, found.boot)
        self.agreed = Agreed(
            self.me,
            found,
            self.storage,
            Machine(parts),
            settings.agreement,
            seed,
            self.now,
            self.send,
            self.look,
        )
        self.streams = Streams(
            Seal(settings.secret, settings.fleet, settings.name),
            self.me,
            self.process,
            settings.streams,
            self.counts,
            self.take,
            lambda: self.founding.origin,
        )
        self.datagrams: Datagrams | None = None
        if settings.peer_listen is not None:
            detector = Detector(settings.name, self.process, settings.peers, seed, settings.detector)
            self.datagrams = Datagrams(
                detector, settings.secret, settings.fleet, settings.peers, self.now, self.counts, self.seen
            )
        self.began = self.now()
        self.belongs = bool(found.origin)  # and its beginning is on the disk
        self.contact = MajorityContact()
        self.goal: int | None = None  # what was agreed on when this head first heard of it
        self.leader: str | None = None  # as the last fetch told
        self.standing: Standing | None = None
        self.extras: dict[str, Extra] = {}
        self.watchers: list[Callable[[], None]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.turn = 0

    @staticmethod
    def now() -> timedelta:
        """This head's monotonic time: no clock that is set moves it."""
        return timedelta(seconds=time.monotonic())

    def restart(self) -> None:
        self.agreed.restart(self.found.disk.snapshot)

    async def start(self) -> None:
        """Listen, then take part."""
        settings = self.settings
        await self.streams.start(config.address(settings.listen) if settings.listen else None)
        loop = asyncio.get_running_loop()
        if self.datagrams is not None and settings.peer_listen is not None:
            await self.datagrams.start(*config.address(settings.peer_listen))
            self.tasks.append(loop.create_task(self.datagrams.run_for_ever()))
        self.tasks += [
            loop.create_task(work)
            for work in (self.agreed.run_for_ever(), self.follow(), self.found_fleet(), self.keep_looking())
        ]
        logger.info(
            "heads: {name} of {fleet} is {identity}, process {process}",
            event="heads.start",
            name=settings.name,
            fleet=settings.fleet,
            identity=self.me.identity[:8],
            process=self.process,
        )

    async def close(self) -> None:
        if self.datagrams is not None:
            self.datagrams.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.streams.close()
        self.agreed.close()

    # -- where this head stands ---------------------------------------------------------------------------
    def facts(self) -> Facts:
        now, raft = self.now(), self.agreed.raft
        if raft.settled:
            self.note_contact(raft.contact, raft.commit)
        ago = self.contact.age(now)
        caught_up = self.goal is not None and self.agreed.machine.index >= self.goal
        return Facts(
            bool(self.founding.origin), caught_up, ago, raft.votes_here, raft.leads, self.agreed.lasting
        )

    def look(self) -> None:
        """Look where this head stands, and say so when that has changed."""
        settings = self.settings
        standing = stand(
            self.facts(), settings.cut_off_after, self.now() - self.began, settings.wait_at_start
        )
        if standing != self.standing:
            before, self.standing = self.standing, standing
            if before is None or before.state is not standing.state:
                logger.info("heads: {state}", event="heads.standing", state=standing.state.value)
            for watcher in self.watchers:
                watcher()

    @property
    def stands(self) -> Standing:
        self.look()
        assert self.standing is not None
        return self.standing

    def note_contact(self, contact: MajorityContact, commit: int) -> None:
        """A majority was connected then; up to here it had agreed."""
        self.contact.seen(contact.at)
        if self.goal is None and contact.at is not None:
            self.goal = commit

    async def keep_looking(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(0.1)

    def seen(self, name: str, status: Status) -> None:
        for watcher in self.watchers:
            watcher()

    def status(self, name: str) -> Status | None:
        """How the detector sees a head; None where there is none, or it never heard of it."""
        return None if self.datagrams is None else self.datagrams.detector.roster.status(name)

    def live(self) -> set[str]:
        """Heads that are not known to have failed or left, this one with them."""
        if self.datagrams is None:
            return {self.settings.name, *self.settings.streams}
        held = self.datagrams.detector.roster.held.values()
        return {news.name for news in held if news.status <= Status.SUSPECT}

    # -- messages -----------------------------------------------------------------------------------------
    def send(self, to: Voter, message: AnyMessage) -> None:
        self.streams.tell(to.name, (to.identity, message))

    async def take(self, envelope: Envelope) -> bytes | None:
        """One message of another head, believed."""
        match envelope.kind:
            case calls.AGREE:
                for identity, message in msgspec.msgpack.decode(envelope.body, type=calls.Batch):
                    # Guards promises: what is for this head's earlier disk is not for it.
                    if identity == self.me.identity:
                        self.heard(envelope.sender, message)
                return None
            case calls.FETCH:
                return await self.fetched(msgspec.msgpack.decode(envelope.body, type=calls.Fetch))
            case calls.COMMAND:
                return await self.commanded(msgspec.msgpack.decode(envelope.body, type=Command))
            case calls.READ:
                return await self.asked_to_read()
            case calls.PROMISE:
                return await self.promise(envelope.sender)
            case calls.FOUND:
                self.adopt(msgspec.msgpack.decode(envelope.body, type=Founded))
                return None
        extra = self.extras.get(envelope.kind)
        return None if extra is None else await extra(envelope)

    def heard(self, sender: Voter, message: AnyMessage) -> None:
        # Guards promises: what comes before this head's beginning is on its disk would be forgotten by it.
        if not self.belongs:
            return
        self.agreed.hear(sender, message)
        raft = self.agreed.raft
        if isinstance(message, Append) and raft.leader == sender and message.term == raft.term:
            self.note_contact(raft.contact, message.commit)

    # -- founding -----------------------------------------------------------------------------------------
    async def promise(self, founder: Voter) -> bytes:
        before = self.founding.promised
        answer = self.founding.promise(founder)
        if self.founding.promised != before:
            done = asyncio.get_running_loop().create_future()
            self.agreed.keep(lambda: done.done() or done.set_result(None), promised=answer.founder)
            async with asyncio.timeout(READ_ANSWERS.total_seconds()):  # a broken disk promises nothing
                await done
        return msgspec.msgpack.encode(answer)

    async def found_fleet(self) -> None:
        """The founder's part: ask the voters of the settings until a fleet has begun."""
        while not self.founding.origin:
            await asyncio.sleep(FOUND_EVERY.total_seconds())
            if not self.founding.founds or not self.agreed.lasting:
                continue
            if self.founding.promised != self.me.identity:
                with contextlib.suppress(TimeoutError):
                    await self.promise(self.me)
                continue
            others = [name for name in self.settings.voters if name != self.settings.name]
            answers: list[Any] = await asyncio.gather(
                *(self.streams.ask(name, calls.PROMISE, b"") for name in others), return_exceptions=True
            )
            told = [
                msgspec.msgpack.decode(a[1], type=Promised) for a in answers if isinstance(a, tuple) and a[1]
            ]
            for answer in told or [self.founding.promise(self.me)]:
                founded = self.founding.heard(answer)
                if founded is not None:
                    self.adopt(founded)
                    body = msgspec.msgpack.encode(founded)
                    await asyncio.gather(
                        *(self.streams.ask(name, calls.FOUND, body) for name in others),
                        return_exceptions=True,
                    )
                    break

    def adopt(self, founded: Founded) -> None:
        """Begin with a founding that names this head."""
        if not self.founding.adopt(founded):
            return

        logger.info(
            "heads: the fleet {origin} is founded by {voters}",
            event="heads.founded",
            origin=founded.origin[:8],
            voters=", ".join(v.name for v in founded.voters),
        )
        self.agreed.begin(founded.snapshot(), 0, founded.origin, self.begun)

    def begun(self) -> None:
        """The beginning is on the disk."""
        self.belongs = True
        self.look()

    def belong(self, origin: str) -> None:
        """A head that has no vote belongs to the fleet that it follows."""
        if origin and not self.founding.origin:
            self.founding.origin, self.belongs = origin, True
            self.agreed.keep(lambda: None, origin=origin)

    # -- following ----------------------------------------------------------------------------------------
    async def follow(self) -> None:
        """Learn what was agreed on from the voters, one after the other, unless a leader tells this head."""
        wait = AGAIN
        while True:
            raft = self.agreed.raft
            if raft.leads or (raft.votes_here and raft.leader is not None) or not self.settings.streams:
                await asyncio.sleep(HOLD.total_seconds())
                continue
            if await self.fetch(self.next_voter()):
                wait = AGAIN
            else:
                await asyncio.sleep(wait.total_seconds() * (0.5 + self.draws.random()))
                wait = min(2 * wait, LONGEST_AGAIN)

    def next_voter(self) -> str:
        """A voter to ask; those of the settings until others are known."""
        voters = [v.name for v in self.agreed.raft.voters] or list(self.settings.voters)
        names = [n for n in voters if n in self.settings.streams and n != self.settings.name]
        names = names or [n for n in self.settings.streams if n != self.settings.name] or [self.settings.name]
        self.turn += 1
        return names[(self.turn + hash_of(self.settings.name)) % len(names)]

    async def fetch(self, name: str) -> bool:
        """Ask one voter; whether it hears a majority."""
        machine, raft = self.agreed.machine, self.agreed.raft
        ask = calls.Fetch(machine.index, raft.log.term(machine.index) or 0)
        asked_at = self.now()
        try:
            _, body = await self.streams.ask(name, calls.FETCH, msgspec.msgpack.encode(ask))
            told = msgspec.msgpack.decode(body, type=calls.Fetched)
        except (Unreachable, msgspec.MsgspecError):
            return False
        mine = self.founding.origin
        if not told.origin or (mine and (told.origin != mine or not self.belongs)):
            return False
        if (
            not self.founding.origin
            and told.snapshot is not None
            and self.founding.adopt(Founded(told.origin, told.voters))
        ):
            self.agreed.begin(told.snapshot, 0, told.origin, self.begun)
            return False  # it promised to its founder and missed the founding
        self.belong(told.origin)
        self.agreed.learn(told.prev_index, told.prev_term, told.entries, told.commit, told.snapshot)
        self.turn -= told.touched  # stay with a voter that serves
        if told.touched:
            self.leader = told.leader
            told_contact = MajorityContact()
            if told.majority_age is not None:
                told_contact.learned(asked_at, told.held_for, told.majority_age)
            self.note_contact(told_contact, told.commit)
            self.look()
        return told.touched

    async def fetched(self, ask: calls.Fetch) -> bytes:
        """The answer to a head that follows."""
        agreed, raft, came_at = self.agreed, self.agreed.raft, self.now()
        if self.founding.origin and raft.commit <= ask.after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOLD.total_seconds()):
                    while raft.commit <= ask.after and raft is agreed.raft:
                        await agreed.changed.wait()
        raft = agreed.raft
        told: dict[str, Any] = {
            "origin": self.founding.origin,
            "touched": self.stands.changes,
            "majority_age": self.contact.age(self.now()),
            "held_for": self.now() - came_at,
            "commit": raft.commit,
            "leader": raft.leader.name if raft.leader else None,
            "voters": raft.voters,
        }
        if raft.log.term(ask.after) == ask.after_term and ask.after:
            told |= {
                "prev_index": ask.after,
                "prev_term": ask.after_term,
                "entries": raft.log.since(ask.after + 1, raft.commit),
            }
        elif self.founding.origin:
            told["snapshot"] = raft.log.snapshot
        return msgspec.msgpack.encode(calls.Fetched(**told))

    # -- commands and reads -------------------------------------------------------------------------------
    async def commanded(self, command: Command) -> bytes:
        """A command that another head passes on; the leader's answer."""
        try:
            body = await self.agreed.command(command, READ_ANSWERS)
            answer = calls.Answer(True, body, self.agreed.machine.index)
        except NotAgreed as error:
            raft = self.agreed.raft
            answer = calls.Answer(False, why=str(error), leader=raft.leader.name if raft.leader else None)
        return msgspec.msgpack.encode(answer)

    async def asked_to_read(self) -> bytes:
        try:
            answer = calls.Answer(True, index=await self.agreed.read(READ_ANSWERS))
        except NotAgreed as error:
            raft = self.agreed.raft
            answer = calls.Answer(False, why=str(error), leader=raft.leader.name if raft.leader else None)
        return msgspec.msgpack.encode(answer)

    async def command(self, part: str, body: bytes, id: str, within: timedelta) -> bytes:
        """Bring a command through at whoever leads; its answer. Raises NotAgreed: it may come to hold later,
        and asked again under its id it gives the one answer."""
        command = Command(id, part, body, self.settings.name)
        answer = await self.at_leader(
            calls.COMMAND, msgspec.msgpack.encode(command), within, lambda: self.commanded(command)
        )
        return answer.body

    async def read(self, within: timedelta) -> None:
        """Wait until this head holds all that was agreed on before; raises NotAgreed."""
        deadline = self.now() + within
        answer = await self.at_leader(calls.READ, b"", within, self.asked_to_read)
        if not await self.agreed.applied(answer.index, max(AGAIN, deadline - self.now())):
            raise NotAgreed("what was agreed on has not come here in time")

    async def at_leader(
        self, kind: str, body: bytes, within: timedelta, here: Callable[[], Awaitable[bytes]]
    ) -> calls.Answer:
        deadline, why, hint, wait = self.now() + within, "no leader is known", None, AGAIN
        while (left := deadline - self.now()) > timedelta(0):
            raft = self.agreed.raft
            name = (raft.leader.name if raft.leader else None) or hint or self.leader or self.next_voter()
            try:
                if raft.leads or name == self.settings.name:
                    answer = msgspec.msgpack.decode(await here(), type=calls.Answer)
                else:
                    _, said = await self.streams.ask(name, kind, body, min(left, timedelta(seconds=3)))
                    answer = msgspec.msgpack.decode(said, type=calls.Answer)
                if answer.ok:
                    return answer
                why, hint = answer.why, answer.leader
            except (Unreachable, msgspec.MsgspecError) as error:
                why, hint, self.leader = str(error), None, None
                self.turn += 1
            await asyncio.sleep(
                min(
                    wait.total_seconds() * (0.5 + self.draws.random()),
                    max(0.0, (deadline - self.now()).total_seconds()),
                )
            )
            wait = min(2 * wait, timedelta(milliseconds=400))
        raise NotAgreed(why)


def hash_of(name: str) -> int:
    """A number of a name that is the same in every process: heads spread over the voters by it."""
    return sum(i * byte for i, byte in enumerate(name.encode(), 1))
