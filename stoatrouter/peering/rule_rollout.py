"""The rollout of versions to all heads: reports of each head to the leader, and the leader's decision.

history/activation.py decides when a version is activated or abandoned.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from loguru import logger

from stoatrouter.history.activation import CheckResult, decide_activation
from stoatrouter.history.records import Abandon, Activate, Command, CommandResult
from stoatrouter.history.rule_history import RuleHistory
from stoatrouter.peering.envelope import Envelope
from stoatrouter.peering.errors import PeerUnreachable, ReplicationError
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.parts import RULES
from stoatrouter.peering.settings import RulesSettings

REPORT = "rules"  # the kind of a HeadReport on streams
STATUS = "rules-status"  # the kind of a request for the RolloutStatus
REPORT_INTERVAL = timedelta(seconds=2)
REPORT_INTERVAL_PENDING = timedelta(milliseconds=300)  # while a version is pending
REPORT_LIFETIME = timedelta(seconds=10)  # older reports are left out of the status
STREAM_TIMEOUT = timedelta(seconds=1)
COMMAND_TIMEOUT = timedelta(seconds=3)


class HeadReport(msgspec.Struct, frozen=True, array_like=True):
    """What one head reports to the leader. Sent over streams: fields are identified by position."""

    active_version: int  # 0: the head's own files
    checked_version: int = 0  # the pending version, once this head has tried to load it
    loadable: bool = True
    error: str = ""  # with the file and line


class RolloutStatus(msgspec.Struct, frozen=True, array_like=True):
    """The active versions known to the leader. Sent over streams: fields are identified by position."""

    active_versions: dict[str, int]  # by head
    live_heads: list[str]  # sorted


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A head's report and the monotonic time of its arrival."""

    report: HeadReport
    received_at: timedelta


class RuleRollout:
    """Sends one head's reports, and decides about the pending version while it leads."""

    def __init__(
        self,
        settings: RulesSettings,
        fleet: Fleet,
        history: RuleHistory,
        make_report: Callable[[], HeadReport],
    ) -> None:
        """Register the handlers of other heads' reports and status requests.

        Args:
            settings: The operator's settings of the history.
            fleet: The heads.
            history: The replicated history of versions.
            make_report: Returns this head's own report.
        """
        self.settings, self.fleet, self.history, self.make_report = settings, fleet, history, make_report
        self._received: dict[str, ReceivedReport] = {}  # by head; used while this head leads
        self._sent: HeadReport | None = None
        self._sent_at = timedelta(0)
        self._pending_number = 0  # the pending version seen while leading; 0: none
        self._pending_since = timedelta(0)
        fleet.handlers[REPORT] = self.receive_report
        fleet.handlers[STATUS] = self.answer_status

    # -- reports ------------------------------------------------------------------------------------------
    async def send_report(self) -> None:
        """Report to the leader, at once if the report has changed, otherwise periodically."""
        report, now = self.make_report(), self.fleet.now()
        interval = REPORT_INTERVAL if self.history.pending is None else REPORT_INTERVAL_PENDING
        if report == self._sent and now < self._sent_at + interval:
            return
        self._sent, self._sent_at = report, now
        leader = self.fleet.leader
        if leader == self.fleet.settings.name:
            self._received[leader] = ReceivedReport(report, now)
        elif leader is not None:
            with contextlib.suppress(PeerUnreachable):
                await self.fleet.streams.request(
                    leader, REPORT, msgspec.msgpack.encode(report), STREAM_TIMEOUT
                )

    async def receive_report(self, envelope: Envelope) -> bytes:
        """Store another head's report, at the leader; return an empty answer."""
        report = msgspec.msgpack.decode(envelope.body, type=HeadReport)
        self._received[envelope.sender.name] = ReceivedReport(report, self.fleet.now())
        return b""

    def _receive_own_report(self) -> timedelta:
        """Store this head's own report, at the leader; return the time."""
        now = self.fleet.now()
        self._received[self.fleet.settings.name] = ReceivedReport(self.make_report(), now)
        return now

    # -- the leader's decision ----------------------------------------------------------------------------
    async def decide_pending(self) -> None:
        """Activate or abandon the pending version once that can be decided, if this head leads."""
        pending = self.history.pending
        if pending is None or not self.fleet.replication.raft.settled:
            self._pending_number = 0
            return
        now = self._receive_own_report()
        if self._pending_number != pending.number:
            self._pending_number, self._pending_since = pending.number, now
        decision = decide_activation(
            pending.number,
            self._check_results(pending.number),
            self.fleet.live_heads(),
            now - self._pending_since,
            self.settings.check_within,
            self.settings.versions,
        )
        if decision is not None:
            await self._submit_decision(decision)

    def _check_results(self, number: int) -> dict[str, CheckResult]:
        reports = {name: received.report for name, received in self._received.items()}
        return {
            name: CheckResult(report.loadable, report.error)
            for name, report in reports.items()
            if report.checked_version == number
        }

    async def _submit_decision(self, decision: Activate | Abandon) -> None:
        # The id contains the class's name and is part of the log: renaming the class changes the ids.
        id = f"rules/{type(decision).__name__}/{decision.number}/{self.fleet.me.identity}"
        try:
            await self.submit_command(decision, id)
        except ReplicationError:
            return  # the next leader decides again
        if isinstance(decision, Abandon):
            logger.warning(
                "rules: version {number} was abandoned: {why}",
                event="rules.abandoned",
                number=decision.number,
                why=decision.reason,
            )

    async def submit_command(self, command: Command, id: str) -> CommandResult:
        """Submit a command to the replicated log under an idempotency key.

        Raises:
            ReplicationError: No leader confirmed it in time; it may still be applied.
        """
        body = msgspec.msgpack.encode(command)
        answer = await self.fleet.command(RULES, body, id, COMMAND_TIMEOUT)
        return msgspec.msgpack.decode(answer, type=CommandResult)

    # -- status -------------------------------------------------------------------------------------------
    async def answer_status(self, envelope: Envelope) -> bytes:
        """Answer another head's request for the status, at the leader."""
        return msgspec.msgpack.encode(self._status())

    def _status(self) -> RolloutStatus:
        now = self._receive_own_report()
        active_versions = {
            name: received.report.active_version
            for name, received in self._received.items()
            if now < received.received_at + REPORT_LIFETIME
        }
        return RolloutStatus(active_versions, sorted(self.fleet.live_heads()))

    async def fetch_status(self) -> RolloutStatus | None:
        """Fetch the status from the leader; None if it does not answer."""
        leader = self.fleet.leader
        if leader == self.fleet.settings.name:
            return self._status()
        try:
            _, body = await self.fleet.streams.request(leader or "", STATUS, b"", STREAM_TIMEOUT)
            return msgspec.msgpack.decode(body, type=RolloutStatus)
        except (PeerUnreachable, msgspec.MsgspecError):
            return None
