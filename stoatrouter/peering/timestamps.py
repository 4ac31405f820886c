"""Timestamps in the heads' log and files."""

from __future__ import annotations

from datetime import UTC, datetime


def utc_timestamp() -> str:
    """Return the time of day in UTC, in ISO 8601 form to the millisecond: `2026-12-02T20:30:00.123+00:00`."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")
