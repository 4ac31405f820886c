"""Logs the periods in which a head's copy of the ledger is not current, and how requests fare in them.

credit/ledger_freshness.py decides when the copy is current, and what follows from that.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from stoatrouter.credit.gate import UnownedCounts
from stoatrouter.credit.ledger_freshness import LedgerFreshness, UnknownVolumes

REPORT_INTERVAL = timedelta(seconds=5)  # between two lines about one gap: a killed head logs no end


class LedgerMonitor:
    """Watches how current one head's copy of the ledger is."""

    def __init__(
        self,
        freshness: Callable[[], LedgerFreshness],
        counts: UnownedCounts,
        unknown_volumes: UnknownVolumes,
        now: Callable[[], timedelta],
    ) -> None:
        """Start watching.

        Args:
            freshness: Returns what the head knows of the ledger now.
            counts: The gate's counts since the head's start.
            unknown_volumes: The policy in a gap for volumes without a known customer.
            now: The head's monotonic time.
        """
        self._freshness = freshness
        self._counts = counts
        self._unknown_volumes = unknown_volumes
        self._now = now
        self._last_logged = LedgerFreshness.CURRENT  # the state logged last
        self._gap_began_at = now()
        self._reported_at = now()
        self._before_gap = UnownedCounts()

    def refresh(self) -> None:
        """Log a change since the last call and, while a gap lasts, its counts every REPORT_INTERVAL."""
        freshness = self._freshness()
        if freshness is not self._last_logged:
            if freshness is LedgerFreshness.CURRENT:
                self._report_end()
            else:
                self._report_gap(freshness)
            self._last_logged = freshness
        elif freshness is not LedgerFreshness.CURRENT:
            self._report_progress()

    def close(self) -> None:
        """Log the counts of a gap that is still open when the head stops."""
        if self._last_logged is not LedgerFreshness.CURRENT:
            self._log_gap()

    def _report_gap(self, freshness: LedgerFreshness) -> None:
        if self._last_logged is LedgerFreshness.CURRENT:
            self._gap_began_at = self._now()
            self._before_gap = self._counts.copy()
        self._reported_at = self._now()
        logger.info(
            "credit: the ledger is {state}; policy for priced requests of unknown volumes: {policy}",
            event="credit.ledger_gap_began",
            state=freshness.value,
            policy=self._unknown_volumes.value,
        )

    def _report_progress(self) -> None:
        if self._now() >= self._reported_at + REPORT_INTERVAL:
            self._reported_at = self._now()
            self._log_gap()

    def _log_gap(self) -> None:
        logger.info(
            "credit: the ledger has been {state} for {seconds:.1f} s: {rejected} rejected, "
            "{served} uncharged",
            event="credit.ledger_gap",
            state=self._last_logged.value,
            **self._gap_fields(),
        )

    def _report_end(self) -> None:
        logger.info(
            "credit: the ledger is current after {seconds:.1f} s: {rejected} rejected, {served} uncharged",
            event="credit.ledger_current",
            **self._gap_fields(),
        )

    def _gap_fields(self) -> dict[str, float]:
        """Return the length of the gap in seconds, and the counts of requests in it."""
        return {
            "seconds": (self._now() - self._gap_began_at) / timedelta(seconds=1),
            "rejected": self._counts.rejected - self._before_gap.rejected,
            "served": self._counts.served - self._before_gap.served,
        }
