"""What one head holds of its customers' credit, and what becomes of each request's charge. No I/O, no clock.

| outcome of a request | charged | why |
| --- | --- | --- |
| served, whole or passed on as it came | yes | the work was done |
| refused or failed, no attempt was ever sent | no | nothing was asked of a node |
| refused or failed, each attempt ended as never run (not connected, rejected, moot) | no | the same |
| refused or failed, some attempt reset, timed out, ended in an error, or still out | yes | it may have run |
| client gone, no attempt sent or all never run | no | nothing was done |
| client gone, an attempt out or ended otherwise | yes | it may have run |
| refused by this package | no | it never was taken |

Once, however many attempts there were. A head spends an allotment until it expires, on its own monotonic
clock and counted from its asking, which is before the voters count from. What was reserved before that is
charged to the allotment all the same: its last word waits for its reservations.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from stoatrouter.credit.purse import LocalAllotment, Purse, Rejection, RejectionReason, Reservation
from stoatrouter.credit.records import Grant, Settle, Turn

ASK_AGAIN = timedelta(milliseconds=250)  # after being told that nothing is left
ASK_SOON = timedelta(milliseconds=100)  # how long an answer to an ask takes, about
LOW_EVERY = timedelta(milliseconds=500)  # under the low-water mark the balance is looked at so often
USE_OVER = timedelta(seconds=2)  # the span over which recent use is averaged
MOST_ADVICE = timedelta(seconds=5)
MOST_TURNS = 256  # customers in one message to the account
IDLE_PURSE_AFTER = 4 * USE_OVER  # a purse with nothing out and nothing waiting is dropped after so long idle
LEAST_REQUEST_RATE = 0.01  # requests a second, so that a wait advised to a rare class stays finite
LOW_STOCK_LEASES = 0.5  # more is asked for once what is left would last less than so many leases
REFILL_LEASES = 1.5  # and then enough to last so many leases of recent use


class Record(Protocol):
    """What survives this process: the spent figure of each allotment."""

    def begin(self, allotment: str) -> bool:
        """Whether there is room for it; what cannot be recorded is not spent from."""
        ...

    def set(self, allotment: str, spent: int) -> None:
        """Keep what was spent of it in all."""
        ...

    def end(self, allotment: str) -> None:
        """Its last word was heard: forget it."""
        ...


@dataclass(slots=True)
class HeadEscrow:
    """The escrow of one head: its allotments of each customer's credit, and the reservations of requests."""

    lease: timedelta
    record: Record
    purses: dict[str, Purse] = field(default_factory=dict)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    reachable: bool = True  # the account answers, as far as this head knows
    charged: int = 0  # since the start, for figures
    refused: int = 0

    # -- requests -----------------------------------------------------------------------------------------
    def take(self, request: str, customer: str, charge: int, rank: int, now: timedelta) -> Rejection | None:
        """Reserve a request's charge; None where it is taken."""
        if charge <= 0:
            return None
        purse = self.purses.get(customer)
        if purse is None:
            purse = self.purses[customer] = Purse(customer)
        self._count_request(purse, charge, rank, now)
        allotment = self._find(purse, charge, now)
        if allotment is None:
            self.refused += 1
            purse.least = max(purse.least, charge)
            return self._reject_for_lack(purse)
        if (rejection := self._pace_rank(purse, rank)) is not None:
            self.refused += 1
            return rejection
        allotment.reserved += charge
        self.reservations[request] = Reservation(purse, allotment, charge)
        return None

    def end(self, request: str, charged: bool) -> None:
        """The one final answer: charge what was reserved, or give it back."""
        reservation = self.reservations.pop(request, None)
        if reservation is None:
            return
        allotment = reservation.allotment
        allotment.reserved -= reservation.charge
        if charged:
            allotment.spent += reservation.charge
            self.charged += reservation.charge
            self.record.set(allotment.id, allotment.spent)

    @staticmethod
    def _find(purse: Purse, charge: int, now: timedelta) -> LocalAllotment | None:
        """The allotment to take from: the one that expires first."""
        for allotment in purse.allotments:
            # Guards the sum: what has expired here may be counted otherwise by the account from now on.
            if allotment.expires > now and allotment.left >= charge:
                return allotment
        return None

    @staticmethod
    def _count_request(purse: Purse, charge: int, rank: int, now: timedelta) -> None:
        """Count a request that came, taken or not: allotments follow what is asked for."""
        passed = (now - purse.used_at) / USE_OVER
        fade = math.exp(-max(0.0, passed))
        over = USE_OVER.total_seconds()
        purse.use = purse.use * fade + charge / over
        purse.gaps = [rate * fade for rate in purse.gaps]
        purse.gaps[rank] += 1 / over
        purse.used_at = now

    def _reject_for_lack(self, purse: Purse) -> Rejection:
        if not self.reachable:
            return Rejection(None, RejectionReason.CUT_OFF)
        if not purse.known:
            return Rejection(None, RejectionReason.UNKNOWN_CUSTOMER)
        if purse.empty_since is not None and not purse.asking:
            return Rejection(None, RejectionReason.EXHAUSTED)  # when more is paid in, nobody here knows
        return Rejection(ASK_SOON, RejectionReason.ALLOTMENT_REQUESTED)

    @staticmethod
    def _pace_rank(purse: Purse, rank: int) -> Rejection | None:
        quota = purse.quota(rank)
        if quota >= 1.0:
            return None
        if quota <= 0.0:
            return Rejection(None, RejectionReason.LOWER_PRIORITY_SHED)
        purse.credit[rank] += quota
        if purse.credit[rank] >= 1.0:
            purse.credit[rank] -= 1.0
            return None
        missing = (1.0 - purse.credit[rank]) / quota  # requests until the next passes
        wait = timedelta(seconds=missing / max(purse.gaps[rank], LEAST_REQUEST_RATE))
        return Rejection(min(wait, MOST_ADVICE), RejectionReason.PACED)

    def lacks(self, customer: str, charge: int, now: timedelta) -> bool:
        """Whether a request would find no allotment, though more may be given: it may wait a moment."""
        purse = self.purses.get(customer)
        if purse is None:
            return self.reachable
        if not self.reachable or self._find(purse, charge, now) is not None:
            return False
        return purse.known and (purse.empty_since is None or now >= purse.empty_since + ASK_AGAIN)

    def want(self, customer: str, charge: int, now: timedelta) -> None:
        """A request waits for an allotment that is large enough for it."""
        purse = self.purses.setdefault(customer, Purse(customer))
        purse.least = max(purse.least, charge)
        purse.used_at = max(purse.used_at, now)

    def begin_wait(self, customer: str, charge: int) -> None:
        """A request begins to wait: what is asked for is enough for all that wait."""
        self.purses.setdefault(customer, Purse(customer)).waiting += charge

    def end_wait(self, customer: str, charge: int) -> None:
        """It waits no more, whether an allotment came or not."""
        self.purses[customer].waiting -= charge

    # -- the account --------------------------------------------------------------------------------------
    def turns(self, now: timedelta, most: int = MOST_TURNS) -> list[Turn]:
        """What is to be said to the account now, and what more is wanted."""
        turns: list[Turn] = []
        for customer, purse in list(self.purses.items()):
            if purse.asking:
                continue
            turn = self._turn(purse, now)
            if turn is not None:
                purse.asking = True
                turns.append(turn)
                if len(turns) >= most:
                    break
            elif not purse.allotments and not purse.waiting and now - purse.used_at > IDLE_PURSE_AFTER:
                del self.purses[customer]  # idle, and all is settled
        return turns

    def _turn(self, purse: Purse, now: timedelta) -> Turn | None:
        idle = now - purse.used_at > self.lease / 2
        settles = []
        for allotment in purse.allotments:
            used_up = allotment.left <= 0 and allotment.spent + allotment.reserved >= allotment.amount
            if allotment.expires <= now or used_up or (idle and not allotment.reserved):
                allotment.closing = True
            if allotment.closing and not allotment.reserved:
                settles.append(Settle(allotment.id, allotment.spent, True))
        want = 0 if idle or not purse.known and purse.answered_at is not None else self._wanted(purse, now)
        if want and purse.empty_since is not None and now < purse.empty_since + ASK_AGAIN:
            want = 0
        every = LOW_EVERY if purse.fraction() < 1 else self.lease / 2
        due = purse.answered_at is None or now - purse.answered_at >= every
        unreported = [
            allotment
            for allotment in purse.allotments
            if allotment.spent > allotment.notified_spent and not allotment.closing
        ]
        if not settles and not want and not (due and unreported):
            return None
        settles += [Settle(allotment.id, allotment.spent, False) for allotment in unreported]
        return Turn(
            purse.customer,
            tuple(h.id for h in purse.allotments),
            tuple(settles),
            want,
            purse.least if want else 0,
        )

    def _wanted(self, purse: Purse, now: timedelta) -> int:
        """How much more: enough for the recent use over a lease and a half, asked for before it runs out."""
        # a charge is taken from one allotment: what is left of smaller ones helps nobody who found nothing
        good = sum(
            h.left for h in purse.allotments if h.expires > now + self.lease / 3 and h.left >= purse.least
        )
        lease, at_once = self.lease.total_seconds(), max(purse.least, purse.waiting)
        needed = max(at_once, math.ceil(purse.use * lease * LOW_STOCK_LEASES))
        if good >= needed or needed <= 0:
            return 0
        return max(at_once, math.ceil(purse.use * lease * REFILL_LEASES)) - good

    def granted(self, turn: Turn, grant: Grant, asked_at: timedelta, now: timedelta) -> None:
        """The account's answer to one turn."""
        purse = self.purses.get(turn.customer)
        if purse is None:
            return
        purse.asking = False
        purse.balance, purse.low_water, purse.known = grant.balance, grant.low_water, grant.known
        purse.answered_at = now
        for settle in turn.settles:
            for allotment in [h for h in purse.allotments if h.id == settle.allotment]:
                allotment.notified_spent = settle.spent
                if settle.final:
                    purse.allotments.remove(allotment)
                    self.record.end(allotment.id)
        if grant.allotment:
            purse.empty_since, purse.least = None, 0
            # Guards the sum: a grant that no record could be kept of is dropped by the next turn.
            if not self.record.begin(grant.allotment):
                return
            purse.allotments.append(LocalAllotment(grant.allotment, grant.amount, asked_at + self.lease))
            purse.allotments.sort(key=lambda h: h.expires)
        elif turn.want:
            purse.empty_since, purse.least = now, 0

    def unanswered(self, turn: Turn) -> None:
        """Note that the answer to a turn is lost for good.

        What that answer granted, if anything, is dropped by the account on the next turn, as unknown here.

        Args:
            turn: The turn that was sent to the account.
        """
        purse = self.purses.get(turn.customer)
        if purse is not None:
            purse.asking = False

    def closing(self) -> list[Turn]:
        """The last word of a head that ends, on all that has no reservation."""
        turns = []
        for purse in self.purses.values():
            for allotment in purse.allotments:
                allotment.closing = True
            settles = [Settle(h.id, h.spent, not h.reserved) for h in purse.allotments]
            if settles:
                turns.append(Turn(purse.customer, tuple(h.id for h in purse.allotments), tuple(settles)))
        return turns
