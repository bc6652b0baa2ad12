"""The time within which a gateway must know a change of the host list, tested in real time."""

from __future__ import annotations

import asyncio
import time

import pytest

from rainturn.emulator.discovery_service import DiscoveryService
from rainturn.emulator.workload import HostListEntry
from rainturn.node.discovery import Discovery
from tests.sockets import GatewaySetup, RespServer, host_entry, run, success_answer

KNOWN_WITHIN_S = 6.0  # after discovery has the change and can be reached
RELOAD_KNOWN_WITHIN_S = 4.0  # after SIGHUP


def _is_draining(discovery: Discovery, name: str) -> bool:
    stored = discovery.table.fields.get(name)
    return stored is not None and stored[4] == "terminating"


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("failure", ["silent watch", "silent calls", "silent calls after a reload"])
def test_a_drain_is_received_in_time_whatever_failed_before(mode: str, failure: str) -> None:
    """The open watch, later calls for a while, or the new address after a reload get no answer."""

    async def main() -> None:
        host = await RespServer(lambda words: success_answer()).start()
        entries = [HostListEntry("h0", host.dial, "east", 0), HostListEntry("h1", host.dial, "east", 0)]
        first, second = DiscoveryService(entries), DiscoveryService(entries)
        addresses = [await service.listen("gateway") for service in (first, second)]
        async with GatewaySetup(settings={"discovery": mode}) as setup:
            discovery = setup.parts.discovery
            discovery.address = addresses[0]
            discovery.apply({"seq": 1, "whole": True, "hosts": [host_entry("h0", host.dial)]})
            discovery.start()
            await asyncio.sleep(0.3)  # after the first calls with a short wait: the next is the watch
            await asyncio.wait_for(first.wait_for_watchers(1), 10)
            changed = entries[0].with_health("terminating")
            for watcher in list(first.watchers):
                watcher.stop_waiting()  # the open watch never gets an answer
            first.silent = second.silent = True
            reachable_at, limit_s = time.monotonic(), KNOWN_WITHIN_S
            if failure == "silent calls after a reload":
                discovery.change_address(addresses[1])
                limit_s = RELOAD_KNOWN_WITHIN_S + 1.0  # plus the drain grace
                await asyncio.sleep(1.0)
            elif failure == "silent calls":
                await asyncio.sleep(3.0)
                reachable_at = time.monotonic()
            for service in (first, second):
                service.directory.change([changed])  # no open watch is answered
                service.silent = False
            while not _is_draining(discovery, "h0"):
                assert time.monotonic() - reachable_at < limit_s, failure
                await asyncio.sleep(0.02)
        for service in (first, second):
            service.close()
        host.server.close()

    run(main())
