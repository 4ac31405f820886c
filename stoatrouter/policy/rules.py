"""What a host keeps of volumes and nodes, and the rules that bar a send. Terms: interface.py."""

from __future__ import annotations

from collections import deque
from itertools import takewhile

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Attempt, Effect, Group, ListKind, Phase, Request
from stoatrouter.policy.node_index import IndexedNode
from stoatrouter.policy.volume import MS, NEVER, SECOND

READ_EVERY, REBUILD_EVERY = 100 * MS, SECOND  # the controller's reading; the throttleable set
STEP_DELAY, TOP_STEP = 5 * MS, 21  # what one step holds a throttleable request back; the highest step
GAIN_P, GAIN_I, GAIN_D = 2.0, 0.5, 0.5  # steps for an error as large as the threshold
IN_VAIN = 20  # readings at the top step after which throttling is held to be of no use
AVERAGE_WEIGHT = 0.1  # of the newest answer in the latency averages, at least
AVERAGE_SPAN = 4 * SECOND  # how long what was seen of a node is of use
ALL_PLACES, TOP_WINDOW = 16.0, 32.0  # what all hosts' windows at a node start from, together; one's ceiling
LONGEST_PACE = 6 * SECOND  # between two sends of a host, however small its window
HEALTH_CHECK_EVERY, CROWD = (
    500 * MS,
    ALL_PLACES / 2,
)  # how often a node is asked for its queue; what of it is a jam
KEY_BONUS, CACHED_KEY_COUNT = (
    2.0,
    2,
)  # worth of a key the node has just read: a full step; how many keys that is
SHARERS_MARGIN = 1.5  # on how many hosts are expected to send to a node
TIMER_READ = 0


