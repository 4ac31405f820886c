"""The search of tests/test_follower.py, deeper: all orders of faults up to a depth, and the states visited.

python -m benchmarks.follower_search [--depth 11]
"""

from __future__ import annotations

import argparse
import time

from stoatrouter.membership.follower import Follower
from tests.registry_model import search


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--depth", type=int, default=11)
    chosen = options.parse_args()
    for depth in range(4, chosen.depth + 1):
        began = time.perf_counter()
        states = search(Follower, depth)
        print(f"depth {depth}: {states} states, no rule broken, {time.perf_counter() - began:.1f} s")


if __name__ == "__main__":
    main()
