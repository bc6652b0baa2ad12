"""Clauses on when a change of the list counts as told, at real time limits."""

from __future__ import annotations

import asyncio
import time

import pytest

from rainturn.emulator.discovery_service import DiscoveryService
from rainturn.emulator.workload import HostListEntry
from rainturn.node.discovery import Discovery
from tests.sockets import Peer, World, entry, run, served

TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
RELOAD_TOLD_S = 4.0  # and so long after SIGHUP


def _drains(discovery: Discovery, name: str) -> bool:
    held = discovery.table.fields.get(name)
    return held is not None and held[4] == "terminating"


@pytest.mark.parametrize("kind", ["push", "ask"])
@pytest.mark.parametrize("failure", ["silent watch", "silent calls", "silent calls after a reload"])
def test_a_drain_is_heard_in_time_whatever_failed_before(kind: str, failure: str) -> None:
    """The watch falls silent, or further calls too for a while, or the new address does after a reload."""

    async def main() -> None:
        host = await Peer(lambda words: served()).start()
        lines = [HostListEntry("h0", host.dial, "east", 0), HostListEntry("h1", host.dial, "east", 0)]
        first, second = DiscoveryService(lines), DiscoveryService(lines)
        addresses = [await service.listen("gateway") for service in (first, second)]
        async with World(wire={"discovery": kind}) as world:
            discovery = world.parts.discovery
            discovery.address = addresses[0]
            discovery.apply({"seq": 1, "whole": True, "hosts": [entry("h0", host.dial)]})
            discovery.start()
            await asyncio.sleep(0.3)  # behind the short first calls: this watch waits long
            await asyncio.wait_for(first.wait_for_watchers(1), 10)
            changed = lines[0].with_health("terminating")
            for watcher in list(first.watchers):
                watcher.stop_waiting()  # the open watch falls silent for good
            first.silent = second.silent = True
            reachable_at, limit_s = time.monotonic(), TOLD_S
            if failure == "silent calls after a reload":
                discovery.move(addresses[1])
                limit_s = RELOAD_TOLD_S + 1.0  # and the grace of the drain
                await asyncio.sleep(1.0)
            elif failure == "silent calls":
                await asyncio.sleep(3.0)
                reachable_at = time.monotonic()
            for service in (first, second):
                service.directory.change([changed])  # nobody who waits is told
                service.silent = False
            while not _drains(discovery, "h0"):
                assert time.monotonic() - reachable_at < limit_s, failure
                await asyncio.sleep(0.02)
        for service in (first, second):
            service.close()
        host.server.close()

    run(main())
