"""Every decision of the policy, as one state machine. Its settings, events and actions: interface.py."""

from __future__ import annotations

import math
import random
from collections import deque

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Attempt, Effect, Group, Outcome, Phase, Request
from stoatrouter.policy.node_index import NodeIndex, RecentKeys

from stoatrouter.policy.rules import (  # isort: skip
    AVERAGE_SPAN,
    CROWD,
    KEY_BONUS,
    CACHED_KEY_COUNT,
    LONGEST_PACE,
    READ_EVERY,
    REBUILD_EVERY,
    STEP_DELAY,
    TIMER_READ,
    TOP_WINDOW,
    Node,
    NodeListing,
)
from stoatrouter.policy.volume import MS, NEVER, SECOND, TINY, Volume  # isort: skip

LATE = 0.25  # of the threshold: an answer as an idle node is expected to give it
LONG = 1.5  # of the threshold: as more no answer counts in the average, or one long read makes all late
SLOW = 0.15  # of the threshold: an answer that took more shrinks the window, as then others stand before it
JAMS = {Outcome.FULL: 1.0, Outcome.TIMEOUT: 1.0, Outcome.CONNECT_FAILED: 0.125}  # to what part of the least
VANISHING, RECENT = 0.03, 0.03  # from what part of overtaken attempts answers vanish; weight of the newest
HALF_MARGIN, PRESSED = 20 * MS, SECOND  # a refusal's way to the client; how long a node counts as pressed


