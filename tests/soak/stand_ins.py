"""Nodes and clients of the soak; answers name their requests, and nodes send some answers twice."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from tests.fleet_stand_ins import FaultyNode, History
from tests.fleet_story import DEADLINE, Answer, Client, read_answer
from tests.soak.node_questions import NodeQuestions

SECOND_ANSWER_PROBABILITY = 0.03  # for each answer
MAX_SECOND_ANSWER_DELAY = 0.05  # seconds
ANSWER_TIMEOUT = DEADLINE + 5.0  # seconds; a later answer counts as missing
RESEND_DELAY = 0.02  # seconds


@dataclass(slots=True, frozen=True)
class HeadAddress:
    """The address at which clients connect to a head."""

    name: str
    host: str
    port: int


class SoakNode(FaultyNode):
    """A rough node whose answers name their requests; it repeats some of them 0 to 50 ms later."""

    def __init__(self, name: str, cell: int, seed: int, history: History) -> None:
        super().__init__(name, cell, seed, history)
        self.second_draws = random.Random(f"second/{seed}/{name}")
        self.second_answers = 0

    def body_for(self, request: str) -> bytes:
        """Return the body of a successful answer."""
        return request.encode()

    def send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write a whole answer, sometimes twice."""
        writer.write(answer)
        if self.second_draws.random() < SECOND_ANSWER_PROBABILITY:
            late = self.second_draws.choice((0.0, self.second_draws.uniform(0.0, MAX_SECOND_ANSWER_DELAY)))
            loop = asyncio.get_running_loop()
            written = time.monotonic()
            loop.call_later(late, self.send_again, writer, answer, written)

    def send_again(self, writer: asyncio.StreamWriter, answer: bytes, written: float) -> None:
        """Write an answer a second time, unless this event loop lags too much."""
        if time.monotonic() - written <= MAX_SECOND_ANSWER_DELAY and not writer.is_closing():
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
        """Return the name of the next request, which tells nodes its head."""
        return f"{self.head.name}-{super().next_name()}"

    async def answer_of(self, name: str, reader: asyncio.StreamReader) -> Answer | None:
        """Wait for an answer; None if the connection ended without one."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                answer = await read_answer(reader)
        except TimeoutError:
            return Answer(0, False, b"")  # the judge reports the missing answer
        except (OSError, asyncio.IncompleteReadError):
            return None
        named = {"of": answer.body.decode()} if answer.status == 200 else {}
        self.history.write("answered", request=name, status=answer.status, **named)
        return answer

    async def end_without_answer(self, name: str, request: bytes, was_closed: bool) -> None:
        """Record that a request was lost, or send it again if it crossed the end of its connection."""
        if not was_closed and await self.questions.reached_a_node(name):
            self.history.write("ended", request=name)
        else:
            await self.send_once_more(name, request)

    async def send_once_more(self, name: str, request: bytes) -> None:
        """Send a request again on a new connection; give it up if none can be opened."""
        await asyncio.sleep(RESEND_DELAY)
        try:
            reader, writer = await asyncio.open_connection(self.head.host, self.head.port)
        except OSError:
            self.history.write("gone", request=name)
            return
        writer.write(request)
        answer = await self.answer_of(name, reader)
        writer.close()
        if answer is None:
            # a head without free descriptors, or one that ends, closes the connection without reading the
            # request
            was_read = await self.questions.reached_a_node(name)
            self.history.write("ended" if was_read else "gone", request=name)


async def open_connections(client: SoakClient, seconds: float) -> None:
    """Open new connections to a head for a while, each for one request."""
    ends = time.monotonic() + seconds
    requests: list[asyncio.Task[None]] = []
    while time.monotonic() < ends:
        requests.append(asyncio.create_task(send_one_request(client)))
        await asyncio.sleep(client.draws.uniform(0.005, 0.03))
    await asyncio.gather(*requests)


async def send_one_request(client: SoakClient) -> None:
    """Send one request on a new connection."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(client.head.host, client.head.port)
        await client.ask(reader, writer)
        writer.close()
