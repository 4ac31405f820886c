"""Coverage-guided fuzzing of the language: any bytes are a value or a located refusal, and nothing else.

    python -m benchmarks.fuzz_expressions [--what expressions|settings] [--seconds 60] [--seed 1]

It runs atheris (`pip install -r requirements-bench.txt`) over the parser, checker and compiler, starting from
the conformance table; what is accepted is evaluated too. Or over settings files, from those under deploy/. A
finding is printed with its input, and ends it.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import atheris

DEPLOY = Path(__file__).parents[1] / "deploy"
TABLE = Path(__file__).parents[1] / "tests" / "data" / "expressions.txt"


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--what", choices=("expressions", "settings"), default="expressions")
    options.add_argument("--seconds", type=int, default=60)
    options.add_argument("--seed", type=int, default=1)
    chosen = options.parse_args()
    with atheris.instrument_imports(include=["stoatrouter.expressions", "stoatrouter.settings"]):
        from stoatrouter import expressions as ex
        from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, read_input
        from stoatrouter.matching.records import Rules
        from stoatrouter.settings import SettingsError, load_data, load_text
    given = read_input("GET", "/scores/a?x=1", ((b"Host", b"h"), (b"X-Team", b"feed")), "10.0.0.1", 5)
    counts = {"accepted": 0, "refused": 0}

    def settings(data: bytes) -> None:
        text = data.decode("utf-8", "replace")
        for read in (load_data, lambda given: load_text(given, "fuzz", Rules, "rules.#Rules")):
            try:
                read(text)
            except SettingsError as error:
                if not error.faults:
                    raise AssertionError("a refusal without a place") from error

    def one(data: bytes) -> None:
        try:
            program = ex.load(data.decode("utf-8", "replace"), HTTP_ENVIRONMENT)
        except ex.ExpressionError as error:
            counts["refused"] += 1
            if not error.problems:
                raise AssertionError("a refusal without a place") from error
            return
        counts["accepted"] += 1
        program.run(given)

    with tempfile.TemporaryDirectory() as corpus:
        if chosen.what == "settings":
            for i, path in enumerate(sorted(DEPLOY.glob("*.cue"))):
                (Path(corpus) / f"{i:04}").write_bytes(path.read_bytes())
        for i, line in enumerate(TABLE.read_text().splitlines() if chosen.what == "expressions" else ()):
            if " ==> " in line:
                (Path(corpus) / f"{i:04}").write_text(line.partition(" ==> ")[0])
        print(f"seed {chosen.seed}, {chosen.seconds} s")
        flags = [f"-max_total_time={chosen.seconds}", f"-seed={chosen.seed}", "-max_len=1200"]
        flags += ["-print_final_stats=1", f"-artifact_prefix={corpus}/", corpus]
        atheris.Setup([sys.argv[0], *flags], one if chosen.what == "expressions" else settings)
        atheris.Fuzz()


if __name__ == "__main__":
    main()
