"""When a version is put in force, and when it is abandoned: the leader's decision. No I/O, no clock.

Every live head checks and compiles the set and says so. One that can't load it stops it; one that is known to
have failed or left, or says nothing for longer than `within`, does not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.history.records import Abandon, Activate


@dataclass(slots=True, frozen=True)
class Checked:
    """What one head said of a version."""

    ok: bool
    why: str = ""  # with the place of the error


def decide(
    number: int,
    said: Mapping[str, Checked],
    live: Iterable[str],
    waited: timedelta,
    within: timedelta,
    keep: int,
) -> Activate | Abandon | None:
    """Put it in force, abandon it, or wait on."""
    for head in sorted(said):
        if not said[head].ok:
            return Abandon(number, f"{head} cannot load it: {said[head].why}")
    missing = [head for head in live if head not in said]
    # Guards edits against a head that is there and stuck: it catches up, as one that was cut off does.
    if missing and waited < within:
        return None
    return Activate(number, keep) if said else None