class Scheduler(NodeListing):
    """The decisions of one host: a pure state machine from events to actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start knowing nothing of nodes, volumes or requests; `seed` makes jitter and ties repeat."""
        self.settings, self.rules, self.random = settings, settings.rules, random.Random(seed)
        classes = settings.classes
        self.threshold = min(c.latency_objective for c in classes)
        self.quick = int(LATE * self.threshold / 2)  # the least that an answer is expected to take
        self.memory = 60 * SECOND + max(c.deadline for c in classes)  # of unused volumes and gone nodes
        mean_weight, mean_objective = (
            sum(x) / len(classes)
            for x in zip(*((c.priority_weight, c.latency_objective) for c in classes), strict=True)
        )
        self.background = {
            c.name
            for c in classes
            if c.priority_weight < mean_weight and c.latency_objective > mean_objective
        }
        self.longest_advice = settings.max_retry_after if settings.accepts_retry_after else 0
        self.nodes = NodeIndex(self.rules.warm_up_time, self.load)
        self.requests, self.timers = dict[str, Request](), dict[int, Request]()
        self.volumes, self.turns = dict[str, Volume](), dict[str, deque[Request]]()  # of keys in order
        self.rests: dict[str, int] = {}  # until when such a key rests
        self.put: dict[tuple, tuple[int, int]] = {}  # where new data was lately put, and when
        self.asked = RecentKeys(self.rules.overload_window)  # shards whose data this host was asked for
        self.taken, self.extras = deque[int](), deque[int]()
        self.given: dict[tuple, tuple[int, int]] = {}  # given up lately: aim and deadline
        self.now = self.last_token = self.rebuilt = self.ask_at = 0
        self.born, self.woke, self.subscribed, self.fair, self.vanish = -1, 0, False, 0.0, 0.0
        self.handed = False  # to this host's next process, while this one ends what it has
        self.actions: list[api.Action] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at `now` (microseconds) and return its actions, in the order to take them."""
        if 0 < self.now < now - 4 * READ_EVERY:  # readings come each 100 ms: this host itself stood still
            self.woke = now
            for node in self.nodes.values():  # its backlog does not go out as one burst
                node.window = min(node.window, max(1.0, node.part))
        self.now, self.actions = now, []
        if self.born < 0:
            self.born = now
            self.actions.append(api.SetTimer(READ_EVERY, TIMER_READ))
        match event:
            case api.RequestArrived():
                self.arrive(event)
            case api.AttemptEnded():
                self.ended(event)
            case api.TimerFired():
                self.timer(event.token)
            case api.EndpointList():
                self.listed(event)
            case api.HealthCheckEnded() if event.node in self.nodes and "queue" in (event.load or {}):
                node, queue = self.nodes[event.node], event.load["queue"]
                # once it is short again the pace counts from then, as all hosts hear it at once
                node.last_sent = now if queue <= CROWD < node.crowd else node.last_sent
                node.crowd, node.crowd_at, node.asked = queue, now, -LONGEST_PACE
                self.pump(node)
            case api.StreamStarted() if event.request in self.requests:
                self.requests[event.request].streaming = True
            case api.ClientGone() if event.request in self.requests:
                self.close(self.requests[event.request])  # nothing is owed, nothing more goes out
        return self.actions

    # -- requests -----------------------------------------------------------------------------------------
    def arrive(self, e: api.RequestArrived) -> None:
        """File a newly arrived request at a node, set its timers, and send what the node lets through."""
        if e.request in self.requests:
            return
        now, kind = self.now, self.settings.classes[e.request_class]
        fresh = Volume(self.born, self.settings.plans[e.plan], e.hosts, self.settings.max_units)
        volume = self.volumes.setdefault(e.volume, fresh)
        volume.fills = not self.handed
        volume.follow(now, e.hosts)
        end = now + max(0, e.time_left)  # clients may leave before the aim
        # a client that comes back with what was given up has not got a new aim
        aim, left = self.given.pop((volume, e.key, kind.name, e.units), (end, 0))
        aim = min(now + kind.latency_objective, end, aim if e.repeat or end <= left + self.quick else end)
        r = self.requests[e.request] = Request(
            e.request,
            kind,
            volume,
            e.units,
            e.key,
            e.shard,
            aim,
            end,
            e.write or kind.writes,
            now + max(0, e.time_left) // 2 - HALF_MARGIN,
        )
        self.taken.append(now)
        if e.shard != -1:
            self.asked.note(e.shard, now)
        if kind.ordered_by_key and r.key is not None:
            self.turns.setdefault(r.key, deque()).append(r)
        self.place(r)
        self.wake(r.reject_by, r)
        if (node := r.node) is None:
            return
        self.ask(node)
        node.writes[e.volume] = node.writes.get(e.volume, 0.0) + (e.units if r.write else 0.0)
        # throttleable requests first wait out the node's delay
        if node.step and (e.volume in node.throttled or kind.name in self.background):
            r.wait_until = now + node.step * STEP_DELAY
            self.wake(r.wait_until, r)
        self.pump(node)

    def place(self, r: Request) -> None:
        """File a request at a node of its shard, the least loaded that is on, else one that drains."""
        if r.node is not None:
            r.node.pending.pop(r.id, None)
        # what may have run where repeats are dropped by shard or zone is of use nowhere else
        home = next(
            (a.node for a in r.attempts if r.kind.effect is Effect.IDEMPOTENT and a.may_have_run()), None
        )
        shard = home.shard if home and r.kind.group is Group.SHARD else r.shard
        zone = home.zone if home and r.kind.group is Group.ZONE else None
        # Guards a node against hosts with little traffic: with nothing out, all would find the same first.
        # New data goes to a cold node last: what it bears is for the reads that no other can serve.
        r.node = (
            self.nodes.least_loaded(self.now, self.warmth, self.random.random())
            if shard == -1 and zone is None
            else None
        )
        if r.node is None:
            able = [n for n in self.nodes.of_shard(shard) if n.takes(self.now) and zone in (None, n.zone)]
            r.node = min(
                able,
                default=None,
                key=lambda n: (
                    n.phase is not Phase.ON,
                    self.load(n) / self.warmth(n, self.now),
                    self.random.random(),
                ),
            )
        if r.node is not None:
            r.node.pending[r.id] = r

    def load(self, node: Node) -> float:
        """The one to come counts too, so that a window that was cut tells."""
        return (1 + len(node.pending) + len(node.out)) / node.window

    def wake(self, at: int, r: Request) -> None:
        """Set a timer that looks at a request again at `at` (microseconds on the host's clock)."""
        self.last_token += 1
        self.timers[self.last_token] = r
        self.actions.append(api.SetTimer(max(0, at - self.now), self.last_token))

    def timer(self, token: int) -> None:
        """Act on a timer: the controllers' reading for `TIMER_READ`, else a request's own time."""
        if token == TIMER_READ:
            self.actions.append(api.SetTimer(READ_EVERY, TIMER_READ))
            return self.read()
        r = self.timers.pop(token, None)
        if r is None or r.done or r.streaming:
            return
        if (
            self.now >= r.deadline - (0 if r.in_flight() else self.quick)
            or self.now >= r.reject_by
            and r.reached_no_node()
        ):
            return self.finish(r)
        # whatever becomes of it, its answer is not forgotten
        self.wake(r.deadline - self.quick if self.now < r.deadline - self.quick else r.deadline, r)
        if r.node is not None:
            self.pump(r.node)

    def read(self) -> None:
        """Each 100 ms: the controllers and the nodes' health; each second: the throttleable sets."""
        if self.now - self.rebuilt >= REBUILD_EVERY:
            self.rebuilt, self.rests = self.now, {k: t for k, t in self.rests.items() if t > self.now}
            self.given = {k: g for k, g in self.given.items() if g[1] > self.now}
            self.put = {k: p for k, p in self.put.items() if self.now - p[1] < self.memory}
            self.turns = {k: turn for k, turn in self.turns.items() if turn}
            self.volumes = {k: v for k, v in self.volumes.items() if not v.idle(self.now, self.memory)}
            self.nodes.forget_gone(lambda n: not (n.pending or n.out or self.now - n.last_sent < self.memory))
            for node in self.nodes.writers():
                node.rebuild()
        for node in self.nodes.due(self.now):
            node.control(self.threshold, self.now)
            if not node.out and self.now - max(node.heard, node.last_sent) > AVERAGE_SPAN:
                # old news: as an idle node is expected to answer; a small window keeps its pace
                node.answers = min(node.answers, LATE * self.threshold)
                node.reads = min(node.reads, node.answers)
                node.window = min(node.window, max(1.0, node.part))
            first = next(iter(node.out.values()), self.now)
            silent = self.now - first > self.patience(node) and first >= node.newest and self.now > self.woke
            if silent and (node.quiet or self.vanish < VANISHING):
                node.cut(self.now, first)  # neither answered nor overtaken: as good as a time-out
            self.pump(node)
            if not (node.pending or node.out or node.reads > self.threshold):  # until its news is old
                self.nodes.rest(node, self.now, max(node.heard, node.last_sent) + AVERAGE_SPAN)
        # where the list must be asked for, subscribe; after a failure again, later and with jitter
        if self.settings.must_subscribe and not self.subscribed and self.now >= self.ask_at:
            self.actions.append(api.Subscribe())
            self.ask_at = self.now + self.jitter(2 * SECOND)

    def finish(self, r: Request) -> None:
        """The final answer: a refusal where trying again is harmless, else a failure."""
        ran, effect = any(a.may_have_run() for a in r.attempts), r.kind.effect
        harmless = (
            not ran or effect is Effect.SAFE or effect is Effect.IDEMPOTENT and r.kind.group is Group.ALL
        )
        self.given[(r.volume, r.key, r.kind.name, r.units)] = (r.objective_at, r.deadline)
        # to come back once the limit's store and the node's pace let such a request through
        opens = r.node.opens(self.now, self.patience(r.node)) if r.node is not None else self.now
        retry_after = min(self.longest_advice, max(opens, r.volume.filled(self.now, r.units)) - self.now)
        self.actions.append(api.Reject(r.id, max(0, retry_after)) if harmless else api.Fail(r.id))
        self.close(r)

    def close(self, r: Request) -> None:
        """Nothing more goes out; it is forgotten once no attempt is out."""
        r.done = True
        if r.node is not None:
            r.node.pending.pop(r.id, None)
        if r.in_flight():
            return
        self.requests.pop(r.id, None)
        turn = self.turns.get(r.key) if r.kind.ordered_by_key else None
        if turn and r in turn:
            turn.remove(r)
            self.rests[r.key] = max(self.rests.get(r.key, 0), r.key_held_until)
            if turn:
                self.wake(self.rests[r.key], turn[0])

    # -- attempts -----------------------------------------------------------------------------------------
    def send_priority(self, r: Request, node: Node) -> tuple[int, int]:
        """Worth per unit still due if sent now; the aim stands for the work that a unit of the class is."""
        volume, kind, s = r.volume.at(self.now), r.kind, self.settings
        due = (
            s.quota_weight_factor
            if volume.excess <= 2 * self.fair * volume.plan.weight
            else s.excess_weight_factor
        )
        due = 1.0 if volume.reserve >= r.units / 2 else due
        value = kind.priority_weight * volume.plan.price * due * self.threshold / kind.latency_objective
        value *= kind.late_weight_factor if self.late(r, node, self.now) else 1.0
        value *= KEY_BONUS if r.key is not None and r.key in node.keys else 1.0
        # worth within a factor of two is as good as equal: there the nearest aim goes first
        return (round(math.log2(value + TINY)), -r.objective_at)

    def pump(self, node: Node) -> None:
        """Send what the node's window lets through; answer what is given up."""
        if not node.pending or not node.takes(self.now):
            return
        if node.has_capacity(self.now, self.patience(node)):  # else all that is held need not be ordered
            self.fill(node)
        for r in [r for r in node.pending.values() if self.given_up(r, node)]:
            self.finish(r)

    def fill(self, node: Node) -> None:
        """The best first, as long as there is room."""
        busy = [r.volume for r in node.pending.values()]
        self.fair = sum(v.excess for v in busy) / max(1.0, sum(v.plan.weight for v in busy))
        for r in sorted(node.pending.values(), key=lambda r: self.send_priority(r, node), reverse=True):
            if not node.has_capacity(self.now, self.patience(node)):
                break
            if r.wait_until > self.now or self.barred(r, node):
                continue
            # what is late waits while the node is pressed, and what is worth less with it: it would press too
            if self.late(r, node, self.now) and (node.out or self.now < node.cut_at + PRESSED):
                break
            self.send(r, node)

    def send(self, r: Request, node: Node) -> None:
        """Send a request's next attempt to a node, charging its volume's token bucket once."""
        now, volume = self.now, r.volume.at(self.now)
        node.pending.pop(r.id)
        self.extras.extend([now] if r.attempts else [])
        if not r.charged:
            volume.store, r.charged = volume.store - (r.units if volume.plan.limit else 0.0), True
            volume.spend(r.units)
        node.out[(r.id, len(r.attempts))] = node.last_sent = now
        r.attempts.append(Attempt(node, now))
        node.sent.append((now, r.units))
        node.spent += r.units
        while node.sent[0][0] < now - self.rules.overload_window:
            node.sent.popleft()
        node.keys.append(r.key)
        self.actions.append(api.Send(r.id, node.id, r.deadline - now))

    def ended(self, e: api.AttemptEnded) -> None:
        """Take an attempt's outcome: learn from it, then close, fail or file the request again."""
        r = self.requests.get(e.request)
        if r is None or not 0 <= e.attempt < len(r.attempts) or r.attempts[e.attempt].outcome is not None:
            return
        attempt = r.attempts[e.attempt]
        node, attempt.outcome = attempt.node, e.outcome
        node.out.pop((r.id, e.attempt), None)
        self.observe(e, r, node)
        if (
            self.rules.charged_on_arrival and r.charged and not r.may_have_arrived()
        ):  # taken when it comes, not before
            r.volume.store, r.charged = r.volume.store + (r.units if r.volume.plan.limit else 0.0), False
            r.volume.spend(-r.units)
        if e.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            r.key_held_until = max(r.key_held_until, self.now + (self.rules.key_hold_down or 0))
        # held for a further attempt, after a pause that grows
        r.wait_until = self.now + self.jitter(self.threshold / 10 * 2 ** len(r.attempts))
        if e.finished or r.done:
            self.close(r)
        elif e.outcome is Outcome.MOOT and not self.moved(r) or self.barred(r, node) >= NEVER:
            self.finish(r)
        else:
            self.place(r)
            self.wake(r.wait_until, r)
        self.pump(node)

    def moved(self, r: Request) -> bool:
        """Whether its data was put elsewhere through this host: a client may ask with an older place."""
        shard, _ = self.put.get((r.volume, r.key), (r.shard, 0))
        found = r.shard not in (shard, -1)
        r.shard, r.wait_until = shard, self.now if found else r.wait_until
        return found

    def observe(self, e: api.AttemptEnded, r: Request, node: Node) -> None:
        """What an outcome tells of its node (averages, window, health) and of its volume elsewhere."""
        r.volume.at(self.now).spend(e.units_by_others)
        if self.now == self.woke and e.outcome in (Outcome.OK, Outcome.TIMEOUT):
            return  # it came while this host stood still: how long it took is not known
        ok, silent = e.outcome is Outcome.OK, e.outcome is Outcome.TIMEOUT
        few = min(1.0, node.part)  # with many hosts each hears of a node rarely: all that it says counts
        late = e.took > min(LATE, SLOW / few) * self.threshold
        # a node serves in turn of arrival, so what later attempts have overtaken has vanished: no jam
        lost = silent and self.now - e.took < node.newest
        # Where answers vanish, at whatever node, one silence is no jam either: two in a row are. It guards
        # hosts that rarely send to a node, and rarely see a loss overtaken. Harm: one more test at a jam.
        self.vanish += RECENT * (lost - self.vanish) * (ok or silent)
        node.quiet = 0 if ok else node.quiet + (not lost) * silent
        lost = lost or silent and node.quiet == 1 and self.vanish >= VANISHING
        node.trip = float(e.took) if ok or silent and not lost else node.trip
        if ok and r.write and r.shard == -1:
            self.put[(r.volume, r.key)] = node.shard, self.now
        if ok:  # errors and refusals come quickly and must not feed the averages
            node.newest = max(node.newest, self.now - e.took)  # refusals come out of turn
            if (
                node.keys.count(r.key) < CACHED_KEY_COUNT
            ):  # what has just been read costs less, and shows less
                node.unit = node.weigh(node.unit, node.heard, self.now, e.took / max(TINY, r.units))
            node.answers, node.heard = node.weigh(node.answers, node.heard, self.now, e.took), self.now
            if self.protected(r):
                took = min(e.took, LONG * self.threshold / few)
                node.reads, node.read_at = node.weigh(node.reads, node.read_at, self.now, took), self.now
            if not late or node.window < 1 and e.took <= r.kind.latency_objective / 2:
                node.window = min(TOP_WINDOW, node.window + min(node.window, 1 / node.window))
        # Node queues are long and refusals late, so a late answer counts as a time-out; one that took more
        # than half its own aim, as a jam.
        jam = float(e.took > r.kind.latency_objective / 2) if ok else JAMS.get(e.outcome)
        if jam is not None and not lost and (late or not ok):
            node.cut(self.now, self.now - e.took, jam=jam)
