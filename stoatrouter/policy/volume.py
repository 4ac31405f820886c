"""A volume's token buckets: its reserve and this host's part of its limit. Its plan: interface.py."""

from __future__ import annotations

import math

from stoatrouter.policy import interface as api

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
TINY = 1e-9  # units: above any error of the buckets' floating point sums
NEVER = 1 << 62  # microseconds: later than any clock reading


class Volume:
    """One volume's stores. The reserve counts all hosts, as far as answers tell; the limit's is our part."""

    def __init__(self, now: int, plan: api.Plan, hosts: int, most: float) -> None:
        """Start a volume's token buckets full.

        Args:
            now: when it was first seen, in microseconds.
            plan: its plan of usual rate, reserve, limit and burst (interface.py).
            hosts: through how many hosts its requests come; the limit's bucket is this host's part.
            most: the largest request, in units, that the reserve must take.
        """
        self.plan, self.hosts, self.stamp, self.excess = plan, max(1, hosts), now, 0.0
        self.full = self.reserve = plan.reserve + most if plan.reserve else 0.0
        # A restarted host cannot know what it spent, so its part of the limit's store was at the lowest
        # that it may have reached when this host started (now: that time), and only time fills it.
        self.lowest = self.store = -plan.tolerance / self.hosts
        self.fills = True  # not once this host's next process has taken over: only its part fills

    def follow(self, now: int, hosts: int) -> None:
        """Another number of hosts: what those who left have spent is unknown, so the part starts anew."""
        if max(1, hosts) != self.hosts:
            self.at(now).hosts = max(1, hosts)
            self.lowest = -self.plan.tolerance / self.hosts
            self.store = min(self.store, self.lowest)

    def at(self, now: int) -> Volume:
        """Bring the buckets up to `now` (microseconds) and return the volume itself."""
        if now == self.stamp:  # nothing has passed
            return self
        passed, self.stamp, p = (now - self.stamp) / SECOND, now, self.plan
        self.reserve = min(self.full, self.reserve + p.reserve * passed)
        self.store = min(p.burst / self.hosts, self.store + p.limit / self.hosts * passed * self.fills)
        self.excess *= 0.5**passed  # units lately served beyond the reserve
        return self

    def filled(self, now: int, units: float) -> int:
        """From when this host's part of the limit's store holds these units above its lowest."""
        lack = units + self.lowest + TINY - self.at(now).store if self.plan.limit else 0.0
        if lack > 0 and not self.fills:
            return NEVER
        return now + math.ceil(lack * self.hosts / self.plan.limit * SECOND) if lack > 0 else now

    def idle(self, now: int, span: int) -> bool:
        """Long unused and its limit's part full again: forgetting it refills nothing."""
        return now - self.stamp > span and self.at(now).store >= self.plan.burst / self.hosts

    def spend(self, units: float) -> None:
        """Take units from the reserve first; what it lacks counts as excess (negative units give back)."""
        self.excess += units - min(units, max(0.0, self.reserve))
        self.reserve = max(-self.plan.reserve, self.reserve - units)
