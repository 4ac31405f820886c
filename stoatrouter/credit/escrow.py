"""The escrow of one head: reserves request charges, and requests and settles allotments. No I/O, no clock.

| outcome of a request | charged | reason |
| --- | --- | --- |
| served, complete or forwarded as received | yes | the work was done |
| rejected or failed, no attempt was sent | no | no node received anything |
| rejected or failed, all attempts ended as never run (not connected, rejected, moot) | no | nothing ran |
| rejected or failed, an attempt reset, timed out, had an error or is unfinished | yes | it may have run |
| client disconnected, no attempt sent or all ended as never run | no | no work was done |
| client disconnected, an attempt is unfinished or ended otherwise | yes | it may have run |
| rejected by this package | no | it was never admitted |

A request is charged once, however many attempts it had. A head may spend an allotment until it expires, on
its own monotonic clock and counted from when the head requested it, which is earlier than the start of the
leader's count. Charges reserved before the expiry are still charged to the allotment: its final settlement
waits for its reservations.
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

# The delay before credit is requested again from an account that had none free.
EXHAUSTED_RETRY_DELAY = timedelta(milliseconds=250)
EXPECTED_GRANT_DELAY = timedelta(milliseconds=100)  # the approximate duration until a report is answered
# The interval between reports of spending while the balance is below the low-water mark.
LOW_BALANCE_REPORT_INTERVAL = timedelta(milliseconds=500)
MAX_REPORTS = 256  # customers in one command to the ledger
IDLE_ACCOUNT_TIMEOUT = (
    4 * USE_AVERAGING_SPAN
)  # an idle local account without allotments is dropped after this
# Credit is requested once the available amount lasts less than this many leases of recent use.
REFILL_THRESHOLD_LEASES = 0.5
REFILL_TARGET_LEASES = 1.5  # the requested amount lasts this many leases of recent use


class SpentStore(Protocol):
    """Storage that survives this process: the spent amount of each allotment."""

    def begin(self, allotment: str) -> bool:
        """Start recording an allotment; return False if there is no capacity, so it must not be used."""
        ...

    def set(self, allotment: str, spent: int) -> None:
        """Record the total amount spent from an allotment."""
        ...

    def end(self, allotment: str) -> None:
        """Stop recording an allotment, whose final settlement is booked."""
        ...


@dataclass(slots=True)
class HeadEscrow:
    """The allotments of one head, by customer, and the reservations of its requests."""

    lease: timedelta
    spent_store: SpentStore
    accounts: dict[str, LocalAccount] = field(default_factory=dict)  # by customer
    reservations: dict[str, Reservation] = field(default_factory=dict)  # by request id
    reachable: bool = True  # whether reports can reach the ledger, as far as this head knows
    charged: int = 0  # total since the start, in millionths of a credit unit; for metrics
    rejected: int = 0  # rejected requests since the start; for metrics

    # -- requests -----------------------------------------------------------------------------------------
    def reserve(
        self, request: str, customer: str, charge: int, rank: int, now: timedelta
    ) -> Rejection | None:
        """Reserve a request's charge.

        Args:
            request: The request's id.
            customer: The customer to charge.
            charge: The price of the request, in millionths of a credit unit; nothing is reserved for 0.
            rank: The rank of the request's class (`Rank`).
            now: The time on this head's monotonic clock.

        Returns:
            None if the charge is reserved; else the reason, and when a retry may succeed.
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
        """Charge or release a request's reservation when the request ends."""
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
        """Return the first allotment to expire that can cover the charge; None if there is none."""
        for allotment in account.allotments:
            # An expired allotment must not be used: the ledger may already count it as spent or refunded.
            if allotment.expires_at > now and allotment.available >= charge:
                return allotment
        return None

    def _reject_for_lack(self, account: LocalAccount) -> Rejection:
        if not self.reachable:
            return Rejection(None, RejectionReason.CUT_OFF)
        if not account.known:
            return Rejection(None, RejectionReason.UNKNOWN_CUSTOMER)
        if account.exhausted_at is not None and not account.report_pending:
            return Rejection(None, RejectionReason.EXHAUSTED)  # the time of the next payment is unknown
        return Rejection(EXPECTED_GRANT_DELAY, RejectionReason.ALLOTMENT_REQUESTED)

    # -- requests waiting for an allotment ----------------------------------------------------------------
    def may_wait(self, customer: str, charge: int, now: timedelta) -> bool:
        """Return whether no allotment can cover the charge now, but one may be granted soon."""
        account = self.accounts.get(customer)
        if account is None:
            return self.reachable
        if not self.reachable or self._find_allotment(account, charge, now) is not None:
            return False
        return account.known and not self._recently_exhausted(account, now)

    def request_allotment(self, customer: str, charge: int, now: timedelta) -> None:
        """Request an allotment that is large enough for a charge, with the next report."""
        account = self._account_of(customer)
        account.count_unmet(charge, now)
        account.used_at = max(account.used_at, now)

    def add_waiting(self, customer: str, charge: int) -> None:
        """Count a request as waiting; the requested amount covers all waiting requests."""
        self._account_of(customer).waiting += charge

    def remove_waiting(self, customer: str, charge: int) -> None:
        """Stop counting a request as waiting, whether or not an allotment was granted."""
        self.accounts[customer].waiting -= charge

    # -- reports to the ledger ----------------------------------------------------------------------------
    def due_reports(self, now: timedelta, max_reports: int = MAX_REPORTS) -> list[CustomerReport]:
        """Return the reports that are due, at most `max_reports`, and mark them as pending.

        A report is pending until `apply_grant` or `forget_report` is called. Idle accounts are dropped.
        """
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
        """Return whether a customer is idle at this head and has no allotments or waiting requests."""
        idle = now - account.used_at > IDLE_ACCOUNT_TIMEOUT
        return idle and not account.allotments and not account.waiting

    def _report(self, account: LocalAccount, now: timedelta) -> CustomerReport | None:
        """Return the report for one customer; None if there is nothing to report yet."""
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
            account.max_unmet_charge if wanted else 0,
        )

    def _report_is_due(self, account: LocalAccount, now: timedelta) -> bool:
        """Return whether a report that contains only spending is due."""
        every = LOW_BALANCE_REPORT_INTERVAL if account.funded_fraction() < 1 else self.lease / 2
        return account.answered_at is None or now - account.answered_at >= every

    @staticmethod
    def _recently_exhausted(account: LocalAccount, now: timedelta) -> bool:
        """Return whether the account had no free credit within the last EXHAUSTED_RETRY_DELAY."""
        if account.exhausted_at is None:
            return False
        return now < account.exhausted_at + EXHAUSTED_RETRY_DELAY

    def _wanted(self, account: LocalAccount, now: timedelta) -> int:
        """Return the amount to request, in millionths of a credit unit; 0 for none.

        Requests enough for REFILL_TARGET_LEASES of recent use, once the available amount falls below
        REFILL_THRESHOLD_LEASES of it.
        """
        unknown = not account.known and account.answered_at is not None
        if unknown or self._recently_exhausted(account, now):
            return 0
        # A charge is reserved from a single allotment, so remainders smaller than it do not count.
        usable = sum(
            allotment.available
            for allotment in account.allotments
            if allotment.expires_at > now + self.lease / 3 and allotment.available >= account.max_unmet_charge
        )
        at_once = max(account.max_unmet_charge, account.waiting)
        lease = self.lease.total_seconds()
        needed = max(at_once, math.ceil(account.use_per_second * lease * REFILL_THRESHOLD_LEASES))
        if usable >= needed or needed <= 0:
            return 0
        return max(at_once, math.ceil(account.use_per_second * lease * REFILL_TARGET_LEASES)) - usable

    # -- the ledger's answers -----------------------------------------------------------------------------
    def apply_grant(self, report: CustomerReport, grant: Grant, asked_at: timedelta, now: timedelta) -> None:
        """Process the ledger's answer to a report that was sent at `asked_at`."""
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
            account.max_unmet_charge = 0
            self._add_allotment(account, grant, asked_at + self.lease)
        elif report.wanted:
            account.exhausted_at = now
            account.max_unmet_charge = 0

    def _confirm_settlement(self, account: LocalAccount, settlement: Settlement) -> None:
        for allotment in [known for known in account.allotments if known.id == settlement.allotment]:
            allotment.acknowledged_spent = settlement.spent
            if settlement.final:
                account.allotments.remove(allotment)
                self.spent_store.end(allotment.id)

    def _add_allotment(self, account: LocalAccount, grant: Grant, expires_at: timedelta) -> None:
        # A grant that cannot be recorded is not used; the next report, which omits it, closes it.
        if not self.spent_store.begin(grant.allotment):
            return
        account.allotments.append(LocalAllotment(grant.allotment, grant.amount, expires_at))
        account.allotments.sort(key=lambda allotment: allotment.expires_at)

    def forget_report(self, report: CustomerReport) -> None:
        """Stop waiting for the answer to a report.

        If that answer granted an allotment, the ledger closes it on the next report, which does not list it.

        Args:
            report: The report that was sent.
        """
        account = self.accounts.get(report.customer)
        if account is not None:
            account.report_pending = False

    def final_reports(self) -> list[CustomerReport]:
        """Close all allotments for a shutdown and return the reports.

        The settlement of an allotment is final if nothing is reserved from it.
        """
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
