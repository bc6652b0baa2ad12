"""The path of a host list at 17,000 hosts: operations are counted, never timed."""

from __future__ import annotations

import asyncio
import json
import math
import sys
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainturn import interface as it
from rainturn.node import discovery as discovery_module
from rainturn.node import list_intake
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Clock, Node
from rainturn.node.host_list import check, read_update
from rainturn.node.host_pools import HostPools
from rainturn.node.list_decoder import AT_ONCE_BYTES, decode, decode_beside
from rainturn.node.requests import Attempt
from tests.helpers import settings as module_settings
from tests.sockets import Discovery as Agent
from tests.sockets import World, entry, run, served, soon
from tests.test_node_hosts import Log, _attempt

SIZES = (200, 17_000)
READY, DRAINING, GONE = it.HostState.READY, it.HostState.DRAINING, it.HostState.GONE


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
        for one in entries:
            self.visited += 1
            yield one


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
                (size - 3, it.Outcome.NOT_SENT),
                (size, it.Outcome.NOT_SENT),
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
            assert (await log.ended()).outcome is it.Outcome.NOT_SENT
            await asyncio.sleep(0)
            assert world.hosts[0].commands.empty()

    run(main())


def _host(number: int, **change: Any) -> dict[str, Any]:
    dial = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"
    return entry(f"host-{number}", dial, "west" if number % 2 else "east") | {"block": number // 40} | change


def _hosts(count: int, **change: Any) -> list[dict[str, Any]]:
    return [_host(number, **change) for number in range(count)]


def _list(seq: int, hosts: list[dict[str, Any]], whole: bool = True) -> dict[str, Any]:
    return {"seq": seq, "whole": whole, "hosts": hosts}


class Watched:
    """A discovery client whose module only notes its events, and whose work on hosts is counted."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, held: int = 0) -> None:
        self.node = Node(module_settings(), 7, Clock(), asyncio.get_running_loop())
        self.events: list[it.HostList] = []
        self.node.feed = self._feed  # type: ignore[method-assign]
        self.pools = HostPools(self.node, 30_000.0, 100)
        self.discovery = Discovery(self.node, self.pools, ("east", "west"), ("127.0.0.1", 1), 7)
        if held:
            self.discovery.apply(_list(1, _hosts(held)))
            self.events.clear()
        self.checked = self.updated = 0
        update_host = self.pools.update_host

        def count_check(fields: Any) -> Any:
            self.checked += 1
            return check(fields)

        def count_update(*arguments: Any) -> None:
            self.updated += 1
            update_host(*arguments)

        monkeypatch.setattr(list_intake, "check", count_check)
        monkeypatch.setattr(self.pools, "update_host", count_update)
        self.pools.pools = self.walked_pools = Counted(self.pools.pools)
        self.discovery.table.fields = self.walked_fields = Counted(self.discovery.table.fields)

    def _feed(self, event: it.Event) -> None:
        assert isinstance(event, it.HostList)
        self.events.append(event)

    def work(self) -> tuple[int, int, int, int]:
        """Entries checked, pools updated, pools and held entries walked over."""
        return self.checked, self.updated, self.walked_pools.visited, self.walked_fields.visited

    def states(self) -> list[it.HostState]:
        """The states of the hosts in the events, in their order."""
        return [host.state for event in self.events for host in event.entries]


@pytest.mark.parametrize("changes", [2, list_intake.CHANGED_PER_STEP, list_intake.CHANGED_PER_STEP + 1, 200])
@pytest.mark.parametrize("size", SIZES)
def test_changes_of_a_large_fleet_are_one_event_up_to_the_size_of_a_step(
    size: int, changes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, size)
        await watched.discovery.take_in(_list(2, _hosts(changes, health="terminating"), False))
        steps = 1 if size == 200 else math.ceil(changes / list_intake.CHANGED_PER_STEP)
        assert len(watched.events) == steps and watched.states() == [DRAINING] * changes
        assert all(event.kind is it.ListKind.DELTA for event in watched.events)

    run(main())


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("health", ["terminating", "terminated", "in_service"])
def test_a_change_of_one_host_does_the_same_work_at_any_size(
    size: int, health: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, size)
        for seq in range(2, 12):
            await watched.discovery.take_in(_list(seq, [_host(seq * 7, health=health)], False))
        assert watched.work() == (10, 10, 0, 0) and len(watched.events) == 10
        gone = health == "terminated"
        assert len(watched.pools.pools) == len(watched.discovery.table.numbers) == size - 10 * gone
        await watched.discovery.take_in(_list(12, [], False))
        assert watched.work() == (10, 10, 0, 0) and len(watched.events) == 10

    run(main())


def test_a_whole_list_without_changes_builds_no_entry_and_is_told_as_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, 17_000)
        await watched.discovery.take_in(_list(2, _hosts(17_000)))
        assert watched.work() == (0, 0, 0, 0)
        assert watched.events == [it.HostList(it.ListKind.DELTA, ())] and watched.discovery.seq == 2
        changed = [_host(3, health="terminating"), *_hosts(17_000)[4:], _host(20_000)]
        await watched.discovery.take_in(_list(3, changed))
        assert watched.work() == (5, 5, 0, 0)  # one drains, three are not named, one is new
        assert sorted(state.value for state in watched.states()) == [
            "draining",
            "gone",
            "gone",
            "gone",
            "ready",
        ]
        assert len(watched.pools.pools) == 16_998

    run(main())


def test_a_list_of_200_hosts_is_one_event_with_all_its_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, 200)
        await watched.discovery.take_in(_list(2, _hosts(200)[:-1]))
        assert [(event.kind, len(event.entries)) for event in watched.events] == [(it.ListKind.FULL, 199)]
        await watched.discovery.take_in(_list(3, _hosts(200)[-1:], False))
        assert [(event.kind, len(event.entries)) for event in watched.events[1:]] == [(it.ListKind.DELTA, 1)]

    run(main())


def test_the_first_list_is_one_event_of_whatever_size(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch)
        await watched.discovery.take_in(_list(2, _hosts(17_000)))
        assert [(event.kind, len(event.entries)) for event in watched.events] == [(it.ListKind.FULL, 17_000)]

    run(main())


def test_hosts_that_leave_are_told_before_new_ones_wherever_the_list_names_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, 2000)
        new = [_host(number) for number in range(5000, 5500)]
        drains = [_host(number, health="terminating") for number in range(500)]
        await watched.discovery.take_in(_list(2, [*new, *_hosts(1800)[500:], *drains]))
        assert watched.states() == [GONE] * 200 + [DRAINING] * 500 + [READY] * 500
        assert all(len(event.entries) <= list_intake.CHANGED_PER_STEP for event in watched.events)

    run(main())


def test_requests_are_answered_while_a_list_is_taken_in() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            discovery, client = world.parts.discovery, await world.client()
            hosts = [entry("h0", world.hosts[0].dial), *_hosts(17_000, health="terminating")]
            discovery.apply(_list(2, hosts))
            client.ask(b"0")
            assert await client.answer() == b"value"
            intake = asyncio.create_task(
                discovery.take_in(_list(3, [*hosts, _host(20_000, health="terminating")]))
            )
            client.ask(b"1")
            assert await client.answer() == b"value"
            assert not intake.done() and discovery.seq == 2
            await soon(intake)
            assert discovery.seq == 3 and world.parts.node.module.listed_count() == 17_002

    run(main())


def test_a_gateway_is_not_ready_before_the_first_list_after_a_handover_is_whole() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            node, discovery = world.parts.node, world.parts.discovery
            discovery.apply(_list(2, _hosts(300)), cached=True)
            node.module.ready_after = math.inf  # as after a handover
            intake = asyncio.create_task(discovery.take_in(_list(3, _hosts(600))))
            while not node.module.is_ready(node.clock.now()):
                assert not node.ready()
                await asyncio.sleep(0)
            while discovery.seq != 3:
                assert not node.ready()
                await asyncio.sleep(0)
            assert node.ready()
            intake = asyncio.create_task(discovery.take_in(_list(4, _hosts(300))))
            while not intake.done():
                assert node.ready()  # which it was before this list
                await asyncio.sleep(0)

    run(main())


def test_a_move_in_the_middle_of_a_list_mixes_no_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list that has come whole is applied to its end, then that of the new address, which counts."""

    async def main() -> None:
        watched, agents = Watched(monkeypatch, 1000), [await Agent().start() for _ in range(2)]
        discovery = watched.discovery
        discovery.timeout_ms = 10_000.0
        discovery.move(agents[0].address)
        agents[0].put(_list(50, _hosts(500) + [_host(n) for n in range(2000, 4000)]))
        while len(watched.events) < 5:
            await asyncio.sleep(0)
        assert discovery.seq is None  # it only advances when all is applied
        discovery.move(agents[1].address)
        agents[1].put(_list(3, [_host(n) for n in range(3000, 5000)]))
        assert await soon(agents[1].calls.get()) == "/discovery/hosts"
        assert "index=3&" in await soon(agents[1].calls.get())
        # All of the first list, and nothing of the second before.
        assert watched.states() == [GONE] * 500 + [READY] * 2000 + [GONE] * 1500 + [READY] * 1000
        assert set(discovery.table.numbers) == {f"host-{n}" for n in range(3000, 5000)}
        assert discovery.seq == 3
        await discovery.stop()
        for agent in agents:
            agent.server.close()

    run(main())


def test_a_list_that_comes_while_another_is_applied_waits_for_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, 1000)
        first = asyncio.create_task(watched.discovery.take_in(_list(2, _hosts(1000, health="terminating"))))
        while not watched.events:
            await asyncio.sleep(0)
        second = asyncio.create_task(watched.discovery.take_in(_list(3, [_host(5)], False)))
        await soon(asyncio.gather(first, second))
        assert watched.states() == [DRAINING] * 1000 + [READY] and watched.discovery.seq == 3
        third = asyncio.create_task(watched.discovery.take_in(_list(4, _hosts(1000))))
        while len(watched.events) < 45:
            await asyncio.sleep(0)
        watched.discovery.apply(_list(5, [_host(6, health="terminated")], False))
        assert watched.states()[1001:] == [READY] * 999 + [GONE] and watched.discovery.seq == 5
        await soon(third)

    run(main())


