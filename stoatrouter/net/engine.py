"""The engine: puts events to the reducer, one at a time, and runs the effects it returns."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import Any

from loguru import logger

from stoatrouter.core import model
from stoatrouter.core.reducer import Reducer
from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.clock import Clock
from stoatrouter.net.errors import BrokenOff
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.presence import CLIENT, gone
from stoatrouter.net.replies import Reply
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.policy.interface import ListKind, Outcome

# A loop this late has too little of its core; in quiet times it is late by a few milliseconds.
PRESSED_LAG, PRESSED_FOR = timedelta(milliseconds=30), timedelta(milliseconds=500)
LARGEST_PIECE = 1024 * 1024  # of an answer that a front needs whole


class Engine:
    """Holds open requests and attempts, and runs effects. It makes no decisions."""

    def __init__(
        self, reducer: Reducer, clock: Clock, nodes: NodeClient, state_file: AdministrativeStateFile
    ) -> None:
        """Set up an engine with nothing open; it must be made within the running event loop.

        Args:
            reducer: The core, which makes all decisions.
            clock: The time that effects and events are given.
            nodes: The client of all nodes.
            state_file: Where the administrative state is saved when it changes.
        """
        self.reducer, self.clock, self.nodes, self.state_file = reducer, clock, nodes, state_file
        self.state_saved = True  # whether the administrative state was saved when it last changed
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[str, asyncio.Future[model.Answer]] = {}
        self.callers: dict[str, asyncio.Transport | None] = {}  # of those requests
        self.attempts: dict[tuple[str, int], asyncio.Task[Reply]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.answer_by: timedelta | None = None  # a stopping head's last moment
        # asked before a request is taken up: waits where that helps, and says whether it did
        self.prepare: Callable[[model.Request], Awaitable[bool]] | None = None
        self.preparing = 0

    # -- for fronts ---------------------------------------------------------------------------------------
    async def serve(self, request: model.Request) -> model.Answer:
        """The final answer to a request; cancelling the caller reports that its client has left."""
        if self.prepare is not None:
            request = await self.prepared(request)
        now = self.clock.now()
        if self.answer_by is not None:
            # Guards what a stopping head still takes: no answer is left to come after its end.
            left = max(timedelta(0), min(request.time_left, self.answer_by - now))
            request = replace(request, time_left=left)
        effects = self.reducer.reduce(model.Arrived(now, request))
        # Guards the waiter of a request that is open under the same id: this answer is not for it.
        if effects and isinstance(effects[0], model.RejectRequest):
            return effects[0].answer
        waiter = self.waiting[request.id] = self.loop.create_future()
        self.callers[request.id] = CLIENT.get()
        try:
            self.run_all(effects)
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.drop(request.id, waiter.result())
            self.put(model.ClientLeft(self.clock.now(), request.id))
            raise
        finally:
            self.waiting.pop(request.id, None)
            self.callers.pop(request.id, None)

    async def prepared(self, request: model.Request) -> model.Request:
        """Wait for what a request needs before it is admitted, such as credit.

        Returns the request with the time that is left of its deadline.
        """
        assert self.prepare is not None
        began = self.clock.now()
        self.preparing += 1
        try:
            if not await self.prepare(request):
                return request
        finally:
            self.preparing -= 1
        left = max(timedelta(0), request.time_left - (self.clock.now() - began))
        return replace(request, time_left=left)

    async def serve_whole(self, request: model.Request) -> model.Answer:
        """As serve, for a front that needs the whole body of an answer, at most LARGEST_PIECE bytes."""
        answer = await self.serve(request)
        if not isinstance(answer, model.Served) or answer.flow is None:
            return answer
        complete: bool | None = None
        try:
            body = await answer.flow.read_complete(LARGEST_PIECE)
            complete = True
            return model.Served(body, answer.shard)
        except BrokenOff:
            complete = False
            return model.Failed()
        finally:
            self.flow_ended(request.id, complete)

    def flow_ended(self, request: str, complete: bool | None) -> None:
        """Report the end of a streamed answer: complete, cut off, or None where its client has left."""
        self.put(model.FlowEnded(self.clock.now(), request, complete))

    def drop(self, request: str, answer: model.Answer) -> None:
        """Release an answer whose client has left."""
        if isinstance(answer, model.Served) and answer.flow is not None:
            answer.flow.close()
            self.flow_ended(request, None)

    def turn_away(self, request_class: int) -> model.Answer:
        """The answer to a request that is refused for lack of capacity."""
        effects = self.reducer.reduce(model.RejectedByFront(self.clock.now(), request_class))
        assert isinstance(effects[0], model.RejectRequest)
        return effects[0].answer

    def apply_node_list(
        self, kind: ListKind, nodes: tuple[model.NodeInfo, ...], age: timedelta | None = timedelta(0)
    ) -> None:
        """Report a node list or changes to it; `age` is for how long they may have been binding.

        None: not known.
        """
        logger.info(
            "discovery: {kind} with {entries} entries",
            event="discovery.told",
            kind=kind.value,
            entries=len(nodes),
        )
        now = self.clock.now()
        self.put(model.EndpointListReceived(now, kind, nodes, timedelta(0) if age is None else now - age))

    def hand_over(self) -> model.HandoverState:
        """The state for the next process; from now on this process only finishes its requests."""
        (known,) = self.reducer.reduce(model.HandedOver(self.clock.now()))
        assert isinstance(known, model.HandoverState)
        return known

    def set_administrative_state(self, node: str, out: bool) -> bool | None:
        """Take a node out or put it back; returns whether that is saved, None for an unknown node."""
        effects = self.reducer.reduce(model.SetAdministrativeState(self.clock.now(), node, out))
        if effects:
            logger.info(
                "bricks: {node} is {state} by hand",
                event="bricks.by_hand",
                node=node,
                state="out" if out else "back",
            )
        self.run_all(effects)
        return self.state_saved if effects else None

    @property
    def busy(self) -> bool:
        """Whether any request is not yet answered."""
        return bool(self.waiting or self.preparing)

    async def close(self) -> None:
        """Cancel all tasks and close the connections to nodes, once every request is answered."""
        ending = [*self.tasks, *self.attempts.values()]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        await self.nodes.close()

    # -- events in, effects out ---------------------------------------------------------------------------
    def put(self, event: model.Event) -> None:
        """Put one event to the reducer and run the effects."""
        self.run_all(self.reducer.reduce(event))

    def run_all(self, effects: list[model.Effect]) -> None:
        """Run effects in order."""
        for effect in effects:
            self.run(effect)

    def run(self, effect: model.Effect) -> None:
        """Run one effect."""
        match effect:
            case model.SendAttempt():
                task = self.loop.create_task(self.nodes.attempt(effect, partial(self.may_begin, effect)))
                self.attempts[(effect.request.id, effect.attempt)] = task
                task.add_done_callback(partial(self.attempt_ended, effect))
            case model.GiveAnswer():
                waiter = self.waiting.get(effect.request)
                if waiter is not None and not waiter.done():
                    if isinstance(effect.answer, model.Served) and effect.answer.flow is not None:
                        effect.answer.flow.taken = True
                    waiter.set_result(effect.answer)
            case model.SetTimer():
                self.loop.call_later(effect.after.total_seconds(), self.timer, effect.token)
            case model.WatchOverdue():
                self.loop.call_later(effect.after.total_seconds(), self.overdue, effect.request)
            case model.CancelAttempt():
                if (task := self.attempts.get((effect.request, effect.attempt))) is not None:
                    task.cancel()
            case model.SaveAdministrativeState():
                self.state_saved = self.state_file.write(self.reducer.administrative_state)
            case model.CheckHealth():
                self.spawn(self.check_health(effect))

    def may_begin(self, effect: model.SendAttempt) -> bool:
        """Whether an attempt may still be sent, asked once it has a connection and before its first byte."""
        client = self.callers.get(effect.request.id)
        if gone(client):
            # Guards nodes against work for nobody: what tells of the client's end is still on its way here.
            assert client is not None
            client.abort()
            return False
        return self.reducer.may_begin(self.clock.now(), effect.request.id, effect.attempt)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in a task that is held until its end and cancelled by close."""
        task = self.loop.create_task(work)
        self.tasks.add(task)  # the loop itself holds tasks only weakly
        task.add_done_callback(self.tasks.discard)
        return task

    def timer(self, token: int) -> None:
        """Report a timer of the reducer."""
        self.put(model.TimerDue(self.clock.now(), token))

    def overdue(self, request: str) -> None:
        """Report a request's last moment."""
        self.put(model.Overdue(self.clock.now(), request))

    def attempt_ended(self, effect: model.SendAttempt, task: asyncio.Task[Reply]) -> None:
        """Report the end of an attempt, exactly once.

        This is a callback: a task that is cancelled before its first step runs none of its own code, and its
        attempt would stay open for ever.
        """
        reply = Reply(Outcome.RESET)
        if task.cancelled():
            reply = Reply(Outcome.CANCELLED)
        elif (fault := task.exception()) is not None:
            # Guards against a fault in the client library: the attempt may have run, the head goes on.
            logger.opt(exception=fault).error("attempt failed in an unforeseen way", event="attempt.fault")
        else:
            reply = task.result()
        self.attempts.pop((effect.request.id, effect.attempt), None)
        self.put(
            model.AttemptEnded(
                self.clock.now(),
                effect.request.id,
                effect.attempt,
                reply.outcome,
                reply.body,
                reply.units_by_others,
                reply.load,
                reply.flow,
                reply.head,
            )
        )
        # Guards a connection against an answer that came after the one that was given.
        if reply.flow is not None and not reply.flow.taken:
            reply.flow.close()
            self.flow_ended(effect.request.id, None)

    async def check_health(self, effect: model.CheckHealth) -> None:
        """Run a health check on a node and put its outcome and load to the core."""
        began = self.clock.now()
        reply = await self.nodes.check_health(effect)
        now = self.clock.now()
        self.put(model.HealthCheckEnded(now, effect.node, reply.outcome, now - began, reply.load))


async def watch_loop(
    engine: Engine, clients: ClientTable, every: timedelta, lag_limit: timedelta, tally_every: int = 100
) -> None:
    """Measure the event loop's lag, and log the tally from time to time."""
    loop, rounds, worst = asyncio.get_running_loop(), 0, 0.0
    while True:
        due = loop.time() + every.total_seconds()
        await asyncio.sleep(every.total_seconds())
        lag, rounds = loop.time() - due, rounds + 1
        worst = max(worst, lag)
        if lag > PRESSED_LAG.total_seconds():
            clients.press(PRESSED_FOR)
        if lag > lag_limit.total_seconds():
            logger.warning("loop: lagged by {lag_ms:.0f} ms", event="loop.lagged", lag_ms=lag * 1000)
        if rounds % tally_every == 0:
            counts = engine.reducer.tally.take()
            if counts:
                logger.info(
                    "tally: open={open} worst_lag_ms={worst_lag_ms:.0f} {said}",
                    event="tally",
                    open=engine.reducer.open,
                    worst_lag_ms=worst * 1000,
                    counts=counts,
                    said=" ".join(f"{k}={v}" for k, v in sorted(counts.items())),
                )
            worst = 0.0
