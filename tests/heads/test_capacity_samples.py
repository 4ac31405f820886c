"""Samples of a fleet of real and hollow heads, taken while heads come and go."""

from __future__ import annotations

from types import SimpleNamespace

from benchmarks.capacity.capacity_fleet import cpu_seconds_by_process


class Ended:
    """A real head whose process ended after it was listed as up."""

    name = "h1"

    @property
    def cpu(self) -> float:
        raise FileNotFoundError("/proc/1234567/stat")


class Running:
    """A real head that has used some processor time."""

    name, cpu = "h0", 1.5


def test_a_head_that_has_just_ended_is_left_out_of_a_sample_and_ends_no_run():
    real = SimpleNamespace(up=[Running(), Ended()])
    assert cpu_seconds_by_process(SimpleNamespace(hollow=SimpleNamespace(replies={}), real=real)) == {
        "h0": 1.5
    }
