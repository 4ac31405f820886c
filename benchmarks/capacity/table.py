"""Print JSON lines of the capacity benchmarks as a table: values by size, the fit and its value at a size.

python -m benchmarks.capacity.table --at 740 docs/measurements/data/capacity-voters-3.jsonl
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable
from pathlib import Path

from benchmarks.capacity.harness import Fit, fit_line

Points = dict[tuple[str, str], list[tuple[float, float]]]


def read_points(files: Iterable[Path]) -> Points:
    """Read sizes and values by name and unit, in the order of measurement."""
    points: Points = {}
    for file in files:
        for line in file.read_text().splitlines():
            record = json.loads(line)
            key = (record["name"], record["unit"])
            points.setdefault(key, []).append((record["size"], record["value"]))
    return points


def means(points: list[tuple[float, float]]) -> dict[float, float]:
    """Return the mean value at each size, over all seeds."""
    values_by_size: dict[float, list[float]] = {}
    for size, value in points:
        values_by_size.setdefault(size, []).append(value)
    return {size: sum(values) / len(values) for size, values in sorted(values_by_size.items())}


def extrapolated(fit: Fit, at: float) -> str:
    """Return the value of a fit at a size as text, marked if it is beyond the measured sizes."""
    value = f"{fit.at(at):.4g}"
    if fit.extrapolates(at):
        return f"{value} (extrapolated over {at / fit.largest:.1f} times)"
    return value if at <= fit.largest else f"{value} (beyond the largest size)"


def row(name: str, unit: str, points: list[tuple[float, float]], at: float | None) -> str:
    """Return one row of the table."""
    values = ", ".join(f"{size:g}: {value:.4g}" for size, value in means(points).items())
    if len({size for size, _ in points}) < 2:
        return f"| {name} | {unit} | {values} | | | | |"
    fit = fit_line(name, unit, points)
    line = f"{fit.base:.4g} + {fit.slope:.4g} x size"
    value_at = "" if at is None else extrapolated(fit, at)
    span = f"{fit.smallest:g} to {fit.largest:g}"
    return f"| {name} | {unit} | {values} | {line} | {fit.residual:.3g} | {span} | {value_at} |"


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--at", type=float, help="size at which to evaluate the fits")
    arguments = parser.parse_args()
    at_heading = "" if arguments.at is None else f"at {arguments.at:g}"
    print(f"| figure | unit | values by size | line | residual | range | {at_heading} |")
    print("| --- " * 7 + "|")
    for (name, unit), points in read_points(arguments.files).items():
        print(row(name, unit, points, arguments.at))


if __name__ == "__main__":
    main()
