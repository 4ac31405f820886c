"""The follower of a registry: all orders of change, break, lag, compaction and resumption up to a depth."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter.membership import follower_records as f
from stoatrouter.membership.backoff import Backoff
from stoatrouter.membership.follower import MOST_BUFFERED, Follower
from tests.registry_model import Wrong, search

DEPTH = 14  # in CI; `python -m benchmarks.follower_search` goes deeper


def test_once_faults_end_the_list_is_the_registrys_and_nothing_newer_was_undone():
    states = search(Follower, DEPTH)
    print("states visited:", states)
    assert states > 10_000


# -- faults of our own, each of which the search must find --------------------------------------------------
class TellsFragments(Follower):
    """Takes a part of a transaction for the whole."""

    def _receive_changes(self, event):
        return super()._receive_changes(
            f.ChangesReceived(event.at, event.call, event.revision, event.changes, True)
        )


class SkipsOne(Follower):
    """Resumes behind the next revision."""

    def _start_call(self, at):
        return [
            f.Watch(e.call, e.endpoint, e.after + 1) if isinstance(e, f.Watch) else e
            for e in super()._start_call(at)
        ]


class WatchesOn(Follower):
    """Takes a compaction for a break, and watches from where the registry is now."""

    def reduce(self, event):
        if isinstance(event, f.RevisionCompacted) and event.call == self.call:
            self.revision += 1
            return [f.CancelCall(self.call), *self._start_call(event.at)]
        return super().reduce(event)


class TakesOlder(Follower):
    """Believes a member that lags."""

    def _receive_list(self, event):
        self.revision = None
        return super()._receive_list(event)


class HearsTheDead(Follower):
    """Takes what a call says that it gave up."""

    def reduce(self, event):
        if hasattr(event, "call"):
            event = replace(event, call=self.call)
        return super().reduce(event)


class ForgetsRemovals(Follower):
    """Tells of a list read anew only what is in it."""

    def _difference(self, event):
        return [change for change in super()._difference(event) if change.value is not None]


class BelievesProgress(Follower):
    """Counts a revision that came in part as told."""

    def _receive_progress(self, event):
        self.buffered.clear()
        return super()._receive_progress(event)


@pytest.mark.parametrize(
    "mutant",
    [TellsFragments, SkipsOne, WatchesOn, TakesOlder, HearsTheDead, ForgetsRemovals, BelievesProgress],
)
def test_the_search_finds_each_fault(mutant):
    with pytest.raises(Wrong):
        search(mutant, DEPTH)


# -- single steps -------------------------------------------------------------------------------------------
T = timedelta(0)


def watching(endpoints=2, **entries):
    made = Follower(f.Limits(endpoints=endpoints), 0)
    made.reduce(f.Started(T))
    made.reduce(f.ListRead(T, made.call, 10, {k: f.Entry(10, v) for k, v in entries.items()}))
    return made


def test_silence_is_left_for_the_other_endpoint_within_its_bound():
    made = watching(a=b"up")
    assert made.reduce(f.Tick(timedelta(seconds=4.9))) == []
    effects = made.reduce(f.Tick(timedelta(seconds=5)))
    assert isinstance(effects[0], f.CancelCall) and effects[1].at - timedelta(seconds=5) <= timedelta(
        milliseconds=200
    )
    resumed = made.reduce(f.Tick(effects[1].at))[0]
    assert (resumed.endpoint, resumed.after) == (1, 10)


def test_refused_credentials_are_read_again_and_an_endless_revision_is_read_whole():
    made = watching(a=b"up")
    assert made.reduce(f.CredentialsRejected(T, made.call))[0] == f.RereadCredentials()
    made = watching(a=b"up")
    many = tuple(f.Change(f"k{i}", 11, b"up") for i in range(MOST_BUFFERED + 1))
    assert (
        isinstance(made.reduce(f.ChangesReceived(T, made.call, 11, many, False))[1], f.ReadList)
        and not made.buffered
    )


def test_a_registry_restored_from_an_older_copy_changes_nothing_until_it_is_accepted():
    made = watching(a=b"drain", b=b"up")
    made.must_reread = True
    made.reduce(f.CallFailed(T, made.call))
    said = []
    for i in range(4):
        at = timedelta(seconds=20 * (i + 1))
        made.reduce(f.Tick(at))
        said += made.reduce(f.ListRead(at, made.call, 4, {"a": f.Entry(3, b"up")}))
    assert [e for e in said if isinstance(e, f.OlderRevisionOffered)] == [f.OlderRevisionOffered(10, 4)] * 2
    assert not [e for e in said if isinstance(e, f.Notify)] and made.notified["a"].value == b"drain"
    made.accept_older_revision(at)
    told = made.reduce(f.ListRead(at, made.call, 4, {"a": f.Entry(3, b"up")}))[0]
    assert {(c.key, c.value) for c in told.changes} == {("a", b"up"), ("b", None)}


def test_waits_grow_to_a_bound_and_are_spread_over_heads():
    backoff = Backoff()
    for failures in range(40):
        waits = [backoff.wait(seed, failures) for seed in range(1000)]
        bound = backoff.bound(failures)
        assert all(timedelta(0) <= wait < bound for wait in waits) and bound <= timedelta(seconds=10)
        fullest = max(sum(i * bound / 10 <= wait < (i + 1) * bound / 10 for wait in waits) for i in range(10))
        assert fullest < 150  # of 1,000 heads, in any tenth of the time
    assert backoff.wait(7, 3) == backoff.wait(7, 3)
