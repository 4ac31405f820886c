"""This host's state of one node: window, latencies, throttling, load report. Terms: interface.py."""

from __future__ import annotations

from collections import deque
from itertools import takewhile

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Phase
from stoatrouter.policy.node_index import IndexedNode
from stoatrouter.policy.units import CONTROL_INTERVAL, MS, SECOND

# -- the concurrency window: additive increase, multiplicative decrease; below one, sends are paced
INITIAL_WINDOWS_TOTAL = 16.0  # attempts in flight: the sum of all hosts' initial windows at a node
MAX_WINDOW = 32.0  # attempts in flight: the maximum of one host's window
MAX_PACE = 6 * SECOND  # between two sends of a host, however small its window is
# -- load reports
HEALTH_CHECK_INTERVAL = 500 * MS  # between two health checks of a node
CROWDED_QUEUE = INITIAL_WINDOWS_TOTAL / 2  # requests: a longer reported queue indicates overload
# -- latency averages
MIN_AVERAGE_WEIGHT = 0.1  # the minimum weight of the newest answer in the latency averages
AVERAGE_SPAN = 4 * SECOND  # how long an observation of a node stays valid
RECENT_KEY_COUNT = 2  # keys: a node is assumed to have the data of its latest keys cached
# -- the throttling controller (PID), in steps of delay
STEP_DELAY = 5 * MS  # the delay of a throttleable request per step
MAX_STEP = 21  # the highest step
PROPORTIONAL_GAIN = 2.0  # steps for a change of the error as large as the objective
INTEGRAL_GAIN = 0.5  # steps per control cycle for an error as large as the objective
DERIVATIVE_GAIN = 0.5  # steps for a change in slope as large as the objective
MAX_SATURATED_READINGS = 20  # control cycles at the highest step until throttling is considered useless
# -- throttleable volumes
WRITE_DECAY = 0.7  # the fraction of a volume's write rate that each rebuild leaves
MIN_WRITE_RATE = 0.01  # units: lower rates are dropped


def moving_average(average: float, updated_at: int, now: int, value: float) -> float:
    """Return the average with `value` added; its weight grows with time, as answers may be seconds apart."""
    weight = min(1.0, max(MIN_AVERAGE_WEIGHT, (now - updated_at) / AVERAGE_SPAN))
    return average + weight * (value - average)


