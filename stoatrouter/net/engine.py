"""The engine: passes events to the reducer, one at a time, and runs the effects it returns."""

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
from stoatrouter.net.clock import Clock
from stoatrouter.net.disconnects import CLIENT_TRANSPORT, has_disconnected
from stoatrouter.net.errors import IncompleteAnswer
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.replies import Reply
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.policy.interface import ListKind, Outcome

MAX_COMPLETE_ANSWER_BYTES = 1024 * 1024  # the size limit for fronts that need complete answers


class Engine:
    """Tracks open requests and attempts, and runs effects; all decisions are made by the reducer."""

    def __init__(
        self, reducer: Reducer, clock: Clock, nodes: NodeClient, state_file: AdministrativeStateFile
    ) -> None:
        """Set up an engine without open requests; it must be created in a running event loop.

        Args:
            reducer: The core, which makes all decisions.
            clock: The clock for the times of events.
            nodes: The client of all nodes.
            state_file: The file in which the administrative state is saved when it changes.
        """
        self.reducer = reducer
        self.clock = clock
        self.nodes = nodes
        self.state_file = state_file
        self.state_saved = True  # whether the last change of the administrative state was saved
        self.loop = asyncio.get_running_loop()
        self.waiters: dict[str, asyncio.Future[model.Answer]] = {}  # by request
        self.client_transports: dict[str, asyncio.Transport | None] = {}  # by request
        self.attempts: dict[tuple[str, int], asyncio.Task[Reply]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.answer_deadline: timedelta | None = None  # for all requests, set during shutdown
        # called before a request is admitted: waits for what it needs, and returns whether it waited
        self.prepare: Callable[[model.Request], Awaitable[bool]] | None = None
        self.preparing = 0
        # Set while another process of this head serves too: called with an id before a node may run it, and
        # awaited before a request that may not be repeated is admitted.
        self.on_spent: Callable[[str], None] | None = None
        self.hear_other_process: Callable[[], Awaitable[None]] | None = None

    # -- for fronts ---------------------------------------------------------------------------------------
    async def serve(self, request: model.Request) -> model.Answer:
        """Return the final answer to a request; cancellation is reported as the client having left."""
        if self.prepare is not None:
            request = await self.prepared(request)
        if self.hear_other_process is not None and not self.reducer.is_safe(request.request_class):
            await self.hear_other_process()
        now = self.clock.now()
        if self.answer_deadline is not None:
            # A stopping head cannot answer after its end, so the deadlines of new requests are capped.
            left = max(timedelta(0), min(request.time_left, self.answer_deadline - now))
            request = replace(request, time_left=left)
        effects = self.reducer.reduce(model.Arrived(now, request))
        # A rejected request must not replace the waiter of an open request with the same id.
        if effects and isinstance(effects[0], model.RejectRequest):
            return effects[0].answer
        waiter: asyncio.Future[model.Answer] = self.loop.create_future()
        self.waiters[request.id] = waiter
        self.client_transports[request.id] = CLIENT_TRANSPORT.get()
        try:
            self.run_effects(effects)
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.discard_answer(request.id, waiter.result())
            else:
                self.dispatch(model.ClientLeft(self.clock.now(), request.id))
            raise
        finally:
            # After the answer was given, a new request with this id may have registered its own waiter.
            if self.waiters.get(request.id) is waiter:
                del self.waiters[request.id]
                del self.client_transports[request.id]

    async def prepared(self, request: model.Request) -> model.Request:
        """Wait for what a request needs before it is admitted, such as credit.

        Returns the request with its remaining time.
        """
        assert self.prepare is not None
        started = self.clock.now()
        self.preparing += 1
        try:
            if not await self.prepare(request):
                return request
        finally:
            self.preparing -= 1
        left = max(timedelta(0), request.time_left - (self.clock.now() - started))
        return replace(request, time_left=left)

    async def serve_complete(self, request: model.Request) -> model.Answer:
        """Serve a request whose front needs a complete answer of at most MAX_COMPLETE_ANSWER_BYTES."""
        answer = await self.serve(request)
        if not isinstance(answer, model.Served) or answer.stream is None:
            return answer
        complete: bool | None = None
        try:
            body = await answer.stream.read_complete(MAX_COMPLETE_ANSWER_BYTES)
            complete = True
            return model.Served(body, answer.shard)
        except IncompleteAnswer:
            complete = False
            return model.Failed()
        finally:
            self.stream_ended(request.id, complete)

    def stream_ended(self, request: str, complete: bool | None) -> None:
        """Report the end of a streamed answer: complete, truncated, or None if its client has left."""
        self.dispatch(model.StreamEnded(self.clock.now(), request, complete))

    def discard_answer(self, request: str, answer: model.Answer) -> None:
        """Release an answer whose client has left."""
        if isinstance(answer, model.Served) and answer.stream is not None:
            answer.stream.close()
            self.stream_ended(request, None)

    def reject(self, request_class: int) -> model.Answer:
        """Return the answer to a request that a front rejects for lack of capacity."""
        effects = self.reducer.reduce(model.RejectedByFront(self.clock.now(), request_class))
        assert isinstance(effects[0], model.RejectRequest)
        return effects[0].answer

    def apply_node_list(
        self, kind: ListKind, nodes: tuple[model.NodeInfo, ...], age: timedelta | None = timedelta(0)
    ) -> None:
        """Report a node list or changes to it.

        `age` is how long they may already have been in effect; None: not known.
        """
        logger.info(
            "discovery: {kind} with {entries} entries",
            event="discovery.told",
            kind=kind.value,
            entries=len(nodes),
        )
        now = self.clock.now()
        self.dispatch(
            model.EndpointListReceived(now, kind, nodes, timedelta(0) if age is None else now - age)
        )

    def hand_over(self) -> model.HandoverState:
        """Return the state for the next process; after this, this process only finishes its requests."""
        (state,) = self.reducer.reduce(model.HandedOver(self.clock.now()))
        assert isinstance(state, model.HandoverState)
        return state

    def set_administrative_state(self, node: str, out: bool) -> bool | None:
        """Take a node out of service or back in; returns whether that was saved, None for an unknown node."""
        effects = self.reducer.reduce(model.SetAdministrativeState(self.clock.now(), node, out))
        if effects:
            logger.info(
                "bricks: {node} set to {state} by an operator",
                event="bricks.by_hand",
                node=node,
                state="out" if out else "back",
            )
        self.run_effects(effects)
        return self.state_saved if effects else None

    @property
    def busy(self) -> bool:
        """Whether any request is unanswered."""
        return bool(self.waiters or self.preparing)

    async def close(self) -> None:
        """Cancel all tasks and close the connections to nodes, once every request is answered."""
        ending = [*self.tasks, *self.attempts.values()]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        await self.nodes.close()

    # -- events in, effects out ---------------------------------------------------------------------------
    def dispatch(self, event: model.Event) -> None:
        """Pass one event to the reducer and run the effects that it returns."""
        self.run_effects(self.reducer.reduce(event))

    def run_effects(self, effects: list[model.Effect]) -> None:
        """Run effects in order."""
        for effect in effects:
            self.run_effect(effect)

    def run_effect(self, effect: model.Effect) -> None:
        """Run one effect."""
        match effect:
            case model.SendAttempt():
                self.start_attempt(effect)
            case model.GiveAnswer():
                self.give_answer(effect)
            case model.SetTimer():
                self.loop.call_later(effect.after.total_seconds(), self.timer_due, effect.token)
            case model.WatchOverdue():
                self.loop.call_later(effect.after.total_seconds(), self.overdue, effect.request)
            case model.CancelAttempt():
                attempt = self.attempts.get((effect.request, effect.attempt))
                if attempt is not None:
                    attempt.cancel()
            case model.SaveAdministrativeState():
                self.state_saved = self.state_file.write(self.reducer.administrative_state)
            case model.CheckHealth():
                self.spawn(self.check_health(effect))

    def start_attempt(self, effect: model.SendAttempt) -> None:
        """Start an attempt in a task of its own."""
        if self.on_spent is not None and not self.reducer.is_safe(effect.request.request_class):
            self.on_spent(effect.request.id)
        task = self.loop.create_task(
            self.nodes.attempt(effect, partial(self.may_begin, effect), partial(self.attempt_stalled, effect))
        )
        self.attempts[(effect.request.id, effect.attempt)] = task
        task.add_done_callback(partial(self.attempt_ended, effect))

    def give_answer(self, effect: model.GiveAnswer) -> None:
        """Pass the answer to a waiting request; without effect if its client has left."""
        waiter = self.waiters.get(effect.request)
        if waiter is not None and not waiter.done():
            if isinstance(effect.answer, model.Served) and effect.answer.stream is not None:
                effect.answer.stream.is_consumed = True
            waiter.set_result(effect.answer)

    def may_begin(self, effect: model.SendAttempt) -> bool:
        """Return whether an attempt may still be sent; called with a connection, before the first byte."""
        client = self.client_transports.get(effect.request.id)
        if has_disconnected(client):
            # The loop has not processed the disconnect yet; without this, a node would work for nobody.
            assert client is not None
            client.abort()
            return False
        return self.reducer.may_begin(self.clock.now(), effect.request.id, effect.attempt)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in a task that is referenced until it ends, and cancelled by close."""
        task = self.loop.create_task(work)
        self.tasks.add(task)  # the loop itself holds only weak references to tasks
        task.add_done_callback(self.tasks.discard)
        return task

    def timer_due(self, token: int) -> None:
        """Report that a timer set by the reducer has expired."""
        self.dispatch(model.TimerDue(self.clock.now(), token))

    def overdue(self, request: str) -> None:
        """Report that a request's deadline has passed."""
        self.dispatch(model.Overdue(self.clock.now(), request))

    def attempt_stalled(self, effect: model.SendAttempt) -> None:
        """Report that the answer of an attempt has begun and stalls."""
        self.dispatch(model.AttemptStalled(self.clock.now(), effect.request.id, effect.attempt))

    def attempt_ended(self, effect: model.SendAttempt, task: asyncio.Task[Reply]) -> None:
        """Report the end of an attempt, exactly once.

        This is a callback of the task: a task that is cancelled before its first step runs none of its own
        code, so its attempt would otherwise stay open forever.
        """
        reply = attempt_reply(task)
        self.attempts.pop((effect.request.id, effect.attempt), None)
        self.dispatch(
            model.AttemptEnded(
                self.clock.now(),
                effect.request.id,
                effect.attempt,
                reply.outcome,
                reply.body,
                reply.units_by_others,
                reply.load,
                reply.stream,
                reply.head,
            )
        )
        # Nobody consumes an answer that arrived after another was given; it must release its connection.
        if reply.stream is not None and not reply.stream.is_consumed:
            reply.stream.close()
            self.stream_ended(effect.request.id, None)

    async def check_health(self, effect: model.CheckHealth) -> None:
        """Check the health of a node, and report the outcome and the load to the reducer."""
        started = self.clock.now()
        reply = await self.nodes.check_health(effect)
        now = self.clock.now()
        self.dispatch(model.HealthCheckEnded(now, effect.node, reply.outcome, now - started, reply.load))


def attempt_reply(task: asyncio.Task[Reply]) -> Reply:
    """Return the reply of a finished attempt; cancellation and unexpected errors become outcomes too."""
    if task.cancelled():
        return Reply(Outcome.CANCELLED)
    if (fault := task.exception()) is not None:
        # An unexpected error, such as one in the client library: the attempt may have been executed.
        logger.opt(exception=fault).error("attempt failed with an unexpected error", event="attempt.fault")
        return Reply(Outcome.RESET)
    return task.result()
