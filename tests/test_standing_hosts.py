"""Hosts that break off, drip, never end or cannot be connected to: each attempt ends, and nothing is left."""

from __future__ import annotations

import asyncio

import pytest

from tests.sockets import World, entry, run, served


@pytest.mark.parametrize("dial", ["x" * 70 + ":80", "a..b:80"])
def test_an_address_that_names_no_host_is_unreachable_at_once(
    dial: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            hosts = [entry("odd", dial), entry("h0", world.hosts[0].dial)]
            world.parts.discovery.apply({"seq": 9, "whole": True, "hosts": hosts})
            client, loop = await world.client(), asyncio.get_running_loop()
            begun = loop.time()
            for n in range(30):
                client.ask(b"%d" % n)
            for _ in range(30):
                assert await client.answer() == b"value"
            assert loop.time() - begun < 3.0  # of the 5 s that each has
            assert world.hosts[0].commands.qsize() == 30

    run(main())
    assert not [record for record in caplog.records if record.exc_info]
