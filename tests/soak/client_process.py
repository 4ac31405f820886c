"""Some of the clients of a seed, in a process of their own."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fleet_stand_ins import History
from tests.soak.children import Say, run_child
from tests.soak.node_questions import NodeQuestions
from tests.soak.stand_ins import HeadAddress, SoakClient


async def work(specification: dict[str, Any], say: Say, over: asyncio.Event) -> dict[str, Any]:
    """Run clients until the story is over and they have finished what they asked; the lines they wrote."""
    history, questions = History(), NodeQuestions(specification["questions"])
    heads = [HeadAddress(**head) for head in specification["heads"]]
    clients = [
        SoakClient(number, heads[number % len(heads)], specification["seed"], history, questions)
        for number in specification["numbers"]
    ]
    say(None)
    await asyncio.gather(*(client.run(over) for client in clients))
    questions.close()
    return {"lines": history.lines}


if __name__ == "__main__":
    run_child(work)
