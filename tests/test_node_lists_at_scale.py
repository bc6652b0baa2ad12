"""Host lists of up to 17,000 hosts; the tests count operations and never measure time."""

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
from rainturn.node import list_updater
from rainturn.node.clock import Clock
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Node
from rainturn.node.host_list import parse_host, parse_update
from rainturn.node.host_pools import HostPools
from rainturn.node.list_decoder import MAX_INLINE_BYTES, decode, decode_async
from rainturn.node.requests import Attempt
from tests.helpers import settings as module_settings
from tests.sockets import Discovery as Agent
from tests.sockets import GatewaySetup, ample_memory, host_entry, run, success_answer, with_timeout
from tests.test_node_hosts import EventLog, add_attempt

SIZES = (200, 17_000)
READY, DRAINING, GONE = it.HostState.READY, it.HostState.DRAINING, it.HostState.GONE


class CountingDict(dict[Any, Any]):
    """A dict that counts the entries over which callers iterate."""

    visit_count = 0

    def __iter__(self) -> Iterator[Any]:
        return self._count(super().__iter__())

    def values(self) -> Any:
        return self._count(super().values())

    def items(self) -> Any:
        return self._count(super().items())

    def _count(self, entries: Any) -> Iterator[Any]:
        for item in entries:
            self.visit_count += 1
            yield item


def _attempt_at(setup: GatewaySetup, host: int) -> Attempt:
    attempt = add_attempt(setup)
    attempt.host = host
    return attempt


def _many_pools(setup: GatewaySetup, count: int) -> HostPools:
    """Return the pools of a gateway with one host, extended to `count` hosts at the same address."""
    pools, address = setup.parts.pools, setup.parts.pools.pools[1].address
    for number in range(2, count + 1):
        pools.add(number, f"host-{number}")
        pools.update_host(number, address, it.HostState.READY, 0.0)
    return pools


@pytest.mark.parametrize("size", SIZES)
def test_attempts_that_wait_for_leaving_hosts_end_without_iterating_over_all_pools(
    size: int,
) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: None) as setup:
            log, pools = EventLog(setup), _many_pools(setup, size)
            address = pools.pools[1].address
            pools.pools = counting_pools = CountingDict(pools.pools)
            leaving = [size, size - 3]
            for number in leaving:
                pools.start(_attempt_at(setup, number))  # its connection is being opened
                pools.update_host(number, address, it.HostState.DRAINING, 0.0)
            pools.update_host(7, address, it.HostState.GONE, 0.0)
            pools.end_waiting_at_leaving_hosts()
            ends = [await log.next_end(), await log.next_end()]
            assert [(end.host, end.outcome) for end in ends] == [
                (size - 3, it.Outcome.NOT_SENT),
                (size, it.Outcome.NOT_SENT),
            ]
            assert not counting_pools.visit_count and not pools.leaving_pools

    run(main())


@pytest.mark.parametrize("size", SIZES)
def test_the_oldest_idle_connection_makes_room_for_a_new_one_without_iterating_over_all_pools(
    size: int,
) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), _many_pools(setup, size)
            pools.pools = counting_pools = CountingDict(pools.pools)
            used = [size, 5, size - 1, 9]
            for number in used:
                pools.start(_attempt_at(setup, number))
                assert (await log.next_end()).outcome is it.Outcome.OK
            assert [connection.pool.number for connection in pools.idle_connections] == used  # type: ignore[attr-defined]
            pools.max_connections = len(used)
            for closed, number in zip(used, (20, 21, 22, 23), strict=True):
                assert pools.pools[closed].connections
                pools.start(_attempt_at(setup, number))
                assert not pools.pools[closed].connections
                assert (await log.next_end()).outcome is it.Outcome.OK
            assert not counting_pools.visit_count
            pools.close_idle()
            assert (
                not counting_pools.visit_count and not pools.open_connections and not pools.idle_connections
            )

    run(main())


@pytest.mark.parametrize("size", SIZES)
def test_a_pool_allocates_no_containers_before_its_first_attempt(size: int) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), _many_pools(setup, size)
            pools.start(_attempt_at(setup, 7))
            assert (await log.next_end()).outcome is it.Outcome.OK
            used = [number for number, pool in pools.pools.items() if isinstance(pool.connections, set)]
            assert used == [7]
            pools.update_host(7, ("127.0.0.1", 2), it.HostState.READY, 1.0)  # closes the idle connections
            assert not pools.idle_connections and not pools.open_connections
            await with_timeout(setup.hosts[0].closed.get())

    run(main())


