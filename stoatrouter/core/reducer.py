"""The reducer: every state change of a head is reduce(event) -> effects.

It drives the decision module and adds the addresses of nodes, the tracking of unanswered requests, and the
guarantee that each request gets exactly one answer.
"""

from __future__ import annotations

from datetime import timedelta

from loguru import logger

from stoatrouter.core import model
from stoatrouter.core.conversions import node_entry, request_arrived
from stoatrouter.core.durations import NO_TIME, from_microseconds, to_microseconds
from stoatrouter.core.gate import Gate
from stoatrouter.core.invariants import invariant
from stoatrouter.core.spent_ids import SpentIds, retention_of
from stoatrouter.policy import Scheduler, handover
from stoatrouter.policy import interface as api

# How long after the client's deadline the core answers by itself if a decision is missing.
OVERDUE_GRACE = timedelta(milliseconds=15)
CLEANUP_INTERVAL = timedelta(seconds=60)  # between two removals of nodes that were put back long ago


class Reducer:
    """The state of one head, which changes in `reduce` only."""

    def __init__(
        self, settings: api.Settings, seed: int, max_open: int = 1 << 30, max_spent: int = 1 << 30
    ) -> None:
        """Start with no nodes, no requests and a new scheduler.

        Args:
            settings: the decision module's settings, as read from the operators' file. Their classes
                determine the number of counters; their `max_retry_after` (microseconds; taken as 0 unless
                `accepts_retry_after`) is the Retry-After of requests rejected by fronts.
            seed: the decision module's random seed, which makes a run reproducible.
            max_open: the maximum number of unanswered requests; further ones are rejected at once.
            max_spent: the maximum number of ids that are remembered as spent.
        """
        self.spent = SpentIds(retention_of(settings.classes), max_spent)
        self.gate: Gate | None = None  # asked before the decision module whether a request can be paid for
        self.scheduler = Scheduler(settings, seed)
        self.max_open = max_open
        # For requests rejected without a decision: the longest Retry-After that the settings allow.
        self.default_retry_after = from_microseconds(
            settings.max_retry_after if settings.accepts_retry_after else 0
        )
        self.records: dict[str, model.Record] = {}
        self.streams: dict[str, int] = {}  # classes of requests whose answers are still being streamed
        self.nodes: dict[str, model.NodeInfo] = {}  # as listed by discovery
        self.administrative_state = model.AdministrativeState()
        self.tally = model.Tally()
        classes = len(settings.classes)
        self.counters = model.Counters(ok=[0] * classes, shed=[0] * classes, errors=[0] * classes)
        self.now = NO_TIME
        self.forgotten_at = NO_TIME  # when old state was last removed

    def reduce(self, event: model.Event) -> list[model.Effect]:
        """Process one event and return the effects to run, in order."""
        # An event may be stamped earlier than the latest one, but the decision module's time never goes back.
        self.now = max(self.now, event.at)
        match event:
            case model.Arrived():
                return self._arrived(event.request)
            case model.RejectedByFront():
                return self._reject(event.request_class, model.Refused(self.default_retry_after), "crowded")
            case model.AttemptEnded():
                return self._attempt_ended(event)
            case model.AttemptStalled():
                return self._decide(api.AttemptStalled(event.request, event.attempt))
            case model.StreamEnded():
                return self._stream_ended(event)
            case model.TimerDue():
                self._forget_old()
                return self._decide(api.TimerFired(event.token))
            case model.EndpointListReceived():
                return self._list_received(event)
            case model.HealthCheckEnded():
                return self._decide(
                    api.HealthCheckEnded(event.node, event.outcome, to_microseconds(event.took), event.load)
                )
            case model.ClientLeft():
                return self._client_left(event.request)
            case model.Overdue():
                return self._overdue(event.request)
            case _:
                return self._reduce_control_event(event)

    def _reduce_control_event(self, event: model.ControlEvent) -> list[model.Effect]:
        """Process an event of operators or of the handover between processes."""
        match event:
            case model.SetAdministrativeState():
                return self._set_administrative_state(event)
            case model.HandedOver():
                return self._hand_over()
            case model.TakenBack():
                return self._taken_back(event)
            case model.TakenOver():
                return self._taken_over(event)
            case model.AttemptsElsewhere():
                return self._count_attempts_elsewhere(event)
            case model.SpentElsewhere():
                self.spent.add_all(event.requests, self.now)
                return []

    @property
    def open(self) -> int:
        """The number of requests that are unanswered, have an attempt in flight or are being streamed."""
        return len(self.records) + len(self.streams)

    def is_safe(self, request_class: int) -> bool:
        """Return whether requests of a class may be run any number of times."""
        return self.scheduler.settings.classes[request_class].effect is api.Effect.SAFE

    def nodes_in_flight(self) -> list[str]:
        """Return the node of each attempt in flight, once per attempt."""
        return [
            attempt.node
            for record in self.records.values()
            for attempt in record.attempts
            if attempt.in_flight
        ]

    @property
    def avoided(self) -> int:
        """The number of listed nodes that get no new requests: draining, out of service, or ejected."""
        return sum(self.scheduler.avoids(name) for name in self.nodes)

    def may_begin(self, at: timedelta, request: str, attempt: int) -> bool:
        """Return whether an attempt may still be sent; called once connected, before its first byte."""
        record = self.records.get(request)
        if record is None or record.answered or not record.attempts[attempt].in_flight:
            return False
        return self.scheduler.may_begin(to_microseconds(max(at, self.now)), request, attempt)

    # -- requests -----------------------------------------------------------------------------------------
    def _arrived(self, request: model.Request) -> list[model.Effect]:
        # The decision module drops a second request with the same id, so its client would never be answered.
        if request.id in self.records or request.id in self.streams:
            return self._reject(request.request_class, model.Failed(), "duplicate_id")
        request_class = self.scheduler.settings.classes[request.request_class]
        if (answer := self.spent.rejection(request.id, request_class, self.now)) is not None:
            return self._reject(request.request_class, answer, "spent_id")
        # Overload protection: requests beyond the configured maximum do not reach the decision module.
        if len(self.records) >= self.max_open:
            return self._reject(
                request.request_class, model.Refused(self.default_retry_after), "over_max_open"
            )
        if self.gate is not None and (rejection := self.gate.take(request, self.now)) is not None:
            return self._reject(request.request_class, rejection.answer, rejection.counter)
        self.records[request.id] = model.Record(request, self.now + request.time_left)
        self.tally.add("taken")
        self.counters.active += 1
        effects: list[model.Effect] = [model.WatchOverdue(request.time_left + OVERDUE_GRACE, request.id)]
        return effects + self._decide(request_arrived(request))

    def _reject(self, request_class: int, answer: model.Answer, why: str) -> list[model.Effect]:
        self.tally.add(why)
        self.counters.count(request_class, answer)
        return [model.RejectRequest(answer)]

    def _client_left(self, request_id: str) -> list[model.Effect]:
        record = self.records.get(request_id)
        if record is None or record.answered:
            return []
        self.tally.add("client_gone")
        self.counters.active -= 1
        record.answered = True
        if self.gate is not None:
            self.gate.end(request_id, record.may_have_run())
        effects = self._decide(api.ClientGone(request_id))
        # The client has left, and nodes stop working on a cancelled attempt.
        effects += cancel_attempts(record)
        self._forget(request_id)
        return effects

    def _overdue(self, request_id: str) -> list[model.Effect]:
        record = self.records.get(request_id)
        # The timer may belong to an earlier request with the same id that ended before its deadline.
        if record is None or self.now < record.deadline:
            return []
        effects: list[model.Effect] = []
        # The decision module may have failed on the request; it must be answered nevertheless.
        if not invariant(record.answered, "a request had no answer at its deadline", request=request_id):
            effects += self._answer(request_id, model.Failed())
        return effects + cancel_attempts(record)

    def _answer(self, request_id: str, answer: model.Answer) -> list[model.Effect]:
        """Give a request its final answer; any further answer is dropped."""
        record = self.records.get(request_id)
        if record is None or record.answered:
            return []
        record.answered = True
        if self.gate is not None:
            self.gate.end(request_id, isinstance(answer, model.Served) or record.may_have_run())
        self.tally.add(type(answer).__name__.lower())
        if isinstance(answer, model.Served) and answer.stream is not None:
            self.streams[request_id] = record.request.request_class  # ends with the last byte
        else:
            self._count(record.request.request_class, answer)
        self._forget(request_id)
        return [model.GiveAnswer(request_id, answer)]

    def _count(self, request_class: int, answer: model.Answer) -> None:
        self.counters.active -= 1
        self.counters.count(request_class, answer)

    def _stream_ended(self, event: model.StreamEnded) -> list[model.Effect]:
        request_class = self.streams.pop(event.request, None)
        if request_class is None:
            return []
        if event.complete is None:
            self.counters.active -= 1
        else:
            self._count(request_class, model.Served(b"") if event.complete else model.Failed())
            self.tally.add("passed_on" if event.complete else "broken_off")
        return []

    def _forget(self, request_id: str) -> None:
        record = self.records[request_id]
        if record.is_finished():
            del self.records[request_id]
            if not record.may_have_run():
                self.spent.discard(request_id)

    # -- attempts -----------------------------------------------------------------------------------------
    def _attempt_ended(self, event: model.AttemptEnded) -> list[model.Effect]:
        record = self.records.get(event.request)
        attempt = record.attempt_in_flight(event.attempt) if record is not None else None
        # An outcome may be reported twice (an attempt cancelled while its answer arrived): the first counts.
        if record is None or attempt is None:
            return []
        attempt.in_flight = False
        attempt.never_ran = event.outcome.never_ran
        ok = event.outcome is api.Outcome.OK
        self.tally.add(event.outcome.name.lower())
        finished = ok or record.answered
        served = model.Served(event.body, attempt.shard, event.stream, event.head)
        effects = self._answer(event.request, served) if ok else []
        effects += self._decide(
            api.AttemptEnded(
                request=event.request,
                attempt=event.attempt,
                node=attempt.node,
                outcome=event.outcome,
                took=to_microseconds(self.now - attempt.sent),
                finished=finished,
                units_by_others=event.units_by_others,
                load=event.load,
            )
        )
        if ok:
            effects += cancel_attempts(record)  # those beside it
        if event.request in self.records:
            self._forget(event.request)
        return effects

    def _send(self, action: api.Send) -> list[model.Effect]:
        record = self.records.get(action.request)
        node = self.nodes.get(action.node)
        if not invariant(
            record is not None and not record.answered,
            "a send for a request that is over",
            request=action.request,
        ):
            return []
        assert record is not None
        if not self.is_safe(record.request.request_class):
            self.spent.add(action.request, self.now)
        record.attempts.append(model.Attempt(action.node, node.shard if node else -1, self.now))
        number = len(record.attempts) - 1
        # The node may have left the list between the decision and the send; then the attempt never ran.
        if node is None:
            return self._attempt_ended(model.AttemptEnded(self.now, action.request, number, api.Outcome.MOOT))
        return [model.SendAttempt(record.request, number, node.address, from_microseconds(action.timeout))]

    # -- the node list ------------------------------------------------------------------------------------
    def _list_received(self, event: model.EndpointListReceived) -> list[model.Effect]:
        if event.kind in (api.ListKind.FULL, api.ListKind.RESTORED):
            self.nodes = {}
        for node in event.nodes:
            if node.phase is api.Phase.GONE:
                self.nodes.pop(node.id, None)
            else:
                self.nodes[node.id] = node
        return self._pass_on_nodes(event.kind, event.nodes, event.since)

    # -- handover between processes ----------------------------------------------------------------------
    def _hand_over(self) -> list[model.Effect]:
        module = handover.hand_over(self.scheduler, to_microseconds(self.now))
        spent = self.spent.written(self.now)
        return [model.HandoverState(tuple(self.nodes.values()), self.administrative_state, module, spent)]

    def _taken_back(self, event: model.TakenBack) -> list[model.Effect]:
        handover.take_back(self.scheduler, to_microseconds(self.now))
        self.administrative_state = event.administrative_state
        return self._pass_on_nodes(api.ListKind.CHANGES, tuple(self.nodes.values()))

    def _count_attempts_elsewhere(self, event: model.AttemptsElsewhere) -> list[model.Effect]:
        for name, node in self.scheduler.nodes.items():
            node.in_flight_elsewhere = event.counts.get(name, 0)
        return []

    def _taken_over(self, event: model.TakenOver) -> list[model.Effect]:
        self.administrative_state = event.administrative_state
        effects = self._list_received(
            model.EndpointListReceived(event.at, api.ListKind.RESTORED, event.nodes)
        )
        try:
            self.spent.restore(event.spent, self.now)
            offset = to_microseconds(event.clock_offset)
            handover.take_over(self.scheduler, handover.shift_times(event.module, offset))
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            # Another version of the program may have written an unknown form: start without that state.
            logger.error(
                "upgrade: cannot read the state of the old process: {error}",
                event="upgrade.unlearnt",
                error=repr(error),
            )
        return effects

    def _pass_on_nodes(
        self, kind: api.ListKind, nodes: tuple[model.NodeInfo, ...], since: timedelta | None = None
    ) -> list[model.Effect]:
        entries = tuple(node_entry(self.administrative_state.effective(node)) for node in nodes)
        return self._decide(
            api.EndpointList(kind, entries, to_microseconds(self.now if since is None else since))
        )

    def _set_administrative_state(self, event: model.SetAdministrativeState) -> list[model.Effect]:
        """Set the administrative state of a node; no effects if the node is unknown."""
        node = self.nodes.get(event.node)
        if node is None and event.node not in self.administrative_state.out:
            return []
        if event.out:
            self.administrative_state.take_out(event.node, self.now)
        else:
            self.administrative_state.put_back(event.node, self.now)
        self.administrative_state.forget_back(self.nodes, self.now)
        for forgotten in self.administrative_state.forget_surplus(self.nodes):
            logger.warning(
                "bricks: forgetting that unlisted node {node} is out of service: too many nodes are out",
                event="bricks.forgotten",
                node=forgotten,
            )
        effects: list[model.Effect] = [model.SaveAdministrativeState()]
        return effects + (self._pass_on_nodes(api.ListKind.CHANGES, (node,)) if node is not None else [])

    def _forget_old(self) -> None:
        """Forget nodes that were put back long ago, without waiting for the next operator call."""
        if self.now - self.forgotten_at >= CLEANUP_INTERVAL:
            self.forgotten_at = self.now
            self.administrative_state.forget_back(self.nodes, self.now)
            self.spent.forget_old(self.now)

    # -- the decision module ------------------------------------------------------------------------------
    def _decide(self, event: api.Event) -> list[model.Effect]:
        """Pass an event to the decision module and convert its actions into effects."""
        try:
            actions = self.scheduler.handle(to_microseconds(self.now), event)
        except Exception:
            if __debug__:
                raise
            # After a fault in a decision, this head continues to serve; Overdue answers what remains open.
            logger.exception("decision failed on {kind}", event="decision.failed", kind=type(event).__name__)
            self.tally.add("decision_failed")
            return []
        effects: list[model.Effect] = []
        for action in list(actions):
            effects += self._effects(action)
        return effects

    def _effects(self, action: api.Action) -> list[model.Effect]:
        match action:
            case api.Send():
                return self._send(action)
            case api.Reject():
                return self._answer(action.request, model.Refused(from_microseconds(action.retry_after)))
            case api.Fail():
                return self._answer(action.request, model.Failed())
            case api.SetTimer():
                return [model.SetTimer(from_microseconds(action.after), action.token)]
            case api.CancelAttempt():
                return [model.CancelAttempt(action.request, action.attempt)]
            case api.CheckHealth() if action.node in self.nodes:
                return [model.CheckHealth(action.node, self.nodes[action.node].address)]
            case _:
                return []  # the endpoint list is always watched: no subscription is needed


def cancel_attempts(record: model.Record) -> list[model.Effect]:
    """Return the effects that cancel a request's attempts in flight."""
    return [model.CancelAttempt(record.request.id, number) for number in record.in_flight()]
