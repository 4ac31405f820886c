"""Count readability problems per package: vague words in identifiers, missing docs, long functions and files.

The vague ("plain") words are those listed in issue 33 (``told``, ``news``, ``held`` ...): an identifier such
as ``told_at`` or ``ToldList`` counts once for ``told``. Identifiers come from Python's tokenizer, so strings
and comments do not count. Public items without a doc comment are counted by ruff with all D1 rules and no
per-file exemptions. The column "D, Google" counts all pydocstyle rules under the Google convention, as CI
checks finished packages. "over 30" counts functions of more than 30 lines, "over 400" files of more than 400
lines.

Run from the repository's root::

    python -m benchmarks.readability            # a table, one row per package
    python -m benchmarks.readability --json     # the same as JSON, for docs/measurements/

The doc comment figures need ruff (``.ci-venv/bin/ruff`` after ``make lint``) and are left out without it.
"""

from __future__ import annotations

import argparse
import ast
import io
import json
import re
import shutil
import subprocess
import sys
import tokenize
from collections import Counter
from pathlib import Path

PLAIN_WORDS = (
    "told",
    "news",
    "held",
    "kept",
    "aim",
    "worth",
    "cold",
    "room",
    "share",
    "life",
    "holder",
    "probe",
    "in_touch",
    "keyed",
)
ROOTS = ("stoatrouter", "cypressworks")  # the second held the policy package before it was moved
MAX_LINES = 400
MAX_FUNCTION_LINES = 30
COLUMNS = ("plain_words", "no_doc_comment", "docstyle", "long_functions", "over_400")
_CAMEL_BOUNDARY = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


def identifier_words(name: str) -> list[str]:
    """Split an identifier into lower-case words: ``ToldList`` and ``told_list`` both give told, list."""
    spaced = _CAMEL_BOUNDARY.sub("_", name).lower()
    words = [word for word in spaced.split("_") if word]
    joined = "_".join(words)
    if "in_touch" in joined:
        words.append("in_touch")
    return words


def plain_words_in(path: Path) -> Counter[str]:
    """Count the plain words in the identifiers of one file; a file that does not tokenize counts none."""
    counts: Counter[str] = Counter()
    try:
        tokens = list(tokenize.generate_tokens(io.StringIO(path.read_text()).readline))
    except (tokenize.TokenError, SyntaxError, UnicodeDecodeError):
        return counts
    for token in tokens:
        if token.type != tokenize.NAME:
            continue
        for word in identifier_words(token.string):
            if word in PLAIN_WORDS:
                counts[word] += 1
    return counts


def long_functions_in(path: Path) -> int:
    """Count the functions and methods of one file that are longer than the limit, docstring included."""
    functions = (
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    return sum((node.end_lineno or node.lineno) - node.lineno + 1 > MAX_FUNCTION_LINES for node in functions)


def empty_row() -> dict[str, int]:
    """Return a row of zero counts for a package."""
    return {"plain_words": 0, "over_400": 0, "long_functions": 0, "files": 0}


def package_of(path: Path) -> str:
    """Return the package of a file: the first two parts of its path (``stoatrouter/core``), or its root."""
    parts = path.parts
    if len(parts) > 2:
        return "/".join(parts[:2])
    return parts[0]


def docstring_findings(root: Path, rules: str) -> Counter[str] | None:
    """Count findings of ruff's pydocstyle ``rules`` per package (Google convention); None without ruff."""
    ruff = root / ".ci-venv" / "bin" / "ruff"
    command = str(ruff) if ruff.exists() else shutil.which("ruff")
    if command is None:
        return None
    roots = [top for top in ROOTS if (root / top).is_dir()]
    convention = 'lint.pydocstyle.convention = "google"'
    result = subprocess.run(
        [command, "check", "--isolated", "--select", rules, "--config", convention, "--output-format", "json"]
        + roots,
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
    )
    counts: Counter[str] = Counter()
    for finding in json.loads(result.stdout or "[]"):
        relative = Path(finding["filename"]).resolve().relative_to(root.resolve())
        counts[package_of(relative)] += 1
    return counts


def measure(root: Path) -> dict[str, dict[str, int]]:
    """Count plain words, long functions and files, and missing doc comments for each package."""
    table: dict[str, dict[str, int]] = {}
    for top in ROOTS:
        for path in sorted((root / top).rglob("*.py")):
            relative = path.relative_to(root)
            row = table.setdefault(package_of(relative), empty_row())
            row["long_functions"] += long_functions_in(path)
            row["plain_words"] += sum(plain_words_in(path).values())
            row["files"] += 1
            if len(path.read_text().splitlines()) > MAX_LINES:
                row["over_400"] += 1
    for column, rules in (("no_doc_comment", "D1"), ("docstyle", "D")):
        findings = docstring_findings(root, rules)
        for package, count in (findings or {}).items():
            table.setdefault(package, empty_row())[column] = count
    return table


def words_by_name(root: Path) -> Counter[str]:
    """Count each plain word over both roots."""
    total: Counter[str] = Counter()
    for top in ROOTS:
        for path in (root / top).rglob("*.py"):
            total.update(plain_words_in(path))
    return total


def table_line(cells: tuple[str | int, ...], widths: tuple[int, ...]) -> str:
    """Format one line of the table, with the package aligned left and figures aligned right."""
    first, *figures = (str(cell) for cell in cells)
    aligned = (figure.rjust(width) for figure, width in zip(figures, widths[1:], strict=True))
    return " ".join((first.ljust(widths[0]), *aligned))


def main(argv: list[str] | None = None) -> int:
    """Print the table, or JSON with ``--json``."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")
    arguments = parser.parse_args(argv)
    root = Path.cwd()
    table = measure(root)
    by_word = words_by_name(root)
    if arguments.json:
        json.dump({"packages": table, "words": dict(by_word)}, sys.stdout, indent=1, sort_keys=True)
        print()
        return 0
    header = ("package", "files", "plain words", "no doc comment", "D, Google", "over 30", "over 400")
    widths = (28, 5, 11, 14, 9, 7, 8)
    print(table_line(header, widths))
    for package in sorted(table):
        row = table[package]
        cells = (package, row["files"], *(row.get(column, 0) for column in COLUMNS))
        print(table_line(cells, widths))
    totals = [sum(row.get(column, 0) for row in table.values()) for column in ("files", *COLUMNS)]
    print(table_line(("all", *totals), widths))
    print("words: " + ", ".join(f"{word} {by_word[word]}" for word in PLAIN_WORDS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
