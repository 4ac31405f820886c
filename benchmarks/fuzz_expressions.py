"""Coverage-guided fuzzing of the expression language: any input gives a value or an error with a location.

    python -m benchmarks.fuzz_expressions [--what expressions|settings] [--seconds 60] [--seed 1]

Runs atheris (`pip install -r requirements-bench.txt`) over the parser, checker and compiler, with the
conformance table as corpus, and evaluates accepted expressions. With `--what settings` it runs over the
reader of settings files, with those under deploy/ as corpus. The first finding is printed with its input and
ends the run.
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
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--what", choices=("expressions", "settings"), default="expressions")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with atheris.instrument_imports(include=["stoatrouter.expressions", "stoatrouter.settings"]):
        from stoatrouter import expressions as ex
        from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, read_input
        from stoatrouter.matching.records import Rules
        from stoatrouter.settings import SettingsError, load_data, load_text
    request_input = read_input("GET", "/scores/a?x=1", ((b"Host", b"h"), (b"X-Team", b"feed")), "10.0.0.1", 5)
    counts = {"accepted": 0, "refused": 0}

    def fuzz_settings(data: bytes) -> None:
        text = data.decode("utf-8", "replace")
        for read in (load_data, lambda text: load_text(text, "fuzz", Rules, "rules.#Rules")):
            try:
                read(text)
            except SettingsError as error:
                if not error.faults:
                    raise AssertionError("a rejection without a location") from error

    def fuzz_expression(data: bytes) -> None:
        try:
            program = ex.load(data.decode("utf-8", "replace"), HTTP_ENVIRONMENT)
        except ex.ExpressionError as error:
            counts["refused"] += 1
            if not error.problems:
                raise AssertionError("a rejection without a location") from error
            return
        counts["accepted"] += 1
        program.run(request_input)

    with tempfile.TemporaryDirectory() as corpus:
        if arguments.what == "settings":
            for i, path in enumerate(sorted(DEPLOY.glob("*.cue"))):
                (Path(corpus) / f"{i:04}").write_bytes(path.read_bytes())
        for i, line in enumerate(TABLE.read_text().splitlines() if arguments.what == "expressions" else ()):
            if " ==> " in line:
                (Path(corpus) / f"{i:04}").write_text(line.partition(" ==> ")[0])
        print(f"seed {arguments.seed}, {arguments.seconds} s")
        flags = [f"-max_total_time={arguments.seconds}", f"-seed={arguments.seed}", "-max_len=1200"]
        flags += ["-print_final_stats=1", f"-artifact_prefix={corpus}/", corpus]
        atheris.Setup(
            [sys.argv[0], *flags], fuzz_expression if arguments.what == "expressions" else fuzz_settings
        )
        atheris.Fuzz()


if __name__ == "__main__":
    main()
