"""What this host knows of one node: window, latencies, throttling, load report. Terms: interface.py."""

from __future__ import annotations

from collections import deque
from itertools import takewhile

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Phase
from stoatrouter.policy.node_index import IndexedNode
from stoatrouter.policy.units import MS, READ_EVERY, SECOND

# -- the concurrency window: additive increase, multiplicative decrease; below one it is a pace
ALL_WINDOWS = 16.0  # attempts in flight: what all hosts' windows at a node start from, together
MAX_WINDOW = 32.0  # attempts in flight: the ceiling of one host's window
LONGEST_PACE = 6 * SECOND  # between two sends of a host, however small its window
# -- load reports
HEALTH_CHECK_EVERY = 500 * MS  # how often a node is asked for its queue
CROWDED_QUEUE = ALL_WINDOWS / 2  # requests: a longer reported queue is an overload
# -- latency averages
MIN_AVERAGE_WEIGHT = 0.1  # of the newest answer in the latency averages, at least
AVERAGE_SPAN = 4 * SECOND  # how long an observation of a node is of use
RECENT_KEY_COUNT = 2  # keys: of so many a node is taken to have the data cached
# -- the throttling controller (PID), in steps of delay
STEP_DELAY = 5 * MS  # by what one step delays a throttleable request
MAX_STEP = 21  # the highest step
PROPORTIONAL_GAIN = 2.0  # steps for a change of the error as large as the objective
INTEGRAL_GAIN = 0.5  # steps a reading for an error as large as the objective
DERIVATIVE_GAIN = 0.5  # steps for a change in slope as large as the objective
MAX_SATURATED_READINGS = 20  # at the highest step: after as many, throttling is taken to be of no use
# -- throttleable volumes
WRITE_DECAY = 0.7  # of a volume's write rate is left at each rebuild
MIN_WRITE_RATE = 0.01  # units: a lower one is forgotten


def moving_average(average: float, updated_at: int, now: int, value: float) -> float:
    """Add `value` to a moving average; its weight grows with time, as answers may come seconds apart."""
    weight = min(1.0, max(MIN_AVERAGE_WEIGHT, (now - updated_at) / AVERAGE_SPAN))
    return average + weight * (value - average)


