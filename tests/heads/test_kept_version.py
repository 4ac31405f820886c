"""The version of the rules that a head keeps for a start without any other, and its files."""

from __future__ import annotations

import pytest

from stoatrouter.history import kept
from stoatrouter.history.records import pack
from stoatrouter.peering.rules import materialize
from tests.heads.test_history import content


def test_a_kept_version_is_read_as_written_and_each_flipped_bit_is_found_out():
    data = kept.write(kept.Kept(3, "d", pack(content("x")), "now"))
    assert kept.read(data).number == 3
    for at in range(0, len(data) * 8, 7):
        spoilt = bytearray(data)
        spoilt[at // 8] ^= 1 << at % 8
        with pytest.raises(kept.Unreadable):
            kept.read(bytes(spoilt))
    with pytest.raises(kept.Unreadable):
        kept.read(data[:-1])


def test_the_files_of_a_set_are_written_whole(tmp_path):
    path = materialize(tmp_path, pack(content("x")))
    assert path.name == "rules.cue" and path.read_text() == "x"
    assert (path.parent / "team.cue").read_text() == "team x"
    assert materialize(tmp_path, pack(content("x"))) == path and len(list(tmp_path.iterdir())) == 1
