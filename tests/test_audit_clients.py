"""Clauses on clients at their limits: a request's time, its end, and what a bad client is owed."""

from __future__ import annotations

import asyncio

from tests.sockets import WIRE, Client, World, run

SHORT_MS, LONG_MS = 700, 4000  # how long clients wait for requests that hang, and for those behind them
SLACK_MS = 150.0  # of the time that an attempt tells its host
LATE_MS = 400.0  # how late the machine of the tests may be


def _pay(client: Client, first: int, count: int, wait: int) -> None:
    for number in range(first, first + count):
        client.ask(b"%d" % number, b"pay", wait, body=b"x")


def test_a_request_read_late_has_its_time_from_its_last_byte() -> None:
    """More commands than are read at once: the time of the last ones runs while they wait for the others."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        told: dict[bytes, tuple[float, float]] = {}

        def hang(words: list[bytes]) -> None:
            fields = dict(pair.split(b"=") for pair in words[3].split(b","))
            told[words[2]] = float(fields[b"d"]), loop.time()

        async with World(hang, wire={"limits": WIRE["limits"] | {"max_attempts": 1}}) as world:
            client = await world.client()
            _pay(client, 0, 40, SHORT_MS)  # 32 are read at once; 8 wait until the time of all is over
            await asyncio.sleep(0.2)
            sent_at = loop.time()
            _pay(client, 40, 8, LONG_MS)  # these lie in the system's buffer until then
            answers = [str(await client.answer()) for _ in range(40)]
            assert answers[32:] == ["-BUSY"] * 8, answers
            assert not [ident for ident in told if 32 <= int(ident) < 40]
            while len(told) < 40:
                await asyncio.sleep(0.01)
            for ident, (told_ms, received_at) in told.items():
                if int(ident) >= 40:
                    left_ms = LONG_MS - (received_at - sent_at) * 1000
                    assert told_ms <= left_ms + SLACK_MS + LATE_MS / 2

    run(main())
