"""What all tests share."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter import head
from stoatrouter.core.list_times import list_times
from stoatrouter.net import listener


@pytest.fixture(autouse=True)
def short_farewell(monkeypatch):
    """Heads inside a test need not wait for late connections; the program's own tests do."""
    for name in ("LONGEST_TAKE", "RESENT_FOR"):
        monkeypatch.setattr(listener, name, timedelta(milliseconds=5))


@pytest.fixture(autouse=True)
def short_first_answer(monkeypatch):
    """Heads inside a test start at once where it has no discovery; tests of a start have the real time."""
    short = timedelta(milliseconds=5)
    monkeypatch.setattr(head, "list_times", lambda *told: replace(list_times(*told), first=short))
