"""The cases of the second review as tests, for KNOWN-RED.txt; outside of the default test run.

.ci-venv/bin/python -m pytest -q review/test_cases_2.py, after the deploy file's build and review/build-2.sh.
"""

import subprocess
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent
HELD, BROKEN = 0, 1
TIME_LIMIT = 130  # seconds; a script ends by itself after 120 at most


@pytest.mark.parametrize("case", ["6", "7", "8", "9", "10"])
def test_the_rule_holds(case):
    """A case's script ends with 0: the rule held; 2: it could not run."""
    code = subprocess.run([FOLDER / case / "run.sh"], timeout=TIME_LIMIT, check=False).returncode
    assert code != BROKEN, f"the rule of case {case} was broken"
    assert code == HELD, f"case {case} could not run: exit {code}"
