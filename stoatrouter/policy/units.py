"""Units and common constants of the decision module; times are whole microseconds, as in interface.py."""

from __future__ import annotations

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
NEVER = 1 << 62  # microseconds: later than any clock reading
EPSILON = 1e-9  # units of work: above any rounding error of sums, below any request
CONTROL_INTERVAL = 100 * MS  # between control cycles: controllers run, pending requests are re-examined
