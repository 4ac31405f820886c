"""Tests that a process reads what an earlier version stored or handed over.

The files under ``tests/data/`` were written by the code of commit b966509, before names in
``stoatrouter/net`` changed; a new process must still read them as they are.
"""

from __future__ import annotations

import json
import shutil
from datetime import timedelta
from pathlib import Path

from stoatrouter.core.model import AdministrativeState, NodeInfo
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.net.state_format import read_node, write_node
from stoatrouter.policy.interface import Phase

DATA = Path(__file__).parent / "data"
STATE_FILE_NAME = "stoatrouter-bricks.json"
WRITTEN_STATE = AdministrativeState(
    {"node-a": timedelta(seconds=12, microseconds=345678)},
    {"node-b": (timedelta(seconds=3), timedelta(seconds=7, microseconds=1))},
)
WRITTEN_NODE = NodeInfo(
    "node-a", "10.0.0.1:9000", 2, Phase.DRAINING, 1, 0.5, timedelta(seconds=5, microseconds=42)
)


def test_a_state_file_that_main_wrote_is_read(tmp_path):
    shutil.copy(DATA / STATE_FILE_NAME, tmp_path / STATE_FILE_NAME)
    assert AdministrativeStateFile(str(tmp_path)).read() == WRITTEN_STATE


def test_the_state_file_is_written_in_main_s_form_byte_for_byte(tmp_path):
    assert AdministrativeStateFile(str(tmp_path)).write(WRITTEN_STATE)
    assert (tmp_path / STATE_FILE_NAME).read_bytes() == (DATA / STATE_FILE_NAME).read_bytes()


def test_a_node_that_main_handed_over_is_read():
    assert read_node(json.loads((DATA / "handover-node.json").read_text())) == WRITTEN_NODE


def test_a_node_is_handed_over_in_main_s_form():
    assert json.dumps(write_node(WRITTEN_NODE)) == (DATA / "handover-node.json").read_text()