def test_a_list_that_failed_in_the_middle_is_applied_whole_the_next_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        watched, left = Watched(monkeypatch, 1000), [100]
        update_host = watched.pools.update_host

        def fail(*arguments: Any) -> None:
            left[0] -= 1
            if not left[0]:
                raise RuntimeError("made up")
            update_host(*arguments)

        monkeypatch.setattr(watched.pools, "update_host", fail)
        drains = _hosts(1000, health="terminating")
        with pytest.raises(RuntimeError):
            await watched.discovery.take_in(_list(2, drains))
        assert watched.discovery.seq == 1
        await watched.discovery.take_in(_list(2, drains))
        assert watched.discovery.seq == 2 and all(pool.leaving for pool in watched.pools.pools.values())
        assert watched.states()[-1000:] == [DRAINING] * 1000

    run(main())


@pytest.mark.parametrize("size", [20, 17_000])
def test_bad_entries_take_no_other_with_them_and_are_one_logged_line(
    size: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, size)
        hosts = _hosts(size)
        hosts[3] |= {"dial": "nowhere"}  # what is held of it stays in force
        hosts[4] |= {"share": math.inf}
        hosts += [_host(5, health="terminating"), _host(size + 1, health="odd"), {"dial": "127.0.0.1:1"}]
        hosts += [_host(size + 2, health="terminated")]
        await watched.discovery.take_in(_list(2, hosts))
        table, pools = watched.discovery.table, watched.pools.pools
        assert set(table.numbers) == {f"host-{n}" for n in range(size)} and watched.discovery.seq == 2
        assert [number for number, pool in pools.items() if pool.leaving] == [table.numbers["host-5"]]
        (line,) = [record.getMessage() for record in caplog.records]
        assert "version 2" in line and "4 malformed, the first host-3" in line
        assert "1 for a host named before" in line and "1 for a host that is gone" in line

    run(main())


