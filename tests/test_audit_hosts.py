"""Rules for hosts whose address changes while a request is open."""

from __future__ import annotations

import asyncio

from tests.sockets import Held, Peer, World, entry, run, served, soon


def test_a_connection_to_the_old_address_of_a_host_is_not_reused() -> None:
    """The list changes the address while a request is open; the next request uses the new address."""

    async def main() -> None:
        held = Held()
        moved = await Peer(lambda words: served(b"new")).start()
        async with World(held) as world:
            client = await world.client()
            client.ask(b"1")
            await soon(world.hosts[0].commands.get())
            update = {"seq": 2, "whole": False, "hosts": [entry("h0", moved.dial)]}
            world.parts.discovery.apply(update)
            held.released.set()
            assert await client.answer() == b"value"
            await asyncio.sleep(0.05)  # a connection may be reused some milliseconds after an answer
            client.ask(b"2")
            assert await client.answer() == b"new"
            assert world.hosts[0].commands.empty()
        moved.server.close()

    run(main())
