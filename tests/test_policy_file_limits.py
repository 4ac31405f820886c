"""Tests of the limits of policy files: lines, line length, and interface.py named in the first line."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
LINES_BY_FILE = {name: (ROOT / name).read_text().splitlines() for name in FILES}


def test_the_module_keeps_its_size():
    # Issue 33 removed the limit of 560 non-blank lines for the policy files together. Each file keeps its own
    # limits, and every module of the package is limited to 400 lines as well.
    for path in sorted((ROOT / "stoatrouter" / "policy").glob("*.py")):
        assert len(path.read_text().splitlines()) <= 400, path.name
    for name, lines in LINES_BY_FILE.items():
        assert max(map(len, lines)) <= 110 and len(lines) <= 400, name
        assert "interface.py" in lines[0], name