class Node(IndexedNode):
    """One node from this host's view; times are microseconds on the host's clock."""

    def __init__(self, entry: api.NodeEntry, hosts: int, tightest_objective: int, known_since: int) -> None:
        """Start with a window of this host's quota and no averages.

        Args:
            entry: the node's entry in the endpoint list.
            hosts: how many hosts share the node's capacity (`INITIAL_WINDOWS_TOTAL`).
            tightest_objective: the shortest latency objective of all classes, in microseconds.
            known_since: from when (microseconds) this host knows what it sent to the node.
        """
        super().__init__(entry)
        self.tightest_objective = tightest_objective
        self.window_quota = INITIAL_WINDOWS_TOTAL / hosts  # this host's share of the node's capacity
        self.drain_ends_at = 0  # until when a draining node still accepts work
        self.in_flight_elsewhere = 0  # attempts that this host's previous process still has in flight
        self.recent_sends: deque[tuple[int, float]] = deque()  # time and units; kept when the node restarts
        self.restart(entry.up_since, known_since)

    def restart(self, up_since: int, known_since: int) -> None:
        """Reset the state of a node that restarted at `up_since`; sends count from `known_since`."""
        self.up_since = up_since
        self.sends_known_since = known_since
        self.units_sent = 0.0  # since `sends_known_since`
        self.window = max(1.0, self.window_quota)
        self.window_cut_at = 0
        self.last_sent_at = 0
        self._forget_latencies()
        self._reset_controller()
        self.write_rates = {}  # units, by volume
        self.throttleable = set()  # the volumes that write the most
        self.recent_keys: deque[str | None] = deque(maxlen=RECENT_KEY_COUNT)
        self.reported_queue = 0.0  # requests
        self.queue_reported_at = -MAX_PACE
        self.health_check_sent_at = -MAX_PACE
        self.next_health_check_at = 0

    def _forget_latencies(self) -> None:
        self.read_latency = 0.0  # moving average of protected reads
        self.latency = 0.0  # moving average of all answers
        self.last_round_trip = 0.0  # the latest, including timeouts
        self.unit_latency = 0.0  # of one unit of work; 0: not known since the restart
        self.answered_at = 0
        self.read_answered_at = 0
        self.newest_answered = 0  # the latest send time of the answered attempts
        self.timeouts_in_a_row = 0

    def _reset_controller(self) -> None:
        self.delay_step = 0
        self.controller_output = 0.0
        self.controller_errors = (0.0, 0.0)  # of the last control cycle and of the one before
        self.saturated_readings = 0

    # -- placement and sending ----------------------------------------------------------------------------
    def load(self) -> float:
        """Return requests per window; the next one is counted too, so that a cut window shows when idle."""
        return (1 + len(self.pending) + len(self.in_flight)) / self.window

    def accepts(self, now: int) -> bool:
        """Return whether the node accepts new work at `now`: in phase ON, or draining within its grace."""
        return self.phase is Phase.ON or self.phase is Phase.DRAINING and now < self.drain_ends_at

    def loss_timeout(self) -> float:
        """Return after how long in flight an attempt is presumed lost: far longer than answers take."""
        return self.tightest_objective / 4 + 4 * self.latency

    def has_capacity(self, now: int) -> bool:
        """Return whether the window allows one more attempt at `now`; attempts presumed lost do not count."""
        loss_timeout = self.loss_timeout()
        waiting = sum(now - sent_at <= loss_timeout for sent_at in self.in_flight.values())
        if self.in_flight_elsewhere + waiting >= max(1, int(self.window)):
            return False
        return now >= self.next_send_at(now)

    def next_send_at(self, now: int) -> int:
        """Return from when a window below one allows a paced send; none while a health check is pending."""
        window = self.window
        if window >= 1:
            return now
        loss_timeout = self.loss_timeout()
        round_trip = max(self.last_round_trip, loss_timeout if self.in_flight else loss_timeout / 4)
        if now - self.queue_reported_at <= 2 * HEALTH_CHECK_INTERVAL:
            # A reported queue length replaces probing with requests, as the probes of hundreds of hosts are
            # enough to sustain an overload. This guards against a queue that outlives its cause. A wrong
            # report costs maximum paces, or makes this host send as if the node were idle, one request per
            # pace of its window.
            if self.reported_queue > CROWDED_QUEUE:
                return self.last_sent_at + 4 * MAX_PACE
            round_trip = min(round_trip, loss_timeout)
        paced_at = self.last_sent_at + int(min(MAX_PACE, round_trip / window))
        return max(paced_at, self.health_check_sent_at + CONTROL_INTERVAL)

    def note_sent(self, now: int, units: float, key: str | None, span: int) -> None:
        """Record a send; sends older than `span` are dropped from `recent_sends`."""
        self.last_sent_at = now
        self.recent_sends.append((now, units))
        self.units_sent += units
        while self.recent_sends[0][0] < now - span:
            self.recent_sends.popleft()
        self.recent_keys.append(key)

    def sent_since(self, since: int) -> float:
        """Return the units sent since `since`, summed from the latest: most retained sends may be older."""
        recent = takewhile(lambda send: send[0] >= since, reversed(self.recent_sends))
        return sum(units for _, units in recent)

    # -- learning -----------------------------------------------------------------------------------------
    def grow_window(self) -> None:
        """Widen the window by one attempt per round trip; below one, double it."""
        self.window = min(MAX_WINDOW, self.window + min(self.window, 1 / self.window))

    def cut_window(self, now: int, sent_at: int, overload: float = 1.0) -> None:
        """Halve the window, unless the attempt was sent before the last cut and so shows the same overload.

        Args:
            now: in microseconds.
            sent_at: when the attempt that shows the overload was sent.
            overload: the lower bound of a window below one, as a fraction of its quota; 0: the cut does not
                take the window below one, as long-running work is late even without an overload.
        """
        if sent_at < self.window_cut_at:
            return
        lowest = min(1.0, self.window_quota) * overload if overload else min(1.0, self.window)
        self.window = max(lowest, self.window / 2)
        self.window_cut_at = now

    def shrink_to_quota(self) -> None:
        """Shrink the window to this host's quota, but not below one."""
        self.window = min(self.window, max(1.0, self.window_quota))

    def assume_idle(self, latency: float) -> None:
        """Cap outdated latency averages at those of an idle node; a window below one keeps its pace."""
        self.latency = min(self.latency, latency)
        self.read_latency = min(self.read_latency, self.latency)
        self.shrink_to_quota()

    def update_delay_step(self, now: int) -> None:
        """Update the delay step with a single-sided PID controller in incremental (velocity) form.

        The error is relative to the objective. At or below the objective, or with outdated averages, there is
        no delay.
        """
        error = self.read_latency / self.tightest_objective - 1
        if error <= 0 or now - self.read_answered_at > AVERAGE_SPAN:
            self._reset_controller()
            return
        last, before = self.controller_errors
        change = PROPORTIONAL_GAIN * (error - last)
        change += INTEGRAL_GAIN * error
        change += DERIVATIVE_GAIN * (error - 2 * last + before)
        self.controller_output = min(float(MAX_STEP), max(0.0, self.controller_output + change))
        self.controller_errors = (error, last)
        # Anti-windup: an aged node is slow no matter what is throttled. Once the highest step has had no
        # effect for long enough, writers are not delayed until the average has come down by itself.
        self.saturated_readings += self.controller_output == MAX_STEP
        throttles = self.saturated_readings < MAX_SATURATED_READINGS
        self.delay_step = int(self.controller_output) if throttles else 0

    def rebuild_throttleable(self) -> None:
        """Make the volumes throttleable that write more than the mean per volume; decay the write rates."""
        mean = sum(self.write_rates.values()) / max(1, len(self.write_rates))
        self.throttleable = {volume for volume, rate in self.write_rates.items() if rate > mean}
        self.write_rates = {
            volume: rate * WRITE_DECAY for volume, rate in self.write_rates.items() if rate > MIN_WRITE_RATE
        }
