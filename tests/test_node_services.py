"""The node's counter and discovery, its timers, and the module's mistakes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import select
import socket
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import counter as counter_module
from rainturn.node import discovery as discovery_module
from rainturn.node.discovery import WATCH_WAIT_MS, Discovery, Refused
from tests.sockets import LONG, WIRE, Peer, World, entry, run, served, soon
from tests.sockets import Discovery as Agent


class Counted:
    """Takes the module's place for what comes of counter calls."""

    def __init__(self, world: World) -> None:
        self.events: asyncio.Queue[it.CountAnswered] = asyncio.Queue()
        world.parts.node.feed = self._feed  # type: ignore[method-assign]
        self.counter = world.parts.node.counter

    def _feed(self, event: it.Event) -> None:
        if isinstance(event, it.CountAnswered):
            self.events.put_nowait(event)

    def let_calls_take_long(self) -> None:
        """From here on no call is given up for a busy machine."""
        counter: Any = self.counter
        counter.timeout_ms = LONG * 1000

    async def next(self) -> tuple[int, it.Outcome, float]:
        event = await soon(self.events.get())
        return event.name, event.outcome, event.total


def test_a_count_has_the_form_of_the_protocol_and_its_total_comes_back() -> None:
    async def main() -> None:
        async with World(counter=lambda words: b"$4\r\n12.5\r\n") as world:
            counted = Counted(world)
            counted.let_calls_take_long()
            counted.counter.call(77, -2.5, 90_000.0)
            assert await counted.next() == (77, it.Outcome.OK, 12.5)
            assert await soon(world.counter.commands.get()) == [b"ADDGET", b"77", b"-2.5", b"60000"]

    run(main())


def test_busy_adds_nothing() -> None:
    async def main() -> None:
        async with World(counter=lambda words: b"-BUSY\r\n") as world:
            counted = Counted(world)
            counted.let_calls_take_long()
            counted.counter.call(1, 1.0, 1000.0)
            assert await counted.next() == (1, it.Outcome.FULL, 0.0)

    run(main())


def test_a_late_answer_belongs_to_its_call_and_does_not_shift_the_next() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[1] == b"1":
                await release.wait()
            return b"$1\r\n%s\r\n" % words[1]

        async with World(counter=handler) as world:
            counted = Counted(world)
            counted.counter.call(1, 1.0, 1000.0)
            assert await counted.next() == (1, it.Outcome.TIMEOUT, 0.0)
            counted.let_calls_take_long()
            counted.counter.call(2, 1.0, 1000.0)
            release.set()
            assert await counted.next() == (2, it.Outcome.OK, 2.0)
            assert counted.events.empty() and world.counter.connected.qsize() == 1

    run(main())


def test_calls_out_on_a_counter_connection_that_breaks_may_have_been_added_and_it_is_replaced() -> None:
    async def main() -> None:
        async with World(counter=lambda words: Peer.RESET if words[1] == b"1" else b"$1\r\n9\r\n") as world:
            counted = Counted(world)
            counted.counter.call(1, 1.0, 1000.0)
            assert await counted.next() == (1, it.Outcome.RESET, 0.0)
            counted.let_calls_take_long()
            counted.counter.call(2, 1.0, 1000.0)
            assert await counted.next() == (2, it.Outcome.OK, 9.0)

    run(main())


def test_a_silent_or_rested_counter_connection_is_replaced(monkeypatch: Any) -> None:
    async def main() -> None:
        monkeypatch.setattr(counter_module, "SILENT_TIMEOUTS", 0.0)
        async with World(counter=lambda words: None if words[1] == b"1" else b"$1\r\n9\r\n") as world:
            counted = Counted(world)
            counted.counter.call(1, 1.0, 1000.0)
            assert await counted.next() == (1, it.Outcome.TIMEOUT, 0.0)
            counted.let_calls_take_long()
            counted.counter.call(2, 1.0, 1000.0)
            assert await counted.next() == (2, it.Outcome.OK, 9.0)
            assert world.counter.connected.qsize() == 2
            monkeypatch.setattr(counter_module, "IDLE_LIMIT_MS", -1.0)
            counted.counter.call(3, 1.0, 1000.0)
            assert await counted.next() == (3, it.Outcome.OK, 9.0)
            assert world.counter.connected.qsize() == 3

    run(main())


