"""The escrow of one head: reserves each request's charge, and draws and settles allotments. No I/O, no clock.

| outcome of a request | charged | why |
| --- | --- | --- |
| served, complete or forwarded as it came | yes | the work was done |
| rejected or failed, no attempt was ever sent | no | nothing was asked of a node |
| rejected or failed, each attempt ended as never run (not connected, rejected, moot) | no | the same |
| rejected or failed, some attempt reset, timed out, ended in an error, or still out | yes | it may have run |
| client gone, no attempt sent or all never run | no | nothing was done |
| client gone, an attempt out or ended otherwise | yes | it may have run |
| rejected by this package | no | it was never admitted |

Once, however many attempts there were. A head spends an allotment until it expires, on its own monotonic
clock and counted from when it was asked for, which is before the voters count from. What was reserved before
that is charged to the allotment all the same: its final settlement waits for its reservations.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from stoatrouter.credit.local_account import (
    USE_AVERAGING_SPAN,
    LocalAccount,
    LocalAllotment,
    Rejection,
    RejectionReason,
    Reservation,
)
from stoatrouter.credit.records import CustomerReport, Grant, Settlement

EXHAUSTED_RETRY_DELAY = timedelta(milliseconds=250)  # before more is asked of an account that had nothing
EXPECTED_GRANT_DELAY = timedelta(milliseconds=100)  # how long an answer to a report takes, about
LOW_BALANCE_REPORT_INTERVAL = timedelta(
    milliseconds=500
)  # spending is reported so often under the low-water mark
MAX_REPORTS = 256  # customers in one report to the account
IDLE_ACCOUNT_TIMEOUT = (
    4 * USE_AVERAGING_SPAN
)  # an idle local account without allotments is dropped after this
REFILL_THRESHOLD_LEASES = 0.5  # more is asked for once what is available would last less than so many leases
REFILL_TARGET_LEASES = 1.5  # and then enough to last so many leases of recent use


class SpentStore(Protocol):
    """What survives this process: the spent figure of each allotment."""

    def begin(self, allotment: str) -> bool:
        """Whether there is capacity for it; what cannot be recorded is not spent from."""
        ...

    def set(self, allotment: str, spent: int) -> None:
        """Record what was spent of it in all."""
        ...

    def end(self, allotment: str) -> None:
        """Forget it: its final settlement is booked."""
        ...


@dataclass(slots=True)
class HeadEscrow:
    """The escrow of one head: its allotments of each customer's credit, and the reservations of requests."""

    lease: timedelta
    spent_store: SpentStore
    accounts: dict[str, LocalAccount] = field(default_factory=dict)  # by customer
    reservations: dict[str, Reservation] = field(default_factory=dict)  # by request
    reachable: bool = True  # the account answers, as far as this head knows
    charged: int = 0  # since the start, for figures
    rejected: int = 0

    # -- requests -----------------------------------------------------------------------------------------
    def reserve(
        self, request: str, customer: str, charge: int, rank: int, now: timedelta
    ) -> Rejection | None:
        """Reserve a request's charge.

        Args:
            request: The request's id.
            customer: Whose credit is charged.
            charge: What the request costs, in millionths of a credit unit; nothing is reserved for 0.
            rank: The rank of its class (`Rank`).
            now: The time on this head's monotonic clock.

        Returns:
            None where the charge is reserved; else why not, and when a retry may help.
        """
        if charge <= 0:
            return None
        account = self._account_of(customer)
        account.count_request(charge, rank, now)
        allotment = self._find_allotment(account, charge, now)
        if allotment is None:
            self.rejected += 1
            account.count_unmet(charge, now)
            return self._reject_for_lack(account)
        if (rejection := account.pace(rank)) is not None:
            self.rejected += 1
            return rejection
        allotment.reserved += charge
        self.reservations[request] = Reservation(allotment, charge)
        return None

    def settle(self, request: str, charged: bool) -> None:
        """Charge a request's reservation at its one final answer, or release it."""
        reservation = self.reservations.pop(request, None)
        if reservation is None:
            return
        allotment = reservation.allotment
        allotment.reserved -= reservation.charge
        if charged:
            allotment.spent += reservation.charge
            self.charged += reservation.charge
            self.spent_store.set(allotment.id, allotment.spent)

    def _account_of(self, customer: str) -> LocalAccount:
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = LocalAccount(customer)
        return account

    @staticmethod
    def _find_allotment(account: LocalAccount, charge: int, now: timedelta) -> LocalAllotment | None:
        """The allotment to reserve from: the one that expires first."""
        for allotment in account.allotments:
            # Guards the sum: what has expired here may be counted otherwise by the account from now on.
            if allotment.expires_at > now and allotment.available >= charge:
                return allotment
        return None

    def _reject_for_lack(self, account: LocalAccount) -> Rejection:
        if not self.reachable:
            return Rejection(None, RejectionReason.CUT_OFF)
        if not account.known:
            return Rejection(None, RejectionReason.UNKNOWN_CUSTOMER)
        if account.exhausted_at is not None and not account.report_pending:
            return Rejection(None, RejectionReason.EXHAUSTED)  # when more is paid in, nobody here knows
        return Rejection(EXPECTED_GRANT_DELAY, RejectionReason.ALLOTMENT_REQUESTED)

    # -- requests that wait for an allotment --------------------------------------------------------------
    def may_wait(self, customer: str, charge: int, now: timedelta) -> bool:
        """Whether a request would find no allotment now, and one may be granted soon."""
        account = self.accounts.get(customer)
        if account is None:
            return self.reachable
        if not self.reachable or self._find_allotment(account, charge, now) is not None:
            return False
        return account.known and not self._recently_exhausted(account, now)

    def request_allotment(self, customer: str, charge: int, now: timedelta) -> None:
        """Ask, with the next report, for an allotment that is large enough for a charge."""
        account = self._account_of(customer)
        account.count_unmet(charge, now)
        account.used_at = max(account.used_at, now)

    def add_waiting(self, customer: str, charge: int) -> None:
        """A request begins to wait: what is asked for is enough for all that wait."""
        self._account_of(customer).waiting += charge

    def remove_waiting(self, customer: str, charge: int) -> None:
        """A request waits no more, whether an allotment was granted or not."""
        self.accounts[customer].waiting -= charge

    # -- reports to the account ---------------------------------------------------------------------------
    def due_reports(self, now: timedelta, max_reports: int = MAX_REPORTS) -> list[CustomerReport]:
        """The reports that are due, at most `max_reports`; they are pending until answered or forgotten."""
        reports: list[CustomerReport] = []
        for customer, account in list(self.accounts.items()):
            if account.report_pending:
                continue
            report = self._report(account, now)
            if report is not None:
                account.report_pending = True
                reports.append(report)
                if len(reports) >= max_reports:
                    break
            elif self._may_be_dropped(account, now):
                del self.accounts[customer]
        return reports

    @staticmethod
    def _may_be_dropped(account: LocalAccount, now: timedelta) -> bool:
        """Whether a customer is idle here, and all is settled."""
        idle = now - account.used_at > IDLE_ACCOUNT_TIMEOUT
        return idle and not account.allotments and not account.waiting

    def _report(self, account: LocalAccount, now: timedelta) -> CustomerReport | None:
        """The report on one customer; None where there is nothing to report yet."""
        account.forget_unmet(now)
        idle = now - account.used_at > self.lease / 2
        settlements = account.close_allotments(now, idle)
        wanted = 0 if idle else self._wanted(account, now)
        unreported = account.unreported_spending()
        if not settlements and not wanted and not (unreported and self._report_is_due(account, now)):
            return None
        return CustomerReport(
            account.customer,
            account.allotment_ids(),
            (*settlements, *unreported),
            wanted,
            account.largest_unmet if wanted else 0,
        )

    def _report_is_due(self, account: LocalAccount, now: timedelta) -> bool:
        """Whether spending alone is to be reported now."""
        every = LOW_BALANCE_REPORT_INTERVAL if account.funded_fraction() < 1 else self.lease / 2
        return account.answered_at is None or now - account.answered_at >= every

    @staticmethod
    def _recently_exhausted(account: LocalAccount, now: timedelta) -> bool:
        """Whether the account had nothing to grant a moment ago."""
        if account.exhausted_at is None:
            return False
        return now < account.exhausted_at + EXHAUSTED_RETRY_DELAY

    def _wanted(self, account: LocalAccount, now: timedelta) -> int:
        """How much more to ask for, in millionths; 0 for nothing.

        Enough for the recent use over REFILL_TARGET_LEASES, asked for before what is available runs out.
        """
        unknown = not account.known and account.answered_at is not None
        if unknown or self._recently_exhausted(account, now):
            return 0
        # a charge is taken from one allotment: small remainders are of no use to one that found none
        usable = sum(
            allotment.available
            for allotment in account.allotments
            if allotment.expires_at > now + self.lease / 3 and allotment.available >= account.largest_unmet
        )
        at_once = max(account.largest_unmet, account.waiting)
        lease = self.lease.total_seconds()
        needed = max(at_once, math.ceil(account.use_per_second * lease * REFILL_THRESHOLD_LEASES))
        if usable >= needed or needed <= 0:
            return 0
        return max(at_once, math.ceil(account.use_per_second * lease * REFILL_TARGET_LEASES)) - usable

    # -- the account's answers ----------------------------------------------------------------------------
    def apply_grant(self, report: CustomerReport, grant: Grant, asked_at: timedelta, now: timedelta) -> None:
        """Take in the account's answer to a report that was asked for at `asked_at`."""
        account = self.accounts.get(report.customer)
        if account is None:
            return
        account.report_pending = False
        account.balance = grant.balance
        account.low_water = grant.low_water
        account.known = grant.known
        account.answered_at = now
        for settlement in report.settlements:
            self._confirm_settlement(account, settlement)
        if grant.allotment:
            account.exhausted_at = None
            account.largest_unmet = 0
            self._add_allotment(account, grant, asked_at + self.lease)
        elif report.wanted:
            account.exhausted_at = now
            account.largest_unmet = 0

    def _confirm_settlement(self, account: LocalAccount, settlement: Settlement) -> None:
        for allotment in [known for known in account.allotments if known.id == settlement.allotment]:
            allotment.acknowledged_spent = settlement.spent
            if settlement.final:
                account.allotments.remove(allotment)
                self.spent_store.end(allotment.id)

    def _add_allotment(self, account: LocalAccount, grant: Grant, expires_at: timedelta) -> None:
        # Guards the sum: a grant that cannot be recorded is closed by the next report.
        if not self.spent_store.begin(grant.allotment):
            return
        account.allotments.append(LocalAllotment(grant.allotment, grant.amount, expires_at))
        account.allotments.sort(key=lambda allotment: allotment.expires_at)

    def forget_report(self, report: CustomerReport) -> None:
        """Note that the answer to a report is lost for good.

        What that answer granted, if anything, is closed by the account on the next report, as unknown here.

        Args:
            report: The report that was sent to the account.
        """
        account = self.accounts.get(report.customer)
        if account is not None:
            account.report_pending = False

    def final_reports(self) -> list[CustomerReport]:
        """The reports of a head that shuts down; settlements are final where nothing is reserved."""
        reports = []
        for account in self.accounts.values():
            for allotment in account.allotments:
                allotment.closing = True
            settlements = tuple(
                Settlement(allotment.id, allotment.spent, final=not allotment.reserved)
                for allotment in account.allotments
            )
            if settlements:
                reports.append(CustomerReport(account.customer, account.allotment_ids(), settlements))
        return reports