class Node(IndexedNode):
    """One node as this host sees it."""

    def __init__(self, e: api.NodeEntry, hosts: int, now: int) -> None:
        """Start what this host knows of a listed node: a window of its part, no averages yet.

        Args:
            e: the node's entry in the node list.
            hosts: how many hosts share the node's places (`ALL_PLACES`).
            now: from when (microseconds) what this host sent to it is known.
        """
        super().__init__(e)
        self.part, self.closes = ALL_PLACES / hosts, 0  # closes: until when it takes work though it drains
        self.elsewhere = 0  # attempts that this host's process before still has out
        self.sent: deque[tuple[int, float]] = deque()  # units sent lately, kept over a restart
        self.restart(e.up_since, now)

    def restart(self, up_since: int, known: int) -> None:
        """Forget what was learnt of a node that restarted at `up_since`; sends are known from `known`."""
        self.up_since, self.known, self.spent = up_since, known, 0.0  # spent: units sent since it is known
        self.window, self.cut_at, self.last_sent = max(1.0, self.part), 0, 0
        self.reads = self.answers = self.trip = 0.0  # trip: the latest, time-outs too
        self.unit = 0.0  # how long a unit's answer takes; 0: not known since the restart
        self.step, self.output, self.errors, self.pinned = 0, 0.0, (0.0, 0.0), 0
        self.writes, self.throttled = dict[str, float](), set[str]()
        self.heard = self.read_at = self.newest = self.quiet = 0  # newest: latest sent of those answered
        self.keys: deque[str | None] = deque(maxlen=CACHED_KEY_COUNT)
        self.crowd, self.crowd_at, self.asked, self.health_check_at = (
            0.0,
            -LONGEST_PACE,
            -LONGEST_PACE,
            0,
        )  # probes

    def takes(self, now: int) -> bool:
        """Whether the node takes new work at `now`: it is on, or draining within its grace."""
        return self.phase is Phase.ON or self.phase is Phase.DRAINING and now < self.closes

    def weigh(self, average: float, since: int, now: int, took: float) -> float:
        """Into a moving average; the weight follows time too, as answers may come seconds apart."""
        return average + min(1.0, max(AVERAGE_WEIGHT, (now - since) / AVERAGE_SPAN)) * (took - average)

    def control(self, threshold: float, now: int) -> None:
        """Single-sided PID in discrete incremental form, on the error relative to the threshold."""
        error, (last, before) = self.reads / threshold - 1, self.errors
        if error <= 0 or now - self.read_at > AVERAGE_SPAN:  # at or below the threshold, or old: no delay
            self.step, self.output, self.errors, self.pinned = 0, 0.0, (0.0, 0.0), 0
            return
        change = GAIN_P * (error - last) + GAIN_I * error + GAIN_D * (error - 2 * last + before)
        self.output = min(float(TOP_STEP), max(0.0, self.output + change))
        # Against windup: an aged node is slow whatever is throttled. Once the top step has stood in vain,
        # writers are let go until the average has come down by itself.
        self.pinned += self.output == TOP_STEP
        self.step, self.errors = int(self.output) if self.pinned < IN_VAIN else 0, (error, last)

    def cut(self, now: int, sent: int, jam: float = 1.0) -> None:
        """Halve the window. One jam is one signal: what was sent before the last cut tells nothing new.

        Below one place, to this part of the least, only where there is a jam: long work alone is late too.
        """
        if sent >= self.cut_at:
            floor = min(1.0, self.part) * jam if jam else min(1.0, self.window)
            self.window, self.cut_at = max(floor, self.window / 2), now

    def has_capacity(self, now: int, patience: float) -> bool:
        """Whether the window has a place."""
        taken = self.elsewhere + sum(now - sent <= patience for sent in self.out.values())
        return taken < max(1, int(self.window)) and now >= self.opens(now, patience)

    def opens(self, now: int, patience: float) -> int:
        """From when a window below one, a pace, lets a send through; no test while a probe is out."""
        if self.window >= 1:
            return now
        trip = max(self.trip, patience if self.out else patience / 4)
        if now - self.crowd_at <= 2 * HEALTH_CHECK_EVERY:
            # What a node says of its queue saves the tests: those of hundreds of hosts alone keep a jam full.
            # Guards against any queue that outlives its cause. Harm: a wrong report leaves longest paces, or
            # lets this host send as at an idle node, once each window's pace.
            if self.crowd > CROWD:
                return self.last_sent + 4 * LONGEST_PACE
            trip = min(trip, patience)
        return max(self.last_sent + int(min(LONGEST_PACE, trip / self.window)), self.asked + READ_EVERY)

    def sent_since(self, since: int) -> float:
        """Units sent from then on; the latest come first, as most of what is kept may be older."""
        return sum(units for _, units in takewhile(lambda pair: pair[0] >= since, reversed(self.sent)))

    def rebuild(self) -> None:
        """Volumes that write more than the node's mean per volume are throttleable."""
        mean = sum(self.writes.values()) / max(1, len(self.writes))
        self.throttled = {v for v, rate in self.writes.items() if rate > mean}
        self.writes = {v: rate * 0.7 for v, rate in self.writes.items() if rate > 0.01}


