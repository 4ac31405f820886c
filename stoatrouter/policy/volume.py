"""A volume's token buckets: its reserve and this host's share of its limit. Its plan: interface.py."""

from __future__ import annotations

import math

from stoatrouter.policy import interface as api
from stoatrouter.policy.units import EPSILON, NEVER, SECOND

EXCESS_DECAY = 0.5  # the fraction of the excess left after a second: old excess must not count for long


class Volume:
    """One volume's token buckets, in units of work.

    The reserve accounts for the work of all hosts, as far as answers report it; the limit's bucket holds this
    host's share.
    """

    __slots__ = (
        "plan",
        "hosts",
        "refilled_at",
        "excess",
        "reserve_capacity",
        "reserve",
        "limit_floor",
        "limit_tokens",
        "limit_refills",
        "open_requests",
    )

    def __init__(self, now: int, plan: api.Plan, hosts: int, max_request_units: float) -> None:
        """Start with a full reserve, and this host's share of the limit at its lowest possible level.

        Args:
            now: when the volume was first seen, in microseconds.
            plan: its plan of usual rate, reserve, limit and burst (interface.py).
            hosts: number of hosts through which its requests arrive; the limit is divided among them.
            max_request_units: the units that the reserve must hold beyond one second of its rate.
        """
        self.plan = plan
        self.hosts = max(1, hosts)
        self.open_requests = 0
        self.refilled_at = now
        self.excess = 0.0  # units recently served beyond the reserve
        self.reserve_capacity = plan.reserve + max_request_units if plan.reserve else 0.0
        self.reserve = self.reserve_capacity
        # A restarted host does not know what it has spent. Its share of the limit's bucket is therefore set
        # to the lowest possible level as of this host's start (`now` is that time), and fills only with time.
        self.limit_floor = -plan.tolerance / self.hosts
        self.limit_tokens = self.limit_floor
        self.limit_refills = True  # False after a handover: then only the next process's share refills

    def set_hosts(self, now: int, hosts: int) -> None:
        """Change the number of hosts; its share restarts at the floor, as past spending is unknown."""
        if max(1, hosts) == self.hosts:
            return
        self.refill(now)
        self.hosts = max(1, hosts)
        self.limit_floor = -self.plan.tolerance / self.hosts
        self.limit_tokens = min(self.limit_tokens, self.limit_floor)

    def refill(self, now: int) -> Volume:
        """Refill the buckets up to `now` (microseconds) and return the volume itself."""
        if now <= self.refilled_at:
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
        """Return from when (microseconds) this host's share of the limit holds `units` above its floor.

        Returns:
            `now` if it holds them already or there is no limit; `NEVER` if the bucket does not refill.
        """
        if not self.plan.limit:
            return now
        lack = units + self.limit_floor + EPSILON - self.refill(now).limit_tokens
        if lack <= 0:
            return now
        if not self.limit_refills:
            return NEVER
        return now + math.ceil(lack * self.hosts / self.plan.limit * SECOND)

    def may_be_forgotten(self, now: int, span: int) -> bool:
        """Return whether it is unused for `span` and its limit is full, so that dropping refills nothing."""
        return now - self.refilled_at > span and self.is_full(now)

    def is_full(self, now: int) -> bool:
        """Return whether its limit is full, or it has none: a new record of it would allow no more."""
        return not self.plan.limit or self.refill(now).limit_tokens >= self.plan.burst / self.hosts

    def charge(self, units: float) -> None:
        """Take a request's units from both buckets."""
        self.limit_tokens -= units if self.plan.limit else 0.0
        self.charge_reserve(units)

    def refund(self, units: float) -> None:
        """Return the units of a request that never arrived at a node to both buckets."""
        self.limit_tokens += units if self.plan.limit else 0.0
        self.charge_reserve(-units)

    def charge_reserve(self, units: float) -> None:
        """Take units from the reserve and count the shortfall as excess; negative units are given back."""
        self.excess += units - min(units, max(0.0, self.reserve))
        self.reserve = max(-self.plan.reserve, self.reserve - units)
