"""Clauses on repeats: a refusal promises that a new try is harmless, and a window has room for a delay."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from rainturn import interface as it
from tests.helpers import KEYED, SAFE, Drive, of, settings
from tests.sockets import WIRE, Peer, World, run, served

HELD_UP_MS = 150.0  # a gateway may be held up for so long between reading its clock and writing


def test_a_refusal_is_given_only_while_hosts_still_drop_the_repeat() -> None:
    """The first attempt may have run; a client that comes again now would be served a second time."""

    async def main() -> None:
        classes = [one | {"window_ms": 300, "group": "all"} for one in WIRE["classes"]]

        async def handler(words: list[bytes]) -> bytes:
            await asyncio.sleep(0.5)
            return Peer.RESET

        async with World(handler, wire={"classes": classes}) as world:
            client = await world.client()
            client.ask(b"1", b"send", extra=b"k=77,", body=b"x")
            assert await client.answer() == "-ERR failed"

    run(main())


def test_no_repeat_begins_so_late_that_a_delay_carries_it_over_the_window() -> None:
    keyed = replace(KEYED, group=it.Group.ALL, window_ms=1000)
    for age, repeats in ((100.0, 1), (1000.0 - HELD_UP_MS, 0)):
        drive = Drive(settings(classes=(SAFE, keyed), plans=(it.Plan(price=1, rate=0, burst=0),)))
        _, actions = drive.arrive(kind=1)
        (send,) = of(actions, it.Send)
        drive.now += age
        again = of(drive.end(send, it.Outcome.RESET, elapsed=age), it.Send)
        assert len(again) == repeats
        assert all(age + one.start_within <= keyed.window_ms - HELD_UP_MS for one in again)


def test_a_refusal_that_waits_for_its_turn_beyond_the_window_is_an_error() -> None:
    """It was harmless when it was decided; the client hears it only behind the answer before it."""

    async def main() -> None:
        classes = [one | {"window_ms": 600, "group": "all"} for one in WIRE["classes"]]

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"slow":
                await asyncio.sleep(0.9)
                return served()
            return b"-ERR failed\r\n"

        async with World(handler, handler, wire={"classes": classes}) as world:
            client = await world.client()
            client.ask(b"slow")
            client.ask(b"1", b"send", extra=b"k=77,", body=b"x")
            assert await client.answer() == b"value"
            assert await client.answer() == "-ERR failed"

    run(main())
