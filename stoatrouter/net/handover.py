"""The handover between two processes of one head, on both sides."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta

from loguru import logger

from stoatrouter.core import model
from stoatrouter.core.durations import from_microseconds, to_microseconds
from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.discovery import Watch
from stoatrouter.net.engine import Engine
from stoatrouter.net.handover_socket import (
    OPEN_RESOURCES_INTERVAL,
    PROTOCOL_VERSION,
    HandoverSocket,
    Predecessor,
    send_line,
    write_line,
)
from stoatrouter.net.listener import Drain
from stoatrouter.net.state_format import (
    JsonObject,
    OpenResources,
    read_administrative_state,
    read_node,
    read_open_resources,
    read_spent,
    write_administrative_state,
    write_node,
    write_open_resources,
)

TURNS_TO_HEAR = 4  # of the loop, until lines that are in the socket have been handled
RESUME_INTERVAL = timedelta(seconds=1)  # between two tries to accept clients again
# Fewer open requests are admitted for this time after each message of the other process: all clients move at
# once, to a process that has to open all of its connections.
SETTLING_TIME = timedelta(seconds=1)
# The same while the next process starts, which takes one or two seconds and must not take more than 6 s.
STARTUP_TIME = timedelta(seconds=4)


class Handover:
    """The handover from the previous process to this one, and from this one to the next."""

    def __init__(
        self,
        engine: Engine,
        watch: Watch,
        clients: ClientTable,
        drain: Drain,
        folder: str | None,
        stop_accepting: Callable[[], Awaitable[None]],
        resume_accepting: Callable[[], Awaitable[None]],
    ) -> None:
        """Set up the handover of this process; `take_over` and `listen` start it.

        Args:
            engine: The engine whose state is handed over.
            watch: The watch of the endpoint list, whose generation is handed over.
            clients: The table of client connections.
            drain: The drain state of this head.
            folder: The folder of the socket between processes ($TMPDIR); None: no handover.
            stop_accepting: Stops the listeners from accepting connections.
            resume_accepting: Makes them accept connections again.
        """
        self.engine = engine
        self.watch = watch
        self.clients = clients
        self.drain = drain
        self.stop_accepting = stop_accepting
        self.resume_accepting = resume_accepting
        self.socket = HandoverSocket(folder)
        # the limits for both processes together
        self.max_clients = clients.max_connections
        self.max_node_connections = engine.nodes.pool.max_connections
        self.predecessor: Predecessor | None = None
        self.takeover_tasks: set[asyncio.Task[None]] = set()
        self.spent_listeners: list[Callable[[str], None]] = []  # one for each other process that serves

    # -- the new process ----------------------------------------------------------------------------------
    async def take_over(self) -> bool:
        """Take over from the previous process; returns False if there is none or its state is malformed."""
        self.predecessor = await self.socket.take_over()
        if self.predecessor is None:
            return False
        state = self.predecessor.take_state()
        try:
            self.apply_state(state)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            logger.error(
                "upgrade: the old process handed over malformed state: {error}",
                event="upgrade.unreadable",
                error=repr(error),
            )
            return False
        self.share_ids(self.predecessor.report_spent)
        logger.info(
            "upgrade: taken over; still open in the old process: {holds}",
            event="upgrade.taken_over",
            holds=state["holds"],
        )
        return True

    def apply_state(self, state: JsonObject) -> None:
        """Apply the state of the previous process.

        Raises KeyError, TypeError, ValueError or AttributeError if it was written by another version.
        """
        nodes = tuple(read_node(node) for node in state["nodes"])
        offset = self.clock_offset(state)
        administrative_state = read_administrative_state(state["by_hand"]).shifted(offset)
        self.engine.dispatch(
            model.TakenOver(
                self.engine.clock.now(),
                nodes,
                administrative_state,
                state["module"],
                offset,
                state.get("spent", []),
            )
        )
        self.watch.generation = state["generation"]
        if state["out_of_service"]:
            self.drain.out_of_service()
        self.apply_open_resources(read_open_resources(state["holds"]))

    def clock_offset(self, state: JsonObject) -> timedelta:
        """Return what to add to the times of the previous process to have them on this one's clock.

        The system's time may have been stepped between the starts of both. An older version does not say its
        own time: its clock counts as this one's.
        """
        if "now" not in state:
            return timedelta(0)
        passed = self.engine.clock.monotonic() - from_microseconds(int(state["monotonic"]))
        return self.engine.clock.now() - passed - from_microseconds(int(state["now"]))

    async def follow(self) -> None:
        """Apply the open resources of the previous process until it ends; returns at once without one."""
        if self.predecessor is not None:
            report_spent = self.predecessor.report_spent
            await self.predecessor.follow(self.apply_open_resources)
            self.predecessor = None
            self.stop_sharing_ids(report_spent)

    # -- ids that both processes know ---------------------------------------------------------------------
    def share_ids(self, tell: Callable[[str], None]) -> None:
        """Tell another process of each id before a node may run it, and hear of its own before admission."""
        self.spent_listeners.append(tell)
        self.engine.on_spent = self.tell_spent
        self.engine.hear_other_process = hear_other_process

    def stop_sharing_ids(self, tell: Callable[[str], None]) -> None:
        """Stop telling a process that has ended."""
        if tell in self.spent_listeners:
            self.spent_listeners.remove(tell)
        if not self.spent_listeners:
            self.engine.on_spent = self.engine.hear_other_process = None

    def tell_spent(self, request: str) -> None:
        """Tell all other processes of this head that nodes are about to run a request."""
        for tell in self.spent_listeners:
            tell(request)

    def learn_spent(self, requests: tuple[str, ...]) -> None:
        """Remember ids that another process has told of."""
        if requests:
            self.engine.dispatch(model.SpentElsewhere(self.engine.clock.now(), requests))

    def apply_open_resources(self, open_resources: OpenResources) -> None:
        """Reduce this process's limits by the open resources of the previous one, as both are one head."""
        self.learn_spent(open_resources.spent)
        self.clients.max_connections = max(1, self.max_clients - open_resources.clients)
        self.clients.busy_at_predecessor = open_resources.busy
        self.clients.tighten_busy_limit(SETTLING_TIME)
        self.engine.nodes.pool.set_limit(max(1, self.max_node_connections - open_resources.connections))
        self.engine.dispatch(model.AttemptsElsewhere(self.engine.clock.now(), open_resources.attempts))

    # -- the old process ----------------------------------------------------------------------------------
    async def listen(self) -> None:
        """Listen for the next process."""
        await self.socket.listen(self.on_connection)

    def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Leave processor time to a starting process, and serve its request for the state."""
        # it connects early in its startup, long before it requests the state
        self.clients.tighten_busy_limit(STARTUP_TIME)
        task = asyncio.get_running_loop().create_task(self.serve_takeover(reader, writer))
        self.takeover_tasks.add(task)
        task.add_done_callback(self.takeover_tasks.discard)

    async def serve_takeover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one takeover request: send the state, and resume service if the new process dies."""
        try:
            line = await reader.readline()
            if not line or json.loads(line).get("take") != PROTOCOL_VERSION or self.drain.handed_over:
                return
        except (OSError, ValueError, AttributeError):
            return
        else:
            await self.hand_over(reader, writer)
        finally:
            writer.close()

    async def hand_over(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Stop accepting and send the state to the new process; resume if it dies before this one ends."""
        logger.info(
            "upgrade: handing over with {open} open requests",
            event="upgrade.handing_over",
            open=self.engine.reducer.open,
        )
        self.drain.handed_over = True
        self.clients.tighten_busy_limit(SETTLING_TIME)
        await self.stop_accepting()

        def tell(request: str) -> None:
            write_line(writer, write_open_resources(replace(self.open_resources(), spent=(request,))))

        try:
            write_line(writer, self.state())
            self.share_ids(tell)  # what is spent from now on is no part of that state
            await writer.drain()
            await self.report_open_resources(reader, writer)
        except OSError as error:
            logger.warning(
                "upgrade: lost the new process: {error}", event="upgrade.broke_off", error=repr(error)
            )
        except Exception:
            # After an unexpected error in the handover, no process would accept clients without this.
            logger.exception("upgrade: handover failed with an unexpected error", event="upgrade.fault")
        finally:
            self.stop_sharing_ids(tell)
        await self.take_back()

    def state(self) -> JsonObject:
        """Return the state for the new process; after this, this process only finishes its requests."""
        state = self.engine.hand_over()
        return {
            "v": PROTOCOL_VERSION,
            "now": to_microseconds(self.engine.clock.now()),
            "monotonic": to_microseconds(self.engine.clock.monotonic()),
            "generation": self.watch.generation,
            "out_of_service": self.drain.out,
            "nodes": [write_node(node) for node in state.nodes],
            "by_hand": write_administrative_state(state.administrative_state),
            "module": state.module,
            "spent": state.spent,
            "holds": write_open_resources(self.open_resources()),
        }

    async def report_open_resources(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the open resources every OPEN_RESOURCES_INTERVAL until the new process closes the connection.

        Raises OSError if the connection breaks.
        """
        ended = asyncio.ensure_future(self.read_spent(reader))
        try:
            while not ended.done():
                await asyncio.wait([ended], timeout=OPEN_RESOURCES_INTERVAL.total_seconds())
                await send_line(writer, write_open_resources(self.open_resources()))
        finally:
            ended.cancel()

    async def read_spent(self, reader: asyncio.StreamReader) -> None:
        """Learn the ids that the new process tells of, until it closes the connection."""
        while line := await reader.readline():
            try:
                self.learn_spent(read_spent(json.loads(line)))
            except (ValueError, TypeError, AttributeError) as error:
                logger.warning(
                    "upgrade: the new process sent a malformed line: {error}",
                    event="upgrade.malformed",
                    error=repr(error),
                )

    async def take_back(self) -> None:
        """Accept clients again, as the new process has ended."""
        logger.warning("upgrade: the new process has ended; resuming service", event="upgrade.taken_back")
        self.engine.dispatch(model.TakenBack(self.engine.clock.now(), self.engine.state_file.read()))
        self.drain.handed_over = False
        while True:
            try:
                await self.resume_accepting()
                break
            except OSError as error:  # another program may have taken the address, or no descriptor is left
                logger.error("upgrade: cannot accept again: {error}", event="upgrade.deaf", error=str(error))
                await asyncio.sleep(RESUME_INTERVAL.total_seconds())
        await self.listen()

    def open_resources(self) -> OpenResources:
        """Return what this process still has open, from which the new one computes its limits."""
        return OpenResources(
            clients=len(self.clients),
            connections=len(self.engine.nodes.pool.open_connections),
            attempts=dict(Counter(self.engine.reducer.nodes_in_flight())),
            busy=self.clients.open,
        )

    async def close(self) -> None:
        """Stop listening for new processes and cancel handovers in progress."""
        await self.socket.close()
        for task in list(self.takeover_tasks):
            task.cancel()
        await asyncio.gather(*self.takeover_tasks, return_exceptions=True)


async def hear_other_process() -> None:
    """Let the loop read what the other process has written so far.

    What it wrote is in this process's socket at once. The loop reads it in its next turn, wakes the reader
    in the one after, and that one handles the lines.
    """
    for _ in range(TURNS_TO_HEAR):
        await asyncio.sleep(0)
