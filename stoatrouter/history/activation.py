"""When a pending version is activated or abandoned: the leader's decision. No I/O, no clock.

Every live head checks and compiles the rule set and reports the result. A head that cannot load the set
blocks it; a head that has failed or left, or reports nothing within the check timeout, does not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.history.records import Abandon, Activate


@dataclass(slots=True, frozen=True)
class CheckResult:
    """The result of one head's check of a version."""

    loadable: bool
    error: str = ""  # with the file and line


def decide_activation(
    number: int,
    results: Mapping[str, CheckResult],
    live_heads: Iterable[str],
    elapsed: timedelta,
    check_timeout: timedelta,
    retained_versions: int,
) -> Activate | Abandon | None:
    """Decide about the pending version.

    Args:
        number: The pending version.
        results: The check results received so far, by head.
        live_heads: The heads that are not known to have failed or left.
        elapsed: Since this leader first saw the version pending.
        check_timeout: How long a live head that reports nothing may hold the version up.
        retained_versions: How many versions the history retains after an activation.

    Returns:
        The command for the log; None to wait for more results.
    """
    for head in sorted(results):
        if not results[head].loadable:
            return Abandon(number, f"{head} cannot load it: {results[head].error}")
    missing = [head for head in live_heads if head not in results]
    # Guards edits against a head that is live and stuck: it catches up later, as one that was cut off does.
    if missing and elapsed < check_timeout:
        return None
    return Activate(number, retained_versions) if results else None
