"""A volume's token buckets: its reserve and this host's part of its limit. Its plan: interface.py."""

from __future__ import annotations

import math

from stoatrouter.policy import interface as api
from stoatrouter.policy.units import NEVER, SECOND, TINY

EXCESS_DECAY = 0.5  # of the excess is left after a second, so that old excess does not count against a volume


class Volume:
    """One volume's token buckets, in units of work.

    The reserve counts what all hosts served, as far as answers tell; the limit's bucket is this host's part.
    """

    def __init__(self, now: int, plan: api.Plan, hosts: int, largest_request: float) -> None:
        """Start a volume with a full reserve, and its part of the limit at the lowest it may have reached.

        Args:
            now: when it was first seen, in microseconds.
            plan: its plan of usual rate, reserve, limit and burst (interface.py).
            hosts: through how many hosts its requests come; the limit's bucket is this host's part.
            largest_request: in units, what the reserve must take beyond a second of its rate.
        """
        self.plan = plan
        self.hosts = max(1, hosts)
        self.refilled_at = now
        self.excess = 0.0  # units lately served beyond the reserve
        self.reserve_capacity = plan.reserve + largest_request if plan.reserve else 0.0
        self.reserve = self.reserve_capacity
        # A restarted host cannot know what it spent, so its part of the limit's bucket was at the lowest
        # that it may have reached when this host started (now: that time), and only time fills it.
        self.limit_floor = -plan.tolerance / self.hosts
        self.limit_tokens = self.limit_floor
        self.limit_refills = True  # not once this host's next process has taken over: only its part refills

    def set_hosts(self, now: int, hosts: int) -> None:
        """Take a new number of hosts: what those that left have spent is unknown, so the part starts anew."""
        if max(1, hosts) == self.hosts:
            return
        self.refill(now)
        self.hosts = max(1, hosts)
        self.limit_floor = -self.plan.tolerance / self.hosts
        self.limit_tokens = min(self.limit_tokens, self.limit_floor)

    def refill(self, now: int) -> Volume:
        """Bring the buckets up to `now` (microseconds) and return the volume itself."""
        if now == self.refilled_at:
            return self
        passed = (now - self.refilled_at) / SECOND
        plan = self.plan
        self.refilled_at = now
        self.reserve = min(self.reserve_capacity, self.reserve + plan.reserve * passed)
        refilled = self.limit_tokens + plan.limit / self.hosts * passed * self.limit_refills
        self.limit_tokens = min(plan.burst / self.hosts, refilled)
        self.excess *= EXCESS_DECAY**passed
        return self

    def available_at(self, now: int, units: float) -> int:
        """From when (microseconds) this host's part of the limit holds these units above its floor.

        Returns:
            `now` where it holds them already or there is no limit; `NEVER` where the bucket does not refill.
        """
        if not self.plan.limit:
            return now
        lack = units + self.limit_floor + TINY - self.refill(now).limit_tokens
        if lack <= 0:
            return now
        if not self.limit_refills:
            return NEVER
        return now + math.ceil(lack * self.hosts / self.plan.limit * SECOND)

    def may_be_forgotten(self, now: int, span: int) -> bool:
        """Whether it is unused for `span` and a limit's part is full again: forgetting refills nothing."""
        if now - self.refilled_at <= span:
            return False
        return not self.plan.limit or self.refill(now).limit_tokens >= self.plan.burst / self.hosts

    def charge(self, units: float) -> None:
        """Take a request's units from both buckets."""
        self.limit_tokens -= units if self.plan.limit else 0.0
        self.charge_reserve(units)

    def refund(self, units: float) -> None:
        """Give back the units of a request that never arrived at a node."""
        self.limit_tokens += units if self.plan.limit else 0.0
        self.charge_reserve(-units)

    def charge_reserve(self, units: float) -> None:
        """Take units from the reserve; what it lacks counts as excess (negative units give back)."""
        self.excess += units - min(units, max(0.0, self.reserve))
        self.reserve = max(-self.plan.reserve, self.reserve - units)
