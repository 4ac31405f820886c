"""A child process with the nodes of a seed, which also answers questions about attempts and open requests."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any

from tests.fleet_stand_ins import History
from tests.soak.children import SendLine, run_child
from tests.soak.stand_ins import SoakNode

HOST = "127.0.0.1"


class NodeHistory(History):
    """The history of what nodes saw; a request's name begins with that of its head."""

    def write(self, what: str, **more: Any) -> None:
        """Append a line with the present time."""
        request = more["request"]
        self.heads.setdefault(request, request.partition("-")[0])
        super().write(what, **more)


@dataclass(slots=True)
class Questions:
    """Answers questions of other processes of the soak about the nodes, one line for each line."""

    history: NodeHistory

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the questions of one process."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while line := (await reader.readline()).decode():
                about, _, name = line.strip().partition(" ")
                attempted = about == "attempted"
                number = self.history.reached_a_node(name) if attempted else self.history.in_flight(name)
                writer.write(b"%d\n" % number)
        writer.close()


async def listen(stack: contextlib.ExitStack, serve: Any) -> str:
    """Listen until the stack is closed; return the address."""
    server = await asyncio.start_server(serve, HOST, 0)
    stack.callback(server.close)
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


async def work(
    specification: dict[str, Any], send_line: SendLine, stop_event: asyncio.Event
) -> dict[str, Any]:
    """Serve all nodes until the end; return the lines of their history."""
    history = NodeHistory()
    nodes = [SoakNode(name, cell, specification["seed"], history) for name, cell in specification["nodes"]]
    with contextlib.ExitStack() as stack:
        addresses = [await listen(stack, node.serve) for node in nodes]
        send_line({"nodes": addresses, "questions": await listen(stack, Questions(history).serve)})
        await stop_event.wait()
    return {"lines": history.lines, "second_answers": sum(node.second_answers for node in nodes)}


if __name__ == "__main__":
    run_child(work)