def test_a_counter_that_cannot_be_reached_adds_nothing_and_is_tried_again() -> None:
    async def main() -> None:
        async with World() as world:
            counted, real = Counted(world), await Peer(lambda words: b"$1\r\n9\r\n").start()
            counter: Any = counted.counter
            counter.address = ("127.0.0.1", 1)
            counter.call(1, 1.0, 1000.0)
            assert await counted.next() == (1, it.Outcome.UNREACHABLE, 0.0)
            counter.address = real.address
            counter.retry_at = 0.0
            counter.call(2, 1.0, 1000.0)
            outcome = await counted.next()
            while outcome[1] is not it.Outcome.OK:  # a pause after the failed connect may outlast the call
                counter.call(2, 1.0, 1000.0)
                outcome = await counted.next()
            assert outcome == (2, it.Outcome.OK, 9.0)
            real.server.close()

    run(main())


def _next(answers: Iterator[bytes], words: list[bytes]) -> bytes:
    return next(answers, b"$1\r\n1\r\n")


def test_a_counters_garbage_ends_its_connection_only() -> None:
    async def main() -> None:
        for garbage in (
            b"hello\r\n",
            b"$3\r\nnan\r\n",
            b"$1\r\nx\r\n",
            b"*1\r\n$1\r\n1\r\n",
            b"$3\r\n1_0\r\n",
            b"$2\r\n 1\r\n",
            b"$1\r\n12\r\n",
            b"-BUSYISH\r\n",
            b"$999999999\r\n1",
        ):
            answers = iter([garbage])
            async with World(lambda words: served(), counter=partial(_next, answers)) as world:
                client = await world.client()
                client.ask(b"1")
                assert await client.answer() in (b"value", "-BUSY")
                client.ask(b"2")
                assert await client.answer() == b"value", garbage
                # One more where a call finds another one out: two things may be told at once.
                assert 2 <= world.counter.connected.qsize() <= 3

    run(main())


class Watch:
    """A discovery client against an agent that the test plays."""

    def __init__(self, world: World, agent: Agent) -> None:
        self.lists: asyncio.Queue[it.HostList] = asyncio.Queue()
        world.parts.node.feed = self._feed  # type: ignore[method-assign]
        self.pools, self.agent = world.parts.pools, agent
        self.discovery = Discovery(world.parts.node, self.pools, ("east", "west"), agent.address, 7)

    def _feed(self, event: it.Event) -> None:
        if isinstance(event, it.HostList):
            self.lists.put_nowait(event)

    async def next(self) -> tuple[it.ListKind, list[tuple[int, it.HostState]]]:
        news = await soon(self.lists.get())
        return news.kind, [(e.host, e.state) for e in news.entries]


async def _watching(test: Any) -> None:
    """Run `test(watch)` while a watch is on that has the list 5 with the hosts a and b."""
    async with World() as world:
        agent = await Agent().start()
        watch = Watch(world, agent)
        task = asyncio.create_task(watch.discovery.run())
        agent.put(
            {"seq": 5, "whole": True, "hosts": [entry("a", "127.0.0.1:1"), entry("b", "127.0.0.1:2", "west")]}
        )
        assert await watch.next() == (it.ListKind.FULL, [(1, it.HostState.READY), (2, it.HostState.READY)])
        assert await soon(agent.calls.get()) == "/discovery/hosts"
        assert (await soon(agent.calls.get())).startswith("/discovery/hosts?index=5&wait=")
        await test(watch)
        task.cancel()
        agent.server.close()


def test_changes_are_told_and_the_next_call_names_their_version() -> None:
    async def test(watch: Watch) -> None:
        draining = entry("b", "127.0.0.1:2", "west", "terminating")
        watch.agent.put({"seq": 7, "whole": False, "hosts": [draining]})
        assert await watch.next() == (it.ListKind.DELTA, [(2, it.HostState.DRAINING)])
        assert "index=7&" in await soon(watch.agent.calls.get())
        assert watch.pools.pools[2].leaving and not watch.pools.pools[1].leaving

    run(_watching(test))


