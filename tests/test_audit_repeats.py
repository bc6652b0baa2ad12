"""Rules for repeats: a refusal means that another try is harmless, and a repeat leaves time for delays."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from rainturn import interface as it
from tests.helpers import KEYED, SAFE, GatewayDriver, of_type, settings
from tests.sockets import DEFAULT_SETTINGS, GatewaySetup, RespServer, run, success_answer

MAX_DELAY_MS = 150.0  # the longest delay of a gateway between reading its clock and sending


def test_a_refusal_is_sent_only_while_hosts_still_drop_a_repeat() -> None:
    """The first attempt may have run; after the window, another try of the client would run a second time."""

    async def main() -> None:
        classes = [one | {"window_ms": 300, "group": "all"} for one in DEFAULT_SETTINGS["classes"]]

        async def handler(words: list[bytes]) -> bytes:
            await asyncio.sleep(0.5)
            return RespServer.RESET

        async with GatewaySetup(handler, settings={"classes": classes}) as setup:
            client = await setup.client()
            client.send_request(b"1", b"send", extra_fields=b"k=77,", body=b"x")
            assert await client.read_answer() == "-ERR failed"

    run(main())


def test_no_repeat_begins_so_late_that_a_delay_moves_it_beyond_the_window() -> None:
    keyed = replace(KEYED, group=it.Group.ALL, window_ms=1000)
    for age, repeats in ((100.0, 1), (1000.0 - MAX_DELAY_MS, 0)):
        driver = GatewayDriver(settings(classes=(SAFE, keyed), plans=(it.Plan(price=1, rate=0, burst=0),)))
        _, actions = driver.start_request(request_class=1)
        (send,) = of_type(actions, it.Send)
        driver.now += age
        repeated = of_type(driver.end_attempt(send, it.Outcome.RESET, elapsed_ms=age), it.Send)
        assert len(repeated) == repeats
        assert all(age + one.start_within <= keyed.window_ms - MAX_DELAY_MS for one in repeated)


def test_a_refusal_that_waits_behind_another_answer_beyond_the_window_becomes_an_error() -> None:
    """Another try was harmless when the refusal was decided, but the refusal waits for the earlier answer."""

    async def main() -> None:
        classes = [one | {"window_ms": 600, "group": "all"} for one in DEFAULT_SETTINGS["classes"]]

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"slow":
                await asyncio.sleep(0.9)
                return success_answer()
            return b"-ERR failed\r\n"

        async with GatewaySetup(handler, handler, settings={"classes": classes}) as setup:
            client = await setup.client()
            client.send_request(b"slow")
            client.send_request(b"1", b"send", extra_fields=b"k=77,", body=b"x")
            assert await client.read_answer() == b"value"
            assert await client.read_answer() == "-ERR failed"

    run(main())
