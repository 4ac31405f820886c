"""What all tests share."""

from __future__ import annotations

from datetime import timedelta

import pytest

from stoatrouter.net import listener


@pytest.fixture(autouse=True)
def short_farewell(monkeypatch):
    """Heads inside a test need not wait for late connections; the program's own tests do."""
    for name in ("LONGEST_TAKE", "RESENT_FOR"):
        monkeypatch.setattr(listener, name, timedelta(milliseconds=5))