def test_an_attempt_at_a_leaving_host_ends_with_the_next_list() -> None:
    """The decision module sent it in the same turn of the event loop, before it received the list."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), _many_pools(setup, 3)
            pools.update_host(2, pools.pools[2].address, it.HostState.DRAINING, 0.0)
            pools.start(_attempt_at(setup, 2))
            pools.end_waiting_at_leaving_hosts()
            assert (await log.next_end()).outcome is it.Outcome.NOT_SENT
            await asyncio.sleep(0)
            assert setup.hosts[0].commands.empty()

    run(main())


def _host(number: int, **change: Any) -> dict[str, Any]:
    dial = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"
    return (
        host_entry(f"host-{number}", dial, "west" if number % 2 else "east")
        | {"block": number // 40}
        | change
    )


def _hosts(count: int, **change: Any) -> list[dict[str, Any]]:
    return [_host(number, **change) for number in range(count)]


def _list(seq: int, hosts: list[dict[str, Any]], whole: bool = True) -> dict[str, Any]:
    return {"seq": seq, "whole": whole, "hosts": hosts}


class DiscoveryHarness:
    """A discovery client with recorded list events and counted operations on hosts."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, known: int = 0) -> None:
        self.node = Node(module_settings(), 7, Clock(), asyncio.get_running_loop(), ample_memory())
        self.events: list[it.HostList] = []
        self.node.dispatch = self._dispatch  # type: ignore[method-assign]
        self.pools = HostPools(self.node, 30_000.0, 100)
        self.discovery = Discovery(self.node, self.pools, ("east", "west"), ("127.0.0.1", 1), 7)
        if known:
            self.discovery.apply(_list(1, _hosts(known)))
            self.events.clear()
        self.check_count = self.update_count = 0
        update_host = self.pools.update_host

        def count_check(fields: Any) -> Any:
            self.check_count += 1
            return parse_host(fields)

        def count_update(*arguments: Any) -> None:
            self.update_count += 1
            update_host(*arguments)

        monkeypatch.setattr(list_updater, "parse_host", count_check)
        monkeypatch.setattr(self.pools, "update_host", count_update)
        self.pools.pools = self.counting_pools = CountingDict(self.pools.pools)
        self.discovery.table.fields = self.counting_fields = CountingDict(self.discovery.table.fields)

    def _dispatch(self, event: it.Event) -> None:
        assert isinstance(event, it.HostList)
        self.events.append(event)

    def operation_counts(self) -> tuple[int, int, int, int]:
        """Return how many entries were checked, pools updated, and pools and entries iterated over."""
        return (
            self.check_count,
            self.update_count,
            self.counting_pools.visit_count,
            self.counting_fields.visit_count,
        )

    def states(self) -> list[it.HostState]:
        """Return the states of the hosts in all events, in order."""
        return [host.state for event in self.events for host in event.entries]


@pytest.mark.parametrize(
    "changes", [2, list_updater.CHANGED_PER_STEP, list_updater.CHANGED_PER_STEP + 1, 200]
)
@pytest.mark.parametrize("size", SIZES)
def test_changes_are_one_event_in_a_small_fleet_and_one_event_per_step_in_a_large_one(
    size: int, changes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, size)
        await harness.discovery.apply_without_blocking(_list(2, _hosts(changes, health="terminating"), False))
        steps = 1 if size == 200 else math.ceil(changes / list_updater.CHANGED_PER_STEP)
        assert len(harness.events) == steps and harness.states() == [DRAINING] * changes
        assert all(event.kind is it.ListKind.DELTA for event in harness.events)

    run(main())


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("health", ["terminating", "terminated", "in_service"])
def test_a_change_of_one_host_costs_the_same_at_any_fleet_size(
    size: int, health: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, size)
        for seq in range(2, 12):
            await harness.discovery.apply_without_blocking(_list(seq, [_host(seq * 7, health=health)], False))
        assert harness.operation_counts() == (10, 10, 0, 0) and len(harness.events) == 10
        gone = health == "terminated"
        assert len(harness.pools.pools) == len(harness.discovery.table.numbers) == size - 10 * gone
        await harness.discovery.apply_without_blocking(_list(12, [], False))
        assert harness.operation_counts() == (10, 10, 0, 0) and len(harness.events) == 10

    run(main())


