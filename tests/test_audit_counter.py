"""Totals and amounts exchanged with the counter, and the plan that a request is metered by."""

from __future__ import annotations

import re

from rainturn import interface as it
from rainturn.node.resp import parse_counter_answer
from tests.helpers import PLAN, GatewayDriver, of_type, settings
from tests.sockets import GatewaySetup, run, with_timeout

READABLE_TOTALS = {
    b"0.30000000000000004": 0.3,
    b"12.300000000000000710542735760100": 12.3,
    b"+5": 5.0,
    b".5": 0.5,
    b"5.": 5.0,
    b"-0": 0.0,
    b"1E+03": 1000.0,
    b"1.5e3": 1500.0,
    b"0012": 12.0,
}


def test_every_readable_total_is_accepted() -> None:
    for text, value in READABLE_TOTALS.items():
        found = parse_counter_answer(b"$%d\r\n%s\r\n" % (len(text), text), 0)
        assert found is not None and found.total is not None
        assert abs(found.total - value) < 1e-9, text


def test_an_amount_is_a_plain_decimal_within_the_limit() -> None:
    amounts = (0.1 + 0.2 - 0.3, 2.5, -2.5, 1e9, 1234567.5, -1e-7, 3e9, -4e12, 0.0)

    async def main() -> None:
        async with GatewaySetup() as setup:
            for number, amount in enumerate(amounts):
                setup.parts.counter.call(number, amount, 1000.0)
            for amount in amounts:
                command = await with_timeout(setup.counter.commands.get())
                assert re.fullmatch(rb"-?[0-9]+(\.[0-9]+)?", command[2]), command
                assert abs(float(command[2]) - max(-1e9, min(1e9, amount))) < 1e-6

    run(main())


def test_a_request_is_metered_by_the_plan_that_it_names() -> None:
    """Guards against an earlier request of the customer that named another plan, by mistake or malice."""
    small, large = it.Plan(price=1, rate=2, burst=8), it.Plan(price=1, rate=1000, burst=1000)
    for counter in (False, True):
        for first, then in ((0, 1), (1, 0)):
            driver = GatewayDriver(settings(plans=(small, large), counter=counter))
            totals: dict[int, float] = {}

            def arrive(plan: int, driver: GatewayDriver = driver, totals: dict[int, float] = totals) -> int:
                actions = driver.start_request(plan=plan, spread=1.0)[1]
                sent = len(of_type(actions, it.Send))
                calls = of_type(actions, it.Count)
                while calls:
                    call = calls.pop(0)
                    totals[call.name] = totals.get(call.name, 0.0) + call.amount
                    actions = driver.answer_count(call, totals[call.name])
                    sent += len(of_type(actions, it.Send))
                    calls += of_type(actions, it.Count)
                return sent

            arrive(first)
            sent = sum(arrive(then) for _ in range(60))
            assert sent <= 9 if then == 0 else sent == 60, (counter, first, sent)


def test_waiting_requests_are_decided_when_a_later_one_names_another_plan() -> None:
    driver = GatewayDriver(settings(plans=(PLAN, it.Plan(price=1, rate=1000, burst=1000))))
    waiting, actions = driver.start_request(plan=0)
    assert of_type(actions, it.Count)
    _, actions = driver.start_request(plan=1)
    decided = of_type(actions, it.Send) + of_type(actions, it.Refuse)
    assert waiting in {action.request for action in decided}
