"""JSON lines of the family's commands as a table: values by size, the fitted line and its value at a size.

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
    """Sizes and values by name and unit, in the order in which they were measured."""
    points: Points = {}
    for file in files:
        for line in file.read_text().splitlines():
            record = json.loads(line)
            key = (record["name"], record["unit"])
            points.setdefault(key, []).append((record["size"], record["value"]))
    return points


def means(points: list[tuple[float, float]]) -> dict[float, float]:
    """The mean value at each size; several seeds may have been measured."""
    found: dict[float, list[float]] = {}
    for size, value in points:
        found.setdefault(size, []).append(value)
    return {size: sum(values) / len(values) for size, values in sorted(found.items())}


def extrapolated(fit: Fit, at: float) -> str:
    """The line's value at a size; marked where it lies far beyond what was measured."""
    value = f"{fit.at(at):.4g}"
    if fit.extrapolates(at):
        return f"{value} (extrapolated over {at / fit.largest:.1f} times)"
    return value if at <= fit.largest else f"{value} (beyond the largest size)"


def row(name: str, unit: str, points: list[tuple[float, float]], at: float | None) -> str:
    """One line of the table."""
    values = ", ".join(f"{size:g}: {value:.4g}" for size, value in means(points).items())
    if len({size for size, _ in points}) < 2:
        return f"| {name} | {unit} | {values} | | | | |"
    fit = fit_line(name, unit, points)
    line = f"{fit.base:.4g} + {fit.slope:.4g} x size"
    there = "" if at is None else extrapolated(fit, at)
    span = f"{fit.smallest:g} to {fit.largest:g}"
    return f"| {name} | {unit} | {values} | {line} | {fit.residual:.3g} | {span} | {there} |"


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--at", type=float, help="a size at which the lines are read")
    given = parser.parse_args()
    there = "" if given.at is None else f"at {given.at:g}"
    print(f"| figure | unit | values by size | line | residual | range | {there} |")
    print("| --- " * 7 + "|")
    for (name, unit), points in read_points(given.files).items():
        print(row(name, unit, points, given.at))


if __name__ == "__main__":
    main()
