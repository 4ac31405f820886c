"""Messages and snapshot state written before the Raft types were renamed still decode into the new types.

The bytes below were written by commit b966509 (classes `AskVote`, `GiveVote`, `Append`, `Appended`, `Install`
and `Held`); tags and field order define the format on the wire and on disk.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from stoatrouter.agreement.machine import MachineState
from stoatrouter.agreement.records import (
    AnyMessage,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    Voter,
)

OLD_MESSAGES = [
    (b"\x95\xa3ask\x03\x07\x02\xc3", RequestVote(3, 7, 2, True)),
    (b"\x94\xa4vote\x03\xc3\xc2", RequestVoteReply(3, True, False)),
    (
        b"\x9a\xa6append\x04\x06\x02\x91\x94\x07\x04\xa1c\xc4\x01x\x06\t\x05\xa7PT0.25S\xa4PT1S",
        AppendEntries(
            4, 6, 2, (Entry(7, 4, "c", b"x"),), 6, 9, 5, timedelta(milliseconds=250), timedelta(seconds=1)
        ),
    ),
    (
        b"\x96\xa8appended\x04\xc2\x05\t\xa7PT0.03S",
        AppendEntriesReply(4, False, 5, 9, timedelta(milliseconds=30)),
    ),
    (
        b"\x94\xa7install\x05\x94\x08\x04\x91\x92\xa1a\xa2i1\xc4\x02st\x02",
        InstallSnapshot(5, Snapshot(8, 4, (Voter("a", "i1"),), b"st"), 2),
    ),
]


@pytest.mark.parametrize(("old", "new"), OLD_MESSAGES)
def test_old_messages_decode_into_the_renamed_types(old, new):
    """The old bytes of each message decode to the renamed type, which encodes to the same bytes."""
    assert msgspec.msgpack.decode(old, type=AnyMessage) == new
    assert msgspec.msgpack.encode(new) == old


def test_old_snapshot_state_decodes_into_machine_state():
    """Snapshot state written as the old `Held` decodes to `MachineState`, which encodes to the same bytes."""
    old = b"\x92\x91\x92\xa3id1\xc4\x03ans\x81\xa6credit\xc4\x01p"
    state = msgspec.msgpack.decode(old, type=MachineState)
    assert state == MachineState([("id1", b"ans")], {"credit": b"p"})
    assert msgspec.msgpack.encode(state) == old
