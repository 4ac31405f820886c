"""The scheduler of one host: a pure state machine from events to actions, both defined in interface.py."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.dispatch import Dispatcher
from stoatrouter.policy.endpoints import EndpointTracker
from stoatrouter.policy.health_checks import HealthChecks
from stoatrouter.policy.interface import Outcome, Phase
from stoatrouter.policy.key_order import KeyOrder
from stoatrouter.policy.lifecycle import RequestLifecycle
from stoatrouter.policy.node import AVERAGE_SPAN, STEP_DELAY, Node
from stoatrouter.policy.node_index import NodeIndex
from stoatrouter.policy.observation import Observer
from stoatrouter.policy.placement import ANY_SHARD, Placement
from stoatrouter.policy.recently_sent import RecentlySent
from stoatrouter.policy.request import Request
from stoatrouter.policy.retry_budget import RetryBudget
from stoatrouter.policy.send_rules import SendRules, blocks_retry
from stoatrouter.policy.slow_start import SlowStart
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import CONTROL_INTERVAL, MS, NEVER, SECOND
from stoatrouter.policy.volume import Volume

CONTROL_TIMER = 0  # the token of the control cycle's timer; request timers count from 1
# Without an event for this long, though control cycles come every `CONTROL_INTERVAL`, this host was stalled.
STALL_THRESHOLD = 4 * CONTROL_INTERVAL
CLEANUP_INTERVAL = SECOND  # between two rebuilds of throttleable volumes and removals of old state
REJECTION_MARGIN = 20 * MS  # for a rejection to reach the client
BACKOFF_DIVISOR = 10  # of the tightest objective: the base of the backoff, doubled with each attempt
MIN_AVOIDED_PACE = SECOND  # a node that cannot be sent to for longer counts as avoided
MAX_PARALLEL_ATTEMPTS = 2  # of one request
UNKNOWN_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the attempt may still be running


class Scheduler:
    """The scheduler of one host: takes events with their times and returns the actions to take."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start without nodes, volumes or requests; `seed` makes jitter and tie-breaking reproducible."""
        self.state = state = SchedulerState(settings, seed)
        self.now = 0  # the time of the latest event, in microseconds
        self.forgotten_at = 0  # when old state was last removed
        self.retry_budget = RetryBudget(settings.rules)
        self.key_order = KeyOrder()
        self.slow_start = SlowStart(state)
        self.placement = Placement(state, self.slow_start)
        self.observer = Observer(state, self.placement)
        self.health_checks = HealthChecks(state)
        self.endpoints = EndpointTracker(state, self.placement)
        self.send_rules = SendRules(settings.max_attempts, self.slow_start, self.key_order, self.retry_budget)
        self.lifecycle = RequestLifecycle(state, self.key_order)
        self.recently_sent = RecentlySent(state.rules.overload_window, state.retention)
        self.dispatcher = Dispatcher(
            state, self.send_rules, self.lifecycle, self.retry_budget, self.recently_sent
        )

    # -- public queries -----------------------------------------------------------------------------------
    @property
    def settings(self) -> api.Settings:
        """The settings of this scheduler."""
        return self.state.settings

    @property
    def background_classes(self) -> set[str]:
        """The classes whose requests are throttled first."""
        return self.state.background_classes

    @property
    def nodes(self) -> NodeIndex[Node]:
        """The known nodes, by name."""
        return self.state.nodes

    @property
    def requests(self) -> dict[str, Request]:
        """The requests that are not yet answered or have an attempt in flight, by id."""
        return self.state.requests

    @property
    def volumes(self) -> dict[str, Volume]:
        """The recently used volumes, by name."""
        return self.state.volumes

    def avoids(self, name: str) -> bool:
        """Return whether a node gets no new requests: it drains, is gone, or is paced for over a second."""
        node = self.nodes.get(name)
        if node is None:
            return False
        return node.phase is not Phase.ON or node.next_send_at(self.now) > self.now + MIN_AVOIDED_PACE

    def may_begin(self, now: int, request: str, attempt: int) -> bool:
        """Return whether a decided attempt is still valid; called once connected, before the first byte."""
        found = self.requests.get(request)
        if found is None or found.done or now >= found.deadline:
            return False
        decided = found.attempts[attempt]
        node = decided.node
        if not node.accepts(now) or node.up_since > decided.sent_at:
            return False
        earlier = found.attempts[:attempt]
        return not (earlier and blocks_retry(found, node, now, earlier))

    # -- events -------------------------------------------------------------------------------------------
    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Process one event at `now` (microseconds) and return the actions in the order to take them."""
        state = self.state
        if 0 < self.now < now - STALL_THRESHOLD:
            self._resume(now)
        self.now = now
        state.actions = []
        if state.started_at < 0:
            state.started_at = now
            state.actions.append(api.SetTimer(CONTROL_INTERVAL, CONTROL_TIMER))
        match event:
            case api.RequestArrived():
                self._arrive(event, now)
            case api.AttemptEnded():
                self._end_attempt(event, now)
            case api.AttemptStalled():
                self._hedge(event, now)
            case api.TimerFired():
                self._handle_timer(event.token, now)
            case api.EndpointList():
                self.endpoints.apply_update(event, now)
            case api.HealthCheckEnded():
                node = self.health_checks.take_result(event, now)
                if node is not None:
                    self.dispatcher.dispatch(node, now)
            case api.StreamStarted() if event.request in state.requests:
                state.requests[event.request].streaming = True
            case api.ClientGone() if event.request in state.requests:
                self.lifecycle.close(state.requests[event.request], now)  # no answer is owed any more
        return state.actions

    def _resume(self, now: int) -> None:
        """Shrink all windows after a stall of this host, so that its backlog is not sent as one burst."""
        self.state.resumed_at = now
        for node in self.nodes.values():
            node.shrink_to_quota()

    # -- requests -----------------------------------------------------------------------------------------
    def _arrive(self, event: api.RequestArrived, now: int) -> None:
        """Place a new request at a node, set its timers, and send what the node's window allows."""
        requests = self.state.requests
        if event.request in requests:
            return
        if event.volume not in self.volumes and not self.state.make_room_for_volume(now):
            self.state.actions.append(api.Reject(event.request, self.lifecycle.max_retry_after))
            return
        request = requests[event.request] = self._new_request(event, now)
        self.retry_budget.note_arrival(now)
        if event.shard != ANY_SHARD:
            self.slow_start.requested_shards.note(event.shard, now)
        self.key_order.enqueue(request)
        self.placement.place(request, now)
        self.lifecycle.set_timer(request.reject_by, request, now)
        node = request.node
        if node is None:
            return
        self.health_checks.check_if_due(node, now)
        written = event.units if request.write else 0.0
        node.write_rates[event.volume] = node.write_rates.get(event.volume, 0.0) + written
        self._throttle(request, event.volume, node, now)
        self.dispatcher.dispatch(node, now)

    def _new_request(self, event: api.RequestArrived, now: int) -> Request:
        """Create the record of an arrived request."""
        state = self.state
        request_class = state.settings.classes[event.request_class]
        volume = self._volume_of(event, now)
        volume.open_requests += 1
        time_left = max(0, event.time_left)
        write = event.write or request_class.writes
        return Request(
            id=event.request,
            request_class=request_class,
            volume=volume,
            units=event.units,
            key=event.key,
            shard=event.shard,
            objective_at=self.lifecycle.objective_at(event, volume, request_class, now),
            deadline=now + time_left,
            write=write,
            protected=not write and request_class.name not in state.background_classes,
            reject_by=now + time_left // 2 - REJECTION_MARGIN,
        )

    def _volume_of(self, event: api.RequestArrived, now: int) -> Volume:
        """Return the volume of an arrived request, updated to the number of hosts that the event states."""
        state = self.state
        volume = state.volumes.get(event.volume)
        if volume is None:
            plan = state.settings.plans[event.plan]
            volume = Volume(state.limits_since, plan, event.hosts, state.settings.max_units)
            state.volumes[event.volume] = volume
        volume.limit_refills = not state.handed_over
        volume.set_hosts(now, event.hosts)
        return volume

    def _throttle(self, request: Request, volume: str, node: Node, now: int) -> None:
        """Delay a throttleable request by the node's current delay."""
        if not node.delay_step:
            return
        is_background = request.request_class.name in self.state.background_classes
        if volume in node.throttleable or is_background:
            request.wait_until = now + node.delay_step * STEP_DELAY
            self.lifecycle.set_timer(request.wait_until, request, now)

    # -- attempts -----------------------------------------------------------------------------------------
    def _end_attempt(self, event: api.AttemptEnded, now: int) -> None:
        """Process an attempt's outcome: learn from it, then close, finish or place the request again."""
        request = self.state.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        node = attempt.node
        attempt.outcome = event.outcome
        node.in_flight.pop((request.id, event.attempt), None)
        self.observer.observe(event, request, node, now)
        self._refund_if_not_arrived(request)
        if event.outcome in UNKNOWN_OUTCOMES:
            hold_down_until = now + (self.state.rules.key_hold_down or 0)
            request.key_hold_down_until = max(request.key_hold_down_until, hold_down_until)
        backoff = self.state.tightest_objective / BACKOFF_DIVISOR * 2 ** len(request.attempts)
        request.wait_until = now + self.state.jitter(backoff)
        if event.finished or request.done:
            self.lifecycle.close(request, now)
        else:
            self._retry_or_finish(event.outcome, request, node, now)
        self.dispatcher.dispatch(node, now)

    def _refund_if_not_arrived(self, request: Request) -> None:
        """Refund a request that no node has received, where units are charged on arrival."""
        if self.state.rules.charged_on_arrival and request.charged and not request.may_have_arrived():
            request.volume.refund(request.units)
            request.charged = False

    def _retry_or_finish(self, outcome: Outcome, request: Request, node: Node, now: int) -> None:
        """Place a request for a retry after its backoff if the rules may still allow one; else finish it."""
        if request.in_flight():
            return  # another attempt may still be answered
        is_misplaced = outcome is Outcome.MOOT and not self.placement.redirect_to_data(request, now)
        if is_misplaced or self.send_rules.blocked_until(request, node, now) >= NEVER:
            self.lifecycle.finish(request, now)
            return
        self.placement.place(request, now)
        self.lifecycle.set_timer(request.wait_until, request, now)

    def _hedge(self, event: api.AttemptStalled, now: int) -> None:
        """Place a request beside a stalled attempt, where the settings and the rules allow a second one.

        The stalled one is not given up: a slow answer may be the only one. Where none is allowed beside it,
        it has all the time that the client has.
        """
        request = self.state.requests.get(event.request)
        if request is None or request.done or not self.settings.parallel_attempts:
            return
        attempt = request.attempts[event.attempt]
        attempt.stalled = attempt.outcome is None
        if sum(attempt.outcome is None for attempt in request.attempts) >= MAX_PARALLEL_ATTEMPTS:
            return
        request.wait_until = now
        if attempt.stalled and self.send_rules.blocked_until(request, attempt.node, now) < NEVER:
            self.placement.place(request, now)
            if request.node is not None:
                self.dispatcher.dispatch(request.node, now)

    # -- timers -------------------------------------------------------------------------------------------
    def _handle_timer(self, token: int, now: int) -> None:
        """Handle an expired timer: the control cycle's for `CONTROL_TIMER`, otherwise a request's."""
        if token == CONTROL_TIMER:
            self.state.actions.append(api.SetTimer(CONTROL_INTERVAL, CONTROL_TIMER))
            self._run_control_cycle(now)
            return
        request = self.lifecycle.timers.pop(token, None)
        if request is None or request.done or request.streaming:
            return
        if self._is_overdue(request, now):
            self.lifecycle.finish(request, now)
            return
        # Set the next timer in any case, so that the request is answered by its deadline.
        last_chance = request.deadline - self.state.min_latency
        self.lifecycle.set_timer(last_chance if now < last_chance else request.deadline, request, now)
        if request.node is not None:
            self.dispatcher.dispatch(request.node, now)

    def _is_overdue(self, request: Request, now: int) -> bool:
        """Return whether a request can no longer be served in time, or can only just be rejected in time."""
        if now >= request.reject_by and request.reached_no_node():
            return True
        if request.in_flight():
            return now >= request.deadline
        return now >= request.deadline - self.state.min_latency

    def _run_control_cycle(self, now: int) -> None:
        """Update the nodes every `CONTROL_INTERVAL`, and remove old state every `CLEANUP_INTERVAL`."""
        if now - self.forgotten_at >= CLEANUP_INTERVAL:
            self.forgotten_at = now
            self._forget_old(now)
        for node in self.state.nodes.due(now):
            self._update_node(node, now)
        self.endpoints.subscribe_if_due(now)

    def _update_node(self, node: Node, now: int) -> None:
        """Run a node's controller, check for overdue answers, and send pending requests."""
        node.update_delay_step(now)
        last_event_at = max(node.answered_at, node.last_sent_at)
        if not node.in_flight and now - last_event_at > AVERAGE_SPAN:
            node.assume_idle(self.state.idle_latency)
        self._cut_if_silent(node, now)
        self.dispatcher.dispatch(node, now)
        if not (node.pending or node.in_flight or node.read_latency > self.state.tightest_objective):
            # Nothing changes until its averages are outdated.
            self.state.nodes.mark_idle(node, now, max(node.answered_at, node.last_sent_at) + AVERAGE_SPAN)

    def _cut_if_silent(self, node: Node, now: int) -> None:
        """Treat the oldest attempt as timed out if it is overdue and was not overtaken by an answered one."""
        oldest = next(iter(node.in_flight.values()), now)
        if (
            now - oldest <= node.loss_timeout()
            or oldest < node.newest_answered
            or now <= self.state.resumed_at
        ):
            return
        if node.timeouts_in_a_row or not self.observer.is_lossy:
            node.cut_window(now, oldest)

    def _forget_old(self, now: int) -> None:
        """Remove state that is no longer needed, and rebuild the sets of throttleable volumes."""
        state = self.state
        retention = state.retention
        self.key_order.forget_old(now)
        self.lifecycle.forget_old(now)
        self.placement.forget_old(now)
        self.retry_budget.forget_old(now)
        self.slow_start.requested_shards.forget_old(now)
        self.recently_sent.forget_old(now)
        state.nodes.forget_old(now, is_idle=not state.requests)
        # A volume with open requests is kept: if dropped, later requests would get a second, full bucket.
        in_use = {request.volume for request in state.requests.values()}
        state.volumes = {
            name: volume
            for name, volume in state.volumes.items()
            if volume in in_use or not volume.may_be_forgotten(now, retention)
        }
        state.nodes.forget_gone(
            lambda node: not (node.pending or node.in_flight or now - node.last_sent_at < retention)
        )
        for node in state.nodes.writers():
            node.rebuild_throttleable()
