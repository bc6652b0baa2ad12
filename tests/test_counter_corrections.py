"""Corrections of a customer's shared count when many gateways find it wrong at the same time."""

from __future__ import annotations

import random

import pytest

from rainturn import interface as it
from tests.helpers import GatewayDriver, of_type, settings

MAX_ROUNDS = 10  # of calls and answers; a count that has not settled by then never does


class FakeCounter:
    """A counter that adds all calls of a round before it delivers any of their answers."""

    def __init__(self, drivers: list[GatewayDriver]) -> None:
        self.drivers = drivers
        self.totals: dict[int, float] = {}
        self.calls: list[tuple[GatewayDriver, it.Count]] = []

    def collect(self, driver: GatewayDriver, actions: list[it.Action]) -> None:
        self.calls += [(driver, call) for call in of_type(actions, it.Count)]

    def settle(self) -> None:
        """Answer the calls, and those that follow from the answers, in rounds."""
        for _ in range(MAX_ROUNDS):
            calls, self.calls = self.calls, []
            answers = []
            for driver, call in calls:
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
                answers.append((driver, call, self.totals[call.name]))
            for driver, call, total in answers:
                self.collect(driver, driver.answer_count(call, total))

    def settle_in_any_order(self, rng: random.Random) -> None:
        """Add calls and deliver answers one by one, in an order drawn by `rng`, until none is left."""
        answers: list[tuple[GatewayDriver, it.Count, float]] = []
        while self.calls or answers:
            chosen = rng.randrange(len(self.calls) + len(answers))
            if chosen < len(self.calls):
                driver, call = self.calls.pop(chosen)
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
                answers.append((driver, call, self.totals[call.name]))
            else:
                driver, call, total = answers.pop(chosen - len(self.calls))
                self.collect(driver, driver.answer_count(call, total))


def _request_at_once(
    gateways: int, plan: it.Plan, window_age: float
) -> tuple[list[GatewayDriver], FakeCounter]:
    """Return gateways that each received a request of the same unknown customer at the same time."""
    drivers = [
        GatewayDriver(settings(gateway=number, gateways=gateways, plans=(plan,)), now=100_000.0 + window_age)
        for number in range(gateways)
    ]
    counter = FakeCounter(drivers)
    for driver in drivers:
        counter.collect(driver, driver.start_request(spread=float(gateways))[1])
    return drivers, counter


def _settle_requests(
    gateways: int, plan: it.Plan, window_age: float
) -> tuple[list[GatewayDriver], FakeCounter]:
    """Do the same, then settle the calls and answers in rounds."""
    drivers, counter = _request_at_once(gateways, plan, window_age)
    counter.settle()
    return drivers, counter


@pytest.mark.parametrize("gateways", [1, 2, 3, 4])
def test_a_count_that_few_gateways_correct_at_once_stays_within_a_full_bucket(gateways: int) -> None:
    plan = it.Plan(price=1, rate=1000, burst=1000)
    _, counter = _settle_requests(gateways, plan, 1500.0)
    assert max(abs(total) for total in counter.totals.values()) <= 2 * plan.burst + plan.rate * 3.0


def test_a_count_that_twenty_gateways_correct_at_once_settles() -> None:
    """Guards against a count that never settles, as each gateway takes others' corrections for new errors."""
    plan = it.Plan(price=1, rate=1000, burst=1000)
    drivers, counter = _settle_requests(20, plan, 1500.0)
    assert not counter.calls, "corrections still pending after the last round"
    assert max(abs(total) for total in counter.totals.values()) <= 2 * plan.burst + plan.rate * 3.0
    assert all(of_type(driver.start_request(spread=20.0)[1], it.Refuse) == [] for driver in drivers)


@pytest.mark.parametrize("gateways", [2, 6, 12, 20, 40])
@pytest.mark.parametrize("seed", range(4))
def test_corrections_settle_in_any_order_of_calls_and_answers(gateways: int, seed: int) -> None:
    """Guards against taking the fall of a count by a withdrawn correction for a loss of counts."""
    plan = it.Plan(price=1, rate=1000, burst=1000)
    _, counter = _request_at_once(gateways, plan, 1500.0)
    counter.settle_in_any_order(random.Random(seed))
    assert max(abs(total) for total in counter.totals.values()) <= 2 * plan.burst + plan.rate * 3.0