@pytest.mark.parametrize("known_first", [True, False])
def test_the_last_entry_of_a_host_counts(known_first: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        watched = Watched(monkeypatch, 1000)
        same, other = _host(7), _host(7, health="terminating", dial="127.0.0.1:9")
        hosts = [one for one in _hosts(1000) if one["host"] != "host-7"]
        twice = [same, other, same] if known_first else [same, other]
        await watched.discovery.take_in(_list(2, [*twice, *hosts]))
        pool = watched.pools.pools[watched.discovery.table.numbers["host-7"]]
        assert pool.leaving is not known_first and watched.states() == [DRAINING] * (not known_first)

    run(main())


def test_a_long_list_is_decoded_in_a_thread_that_ends_and_a_short_one_at_once() -> None:
    async def main() -> None:
        interval = sys.getswitchinterval()
        short, long = (json.dumps(_list(2, _hosts(count))).encode() for count in (200, 2000))
        assert len(short) < AT_ONCE_BYTES < len(long)
        before = threading.active_count()
        assert await decode_beside(short) == decode(short) and threading.active_count() == before
        answers = await asyncio.gather(decode_beside(long), decode_beside(long))
        assert list(answers) == [decode(long)] * 2 and sys.getswitchinterval() == interval
        while threading.active_count() > before:
            await asyncio.sleep(0)
        with pytest.raises(ValueError):
            await decode_beside(long[:-1])
        assert sys.getswitchinterval() == interval

    run(main())


@pytest.mark.parametrize("bad", ["cut", "over the limit", "older", "no list"])
def test_a_large_answer_that_cannot_be_taken_changes_nothing_and_is_one_logged_line(
    bad: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        watched, agent = Watched(monkeypatch), await Agent().start()
        discovery = watched.discovery
        discovery.timeout_ms = 10_000.0
        discovery.apply(_list(5, _hosts(2000)))
        watched.events.clear()
        discovery.address = agent.address
        discovery.start()
        await soon(agent.calls.get())
        answer = json.dumps(_list(4 if bad == "older" else 6, _hosts(1000))).encode()
        if bad == "cut":
            answer = answer[:-9]
        elif bad == "over the limit":
            monkeypatch.setattr(discovery_module, "MAX_BODY", len(answer) - 1)
        elif bad == "no list":
            answer = b"[%s]" % answer
        agent.put(answer)
        await soon(agent.calls.get())
        assert not watched.events and discovery.seq == 5 and len(watched.pools.pools) == 2000
        assert len(caplog.records) == 1
        monkeypatch.undo()
        agent.put(_list(7, [_host(1, health="terminating")], False))
        await soon(agent.calls.get())
        assert watched.states() == [DRAINING] and discovery.seq == 7
        await discovery.stop()
        agent.server.close()

    run(main())


def test_a_list_of_17000_hosts_fits_the_limit_with_long_names_too() -> None:
    long = _hosts(17_000, dial="[2001:0db8:0000:0000:0000:0000:0000:0001]:6379")
    size = sum(len(json.dumps(host | {"host": f"{host['host']:x<63}"})) + 2 for host in long)
    assert 3 * size < discovery_module.MAX_BODY


class Model:
    """What lists and changes leave behind, in the plainest form."""

    def __init__(self) -> None:
        self.hosts: dict[str, tuple[it.HostState, str]] = {}

    def apply(self, answer: dict[str, Any]) -> None:
        if answer["whole"]:
            named = {host["host"] for host in answer["hosts"]}
            self.hosts = {name: held for name, held in self.hosts.items() if name in named}
        for host in answer["hosts"]:
            state = {"in_service": READY, "terminating": DRAINING, "terminated": GONE}[host["health"]]
            self.hosts[host["host"]] = state, host["dial"]
        self.hosts = {name: held for name, held in self.hosts.items() if held[0] is not GONE}


class Timers:
    """An event loop without time: its timers never fire."""

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> Timers:
        return self

    def cancel(self) -> None: ...


ENTRIES = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from(["in_service", "in_service", "terminating", "terminated"]),
        st.integers(1, 3),
        st.integers(0, 2),
    ),
    max_size=14,
)
ANSWERS = st.lists(
    st.tuples(st.booleans(), ENTRIES, st.sampled_from(["at once", "steps", "cut short"])), max_size=8
)


