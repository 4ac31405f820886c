"""The engine: puts events to the reducer, one at a time, and runs the effects it asks for."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import Any

from loguru import logger

from cypressworks.interface import ListKind, Outcome
from stoatrouter.core import model
from stoatrouter.core.reducer import Reducer
from stoatrouter.net.bodies import BrokenOff
from stoatrouter.net.clients import ClientTable
from stoatrouter.net.clock import Clock
from stoatrouter.net.nodes import NodeClient, Reply
from stoatrouter.net.presence import CLIENT, gone
from stoatrouter.net.state_file import AdministrativeStateFile

# A loop this late has too little of its core; in quiet times it is late by a few milliseconds.
PRESSED_LAG, PRESSED_FOR = timedelta(milliseconds=30), timedelta(milliseconds=500)
LARGEST_PIECE = 1024 * 1024  # of an answer that a front needs whole


class Engine:
    """Holds what is under way: answers waited for and attempts out. Decides nothing."""

    def __init__(
        self, reducer: Reducer, clock: Clock, nodes: NodeClient, state_file: AdministrativeStateFile
    ) -> None:
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
        """The final answer to a request; cancelling the caller tells the core that its client has gone."""
        if self.prepare is not None:
            request = await self.prepared(request)
        now = self.clock.now()
        if self.answer_by is not None:
            # Guards what a stopping head still takes: no answer is left to come after its end.
            left = max(timedelta(0), min(request.time_left, self.answer_by - now))
            request = replace(request, time_left=left)
        effects = self.reducer.reduce(model.Arrived(now, request))
        # Guards the waiter of a request that is open under the same id: this answer is not for it.
        if effects and isinstance(effects[0], model.TurnAway):
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
        """Wait a moment for what a request needs before it is taken up, where it is on its way."""
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
        """The same for a front that needs an answer whole."""
        answer = await self.serve(request)
        if not isinstance(answer, model.Served) or answer.flow is None:
            return answer
        whole: bool | None = None
        try:
            body = await answer.flow.whole(LARGEST_PIECE)
            whole = True
            return model.Served(body, answer.shard)
        except BrokenOff:
            whole = False
            return model.Failed()
        finally:
            self.flow_ended(request.id, whole)

    def flow_ended(self, request: str, whole: bool | None) -> None:
        """An answer was passed on; None: its client has left."""
        self.put(model.FlowEnded(self.clock.now(), request, whole))

    def drop(self, request: str, answer: model.Answer) -> None:
        """An answer that nobody takes any more."""
        if isinstance(answer, model.Served) and answer.flow is not None:
            answer.flow.close()
            self.flow_ended(request, None)

    def turn_away(self, request_class: int) -> model.Answer:
        """The answer to a request for which there is no room."""
        effects = self.reducer.reduce(model.TurnedAway(self.clock.now(), request_class))
        assert isinstance(effects[0], model.TurnAway)
        return effects[0].answer

    def apply_node_list(
        self, kind: ListKind, nodes: tuple[model.NodeInfo, ...], age: timedelta | None = timedelta(0)
    ) -> None:
        """Pass on what discovery tells, and for how long it may have counted as told; None: nobody knows."""
        logger.info(
            "discovery: {kind} with {entries} entries",
            event="discovery.told",
            kind=kind.value,
            entries=len(nodes),
        )
        now = self.clock.now()
        self.put(model.ListTold(now, kind, nodes, timedelta(0) if age is None else now - age))

    def hand_over(self) -> model.HandoverState:
        """All that the next process needs; from now on this one only ends what it has."""
        (known,) = self.reducer.reduce(model.HandedOver(self.clock.now()))
        assert isinstance(known, model.HandoverState)
        return known

    def set_administrative_state(self, node: str, out: bool) -> bool | None:
        """Take a node out or put it back; returns whether that is saved, None where the node is not known."""
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
        """Whether an answer is still owed."""
        return bool(self.waiting or self.preparing)

    async def close(self) -> None:
        """End what is still out once nothing is owed any more."""
        ending = [*self.tasks, *self.attempts.values()]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        await self.nodes.close()

    # -- events in, effects out ---------------------------------------------------------------------------
    def put(self, event: model.Event) -> None:
        self.run_all(self.reducer.reduce(event))

    def run_all(self, effects: list[model.Effect]) -> None:
        for effect in effects:
            self.run(effect)

    def run(self, effect: model.Effect) -> None:
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
            case model.Probe():
                self.spawn(self.probe(effect))

    def may_begin(self, effect: model.SendAttempt) -> bool:
        """Asked with a connection in hand, before the first byte of an attempt: whether it is to be made."""
        client = self.callers.get(effect.request.id)
        if gone(client):
            # Guards nodes against work for nobody: what tells of the client's end is still on its way here.
            assert client is not None
            client.abort()
            return False
        return self.reducer.may_begin(self.clock.now(), effect.request.id, effect.attempt)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)  # the loop itself holds tasks only weakly
        task.add_done_callback(self.tasks.discard)
        return task

    def timer(self, token: int) -> None:
        self.put(model.TimerDue(self.clock.now(), token))

    def overdue(self, request: str) -> None:
        self.put(model.Overdue(self.clock.now(), request))

    def attempt_ended(self, effect: model.SendAttempt, task: asyncio.Task[Reply]) -> None:
        """An attempt's end, told exactly once. A callback, as a task that is cancelled before its first step
        runs none of its own code: such an attempt would stay out for ever."""
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

    async def probe(self, effect: model.Probe) -> None:
        began = self.clock.now()
        reply = await self.nodes.probe(effect)
        now = self.clock.now()
        self.put(model.ProbeEnded(now, effect.node, reply.outcome, now - began, reply.load))


async def watch_loop(
    engine: Engine, clients: ClientTable, every: timedelta, lag_limit: timedelta, tally_every: int = 100
) -> None:
    """Watches the loop's lag, and logs now and then what has been done."""
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
