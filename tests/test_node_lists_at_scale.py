"""The path of a host list at 17,000 hosts: operations are counted, never timed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node.gateway import Attempt
from rainturn.node.host_pools import HostPools
from tests.sockets import World, run, served, soon
from tests.test_node_hosts import Log, _attempt

SIZES = (200, 17_000)


class Counted(dict[Any, Any]):
    """A dict that counts how many of its entries are visited one after the other."""

    visited = 0

    def __iter__(self) -> Iterator[Any]:
        return self._count(super().__iter__())

    def values(self) -> Any:
        return self._count(super().values())

    def items(self) -> Any:
        return self._count(super().items())

    def _count(self, entries: Any) -> Iterator[Any]:
        for entry in entries:
            self.visited += 1
            yield entry


def _attempt_at(world: World, host: int) -> Attempt:
    attempt = _attempt(world)
    attempt.host = host
    return attempt


def _many_pools(world: World, count: int) -> HostPools:
    """The pools of a world with one host, all of `count` hosts at its address."""
    pools, address = world.parts.pools, world.parts.pools.pools[1].address
    for number in range(2, count + 1):
        pools.add(number, f"host-{number}")
        pools.update_host(number, address, it.HostState.READY, 0.0)
    return pools


@pytest.mark.parametrize("size", SIZES)
def test_what_waits_for_hosts_that_leave_is_returned_without_a_walk_over_all_pools(size: int) -> None:
    async def main() -> None:
        async with World(lambda words: None) as world:
            log, pools = Log(world), _many_pools(world, size)
            address = pools.pools[1].address
            pools.pools = counted = Counted(pools.pools)
            leaving = [size, size - 3]
            for number in leaving:
                pools.start(_attempt_at(world, number))  # its connect is under way
                pools.update_host(number, address, it.HostState.DRAINING, 0.0)
            pools.update_host(7, address, it.HostState.GONE, 0.0)
            pools.return_waiting()
            ends = [await log.ended(), await log.ended()]
            assert [(end.host, end.outcome) for end in ends] == [
                (size - 3, it.Outcome.MOOT),
                (size, it.Outcome.MOOT),
            ]
            assert not counted.visited and not pools.to_return

    run(main())


@pytest.mark.parametrize("size", SIZES)
def test_room_is_made_by_the_oldest_idle_connection_of_all_pools_without_a_walk_over_them(size: int) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            log, pools = Log(world), _many_pools(world, size)
            pools.pools = counted = Counted(pools.pools)
            used = [size, 5, size - 1, 9]
            for number in used:
                pools.start(_attempt_at(world, number))
                assert (await log.ended()).outcome is it.Outcome.OK
            assert [connection.pool.number for connection in pools.idle] == used  # type: ignore[attr-defined]
            pools.budget = len(used)
            for closed, number in zip(used, (20, 21, 22, 23), strict=True):
                assert pools.pools[closed].connections
                pools.start(_attempt_at(world, number))
                assert not pools.pools[closed].connections
                assert (await log.ended()).outcome is it.Outcome.OK
            assert not counted.visited
            pools.close_idle()
            assert not counted.visited and not pools.open and not pools.idle

    run(main())


@pytest.mark.parametrize("size", SIZES)
def test_a_host_without_an_attempt_costs_its_pool_no_container(size: int) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            log, pools = Log(world), _many_pools(world, size)
            pools.start(_attempt_at(world, 7))
            assert (await log.ended()).outcome is it.Outcome.OK
            used = [number for number, pool in pools.pools.items() if isinstance(pool.connections, set)]
            assert used == [7]
            pools.update_host(7, ("127.0.0.1", 2), it.HostState.READY, 1.0)  # closes what is idle
            assert not pools.idle and not pools.open
            await soon(world.hosts[0].closed.get())

    run(main())


def test_an_attempt_at_a_host_that_leaves_is_returned_with_the_next_list() -> None:
    """As it was sent in the same turn, before the module had heard of the list."""

    async def main() -> None:
        async with World(lambda words: served()) as world:
            log, pools = Log(world), _many_pools(world, 3)
            pools.update_host(2, pools.pools[2].address, it.HostState.DRAINING, 0.0)
            pools.start(_attempt_at(world, 2))
            pools.return_waiting()
            assert (await log.ended()).outcome is it.Outcome.MOOT
            await asyncio.sleep(0)
            assert world.hosts[0].commands.empty()

    run(main())
