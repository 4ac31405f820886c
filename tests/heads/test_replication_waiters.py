"""Nothing is kept for callers that no longer wait for the agreement's answer.

Guards memory: when a read timed out and was rejected later, as its leader stepped down, the rejection was
kept for ever, as if a proposal were still going to take it.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from stoatrouter.agreement.machine import Machine
from stoatrouter.agreement.raft import Timing
from stoatrouter.agreement.records import Rejected, RejectReason, Voter
from stoatrouter.peering.errors import ProposalRejected
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.storage import Storage
from tests.held import held

SECOND = timedelta(seconds=1)


async def hold_after_rejections(replication: Replication, reads: int) -> int:
    """Reject reads whose callers have given up, and a proposal; return how many elements are held then."""
    for number in range(reads):
        replication._perform(Rejected(f"r{number}", RejectReason.MAJORITY_LOST))
    with pytest.raises(ProposalRejected) as caught:
        await replication.propose(b"x", "c", SECOND)
    assert RejectReason.NOT_LEADER in str(caught.value)
    return held([replication._proposals, replication._reads, vars(replication)])


def test_a_rejection_is_held_only_for_the_proposal_that_takes_it(tmp_path):
    async def story() -> None:
        storage = Storage(tmp_path)
        stored = storage.open()
        now = iter(range(10**6))
        replication = Replication(
            Voter("h0", stored.identity),
            stored,
            storage,
            Machine({}),
            Timing(),
            1,
            lambda: SECOND * next(now),
            lambda receiver, message: None,
            lambda: None,
        )
        try:
            after_one = await hold_after_rejections(replication, 1)
            assert await hold_after_rejections(replication, 50) <= after_one + 5
        finally:
            replication.close()

    asyncio.run(story())
