"""The units of the decision module's figures, as interface.py counts them: whole microseconds."""

from __future__ import annotations

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
NEVER = 1 << 62  # microseconds: later than any clock reading
TINY = 1e-9  # units of work: above any rounding error of sums, below any request
READ_EVERY = 100 * MS  # how often the controllers read the averages, and what waits is looked at again
