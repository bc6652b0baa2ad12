"""Rules for hosts whose address changes while a request is open."""

from __future__ import annotations

import asyncio

from tests.sockets import (
    BlockingHandler,
    GatewaySetup,
    RespServer,
    host_entry,
    run,
    success_answer,
    with_timeout,
)


def test_a_connection_to_the_old_address_of_a_host_is_not_reused() -> None:
    """The list changes the address while a request is open; the next request uses the new address."""

    async def main() -> None:
        held = BlockingHandler()
        moved = await RespServer(lambda words: success_answer(b"new")).start()
        async with GatewaySetup(held) as setup:
            client = await setup.client()
            client.send_request(b"1")
            await with_timeout(setup.hosts[0].commands.get())
            update = {"seq": 2, "whole": False, "hosts": [host_entry("h0", moved.dial)]}
            setup.parts.discovery.apply(update)
            held.released.set()
            assert await client.read_answer() == b"value"
            await asyncio.sleep(0.05)  # a connection may be reused some milliseconds after an answer
            client.send_request(b"2")
            assert await client.read_answer() == b"new"
            assert setup.hosts[0].commands.empty()
        moved.server.close()

    run(main())
