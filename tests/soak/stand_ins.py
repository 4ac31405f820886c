"""Nodes and clients of the soak: answers name their requests, and some come a second time."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from tests.fleet_stand_ins import FaultyNode, History
from tests.fleet_story import DEADLINE, Answer, Client, read_answer
from tests.soak.node_questions import NodeQuestions

SECOND_ANSWERS = 0.03  # of all answers
LATEST_SECOND_ANSWER = 0.05  # seconds
PATIENCE = DEADLINE + 5.0  # seconds; an answer that takes longer never came
RESEND_PAUSE = 0.02  # seconds


@dataclass(slots=True, frozen=True)
class HeadAddress:
    """Where clients find a head."""

    name: str
    host: str
    port: int


class SoakNode(FaultyNode):
    """A rough node whose answers name their requests; some it writes a second time, 0 to 50 ms later."""

    def __init__(self, name: str, cell: int, seed: int, history: History) -> None:
        super().__init__(name, cell, seed, history)
        self.second_draws = random.Random(f"second/{seed}/{name}")
        self.second_answers = 0

    def body_for(self, request: str) -> bytes:
        """The body of a good answer."""
        return request.encode()

    def send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write a whole answer, now and then twice."""
        writer.write(answer)
        if self.second_draws.random() < SECOND_ANSWERS:
            late = self.second_draws.choice((0.0, self.second_draws.uniform(0.0, LATEST_SECOND_ANSWER)))
            loop, written = asyncio.get_running_loop(), time.monotonic()
            loop.call_later(late, self.send_again, writer, answer, written)

    def send_again(self, writer: asyncio.StreamWriter, answer: bytes, written: float) -> None:
        """Write an answer a second time, unless this loop is too late for that."""
        if time.monotonic() - written <= LATEST_SECOND_ANSWER and not writer.is_closing():
            self.second_answers += 1
            writer.write(answer)


class SoakClient(Client):
    """Sends requests as the platform's clients do: one that crossed a close is sent once more."""

    leaves = 0.1

    def __init__(
        self, number: int, head: HeadAddress, seed: int, history: History, questions: NodeQuestions
    ) -> None:
        super().__init__(number, head, seed, history)
        self.questions = questions

    def next_name(self) -> str:
        """The name of the next request: nodes see by it whose it is."""
        return f"{self.head.name}-{super().next_name()}"

    async def answer_of(self, name: str, reader: asyncio.StreamReader) -> Answer | None:
        """Wait for an answer; None where the connection ended without one."""
        try:
            async with asyncio.timeout(PATIENCE):
                answer = await read_answer(reader)
        except TimeoutError:
            return Answer(0, False, b"")  # the judge finds that none is there
        except (OSError, asyncio.IncompleteReadError):
            return None
        named = {"of": answer.body.decode()} if answer.status == 200 else {}
        self.history.write("answered", request=name, status=answer.status, **named)
        return answer

    async def end_without_answer(self, name: str, request: bytes, was_closed: bool) -> None:
        """Write that a request was lost, or send one that crossed the end of its connection once more."""
        if not was_closed and await self.questions.reached_a_node(name):
            self.history.write("ended", request=name)
        else:
            await self.send_once_more(name, request)

    async def send_once_more(self, name: str, request: bytes) -> None:
        """Send a request that crossed the end of its connection on a new one; without one it is given up."""
        await asyncio.sleep(RESEND_PAUSE)
        try:
            reader, writer = await asyncio.open_connection(self.head.host, self.head.port)
        except OSError:
            self.history.write("gone", request=name)
            return
        writer.write(request)
        answer = await self.answer_of(name, reader)
        writer.close()
        if answer is None:
            # a connection that is shut unread, as its head has none left or ends, has taken nothing
            was_read = await self.questions.reached_a_node(name)
            self.history.write("ended" if was_read else "gone", request=name)


async def knock(client: SoakClient, seconds: float) -> None:
    """Open new connections to a head for a while, each for one request."""
    ends = time.monotonic() + seconds
    asking: list[asyncio.Task[None]] = []
    while time.monotonic() < ends:
        asking.append(asyncio.create_task(ask_once(client)))
        await asyncio.sleep(client.draws.uniform(0.005, 0.03))
    await asyncio.gather(*asking)


async def ask_once(client: SoakClient) -> None:
    """Make one request on a new connection."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(client.head.host, client.head.port)
        await client.ask(reader, writer)
        writer.close()
