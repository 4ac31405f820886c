"""The leader's decision to activate or abandon a pending version. No I/O, no clock.

Every live head checks and compiles the rule set and reports the result. A head that cannot load the rule set
prevents its activation. A head that has failed or left, or does not report within the check timeout, does
not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.history.records import Abandon, Activate


@dataclass(slots=True, frozen=True)
class CheckResult:
    """The result of a head's check of a version."""

    loadable: bool
    error: str = ""  # includes the file and line


def decide_activation(
    number: int,
    results: Mapping[str, CheckResult],
    live_heads: Iterable[str],
    elapsed: timedelta,
    check_timeout: timedelta,
    retained_versions: int,
) -> Activate | Abandon | None:
    """Decide whether to activate or abandon the pending version.

    Args:
        number: The number of the pending version.
        results: The check results received so far, by head.
        live_heads: The heads that are not known to have failed or left.
        elapsed: The time since this leader first saw the version pending.
        check_timeout: How long to wait for a live head that does not report.
        retained_versions: How many versions the history retains after an activation.

    Returns:
        The command to propose; None to wait for more results.
    """
    for head in sorted(results):
        if not results[head].loadable:
            return Abandon(number, f"{head} cannot load it: {results[head].error}")
    missing = [head for head in live_heads if head not in results]
    # A head that is alive but stuck must not block edits; it catches up later, like one that was cut off.
    if missing and elapsed < check_timeout:
        return None
    return Activate(number, retained_versions) if results else None