def test_a_whole_list_in_mid_watch_ends_what_it_does_not_name() -> None:
    async def test(watch: Watch) -> None:
        watch.agent.put({"seq": 9, "whole": True, "hosts": [entry("b", "127.0.0.1:3", "west")]})
        assert await watch.next() == (it.ListKind.FULL, [(2, it.HostState.READY)])
        assert list(watch.pools.pools) == [2]
        assert watch.pools.pools[2].address == ("127.0.0.1", 3)

    run(_watching(test))


@pytest.mark.parametrize("damage", [None, "entry", "empty"])
def test_a_start_watches_from_the_version_it_knows_unless_that_list_is_damaged(damage: str | None) -> None:
    """Days at size: 28 gateways that came back together asked for whole lists and overbooked discovery."""

    async def main() -> None:
        async with World() as world:
            agent = await Agent().start()
            watch = Watch(world, agent)
            known = [] if damage == "empty" else [entry("a", "127.0.0.1:1")]
            known += [{"host": "b"}] if damage == "entry" else []
            watch.discovery.apply({"seq": 5, "whole": True, "hosts": known}, cached=True)
            watch.discovery.start()
            call = await soon(agent.calls.get())
            assert call == "/discovery/hosts" if damage else call.startswith("/discovery/hosts?index=5&wait=")
            await watch.discovery.stop()
            agent.server.close()

    run(main())


