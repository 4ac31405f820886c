"""The follower of a registry: all orders of change, call failure, lag, compaction and resumption to a depth."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter.membership import follower_records as f
from stoatrouter.membership.backoff import Backoff
from stoatrouter.membership.follower import MAX_BUFFERED_CHANGES, Follower
from tests.registry_model import RuleBroken, search

DEPTH = 14  # in CI; `python -m benchmarks.follower_search` goes deeper


def test_after_faults_the_list_equals_the_registry_and_nothing_newer_was_undone():
    states = search(Follower, DEPTH)
    print("states visited:", states)
    assert states > 10_000


# -- mutants, each of which the search must find ------------------------------------------------------------
class NotifiesIncompleteRevisions(Follower):
    """Treats a part of a transaction as complete."""

    def _receive_changes(self, event):
        return super()._receive_changes(
            f.ChangesReceived(event.at, event.call, event.revision, event.changes, True)
        )


class SkipsARevision(Follower):
    """Resumes one revision too late."""

    def _start_call(self, at):
        return [
            f.Watch(e.call, e.endpoint, e.after + 1) if isinstance(e, f.Watch) else e
            for e in super()._start_call(at)
        ]


class IgnoresCompaction(Follower):
    """Treats a compaction as a broken call, and resumes from a later revision without a new list."""

    def reduce(self, event):
        if isinstance(event, f.RevisionCompacted) and event.call == self.call:
            self.revision += 1
            return [f.CancelCall(self.call), *self._start_call(event.at)]
        return super().reduce(event)


class AcceptsOlderList(Follower):
    """Accepts the list of a lagging registry member."""

    def _receive_list(self, event):
        self.revision = None
        return super()._receive_list(event)


class TakesEventsOfEndedCalls(Follower):
    """Accepts events of calls that were abandoned."""

    def reduce(self, event):
        if hasattr(event, "call"):
            event = replace(event, call=self.call)
        return super().reduce(event)


class ForgetsRemovals(Follower):
    """Omits removals from the notification when the list is read again."""

    def _difference(self, event):
        return [change for change in super()._difference(event) if change.value is not None]


class CountsIncompleteRevisions(Follower):
    """Counts a revision that was received in part as notified."""

    def _receive_progress(self, event):
        self.buffered.clear()
        return super()._receive_progress(event)


@pytest.mark.parametrize(
    "mutant",
    [
        NotifiesIncompleteRevisions,
        SkipsARevision,
        IgnoresCompaction,
        AcceptsOlderList,
        TakesEventsOfEndedCalls,
        ForgetsRemovals,
        CountsIncompleteRevisions,
    ],
)
def test_the_search_finds_each_mutant(mutant):
    with pytest.raises(RuleBroken):
        search(mutant, DEPTH)


# -- single steps -------------------------------------------------------------------------------------------
START = timedelta(0)


def watching(endpoints=2, **entries):
    follower = Follower(f.Limits(endpoints=endpoints), 0)
    follower.reduce(f.Started(START))
    follower.reduce(f.ListRead(START, follower.call, 10, {k: f.Entry(10, v) for k, v in entries.items()}))
    return follower


def test_a_silent_watch_resumes_at_the_other_endpoint_within_its_bound():
    follower = watching(a=b"up")
    assert follower.reduce(f.Tick(timedelta(seconds=4.9))) == []
    effects = follower.reduce(f.Tick(timedelta(seconds=5)))
    assert isinstance(effects[0], f.CancelCall)
    assert effects[1].at - timedelta(seconds=5) <= timedelta(milliseconds=200)
    resumed = follower.reduce(f.Tick(effects[1].at))[0]
    assert (resumed.endpoint, resumed.after) == (1, 10)


def test_rejected_credentials_are_read_again_and_an_endless_revision_is_read_as_a_list():
    follower = watching(a=b"up")
    assert follower.reduce(f.CredentialsRejected(START, follower.call))[0] == f.RereadCredentials()
    follower = watching(a=b"up")
    many = tuple(f.Change(f"k{i}", 11, b"up") for i in range(MAX_BUFFERED_CHANGES + 1))
    effects = follower.reduce(f.ChangesReceived(START, follower.call, 11, many, False))
    assert isinstance(effects[1], f.ReadList) and not follower.buffered


def test_an_older_copy_of_the_registry_changes_nothing_until_it_is_accepted():
    follower = watching(a=b"drain", b=b"up")
    follower.must_reread = True
    follower.reduce(f.CallFailed(START, follower.call))
    effects = []
    for i in range(4):
        at = timedelta(seconds=20 * (i + 1))
        follower.reduce(f.Tick(at))
        effects += follower.reduce(f.ListRead(at, follower.call, 4, {"a": f.Entry(3, b"up")}))
    offers = [effect for effect in effects if isinstance(effect, f.OlderRevisionOffered)]
    assert offers == [f.OlderRevisionOffered(10, 4)] * 2
    assert not [effect for effect in effects if isinstance(effect, f.Notify)]
    assert follower.notified["a"].value == b"drain"
    follower.accept_older_revision(at)
    notification = follower.reduce(f.ListRead(at, follower.call, 4, {"a": f.Entry(3, b"up")}))[0]
    assert {(change.key, change.value) for change in notification.changes} == {("a", b"up"), ("b", None)}


def test_backoff_grows_to_a_bound_and_is_spread_over_heads():
    backoff = Backoff()
    for failures in range(40):
        waits = [backoff.wait(seed, failures) for seed in range(1000)]
        bound = backoff.bound(failures)
        assert all(timedelta(0) <= wait < bound for wait in waits) and bound <= timedelta(seconds=10)
        counts = [sum(i * bound / 10 <= wait < (i + 1) * bound / 10 for wait in waits) for i in range(10)]
        assert max(counts) < 150  # of 1,000 heads, in any tenth of the time
    assert backoff.wait(7, 3) == backoff.wait(7, 3)