def test_a_full_list_without_changes_checks_no_entry_and_sends_one_empty_event(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, 17_000)
        await harness.discovery.apply_without_blocking(_list(2, _hosts(17_000)))
        assert harness.operation_counts() == (0, 0, 0, 0)
        assert harness.events == [it.HostList(it.ListKind.DELTA, ())] and harness.discovery.version == 2
        changed = [_host(3, health="terminating"), *_hosts(17_000)[4:], _host(20_000)]
        await harness.discovery.apply_without_blocking(_list(3, changed))
        assert harness.operation_counts() == (5, 5, 0, 0)  # one drains, three are missing, one is new
        assert sorted(state.value for state in harness.states()) == [
            "draining",
            "gone",
            "gone",
            "gone",
            "ready",
        ]
        assert len(harness.pools.pools) == 16_998

    run(main())


def test_a_list_of_200_hosts_is_one_event_with_all_its_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, 200)
        await harness.discovery.apply_without_blocking(_list(2, _hosts(200)[:-1]))
        assert [(event.kind, len(event.entries)) for event in harness.events] == [(it.ListKind.FULL, 199)]
        await harness.discovery.apply_without_blocking(_list(3, _hosts(200)[-1:], False))
        assert [(event.kind, len(event.entries)) for event in harness.events[1:]] == [(it.ListKind.DELTA, 1)]

    run(main())


def test_the_first_list_is_one_event_at_any_size(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch)
        await harness.discovery.apply_without_blocking(_list(2, _hosts(17_000)))
        assert [(event.kind, len(event.entries)) for event in harness.events] == [(it.ListKind.FULL, 17_000)]

    run(main())


def test_leaving_hosts_are_applied_before_new_ones_whatever_the_order_of_the_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, 2000)
        new = [_host(number) for number in range(5000, 5500)]
        drains = [_host(number, health="terminating") for number in range(500)]
        await harness.discovery.apply_without_blocking(_list(2, [*new, *_hosts(1800)[500:], *drains]))
        assert harness.states() == [GONE] * 200 + [DRAINING] * 500 + [READY] * 500
        assert all(len(event.entries) <= list_updater.CHANGED_PER_STEP for event in harness.events)

    run(main())


def test_requests_are_answered_while_a_list_is_applied() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            discovery, client = setup.parts.discovery, await setup.client()
            hosts = [host_entry("h0", setup.hosts[0].dial), *_hosts(17_000, health="terminating")]
            discovery.apply(_list(2, hosts))
            client.send_request(b"0")
            assert await client.read_answer() == b"value"
            apply_task = asyncio.create_task(
                discovery.apply_without_blocking(_list(3, [*hosts, _host(20_000, health="terminating")]))
            )
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            assert not apply_task.done() and discovery.version == 2
            await with_timeout(apply_task)
            assert discovery.version == 3 and setup.parts.node.decision_module.listed_count() == 17_002

    run(main())


def test_a_gateway_is_not_ready_before_the_first_list_after_a_handover_is_applied_completely() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            node, discovery = setup.parts.node, setup.parts.discovery
            discovery.apply(_list(2, _hosts(300)), cached=True)
            node.decision_module.ready_after = math.inf  # as after a handover
            apply_task = asyncio.create_task(discovery.apply_without_blocking(_list(3, _hosts(600))))
            while not node.decision_module.is_ready(node.clock.now()):
                assert not node.is_ready()
                await asyncio.sleep(0)
            while discovery.version != 3:
                assert not node.is_ready()
                await asyncio.sleep(0)
            assert node.is_ready()
            apply_task = asyncio.create_task(discovery.apply_without_blocking(_list(4, _hosts(300))))
            while not apply_task.done():
                assert node.is_ready()  # because it was ready before this list
                await asyncio.sleep(0)

    run(main())