@pytest.mark.parametrize("gateways", [3, 48])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_start_asks_before_what_it_knows_may_harm(
    gateways: int, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Days at size: a start that asked 3 s late sent to hosts that had gone while its gateway was down."""

    async def main() -> None:
        async with World(wire={"discovery": mode, "balancers": gateways}) as world:
            watch = Watch(world, await Agent().start())
            known = {"seq": 5, "whole": True, "hosts": [entry("a", "127.0.0.1:1")]}
            watch.discovery.apply(known, cached=True)
            waits: list[float] = []

            async def note(wait_ms: float = 0.0) -> None:
                waits.append(wait_ms)

            monkeypatch.setattr(watch.discovery, "run", note)
            for at_once in [False] * 30 + [True]:
                watch.discovery.start(at_once)
                await watch.discovery.watch  # type: ignore[misc]
            if mode == "push":  # an agent of each gateway's own holds it: no reason to wait
                assert set(waits) == {0.0}
            else:
                assert max(waits) < 500.0 and len(set(waits[:30])) == 30 and waits[30] == 0.0
            watch.agent.server.close()

    run(main())


async def _pauses(
    gateways: int, mode: str, error: Exception, count: int, monkeypatch: pytest.MonkeyPatch
) -> list[float]:
    """How long a discovery client pauses, in s, while each call ends as `error`."""
    pauses: list[float] = []
    async with World(wire={"discovery": mode, "balancers": gateways}) as world:
        watch = Watch(world, await Agent().start())

        async def fail(path: str, timeout_ms: float) -> object:
            raise error

        async def pause(seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) > count:
                raise asyncio.CancelledError

        monkeypatch.setattr(watch.discovery, "_get", fail)
        monkeypatch.setattr(asyncio, "sleep", pause)
        with contextlib.suppress(asyncio.CancelledError):
            await watch.discovery.run()
        monkeypatch.undo()
        watch.agent.server.close()
    return pauses[1:]


async def _told_after(watch: Watch, error: Exception, until: float, monkeypatch: pytest.MonkeyPatch) -> float:
    """How long, in s, until a client hears of what discovery has from `until` on; its time is the test's.

    The first call is answered at 0. From then on all fail, the open watch too, until discovery can be reached
    and has something new. That comes as late as the client waits for an answer.
    """
    discovery, now, calls = watch.discovery, 0.0, 0
    discovery.seq = 5

    async def get(path: str, timeout_ms: float) -> object:
        nonlocal now, calls
        calls += 1
        if calls == 1:
            return {"seq": 5, "whole": False, "hosts": []}
        if now < until:
            now += timeout_ms / 1000 if isinstance(error, TimeoutError) else 0.0
            raise error
        now += discovery.timeout_ms / 1000
        raise asyncio.CancelledError

    async def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds

    monkeypatch.setattr(discovery, "_get", get)
    monkeypatch.setattr(asyncio, "sleep", sleep)
    with contextlib.suppress(asyncio.CancelledError):
        await discovery.run()
    monkeypatch.undo()
    return now - until


@pytest.mark.parametrize("gateways", [3, 48, 1024])
@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize(
    "error", [TimeoutError(), ConnectionResetError(), Refused("status 503"), ValueError("not a host list")]
)
def test_a_change_is_heard_within_6_s_of_when_discovery_has_it_and_can_be_reached(
    gateways: int, mode: str, error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Watch, pauses and time-outs summed up: where lists are asked for pauses alone came to 20 s at 200."""

    async def main() -> None:
        for grace in (200.0, 1000.0, 30_000.0):
            rules = WIRE["rules"] | {"drain_grace_ms": grace}
            async with World(wire={"discovery": mode, "balancers": gateways, "rules": rules}) as world:
                agent = await Agent().start()
                rng = random.Random(gateways)
                for seed in range(40):
                    watch = Watch(world, agent)
                    watch.discovery.rng.seed(seed)
                    until = 0.001 if seed < 20 else rng.uniform(0.0, 40.0)
                    assert 0.0 <= await _told_after(watch, error, until, monkeypatch) <= 5.5
                agent.server.close()

    run(main())


def test_a_fleet_that_failed_in_step_comes_back_to_discovery_out_of_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Days at size: 40 gateways that came back together overbooked discovery."""

    async def main() -> None:
        pauses = await _pauses(200, "ask", Refused("status 503"), 400, monkeypatch)
        later = sorted(pauses[5:])
        assert later[0] < 0.6 * later[-1] and later[-1] <= 2.0 and later[0] >= 0.5
        assert max(b - a for a, b in zip(later, later[1:], strict=False)) < 0.1

    run(main())


@pytest.mark.parametrize("gateways", [3, 200])
@pytest.mark.parametrize(
    "error", [TimeoutError(), ConnectionResetError(), Refused("status 503"), ValueError("not a host list")]
)
def test_an_agent_that_pushes_lists_is_asked_again_within_the_drain_grace_however_large_the_fleet(
    gateways: int, error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """herd+mass, join+mass: 200 gateways paused for 10 to 30 s and sent on to hosts announced as leaving."""

    async def main() -> None:
        pauses = await _pauses(gateways, "push", error, 50, monkeypatch)
        grace = WIRE["rules"]["drain_grace_ms"] / 1000
        assert max(pauses) < grace / 4 and min(pauses) < 0.7 * max(pauses)

    run(main())


@pytest.mark.parametrize("gateways", [3, 200])
def test_a_watch_that_broke_is_opened_anew_at_once_also_where_lists_are_asked_for(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What a silent watch misses counts as told after 6 s; for 3.5 s of these it is waited for."""

    async def main() -> None:
        for error in (TimeoutError(), ConnectionResetError()):
            pauses = await _pauses(gateways, "ask", error, 50, monkeypatch)
            assert pauses[0] < 0.5 and max(pauses) <= 2.0

    run(main())


def test_news_that_an_agent_had_at_the_start_or_at_its_return_comes_well_within_the_grace() -> None:
    """The agent is silent to every call, then answers new ones only: as where discovery was down."""

    async def main() -> None:
        async with World(wire={"rules": WIRE["rules"] | {"drain_grace_ms": 400}}) as world:
            agent = await Agent().start()
            watch = Watch(world, agent)
            known = {"seq": 5, "whole": True, "hosts": [entry("a", "127.0.0.1:1")]}
            watch.discovery.apply(known, cached=True)
            await watch.next()
            watch.discovery.start()
            for _ in range(4):
                call = await soon(agent.calls.get())
                assert call == "/discovery/hosts?index=5&wait=1"
                agent.answers.put_nowait(None)  # never answered
            await soon(agent.calls.get())
            agent.put({"seq": 6, "whole": False, "hosts": [entry("a", "127.0.0.1:1", health="terminating")]})
            assert await watch.next() == (it.ListKind.DELTA, [(1, it.HostState.DRAINING)])
            assert await soon(agent.calls.get()) == f"/discovery/hosts?index=6&wait={WATCH_WAIT_MS}"
            await watch.discovery.stop()
            agent.server.close()

    run(main())


def test_an_older_version_changes_nothing() -> None:
    async def test(watch: Watch) -> None:
        gone = entry("a", "127.0.0.1:1", health="terminated")
        watch.agent.put({"seq": 3, "whole": False, "hosts": [gone]})
        assert await soon(watch.agent.calls.get()) == "/discovery/hosts"  # the whole list, to be sure
        assert watch.lists.empty()
        watch.agent.put({"seq": 6, "whole": True, "hosts": [entry("a", "127.0.0.1:1")]})
        assert await watch.next() == (it.ListKind.FULL, [(1, it.HostState.READY)])

    run(_watching(test))


def test_older_lists_change_nothing_however_often_they_come_until_discovery_must_be_numbered_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Asked again within the grace, three older lists come within a second: that proves no new numbering."""

    async def test(watch: Watch) -> None:
        older = {"seq": 3, "whole": True, "hosts": [entry("b", "127.0.0.1:2", "west")]}
        for _ in range(5):
            watch.agent.put(older)
            assert await soon(watch.agent.calls.get()) == "/discovery/hosts"
        assert watch.lists.empty()
        monkeypatch.setattr(discovery_module, "RENUMBERED_AFTER_MS", 0.0)
        watch.agent.put(older)
        assert await watch.next() == (it.ListKind.FULL, [(2, it.HostState.READY)])

    run(_watching(test))


def test_broken_answers_and_bad_entries_do_not_end_the_watch() -> None:
    async def test(watch: Watch) -> None:
        for broken in (b"{", b"[]", b'{"seq":"x","hosts":[]}'):
            watch.agent.put(broken)
            assert "index=5&" in await soon(watch.agent.calls.get())
        watch.agent.put(
            {
                "seq": 6,
                "whole": False,
                "hosts": [
                    {"host": "c"},
                    entry("c", "nowhere"),
                    entry("c", "127.0.0.1:4", health="odd"),
                    entry("c", "127.0.0.1:4", born_ms=float("nan")),
                    entry("d", "127.0.0.1:5"),
                ],
            }
        )
        kind, entries = await watch.next()
        assert kind is it.ListKind.DELTA and len(entries) == 1

    run(_watching(test))


def test_a_silent_discovery_is_asked_again(monkeypatch: Any) -> None:
    monkeypatch.setattr(discovery_module, "ANSWER_TIMEOUT_MS", 100)
    monkeypatch.setattr(discovery_module, "WATCH_WAIT_MS", 100)

    async def test(watch: Watch) -> None:
        assert "index=5&" in await soon(watch.agent.calls.get())  # on a new connection
        watch.agent.answers.put_nowait(None)  # what the connection given up takes
        watch.agent.put({"seq": 6, "whole": False, "hosts": [entry("a", "127.0.0.1:1", health="terminated")]})
        assert await watch.next() == (it.ListKind.DELTA, [(1, it.HostState.GONE)])

    run(_watching(test))


def test_an_answer_of_the_old_address_that_comes_with_the_move_is_not_put_over_the_new_list() -> None:
    """It is in the system's buffers when SIGHUP moves us, and the loop has not read it yet."""

    async def test(watch: Watch) -> None:
        old, news = watch.discovery.writer, Agent()
        await news.start()
        assert old is not None
        watch.agent.put({"seq": 9, "whole": True, "hosts": [entry("c", "127.0.0.1:3")]})
        raw = socket.socket(fileno=socket.dup(old.get_extra_info("socket").fileno()))
        while not select.select([raw], [], [], 0)[0]:  # the agent has written it
            if not watch.agent.answers.empty():
                watch.agent.writers[-1].write(watch.agent.answers.get_nowait() or b"")
        raw.close()
        watch.discovery.move(news.address)
        news.put({"seq": 2, "whole": True, "hosts": [entry("b", "127.0.0.1:2", "west")]})
        assert await watch.next() == (it.ListKind.FULL, [(2, it.HostState.READY)])
        assert await soon(news.calls.get()) == "/discovery/hosts"
        assert "index=2&" in await soon(news.calls.get()) and watch.lists.empty()
        await watch.discovery.stop()
        news.server.close()

    run(_watching(test))


def test_a_list_may_come_indented_and_cut_ones_change_nothing() -> None:
    async def test(watch: Watch) -> None:
        whole = json.dumps({"seq": 6, "whole": True, "hosts": [entry("a", "127.0.0.1:1")]}, indent=4).encode()
        watch.agent.put(whole[:-20])
        assert "index=5&" in await soon(watch.agent.calls.get())
        assert watch.lists.empty()
        watch.agent.put(whole)
        assert await watch.next() == (it.ListKind.FULL, [(1, it.HostState.READY)])

    run(_watching(test))


def test_gateways_come_back_to_discovery_out_of_step() -> None:
    async def main() -> None:
        async with World(lambda words: served(), wire={"discovery": "ask"}) as world:
            node, pools = world.parts.node, world.parts.pools
            fleet = [Discovery(node, pools, ("east",), ("127.0.0.1", 1), seed) for seed in range(40)]
            first = sorted(discovery._pause(1) for discovery in fleet)
            assert first[0] < 40.0 and 260.0 < first[-1] <= 300.0
            later = sorted(discovery._pause(9) for discovery in fleet)
            assert 1000.0 <= later[0] < 1150.0 and 1850.0 < later[-1] <= 2000.0
            assert max(late - early for early, late in zip(later, later[1:], strict=False)) < 150.0

    run(main())


def test_a_timer_that_the_loop_runs_early_still_comes_in_time_for_the_module() -> None:
    async def main() -> None:
        async with World() as world:
            node, told = world.parts.node, asyncio.Event()
            due, times = node.clock.now() + 20.0, list[float]()

            def feed(event: it.Event) -> None:
                times.append(node.clock.now())
                told.set()

            node.feed = feed  # type: ignore[method-assign]
            node._fire(due, 0)
            assert not times
            await soon(told.wait())
            assert times[0] >= due

    run(main())


def test_a_mistake_in_the_module_loses_no_request_and_no_timer() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            node = world.parts.node
            handle, failing = node.module.handle, {it.Arrived, it.TimerFired}
            timer_again = asyncio.Event()

            def broken(now: float, event: it.Event) -> list[it.Action]:
                actions = handle(now, event)
                if type(event) in failing:
                    failing.discard(type(event))
                    raise RuntimeError("made up")
                if isinstance(event, it.TimerFired):
                    timer_again.set()
                return actions

            node.module.handle = broken  # type: ignore[method-assign]
            client = await world.client()
            client.ask(b"1")
            assert str(await client.answer()).startswith("-ERR")
            await soon(timer_again.wait())
            assert not failing
            client.ask(b"2")
            assert await client.answer() == b"value"

    run(main())


def test_a_wish_to_watch_the_list_is_no_error_as_it_is_watched_in_any_case(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with World(lambda words: served(), wire={"discovery": "ask"}) as world:
            client = await world.client()
            client.ask(b"1")
            assert await client.answer() == b"value"

    run(main())
    assert not caplog.records


def test_an_action_for_a_request_that_has_ended_changes_nothing() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            node, seen = world.parts.node, list[it.Event]()
            handle = node.module.handle

            def spy(now: float, event: it.Event) -> list[it.Action]:
                seen.append(event)
                return handle(now, event)

            node.module.handle = spy  # type: ignore[method-assign]
            for action in (it.Refuse(99), it.Fail(99), it.Cancel(99, 0), it.Send(99, 1)):
                node._perform[type(action)](action, node.clock.now())
            assert [(e.outcome, e.final) for e in seen if isinstance(e, it.AttemptEnded)] == [
                (it.Outcome.NOT_SENT, True)
            ]
            client = await world.client()
            client.ask(b"1")
            assert await client.answer() == b"value"

    run(main())
