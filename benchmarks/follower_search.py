"""Deeper run of the search in tests/test_follower.py: all orders of faults up to a depth.

python -m benchmarks.follower_search [--depth 11]
"""

from __future__ import annotations

import argparse
import time

from stoatrouter.membership.follower import Follower
from tests.registry_model import search


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=11)
    arguments = parser.parse_args()
    for depth in range(4, arguments.depth + 1):
        started_at = time.perf_counter()
        states = search(Follower, depth)
        print(f"depth {depth}: {states} states, no violation, {time.perf_counter() - started_at:.1f} s")


if __name__ == "__main__":
    main()
