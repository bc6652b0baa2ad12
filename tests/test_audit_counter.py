"""Clauses on the counter and on quotas: amounts, totals, and whose plan counts."""

from __future__ import annotations

import re

from rainturn.node.resp import total
from tests.sockets import World, run, soon

READABLE = {
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


def test_every_total_that_can_be_read_is_taken() -> None:
    for text, value in READABLE.items():
        found = total(b"$%d\r\n%s\r\n" % (len(text), text), 0)
        assert found is not None and found.total is not None
        assert abs(found.total - value) < 1e-9, text


def test_an_amount_is_a_plain_decimal_within_the_limit() -> None:
    amounts = (0.1 + 0.2 - 0.3, 2.5, -2.5, 1e9, 1234567.5, -1e-7, 3e9, -4e12, 0.0)

    async def main() -> None:
        async with World() as world:
            for number, amount in enumerate(amounts):
                world.parts.counter.call(number, amount, 1000.0)
            for amount in amounts:
                command = await soon(world.counter.commands.get())
                assert re.fullmatch(rb"-?[0-9]+(\.[0-9]+)?", command[2]), command
                assert abs(float(command[2]) - max(-1e9, min(1e9, amount))) < 1e-6

    run(main())
