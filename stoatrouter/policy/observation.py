"""Learns from the outcome of an attempt about its node: latency, loss or overload. Outcomes: interface.py."""

from __future__ import annotations

from stoatrouter.policy.interface import AttemptEnded, Outcome
from stoatrouter.policy.node import RECENT_KEY_COUNT, Node, moving_average
from stoatrouter.policy.placement import ANY_SHARD, Placement
from stoatrouter.policy.request import Request
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import EPSILON

# Fractions of the tightest latency objective.
LATE_ANSWER = 0.25  # a slower answer counts as a timeout
# At a window quota of one or more: a slower answer cuts the window, as others were queued before it.
SLOW_ANSWER = 0.15
MAX_READ_SAMPLE = 1.5  # the cap of a read in the average, or one long read would make all later ones late

OVERLOAD_WINDOW_FACTORS = {  # the lower bound of a cut window below one, as a fraction of its quota
    Outcome.FULL: 1.0,
    Outcome.TIMEOUT: 1.0,
    Outcome.CONNECT_FAILED: 0.125,
}
LOSS_WEIGHT = 0.03  # the weight of the newest attempt in the average loss rate
MIN_LOSSY_RATE = 0.03  # of attempts: at or above this loss rate one timeout does not indicate overload


class Observer:
    """Learns from outcomes, distinguishing losses (no answer, yet no overload) from overloads."""

    def __init__(self, state: SchedulerState, placement: Placement) -> None:
        """Use the scheduler's shared state; no loss has been observed yet."""
        self.state = state
        self.placement = placement
        self.loss_rate = 0.0  # moving average over all nodes, a fraction of attempts

    @property
    def is_lossy(self) -> bool:
        """Whether answers are lost so often that one timeout does not indicate overload."""
        return self.loss_rate >= MIN_LOSSY_RATE

    def observe(self, event: AttemptEnded, request: Request, node: Node, now: int) -> None:
        """Update the node's averages, window and health, and the volume's reserve, from an outcome."""
        request.volume.refill(now).charge_reserve(event.units_by_others)
        outcome = event.outcome
        answered = outcome is Outcome.OK
        timed_out = outcome is Outcome.TIMEOUT
        if now == self.state.resumed_at and (answered or timed_out):
            return  # it arrived while this host was stalled: its duration is unknown
        lost = self._is_lost(event, node, now) if answered or timed_out else False
        if answered or timed_out and not lost:
            node.last_round_trip = float(event.took)
        # With many hosts, each observes a node rarely, so all that an answer shows counts.
        window_share = min(1.0, node.window_quota)
        is_late = event.took > min(LATE_ANSWER, SLOW_ANSWER / window_share) * self.state.tightest_objective
        if answered:  # errors and rejections are fast and must not enter the averages
            if request.write and request.shard == ANY_SHARD:
                self.placement.record_new_data(request, node, now)
            self._learn_latency(event.took, request, node, now, window_share)
            is_prompt = event.took <= request.request_class.latency_objective / 2
            if not is_late or node.window < 1 and is_prompt:
                node.grow_window()
            # Nodes have long queues and reject late, so a late answer counts as a timeout, and one that took
            # more than half its own objective counts as an overload.
            if is_late:
                node.cut_window(now, now - event.took, overload=0.0 if is_prompt else 1.0)
        elif not lost and (overload := OVERLOAD_WINDOW_FACTORS.get(outcome)) is not None:
            node.cut_window(now, now - event.took, overload=overload)

    def _is_lost(self, event: AttemptEnded, node: Node, now: int) -> bool:
        """Return whether an attempt timed out because its answer was lost, not because of an overload.

        A node serves in order of arrival, so an attempt overtaken by later ones is lost. While answers are
        lost, at any node, a single timeout does not count as an overload, but two in a row do. This helps
        hosts that rarely send to a node and thus rarely see a lost attempt overtaken; it costs one more
        probing request during an overload.
        """
        timed_out = event.outcome is Outcome.TIMEOUT
        overtaken = timed_out and now - event.took < node.newest_answered
        self.loss_rate += LOSS_WEIGHT * (overtaken - self.loss_rate)
        if not timed_out:
            node.timeouts_in_a_row = 0
            return False
        if overtaken:
            return True
        node.timeouts_in_a_row += 1
        return node.timeouts_in_a_row == 1 and self.is_lossy

    def _learn_latency(self, took: int, request: Request, node: Node, now: int, window_share: float) -> None:
        """Update the node's averages with an answer's latency (microseconds)."""
        node.newest_answered = max(node.newest_answered, now - took)  # rejections arrive out of order
        # A key that has just been read is cached and costs less, so it does not show the unit latency.
        if node.recent_keys.count(request.key) < RECENT_KEY_COUNT:
            of_unit = took / max(EPSILON, request.units)
            node.unit_latency = moving_average(node.unit_latency, node.answered_at, now, of_unit)
        node.latency = moving_average(node.latency, node.answered_at, now, took)
        node.answered_at = now
        if request.protected:
            bounded = min(took, MAX_READ_SAMPLE * self.state.tightest_objective / window_share)
            node.read_latency = moving_average(node.read_latency, node.read_answered_at, now, bounded)
            node.read_answered_at = now