class Node(IndexedNode):
    """One node as this host sees it; times are microseconds on the host's clock."""

    def __init__(self, entry: api.NodeEntry, hosts: int, tightest_objective: int, known_since: int) -> None:
        """Start what this host knows of a listed node: a window of its quota, no averages yet.

        Args:
            entry: the node's entry in the endpoint list.
            hosts: how many hosts use the node's capacity (`ALL_WINDOWS`).
            tightest_objective: of all classes' latency objectives, in microseconds.
            known_since: from when (microseconds) what this host sent to it is known.
        """
        super().__init__(entry)
        self.tightest_objective = tightest_objective
        self.window_quota = ALL_WINDOWS / hosts  # this host's part of the node's capacity
        self.drain_ends_at = 0  # until when it accepts work though it drains
        self.in_flight_elsewhere = 0  # attempts that this host's process before still has in flight
        self.recent_sends: deque[tuple[int, float]] = deque()  # time and units; kept over a restart
        self.restart(entry.up_since, known_since)

    def restart(self, up_since: int, known_since: int) -> None:
        """Forget what was learnt of a node that restarted at `up_since`; sends count from `known_since`."""
        self.up_since = up_since
        self.sends_known_since = known_since
        self.units_sent = 0.0  # since `sends_known_since`
        self.window = max(1.0, self.window_quota)
        self.window_cut_at = 0
        self.last_sent_at = 0
        self._forget_latencies()
        self._reset_controller()
        self.write_rates = {}  # units, by volume
        self.throttleable = set()  # volumes that write most
        self.recent_keys: deque[str | None] = deque(maxlen=RECENT_KEY_COUNT)
        self.reported_queue = 0.0  # requests
        self.queue_reported_at = -LONGEST_PACE
        self.health_check_sent_at = -LONGEST_PACE
        self.next_health_check_at = 0

    def _forget_latencies(self) -> None:
        self.read_latency = 0.0  # moving average of protected reads
        self.latency = 0.0  # moving average of all answers
        self.last_round_trip = 0.0  # the latest, time-outs too
        self.unit_latency = 0.0  # of one unit of work; 0: not known since the restart
        self.answered_at = 0
        self.read_answered_at = 0
        self.newest_answered = 0  # the latest sending time of those answered
        self.timeouts_in_a_row = 0

    def _reset_controller(self) -> None:
        self.delay_step = 0
        self.controller_output = 0.0
        self.controller_errors = (0.0, 0.0)  # of the last reading and of the one before
        self.saturated_readings = 0

    # -- placement and sending ----------------------------------------------------------------------------
    def load(self) -> float:
        """Requests per window; the one to come counts too, so that a window that was cut tells."""
        return (1 + len(self.pending) + len(self.in_flight)) / self.window

    def accepts(self, now: int) -> bool:
        """Whether the node accepts new work at `now`: it is on, or draining within its grace."""
        return self.phase is Phase.ON or self.phase is Phase.DRAINING and now < self.drain_ends_at

    def patience(self) -> float:
        """How long an attempt may be in flight; one far longer than answers take is presumed lost."""
        return self.tightest_objective / 4 + 4 * self.latency

    def has_capacity(self, now: int) -> bool:
        """Whether the window lets one more attempt through at `now`; presumed losses hold no place."""
        patience = self.patience()
        waiting = sum(now - sent_at <= patience for sent_at in self.in_flight.values())
        if self.in_flight_elsewhere + waiting >= max(1, int(self.window)):
            return False
        return now >= self.opens_at(now)

    def opens_at(self, now: int) -> int:
        """From when a window below one, a pace, lets a send through; no test while a health check is out."""
        window = self.window
        if window >= 1:
            return now
        patience = self.patience()
        round_trip = max(self.last_round_trip, patience if self.in_flight else patience / 4)
        if now - self.queue_reported_at <= 2 * HEALTH_CHECK_EVERY:
            # What a node reports of its queue saves the tests: those of hundreds of hosts alone keep an
            # overload up. Guards against any queue that outlives its cause. Harm: a wrong report leaves
            # longest paces, or lets this host send as at an idle node, once each window's pace.
            if self.reported_queue > CROWDED_QUEUE:
                return self.last_sent_at + 4 * LONGEST_PACE
            round_trip = min(round_trip, patience)
        paced_at = self.last_sent_at + int(min(LONGEST_PACE, round_trip / window))
        return max(paced_at, self.health_check_sent_at + READ_EVERY)

    def note_sent(self, now: int, units: float, key: str | None, span: int) -> None:
        """Count a send; sends older than `span` are dropped from `recent_sends`."""
        self.last_sent_at = now
        self.recent_sends.append((now, units))
        self.units_sent += units
        while self.recent_sends[0][0] < now - span:
            self.recent_sends.popleft()
        self.recent_keys.append(key)

    def sent_since(self, since: int) -> float:
        """Units sent from `since` on, summed from the latest, as most of what is retained may be older."""
        recent = takewhile(lambda send: send[0] >= since, reversed(self.recent_sends))
        return sum(units for _, units in recent)

    # -- learning -----------------------------------------------------------------------------------------
    def grow_window(self) -> None:
        """Widen the window by one place a round trip; below one, double it."""
        self.window = min(MAX_WINDOW, self.window + min(self.window, 1 / self.window))

    def cut_window(self, now: int, sent_at: int, overload: float = 1.0) -> None:
        """Halve the window. One overload is one signal: what was sent before the last cut tells nothing new.

        Args:
            now: in microseconds.
            sent_at: when the attempt that shows the overload was sent.
            overload: below one place the window is cut to this part of its quota; 0: not below one place,
                as long work alone is late too.
        """
        if sent_at < self.window_cut_at:
            return
        lowest = min(1.0, self.window_quota) * overload if overload else min(1.0, self.window)
        self.window = max(lowest, self.window / 2)
        self.window_cut_at = now

    def shrink_to_quota(self) -> None:
        """Take the window back to this host's quota, or to one place."""
        self.window = min(self.window, max(1.0, self.window_quota))

    def assume_idle(self, latency: float) -> None:
        """Replace observations that are too old: as an idle node answers; a small window keeps its pace."""
        self.latency = min(self.latency, latency)
        self.read_latency = min(self.read_latency, self.latency)
        self.shrink_to_quota()

    def update_delay_step(self, now: int) -> None:
        """Set the delay step: a single-sided PID in incremental (velocity) form.

        The error is relative to the objective. At or below the objective, or with old averages, there is no
        delay.
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
        # Against windup: an aged node is slow whatever is throttled. Once the highest step has stood in
        # vain, writers are let go until the average has come down by itself.
        self.saturated_readings += self.controller_output == MAX_STEP
        throttles = self.saturated_readings < MAX_SATURATED_READINGS
        self.delay_step = int(self.controller_output) if throttles else 0

    def rebuild_throttleable(self) -> None:
        """Make volumes throttleable that write more than the node's mean per volume; decay the rates."""
        mean = sum(self.write_rates.values()) / max(1, len(self.write_rates))
        self.throttleable = {volume for volume, rate in self.write_rates.items() if rate > mean}
        self.write_rates = {
            volume: rate * WRITE_DECAY for volume, rate in self.write_rates.items() if rate > MIN_WRITE_RATE
        }