class Rulebook:
    """Every rule, as the scheduler asks it; the state is the scheduler's."""

    def barred(self, r: Request, node: Node) -> int:
        """The one place where every send meets every rule.

        Returns:
            0 where none bars it, else from when (microseconds) they may let it go as far as is known, or
            the next reading; `NEVER` where none ever will.
        """
        now, rules, kind, volume, again = self.now, self.rules, r.kind, r.volume, bool(r.attempts)
        soon = now + READ_EVERY
        # 1: nothing goes out for what is finished or overdue
        if r.done or max(now, r.wait_until) >= r.deadline or len(r.attempts) >= self.settings.max_attempts:
            return NEVER
        # 2: effects: never two at once, and repeats only where they are harmless
        if again and self.barred_again(r, node, max(now, r.wait_until), r.attempts):
            return NEVER
        # 3: drains: a draining node is used within the grace, as long as none that is on has its shard
        if not node.takes(now):
            return soon
        # 4: a cold node gets this host's part of what it always bears
        if (
            node.up_since
            and now - node.up_since < rules.warm_up_time
            and not self.has_warming_capacity(r, node, now)
        ):
            warm = r.deadline - node.up_since >= rules.warm_up_time or self.has_warming_capacity(
                r, node, r.deadline
            )
            return soon if warm else NEVER
        # 5: the limit: this host's part of the store may never sink below its part of the tolerance
        if not r.charged and volume.plan.limit and volume.filled(now, r.units) > now:
            return volume.filled(now, r.units)
        # 6: order within a key; a request's own further attempts do not wait for its rest
        if (
            kind.ordered_by_key
            and r.key is not None
            and (self.turns[r.key][0] is not r or not again and now < self.rests.get(r.key, 0))
        ):
            return max(soon, self.rests.get(r.key, 0))
        # 7: the budget of further attempts, exact over its sliding window
        barred = (
            again
            and rules.retry_budget_window is not None
            and not self.affordable(now - rules.retry_budget_window)
        )
        return soon if barred else 0

    def may_begin(self, now: int, request: str, attempt: int) -> bool:
        """Asked with a connection in hand, before the first byte: whether what was decided still holds."""
        r = self.requests.get(request)
        if r is None or r.done or now >= r.deadline:
            return False
        a, earlier = r.attempts[attempt], r.attempts[:attempt]
        return (
            a.node.takes(now)
            and a.node.up_since <= a.sent_at
            and not (earlier and self.barred_again(r, a.node, now, earlier))
        )

    def barred_again(self, r: Request, node: Node, at: int, earlier: list[Attempt]) -> bool:
        """Whether earlier attempts bar a retry of the request at `node` at `at` (microseconds).

        Barred are: any attempt still in flight; an unsafe one that may have run; for an idempotent class,
        one that may have run, once its repeat window has passed or where the node is of another shard or
        zone than the class's group allows.
        """
        kind, ran = r.kind, [a for a in earlier if a.may_have_run()]
        if any(a.outcome is None for a in earlier) or ran and kind.effect is Effect.UNSAFE:
            return True
        if not ran or kind.effect is not Effect.IDEMPOTENT:
            return False
        home = ran[0].node
        return (
            at >= ran[0].sent_at + kind.repeat_window
            or kind.group is Group.SHARD
            and home.shard != node.shard
            or kind.group is Group.ZONE
            and home.zone != node.zone
        )

    def warmth(self, node: Node, at: int) -> float:
        """The part of its capacity that a node has at least, by what is promised of its warming."""
        first, warm_up_time = self.rules.warm_up_from, self.rules.warm_up_time
        warm = not node.up_since or at - node.up_since >= warm_up_time
        return 1.0 if warm else first + (1 - first) * max(0, at - node.up_since) / warm_up_time

    def sharers(self) -> float:
        """How many hosts send to a node, as far as this one can tell.

        Where this host is asked for few of the nodes, so are the others, and on average all of them together
        have one whole part at each node. The margin is for nodes that more hosts than others send to. Harm:
        if wrong, a warming-up node gets more than it bears.
        """
        s, nodes = self.settings, self.nodes.listed()
        if self.now - self.born < self.rules.overload_window or not nodes:
            return s.hosts  # what it is asked for is not known yet
        return max(1.0, s.hosts * min(1.0, SHARERS_MARGIN * (self.asked.count(self.now) + 2) / nodes))

    def has_warming_capacity(self, r: Request, node: Node, at: int) -> bool:
        """Whether this host's part of a warming-up node's capacity takes the request at `at` (microseconds).

        The part is this host's share of any window, scaled by the warming promised. With many hosts that is
        less than a request: then three quarters are earned over time, with turns by host number for the
        first.
        """
        rules, s = self.rules, self.settings
        if self.handed:
            return False  # all of this host's part is the next process's
        # new data may go to any node, so any host may send it here
        hosts = s.hosts if r.shard == -1 else self.sharers()
        # Always borne is what the slowest node bears. One that has answered this host bears more: at least
        # what it does in one place. Harm: if that was easy work, it is sent more than it bears.
        shown = (
            rules.overload_multiple * rules.overload_window / node.unit if node.unit and not node.out else 0.0
        )
        bears = max(rules.warm_up_units / rules.warm_up_from, shown)
        # what is late leaves half of it to what will come and earn more
        part = bears / hosts * (0.5 if self.late(r, node, at) else 1.0)
        sent = node.sent_since(at - rules.overload_window)
        if sent + r.units <= part * self.warmth(node, at):
            return True
        windows = (at - node.known) / max(1, rules.overload_window)
        earned = 0.75 * part * windows * self.warmth(node, (node.known + at) // 2)
        return (
            not sent
            and earned >= node.spent + (s.host_index + node.up_since // MS) % s.hosts / s.hosts * r.units
        )

    def given_up(self, r: Request, node: Node) -> bool:
        """Whether a pending request will not be sent any more, as far as is known.

        A token bucket, a warming-up node's part, a pace or whatever else holds it too long: its client hears
        at once. Harm: if wrong, it counts anew.
        """
        opens = max(self.now, r.wait_until, node.opens(self.now, self.patience(node)), self.barred(r, node))
        # late at a node with a pace: its turns are kept for what can still be in time
        # After half its time an unsent request is late whatever comes, and its client could have tried anew.
        return (
            opens + self.quick >= r.deadline
            or opens >= r.reject_by
            and r.reached_no_node()
            or node.window < 1
            and self.late(r, node, opens)
        )

    def late(self, r: Request, node: Node, sent: int) -> bool:
        """Whether sent at `sent` (microseconds) it would answer after its latency objective (DESIGN)."""
        return sent + (node.reads if self.protected(r) else node.answers) > r.objective_at

    def protected(self, r: Request) -> bool:
        """Whether a request is a protected read: not a write, and not of a background class."""
        return not r.write and r.kind.name not in self.background

    def patience(self, node: Node) -> float:
        """What is out far longer than answers take is presumed lost and holds no place."""
        return self.threshold / 4 + 4 * node.answers

    def affordable(self, since: int) -> bool:
        """Whether the retry budget takes one more extra attempt, counting what was sent since `since`.

        Args:
            since: microseconds on the host's clock; older extras and arrivals are dropped from the count.
        """
        for times, first in (self.extras, since), (self.taken, since + 1):
            while times and times[0] < first:
                times.popleft()
        return len(self.extras) + 1 <= self.rules.retry_budget_min + self.rules.retry_budget_ratio * len(
            self.taken
        )


class NodeListing(Rulebook):
    """How the node list is followed and nodes are asked for their queue; the state is the scheduler's."""

    # -- the node list ------------------------------------------------------------------------------------
    def avoids(self, name: str) -> bool:
        """Whether a node gets nothing new, as it drains, is gone, or is kept to a pace of seconds."""
        node = self.nodes.get(name)
        return node is not None and (
            node.phase is not Phase.ON or node.opens(self.now, self.patience(node)) > self.now + SECOND
        )

    def listed(self, e: api.EndpointList) -> None:
        """Take the node list or a watch event: phases, restarts, and requests filed anew where nodes went."""
        if e.kind is ListKind.UNAVAILABLE:
            self.subscribed = False
            return
        self.subscribed = self.subscribed or e.kind is not ListKind.RESTORED
        if e.kind is not ListKind.CHANGES:
            named = {entry.node for entry in e.entries}
            for node in self.nodes.values():
                node.phase = node.phase if node.id in named else Phase.GONE
        for entry in e.entries:
            # a restarted host cannot know what it sent before; else it earned for a window at the most
            known = max(entry.up_since, self.now - (self.now > self.born) * self.rules.overload_window)
            node = self.nodes.setdefault(entry.node, Node(entry, self.settings.hosts, known))
            if entry.phase is not node.phase:  # the word has just come
                # one that was gone gets no grace: it may have been told to drain long before
                grace = self.rules.drain_grace - self.settings.tick if node.phase is Phase.ON else 0
                node.phase, node.closes = entry.phase, grace + (self.now if e.since is None else e.since)
            if entry.up_since != node.up_since:
                node.restart(entry.up_since, known)
        for r in self.requests.values():
            if not r.done and not r.in_flight():
                self.place(r)  # sent with the next reading

    def ask(self, node: Node) -> None:
        """Where nodes tell their queue, it is asked for when work comes at a window below one."""
        if (
            self.settings.health_checks
            and "queue" in self.settings.report_fields
            and node.window < 1
            and node.takes(self.now)
            and self.now >= node.health_check_at
        ):
            node.asked, node.health_check_at = self.now, self.now + self.jitter(HEALTH_CHECK_EVERY)
            self.actions.append(api.CheckHealth(node.id))

    def jitter(self, span: float) -> int:
        """A span (microseconds) scaled by a random factor from 0.5 to 1.5."""
        return int(span * (0.5 + self.random.random()))