@given(ANSWERS)
@settings(max_examples=300, deadline=None)
def test_any_order_of_lists_and_changes_leaves_what_a_plain_model_says(
    answers: list[tuple[bool, list[tuple[int, str, int, int]], str]],
) -> None:
    """Applied at once, in steps of one or two entries, or in steps that the next list finds half done."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(list_intake, "COMPARED_PER_STEP", 2)
        monkeypatch.setattr(list_intake, "CHANGED_PER_STEP", 1)
        loop: Any = Timers()
        node = Node(module_settings(), 7, Clock(), loop)
        pools = HostPools(node, 30_000.0, 100)
        discovery = Discovery(node, pools, ("east",), ("127.0.0.1", 1), 7)
        model = Model()
        for seq, (whole, entries, how) in enumerate(answers):
            hosts = [
                _host(number, health=health, dial=f"127.0.0.1:{port}", block=block)
                for number, health, port, block in entries
            ]
            answer = _list(seq, hosts, whole)
            model.apply(answer)
            for _ in discovery._steps:
                pass
            if how == "at once":
                discovery.apply(answer)
                continue
            discovery._steps = discovery._apply_in_steps(read_update(answer))
            for _ in range(3 if how == "cut short" else 1000):
                next(discovery._steps, None)
        for _ in discovery._steps:
            pass
        numbers, module = discovery.table.numbers, node.module.hosts
        assert set(numbers) == set(model.hosts) and discovery.seq == (len(answers) - 1 if answers else None)
        assert set(numbers.values()) == set(pools.pools) == set(module)
        for name, (state, dial) in model.hosts.items():
            pool, host = pools.pools[numbers[name]], module[numbers[name]]
            assert f"{pool.address[0]}:{pool.address[1]}" == dial and pool.name == name
            assert (pool.leaving, pool.gone, host.is_ready, host.is_gone) == (
                state is not READY,
                False,
                state is READY,
                False,
            )
        blocks = [str(fields[3]) for fields in discovery.table.fields.values()]
        assert {name: block.hosts for name, block in discovery.table.blocks.items()} == {
            name: blocks.count(name) for name in blocks
        }
