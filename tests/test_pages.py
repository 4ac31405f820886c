"""Tests that the paths named in the overview pages exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "docs/ARCHITECTURE.md")
# In backticks, with a folder: `net/engine.py`, `stoatrouter/policy/`, `deploy/heads.cue`.
PATH = re.compile(r"`([\w.-]+/[\w./-]*)`")
SUFFIXES = (".py", ".md", ".cue", ".toml", "/")
BASE_FOLDERS = (ROOT, ROOT / "stoatrouter")
# Paths that operators choose, or that are in the operators' own pages.
EXTERNAL_PATHS = {"folder/NAME", "rules/"}


def missing_paths(text: str) -> list[str]:
    """Return the paths that a page names and that exist neither in the repository nor in its package."""
    named = {path for path in PATH.findall(text) if path.endswith(SUFFIXES)} - EXTERNAL_PATHS
    return sorted(path for path in named if not any((base / path).exists() for base in BASE_FOLDERS))


@pytest.mark.parametrize("page", PAGES)
def test_the_paths_that_a_page_names_are_there(page):
    assert missing_paths((ROOT / page).read_text()) == []


def test_a_path_that_is_not_there_is_found():
    text = "`net/engine.py` puts events to `core/gone.py`, see `docs/ARCHITECTURE.md` and `stoatrouter/none/`"
    assert missing_paths(text) == ["core/gone.py", "stoatrouter/none/"]