def test_a_new_discovery_address_during_the_application_of_a_list_mixes_no_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A list that has arrived completely is applied to its end before the list of the new address."""

    async def main() -> None:
        harness, agents = DiscoveryHarness(monkeypatch, 1000), [await Agent().start() for _ in range(2)]
        discovery = harness.discovery
        discovery.timeout_ms = 10_000.0
        discovery.change_address(agents[0].address)
        agents[0].put(_list(50, _hosts(500) + [_host(n) for n in range(2000, 4000)]))
        while len(harness.events) < 5:
            await asyncio.sleep(0)
        assert discovery.version is None  # it changes only when the list is applied completely
        discovery.change_address(agents[1].address)
        agents[1].put(_list(3, [_host(n) for n in range(3000, 5000)]))
        assert await with_timeout(agents[1].calls.get()) == "/discovery/hosts"
        assert "index=3&" in await with_timeout(agents[1].calls.get())
        # The first list is applied completely before the second one begins.
        assert harness.states() == [GONE] * 500 + [READY] * 2000 + [GONE] * 1500 + [READY] * 1000
        assert set(discovery.table.numbers) == {f"host-{n}" for n in range(3000, 5000)}
        assert discovery.version == 3
        await discovery.stop()
        for agent in agents:
            agent.server.close()

    run(main())


def test_a_list_that_arrives_while_another_is_applied_waits_for_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, 1000)
        first = asyncio.create_task(
            harness.discovery.apply_without_blocking(_list(2, _hosts(1000, health="terminating")))
        )
        while not harness.events:
            await asyncio.sleep(0)
        second = asyncio.create_task(harness.discovery.apply_without_blocking(_list(3, [_host(5)], False)))
        await with_timeout(asyncio.gather(first, second))
        assert harness.states() == [DRAINING] * 1000 + [READY] and harness.discovery.version == 3
        third = asyncio.create_task(harness.discovery.apply_without_blocking(_list(4, _hosts(1000))))
        while len(harness.events) < 45:
            await asyncio.sleep(0)
        harness.discovery.apply(_list(5, [_host(6, health="terminated")], False))
        assert harness.states()[1001:] == [READY] * 999 + [GONE] and harness.discovery.version == 5
        await with_timeout(third)

    run(main())


def test_a_list_that_failed_midway_is_applied_completely_the_next_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        harness, updates_left = DiscoveryHarness(monkeypatch, 1000), [100]
        update_host = harness.pools.update_host

        def fail(*arguments: Any) -> None:
            updates_left[0] -= 1
            if not updates_left[0]:
                raise RuntimeError("made up")
            update_host(*arguments)

        monkeypatch.setattr(harness.pools, "update_host", fail)
        drains = _hosts(1000, health="terminating")
        with pytest.raises(RuntimeError):
            await harness.discovery.apply_without_blocking(_list(2, drains))
        assert harness.discovery.version == 1
        await harness.discovery.apply_without_blocking(_list(2, drains))
        assert harness.discovery.version == 2 and all(
            pool.is_leaving for pool in harness.pools.pools.values()
        )
        assert harness.states()[-1000:] == [DRAINING] * 1000

    run(main())


@pytest.mark.parametrize("size", [20, 17_000])
def test_bad_entries_do_not_affect_others_and_are_logged_as_one_line(
    size: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, size)
        hosts = _hosts(size)
        hosts[3] |= {"dial": "nowhere"}  # its stored entry stays valid
        hosts[4] |= {"share": math.inf}
        hosts += [_host(5, health="terminating"), _host(size + 1, health="odd"), {"dial": "127.0.0.1:1"}]
        hosts += [_host(size + 2, health="terminated")]
        await harness.discovery.apply_without_blocking(_list(2, hosts))
        table, pools = harness.discovery.table, harness.pools.pools
        assert set(table.numbers) == {f"host-{n}" for n in range(size)} and harness.discovery.version == 2
        assert [number for number, pool in pools.items() if pool.is_leaving] == [table.numbers["host-5"]]
        (line,) = [record.getMessage() for record in caplog.records]
        assert "version 2" in line and "4 malformed, the first host-3" in line
        assert "1 for a host named before" in line and "1 for a host that is gone" in line

    run(main())


@pytest.mark.parametrize("stored_last", [True, False])
def test_the_last_entry_of_a_host_counts(stored_last: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        harness = DiscoveryHarness(monkeypatch, 1000)
        same, other = _host(7), _host(7, health="terminating", dial="127.0.0.1:9")
        hosts = [host for host in _hosts(1000) if host["host"] != "host-7"]
        twice = [same, other, same] if stored_last else [same, other]
        await harness.discovery.apply_without_blocking(_list(2, [*twice, *hosts]))
        pool = harness.pools.pools[harness.discovery.table.numbers["host-7"]]
        assert pool.is_leaving is not stored_last and harness.states() == [DRAINING] * (not stored_last)

    run(main())


def test_a_long_list_is_decoded_in_a_thread_that_ends_and_a_short_one_without_a_thread() -> None:
    async def main() -> None:
        interval = sys.getswitchinterval()
        short, long = (json.dumps(_list(2, _hosts(count))).encode() for count in (200, 2000))
        assert len(short) < MAX_INLINE_BYTES < len(long)
        before = threading.active_count()
        assert await decode_async(short) == decode(short) and threading.active_count() == before
        answers = await asyncio.gather(decode_async(long), decode_async(long))
        assert list(answers) == [decode(long)] * 2 and sys.getswitchinterval() == interval
        while threading.active_count() > before:
            await asyncio.sleep(0)
        with pytest.raises(ValueError):
            await decode_async(long[:-1])
        assert sys.getswitchinterval() == interval

    run(main())


@pytest.mark.parametrize("bad", ["cut", "over the limit", "older", "no list"])
def test_a_large_answer_that_is_rejected_changes_nothing_and_is_logged_as_one_line(
    bad: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        harness, agent = DiscoveryHarness(monkeypatch), await Agent().start()
        discovery = harness.discovery
        discovery.timeout_ms = 10_000.0
        discovery.apply(_list(5, _hosts(2000)))
        harness.events.clear()
        discovery.address = agent.address
        discovery.start()
        await with_timeout(agent.calls.get())
        answer = json.dumps(_list(4 if bad == "older" else 6, _hosts(1000))).encode()
        if bad == "cut":
            answer = answer[:-9]
        elif bad == "over the limit":
            monkeypatch.setattr(discovery_module, "MAX_BODY_BYTES", len(answer) - 1)
        elif bad == "no list":
            answer = b"[%s]" % answer
        agent.put(answer)
        await with_timeout(agent.calls.get())
        assert not harness.events and discovery.version == 5 and len(harness.pools.pools) == 2000
        assert len(caplog.records) == 1
        monkeypatch.undo()
        agent.put(_list(7, [_host(1, health="terminating")], False))
        await with_timeout(agent.calls.get())
        assert harness.states() == [DRAINING] and discovery.version == 7
        await discovery.stop()
        agent.server.close()

    run(main())


def test_a_list_of_17000_hosts_fits_the_limit_with_long_names_too() -> None:
    long_hosts = _hosts(17_000, dial="[2001:0db8:0000:0000:0000:0000:0000:0001]:6379")
    size = sum(len(json.dumps(host | {"host": f"{host['host']:x<63}"})) + 2 for host in long_hosts)
    assert 3 * size < discovery_module.MAX_BODY_BYTES


class ListModel:
    """A simple model of the hosts that remain after full lists and changes."""

    def __init__(self) -> None:
        self.hosts: dict[str, tuple[it.HostState, str]] = {}

    def apply(self, answer: dict[str, Any]) -> None:
        if answer["whole"]:
            named = {host["host"] for host in answer["hosts"]}
            self.hosts = {name: known for name, known in self.hosts.items() if name in named}
        for host in answer["hosts"]:
            state = {"in_service": READY, "terminating": DRAINING, "terminated": GONE}[host["health"]]
            self.hosts[host["host"]] = state, host["dial"]
        self.hosts = {name: known for name, known in self.hosts.items() if known[0] is not GONE}


class FakeLoop:
    """An event loop whose timers never fire."""

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> FakeLoop:
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
def test_any_sequence_of_lists_and_changes_gives_the_same_hosts_as_a_simple_model(
    answers: list[tuple[bool, list[tuple[int, str, int, int]], str]],
) -> None:
    """Apply lists at once, in steps of one or two entries, or in steps that the next list interrupts."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(list_updater, "COMPARED_PER_STEP", 2)
        monkeypatch.setattr(list_updater, "CHANGED_PER_STEP", 1)
        loop: Any = FakeLoop()
        node = Node(module_settings(), 7, Clock(), loop, ample_memory(loop))
        pools = HostPools(node, 30_000.0, 100)
        discovery = Discovery(node, pools, ("east",), ("127.0.0.1", 1), 7)
        model = ListModel()
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
            discovery._steps = discovery._apply_in_steps(parse_update(answer))
            for _ in range(3 if how == "cut short" else 1000):
                next(discovery._steps, None)
        for _ in discovery._steps:
            pass
        numbers, module = discovery.table.numbers, node.decision_module.hosts
        assert set(numbers) == set(model.hosts) and discovery.version == (
            len(answers) - 1 if answers else None
        )
        assert set(numbers.values()) == set(pools.pools) == set(module)
        for name, (state, dial) in model.hosts.items():
            pool, host = pools.pools[numbers[name]], module[numbers[name]]
            assert f"{pool.address[0]}:{pool.address[1]}" == dial and pool.name == name
            assert (pool.is_leaving, pool.is_gone, host.is_ready, host.is_gone) == (
                state is not READY,
                False,
                state is READY,
                False,
            )
        blocks = [str(fields[3]) for fields in discovery.table.fields.values()]
        assert {name: cell.host_count for name, cell in discovery.table.cells.items()} == {
            name: blocks.count(name) for name in blocks
        }
