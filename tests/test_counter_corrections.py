"""Corrections of a customer's shared count, where many gateways see that it is off in the same moment."""

from __future__ import annotations

import pytest

from rainturn import interface as it
from tests.helpers import Drive, of, settings

ROUNDS = 10  # of calls and answers; what has not settled by then does not settle


class Counter:
    """Adds all calls of a round before any of their answers is taken in."""

    def __init__(self, drives: list[Drive]) -> None:
        self.drives = drives
        self.totals: dict[int, float] = {}
        self.calls: list[tuple[Drive, it.Count]] = []

    def collect(self, drive: Drive, actions: list[it.Action]) -> None:
        self.calls += [(drive, call) for call in of(actions, it.Count)]

    def settle(self) -> None:
        """Answer calls, and those that follow from the answers, round by round."""
        for _ in range(ROUNDS):
            calls, self.calls = self.calls, []
            answers = []
            for drive, call in calls:
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
                answers.append((drive, call, self.totals[call.name]))
            for drive, call, total in answers:
                self.collect(drive, drive.count(call, total))


def _first_seen_at_once(gateways: int, plan: it.Plan, window_age: float) -> tuple[list[Drive], Counter]:
    """Gateways that all get a request of the same unknown customer in the same moment."""
    drives = [
        Drive(settings(gateway=number, gateways=gateways, plans=(plan,)), now=100_000.0 + window_age)
        for number in range(gateways)
    ]
    counter = Counter(drives)
    for drive in drives:
        counter.collect(drive, drive.arrive(spread=float(gateways))[1])
    counter.settle()
    return drives, counter


@pytest.mark.parametrize("gateways", [1, 2, 3, 4])
def test_a_count_that_few_gateways_correct_at_once_shows_no_more_than_a_full_store(gateways: int) -> None:
    plan = it.Plan(price=1, rate=1000, burst=1000)
    _, counter = _first_seen_at_once(gateways, plan, 1500.0)
    assert max(abs(total) for total in counter.totals.values()) <= 2 * plan.burst + plan.rate * 3.0


def test_a_count_that_twenty_gateways_correct_at_once_settles() -> None:
    """Each takes the others' corrections for a new error: the count must come to rest, near the truth."""
    plan = it.Plan(price=1, rate=1000, burst=1000)
    drives, counter = _first_seen_at_once(20, plan, 1500.0)
    assert not counter.calls, "still correcting after so many rounds"
    assert max(abs(total) for total in counter.totals.values()) <= 2 * plan.burst + plan.rate * 3.0
    assert all(of(drive.arrive(spread=20.0)[1], it.Refuse) == [] for drive in drives)
