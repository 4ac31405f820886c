"""A child process with some of the clients of a seed."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fleet_stand_ins import History
from tests.soak.children import SendLine, run_child
from tests.soak.node_questions import NodeQuestions
from tests.soak.stand_ins import HeadAddress, SoakClient


async def work(
    specification: dict[str, Any], send_line: SendLine, stop_event: asyncio.Event
) -> dict[str, Any]:
    """Run clients until the end and until their requests are done; return the lines of their history."""
    history = History()
    questions = NodeQuestions(specification["questions"])
    heads = [HeadAddress(**head) for head in specification["heads"]]
    clients = [
        SoakClient(number, heads[number % len(heads)], specification["seed"], history, questions)
        for number in specification["numbers"]
    ]
    send_line(None)
    await asyncio.gather(*(client.run(stop_event) for client in clients))
    questions.close()
    return {"lines": history.lines}


if __name__ == "__main__":
    run_child(work)
