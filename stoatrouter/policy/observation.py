"""What the outcome of an attempt shows of its node: latency, loss or overload. Outcomes: interface.py."""

from __future__ import annotations

from stoatrouter.policy.interface import AttemptEnded, Outcome
from stoatrouter.policy.node import RECENT_KEY_COUNT, Node, moving_average
from stoatrouter.policy.placement import ANY_SHARD, Placement
from stoatrouter.policy.request import Request
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import TINY

# Figures of the tightest latency objective.
LATE = 0.25  # an answer that took more counts as a time-out
SLOW = 0.15  # of one place: an answer that took more cuts the window, as then others stand before it
LONGEST = 1.5  # a read counts as no more in the average, or one long read would make all later ones late

OVERLOADS = {  # to what part of its quota an outcome cuts the window
    Outcome.FULL: 1.0,
    Outcome.TIMEOUT: 1.0,
    Outcome.CONNECT_FAILED: 0.125,
}
LOSS_WEIGHT = 0.03  # of the newest attempt in the average of losses
LOSSY = 0.03  # of attempts: from as many lost on, one time-out shows no overload


class Observer:
    """Learns from outcomes; a loss (no answer, and no overload either) is distinguished from an overload."""

    def __init__(self, state: SchedulerState, placement: Placement) -> None:
        """Work on the scheduler's state; no loss has been seen yet."""
        self.state = state
        self.placement = placement
        self.loss_rate = 0.0  # moving average over all nodes

    @property
    def is_lossy(self) -> bool:
        """Whether answers are lost often enough that one time-out shows no overload."""
        return self.loss_rate >= LOSSY

    def observe(self, event: AttemptEnded, request: Request, node: Node, now: int) -> None:
        """Take an outcome into the node's averages, window and health, and into its volume's reserve."""
        request.volume.refill(now).charge_reserve(event.units_by_others)
        outcome = event.outcome
        answered = outcome is Outcome.OK
        timed_out = outcome is Outcome.TIMEOUT
        if now == self.state.resumed_at and (answered or timed_out):
            return  # it came while this host stood still: how long it took is not known
        lost = self._is_lost(event, node, now) if answered or timed_out else False
        if answered or timed_out and not lost:
            node.last_round_trip = float(event.took)
        # with many hosts each hears of a node rarely: all that it shows counts
        places = min(1.0, node.window_quota)
        is_late = event.took > min(LATE, SLOW / places) * self.state.tightest_objective
        if answered:  # errors and rejections come quickly and must not feed the averages
            if request.write and request.shard == ANY_SHARD:
                self.placement.note_new_data(request, node, now)
            self._learn_latency(event.took, request, node, now, places)
            is_prompt = event.took <= request.request_class.latency_objective / 2
            if not is_late or node.window < 1 and is_prompt:
                node.grow_window()
            # Node queues are long and rejections late, so a late answer counts as a time-out; one that took
            # more than half its own objective, as an overload.
            if is_late:
                node.cut_window(now, now - event.took, overload=0.0 if is_prompt else 1.0)
        elif not lost and (overload := OVERLOADS.get(outcome)) is not None:
            node.cut_window(now, now - event.took, overload=overload)

    def _is_lost(self, event: AttemptEnded, node: Node, now: int) -> bool:
        """Whether an attempt timed out because its answer was lost, not because the node is overloaded.

        A node serves in order of arrival, so what later attempts have overtaken is lost. Where answers are
        lost, at whatever node, one time-out is no overload either: two in a row are. It guards hosts that
        rarely send to a node, and rarely see a loss overtaken. Harm: one more test at an overload.
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

    def _learn_latency(self, took: int, request: Request, node: Node, now: int, places: float) -> None:
        """Take an answer's latency (microseconds) into the node's averages."""
        node.newest_answered = max(node.newest_answered, now - took)  # rejections come out of order
        # what has just been read costs less, and shows less
        if node.recent_keys.count(request.key) < RECENT_KEY_COUNT:
            of_unit = took / max(TINY, request.units)
            node.unit_latency = moving_average(node.unit_latency, node.answered_at, now, of_unit)
        node.latency = moving_average(node.latency, node.answered_at, now, took)
        node.answered_at = now
        if request.protected:
            bounded = min(took, LONGEST * self.state.tightest_objective / places)
            node.read_latency = moving_average(node.read_latency, node.read_answered_at, now, bounded)
            node.read_answered_at = now
