"""KNOWN-RED.txt: what it may say, and that each test it names is there."""

import subprocess
import sys

import pytest

from tests.known_red import FILE, KnownRed, KnownRedError, parse_known_red, read_known_red

LINE = "tests/test_a.py::test_b[1] | was served more than paid in | pytest ..., seed 1: 27,000 | issue 1"
TEST_FILE = """
import pytest

@pytest.mark.parametrize("n", [1, 2, 3])
def test_b(n):
    assert n != 1, "was served more than paid in"
    assert n != 2, "another fault"

@pytest.fixture
def broken():
    raise RuntimeError("was served more than paid in")

def test_c(broken):
    pass
"""


def test_each_line_names_a_test_its_failure_what_was_seen_and_its_issue():
    test = "tests/test_a.py::test_b[1]"
    entry = KnownRed(test, "was served more than paid in", "pytest ..., seed 1: 27,000", "issue 1")
    assert parse_known_red(f"{LINE}\n\n") == {test: entry}


@pytest.mark.parametrize(
    "text, found",
    [
        ("tests/test_a.py::test_b | a failure | issue 1", "line 1: found"),
        ("tests/test_a.py::test_b | | seen | issue 1", "line 1: found"),
        (LINE.replace("was served more than paid in", "Error"), "shorter than 12 characters"),
        (LINE.replace("was served more than paid in", "Failing test case: test_b"), "names a test"),
        (f"{LINE}\n{LINE}", "line 2: tests/test_a.py::test_b[1] is named twice"),
    ],
)
def test_a_file_that_says_too_little_is_refused(text, found):
    with pytest.raises(KnownRedError) as caught:
        parse_known_red(text)
    assert found in str(caught.value)


def test_only_the_known_failure_of_a_listed_test_is_passed_over(tmp_path):
    """All are listed with one text: one fails with it, one otherwise, one passes, one fails in its setup."""
    (tmp_path / "test_a.py").write_text(TEST_FILE)
    names = [f"test_a.py::{name}" for name in ("test_b[1]", "test_b[2]", "test_b[3]", "test_c")]
    entries = [LINE.replace("tests/test_a.py::test_b[1]", name) for name in names]
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(entries))
    (tmp_path / "conftest.py").write_text(
        f"import sys\nsys.path.insert(0, {str(FILE.parent)!r})\n"
        "from pathlib import Path\nfrom tests import conftest, known_red\n"
        "from tests.conftest import pytest_runtest_makereport\n"
        "conftest.KNOWN_RED = known_red.read_known_red(Path(__file__).parent / 'KNOWN-RED.txt')\n"
    )
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-n2",
        "-rA",
        "-p",
        "no:cacheprovider",
        "--rootdir=.",
        ".",
    ]
    played = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    assert played.returncode == 1, played.stdout + played.stderr
    for line in ("XFAIL test_a.py::test_b[1]", "FAILED test_a.py::test_b[2]", "XPASS test_a.py::test_b[3]"):
        assert line in played.stdout, played.stdout
    assert "ERROR test_a.py::test_c" in played.stdout


def test_every_test_that_is_named_is_there():
    for name in read_known_red():
        command = [sys.executable, "-m", "pytest", "-q", "-n0", "--collect-only", name]
        collected = subprocess.run(command, cwd=FILE.parent, capture_output=True, text=True, check=False)
        assert collected.returncode == 0, collected.stdout
