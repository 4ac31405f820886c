"""Durations recorded as p50, p99 and slowest."""

from __future__ import annotations

import math

from benchmarks.capacity.harness import Measurement, Run


def record_times(
    run: Run, name: str, size: int, durations: list[float], unit: str = "s", seed: int = 0
) -> None:
    """Record the p50, the p99 and the slowest of durations."""
    ordered = sorted(durations)
    for label, share in (("p50", 0.50), ("p99", 0.99), ("slowest", 1.0)):
        index = min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)
        details: dict[str, float | int | str] = {"times": len(ordered)}
        run.add(Measurement(f"{name}, {label}", size, round(ordered[index], 3), unit, seed, details))
