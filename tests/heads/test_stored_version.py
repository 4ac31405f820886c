"""The version of the rules that a head stores for a start without any other head, and its files.

``tests/data/rules-8ad4498.kept`` was written by commit 8ad4498 (RulesService.keep): every later release must
read it and write the same bytes.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from stoatrouter.history.records import digest_rule_set, pack_rule_set, unpack_rule_set
from stoatrouter.history.stored_version import (
    CorruptVersionError,
    StoredVersion,
    decode_stored_version,
    encode_stored_version,
)
from stoatrouter.peering.rule_store import write_rule_set
from tests.heads.test_history import rule_set

RECORDED_VERSION = Path(__file__).parents[1] / "data" / "rules-8ad4498.kept"


def test_a_stored_version_is_read_as_written_and_each_flipped_bit_is_found_out():
    data = encode_stored_version(StoredVersion(3, "d", pack_rule_set(rule_set("x")), "now"))
    assert decode_stored_version(data).number == 3
    for at in range(0, len(data) * 8, 7):
        corrupted = bytearray(data)
        corrupted[at // 8] ^= 1 << at % 8
        with pytest.raises(CorruptVersionError):
            decode_stored_version(bytes(corrupted))
    with pytest.raises(CorruptVersionError):
        decode_stored_version(data[:-1])


def test_a_version_that_an_earlier_release_stored_is_read_and_written_alike():
    data = RECORDED_VERSION.read_bytes()
    version = decode_stored_version(data)
    assert version.number == 7 and version.when == "2026-12-02T20:30:00.123+00:00"
    rules = unpack_rule_set(version.packed_rules)
    assert rules.root == "rules.cue" and digest_rule_set(rules) == version.digest
    assert rules.files["team.cue"] == "package rules\n// of ünit 1\n"
    assert encode_stored_version(version) == data


def test_the_files_of_a_set_are_written_whole(tmp_path):
    path = write_rule_set(tmp_path, pack_rule_set(rule_set("x")))
    assert path.name == "rules.cue" and path.read_text() == "x"
    assert (path.parent / "team.cue").read_text() == "team x"
    assert (
        write_rule_set(tmp_path, pack_rule_set(rule_set("x"))) == path and len(list(tmp_path.iterdir())) == 1
    )
