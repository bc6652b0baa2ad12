"""Clauses on hosts at their limits: addresses that change under a request."""

from __future__ import annotations

import asyncio

from tests.sockets import Held, Peer, World, entry, run, served, soon


def test_a_connection_to_where_a_host_was_is_not_used_again() -> None:
    """The list moves the host while a request is out at its old address; the next one goes to the new."""

    async def main() -> None:
        held = Held()
        moved = await Peer(lambda words: served(b"new")).start()
        async with World(held) as world:
            client = await world.client()
            client.ask(b"1")
            await soon(world.hosts[0].commands.get())
            news = {"seq": 2, "whole": False, "hosts": [entry("h0", moved.dial)]}
            world.parts.discovery.apply(news)
            held.released.set()
            assert await client.answer() == b"value"
            await asyncio.sleep(0.05)  # a connection may be used again some milliseconds after an answer
            client.ask(b"2")
            assert await client.answer() == b"new"
            assert world.hosts[0].commands.empty()
        moved.server.close()

    run(main())
