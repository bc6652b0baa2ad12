"""The counter and discovery clients of a gateway, its timers, and exceptions in the decision module."""

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
from rainturn.node import counter_client
from rainturn.node import discovery as discovery_module
from rainturn.node.discovery import WATCH_WAIT_MS, Discovery, Refused
from tests.sockets import (
    DEFAULT_SETTINGS,
    TIMEOUT_S,
    GatewaySetup,
    RespServer,
    host_entry,
    run,
    success_answer,
    with_timeout,
)
from tests.sockets import Discovery as Agent


class CounterHarness:
    """Receives the results of counter calls in place of the decision module."""

    def __init__(self, setup: GatewaySetup) -> None:
        self.events: asyncio.Queue[it.CountAnswered] = asyncio.Queue()
        setup.parts.node.dispatch = self._dispatch  # type: ignore[method-assign]
        self.counter = setup.parts.node.counter

    def _dispatch(self, event: it.Event) -> None:
        if isinstance(event, it.CountAnswered):
            self.events.put_nowait(event)

    def disable_call_timeout(self) -> None:
        """From now on, let no call time out because the machine is busy."""
        counter: Any = self.counter
        counter.timeout_ms = TIMEOUT_S * 1000

    async def next(self) -> tuple[int, it.Outcome, float]:
        event = await with_timeout(self.events.get())
        return event.name, event.outcome, event.total


def test_a_count_is_sent_as_an_addget_command_and_its_total_is_reported() -> None:
    async def main() -> None:
        async with GatewaySetup(counter=lambda words: b"$4\r\n12.5\r\n") as setup:
            harness = CounterHarness(setup)
            harness.disable_call_timeout()
            harness.counter.call(77, -2.5, 90_000.0)
            assert await harness.next() == (77, it.Outcome.OK, 12.5)
            assert await with_timeout(setup.counter.commands.get()) == [b"ADDGET", b"77", b"-2.5", b"60000"]

    run(main())


def test_a_busy_answer_of_the_counter_ends_its_call_as_full() -> None:
    async def main() -> None:
        async with GatewaySetup(counter=lambda words: b"-BUSY\r\n") as setup:
            harness = CounterHarness(setup)
            harness.disable_call_timeout()
            harness.counter.call(1, 1.0, 1000.0)
            assert await harness.next() == (1, it.Outcome.FULL, 0.0)

    run(main())


def test_a_late_answer_belongs_to_its_call_and_does_not_shift_the_next() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[1] == b"1":
                await release.wait()
            return b"$1\r\n%s\r\n" % words[1]

        async with GatewaySetup(counter=handler) as setup:
            harness = CounterHarness(setup)
            harness.counter.call(1, 1.0, 1000.0)
            assert await harness.next() == (1, it.Outcome.TIMEOUT, 0.0)
            harness.disable_call_timeout()
            harness.counter.call(2, 1.0, 1000.0)
            release.set()
            assert await harness.next() == (2, it.Outcome.OK, 2.0)
            assert harness.events.empty() and setup.counter.connected.qsize() == 1

    run(main())


def test_open_calls_on_a_counter_connection_that_breaks_end_as_reset_and_it_is_replaced() -> None:
    async def main() -> None:
        async with GatewaySetup(
            counter=lambda words: RespServer.RESET if words[1] == b"1" else b"$1\r\n9\r\n"
        ) as setup:
            harness = CounterHarness(setup)
            harness.counter.call(1, 1.0, 1000.0)
            assert await harness.next() == (1, it.Outcome.RESET, 0.0)
            harness.disable_call_timeout()
            harness.counter.call(2, 1.0, 1000.0)
            assert await harness.next() == (2, it.Outcome.OK, 9.0)

    run(main())


def test_a_silent_or_idle_counter_connection_is_replaced(monkeypatch: Any) -> None:
    async def main() -> None:
        monkeypatch.setattr(counter_client, "SILENT_TIMEOUTS", 0.0)
        async with GatewaySetup(counter=lambda words: None if words[1] == b"1" else b"$1\r\n9\r\n") as setup:
            harness = CounterHarness(setup)
            harness.counter.call(1, 1.0, 1000.0)
            assert await harness.next() == (1, it.Outcome.TIMEOUT, 0.0)
            harness.disable_call_timeout()
            harness.counter.call(2, 1.0, 1000.0)
            assert await harness.next() == (2, it.Outcome.OK, 9.0)
            assert setup.counter.connected.qsize() == 2
            monkeypatch.setattr(counter_client, "IDLE_LIMIT_MS", -1.0)
            harness.counter.call(3, 1.0, 1000.0)
            assert await harness.next() == (3, it.Outcome.OK, 9.0)
            assert setup.counter.connected.qsize() == 3

    run(main())


def test_calls_to_an_unreachable_counter_fail_and_later_calls_try_again() -> None:
    async def main() -> None:
        async with GatewaySetup() as setup:
            harness, real = CounterHarness(setup), await RespServer(lambda words: b"$1\r\n9\r\n").start()
            counter: Any = harness.counter
            counter.address = ("127.0.0.1", 1)
            counter.call(1, 1.0, 1000.0)
            assert await harness.next() == (1, it.Outcome.UNREACHABLE, 0.0)
            counter.address = real.address
            counter.retry_at = 0.0
            counter.call(2, 1.0, 1000.0)
            outcome = await harness.next()
            while outcome[1] is not it.Outcome.OK:  # the delay after a failed connect may outlast a call
                counter.call(2, 1.0, 1000.0)
                outcome = await harness.next()
            assert outcome == (2, it.Outcome.OK, 9.0)
            real.server.close()

    run(main())


def _next_answer(answers: Iterator[bytes], words: list[bytes]) -> bytes:
    return next(answers, b"$1\r\n1\r\n")


def test_a_malformed_counter_reply_ends_only_its_connection() -> None:
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
            async with GatewaySetup(
                lambda words: success_answer(), counter=partial(_next_answer, answers)
            ) as setup:
                client = await setup.client()
                client.send_request(b"1")
                assert await client.read_answer() in (b"value", "-BUSY")
                client.send_request(b"2")
                assert await client.read_answer() == b"value", garbage
                # There is one connection more if a call starts while another is open.
                assert 2 <= setup.counter.connected.qsize() <= 3

    run(main())


class DiscoveryHarness:
    """A discovery client whose agent is controlled by the test."""

    def __init__(self, setup: GatewaySetup, agent: Agent) -> None:
        self.lists: asyncio.Queue[it.HostList] = asyncio.Queue()
        setup.parts.node.dispatch = self._dispatch  # type: ignore[method-assign]
        self.pools, self.agent = setup.parts.pools, agent
        self.discovery = Discovery(setup.parts.node, self.pools, ("east", "west"), agent.address, 7)

    def _dispatch(self, event: it.Event) -> None:
        if isinstance(event, it.HostList):
            self.lists.put_nowait(event)

    async def next(self) -> tuple[it.ListKind, list[tuple[int, it.HostState]]]:
        event = await with_timeout(self.lists.get())
        return event.kind, [(entry.host, entry.state) for entry in event.entries]


async def _run_with_watch(test: Any) -> None:
    """Run `test(harness)` while a watch is open from version 5, the list of the hosts a and b."""
    async with GatewaySetup() as setup:
        agent = await Agent().start()
        harness = DiscoveryHarness(setup, agent)
        task = asyncio.create_task(harness.discovery.run())
        agent.put(
            {
                "seq": 5,
                "whole": True,
                "hosts": [host_entry("a", "127.0.0.1:1"), host_entry("b", "127.0.0.1:2", "west")],
            }
        )
        assert await harness.next() == (it.ListKind.FULL, [(1, it.HostState.READY), (2, it.HostState.READY)])
        assert await with_timeout(agent.calls.get()) == "/discovery/hosts"
        assert (await with_timeout(agent.calls.get())).startswith("/discovery/hosts?index=5&wait=")
        await test(harness)
        task.cancel()
        agent.server.close()


def test_changes_are_applied_and_the_next_call_names_their_version() -> None:
    async def test(harness: DiscoveryHarness) -> None:
        draining = host_entry("b", "127.0.0.1:2", "west", "terminating")
        harness.agent.put({"seq": 7, "whole": False, "hosts": [draining]})
        assert await harness.next() == (it.ListKind.DELTA, [(2, it.HostState.DRAINING)])
        assert "index=7&" in await with_timeout(harness.agent.calls.get())
        assert harness.pools.pools[2].is_leaving and not harness.pools.pools[1].is_leaving

    run(_run_with_watch(test))


def test_a_full_list_that_answers_a_watch_removes_the_hosts_that_it_leaves_out() -> None:
    async def test(harness: DiscoveryHarness) -> None:
        harness.agent.put({"seq": 9, "whole": True, "hosts": [host_entry("b", "127.0.0.1:3", "west")]})
        assert await harness.next() == (it.ListKind.FULL, [(2, it.HostState.READY)])
        assert list(harness.pools.pools) == [2]
        assert harness.pools.pools[2].address == ("127.0.0.1", 3)

    run(_run_with_watch(test))


@pytest.mark.parametrize("damage", [None, "entry", "empty"])
def test_a_start_watches_from_the_cached_version_unless_that_list_is_damaged(damage: str | None) -> None:
    """Guards against an overload of discovery when many gateways, such as 28, all fetch full lists."""

    async def main() -> None:
        async with GatewaySetup() as setup:
            agent = await Agent().start()
            harness = DiscoveryHarness(setup, agent)
            known = [] if damage == "empty" else [host_entry("a", "127.0.0.1:1")]
            known += [{"host": "b"}] if damage == "entry" else []
            harness.discovery.apply({"seq": 5, "whole": True, "hosts": known}, cached=True)
            harness.discovery.start()
            call = await with_timeout(agent.calls.get())
            assert call == "/discovery/hosts" if damage else call.startswith("/discovery/hosts?index=5&wait=")
            await harness.discovery.stop()
            agent.server.close()

    run(main())


@pytest.mark.parametrize("gateways", [3, 48])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_start_with_a_cached_list_makes_its_first_call_within_half_a_second(
    gateways: int, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests to hosts that went away while the gateway was down.

    Such requests were sent when the first call came only 3 s after the start.
    """

    async def main() -> None:
        async with GatewaySetup(settings={"discovery": mode, "balancers": gateways}) as setup:
            harness = DiscoveryHarness(setup, await Agent().start())
            known = {"seq": 5, "whole": True, "hosts": [host_entry("a", "127.0.0.1:1")]}
            harness.discovery.apply(known, cached=True)
            waits: list[float] = []

            async def record_wait(wait_ms: float = 0.0) -> None:
                waits.append(wait_ms)

            monkeypatch.setattr(harness.discovery, "run", record_wait)
            for at_once in [False] * 30 + [True]:
                harness.discovery.start(at_once)
                await harness.discovery.watch_task  # type: ignore[misc]
            if mode == "push":  # each gateway has its own agent, so there is no reason to wait
                assert set(waits) == {0.0}
            else:
                assert max(waits) < 500.0 and len(set(waits[:30])) == 30 and waits[30] == 0.0
            harness.agent.server.close()

    run(main())


async def _collect_retry_delays(
    gateways: int, mode: str, error: Exception, count: int, monkeypatch: pytest.MonkeyPatch
) -> list[float]:
    """Return the delays of a discovery client, in s, while each call raises `error`."""
    delays: list[float] = []
    async with GatewaySetup(settings={"discovery": mode, "balancers": gateways}) as setup:
        harness = DiscoveryHarness(setup, await Agent().start())

        async def fail(path: str, timeout_ms: float) -> object:
            raise error

        async def pause(seconds: float) -> None:
            delays.append(seconds)
            if len(delays) > count:
                raise asyncio.CancelledError

        monkeypatch.setattr(harness.discovery, "_get", fail)
        monkeypatch.setattr(asyncio, "sleep", pause)
        with contextlib.suppress(asyncio.CancelledError):
            await harness.discovery.run()
        monkeypatch.undo()
        harness.agent.server.close()
    return delays[1:]


async def _seconds_until_known(
    harness: DiscoveryHarness, error: Exception, until: float, monkeypatch: pytest.MonkeyPatch
) -> float:
    """Return how long, in s, a client takes to receive a change that discovery has from time `until` on.

    The time is simulated. The first call is answered at 0. All later calls, including the watch, fail before
    `until`. After that, discovery answers as late as the client's timeout permits.
    """
    discovery, now, calls = harness.discovery, 0.0, 0
    discovery.version = 5

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
def test_a_change_is_received_within_6_s_after_discovery_has_it_and_can_be_reached(
    gateways: int, mode: str, error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wait of a watch, the delays and the timeouts together must stay below 6 s.

    Guards against delays that grow with the number of gateways: in ask mode with 200 they reached 20 s.
    """

    async def main() -> None:
        for grace in (200.0, 1000.0, 30_000.0):
            rules = DEFAULT_SETTINGS["rules"] | {"drain_grace_ms": grace}
            async with GatewaySetup(
                settings={"discovery": mode, "balancers": gateways, "rules": rules}
            ) as setup:
                agent = await Agent().start()
                rng = random.Random(gateways)
                for seed in range(40):
                    harness = DiscoveryHarness(setup, agent)
                    harness.discovery.rng.seed(seed)
                    until = 0.001 if seed < 20 else rng.uniform(0.0, 40.0)
                    assert 0.0 <= await _seconds_until_known(harness, error, until, monkeypatch) <= 5.5
                agent.server.close()

    run(main())


def test_gateways_whose_calls_failed_together_retry_at_different_times(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an overload of discovery when many gateways, such as 40, retry together."""

    async def main() -> None:
        delays = await _collect_retry_delays(200, "ask", Refused("status 503"), 400, monkeypatch)
        later = sorted(delays[5:])
        assert later[0] < 0.6 * later[-1] and later[-1] <= 2.0 and later[0] >= 0.5
        assert max(b - a for a, b in zip(later, later[1:], strict=False)) < 0.1

    run(main())


@pytest.mark.parametrize("gateways", [3, 200])
@pytest.mark.parametrize(
    "error", [TimeoutError(), ConnectionResetError(), Refused("status 503"), ValueError("not a host list")]
)
def test_calls_to_an_agent_are_retried_well_within_the_drain_grace_for_any_number_of_gateways(
    gateways: int, error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against retries after 10 to 30 s, as with 200 gateways: hosts that leave still get requests."""

    async def main() -> None:
        delays = await _collect_retry_delays(gateways, "push", error, 50, monkeypatch)
        grace = DEFAULT_SETTINGS["rules"]["drain_grace_ms"] / 1000
        assert max(delays) < grace / 4 and min(delays) < 0.7 * max(delays)

    run(main())


@pytest.mark.parametrize("gateways", [3, 200])
def test_a_failed_watch_is_retried_soon_in_ask_mode_too(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A gateway must know a change within 6 s, and a watch without an answer takes 3.5 s of that time."""

    async def main() -> None:
        for error in (TimeoutError(), ConnectionResetError()):
            delays = await _collect_retry_delays(gateways, "ask", error, 50, monkeypatch)
            assert delays[0] < 0.5 and max(delays) <= 2.0

    run(main())


def test_changes_that_an_agent_has_at_the_start_or_after_an_outage_are_received_within_the_grace() -> None:
    """The agent answers no call at first, and later only new calls, as after an outage of discovery."""

    async def main() -> None:
        async with GatewaySetup(
            settings={"rules": DEFAULT_SETTINGS["rules"] | {"drain_grace_ms": 400}}
        ) as setup:
            agent = await Agent().start()
            harness = DiscoveryHarness(setup, agent)
            known = {"seq": 5, "whole": True, "hosts": [host_entry("a", "127.0.0.1:1")]}
            harness.discovery.apply(known, cached=True)
            await harness.next()
            harness.discovery.start()
            for _ in range(4):
                call = await with_timeout(agent.calls.get())
                assert call == "/discovery/hosts?index=5&wait=1"
                agent.answers.put_nowait(None)  # never answered
            await with_timeout(agent.calls.get())
            agent.put(
                {"seq": 6, "whole": False, "hosts": [host_entry("a", "127.0.0.1:1", health="terminating")]}
            )
            assert await harness.next() == (it.ListKind.DELTA, [(1, it.HostState.DRAINING)])
            assert await with_timeout(agent.calls.get()) == f"/discovery/hosts?index=6&wait={WATCH_WAIT_MS}"
            await harness.discovery.stop()
            agent.server.close()

    run(main())


def test_an_older_version_changes_nothing() -> None:
    async def test(harness: DiscoveryHarness) -> None:
        gone = host_entry("a", "127.0.0.1:1", health="terminated")
        harness.agent.put({"seq": 3, "whole": False, "hosts": [gone]})
        # The client fetches the full list, because the numbering may have restarted.
        assert await with_timeout(harness.agent.calls.get()) == "/discovery/hosts"
        assert harness.lists.empty()
        harness.agent.put({"seq": 6, "whole": True, "hosts": [host_entry("a", "127.0.0.1:1")]})
        assert await harness.next() == (it.ListKind.FULL, [(1, it.HostState.READY)])

    run(_run_with_watch(test))


def test_older_lists_change_nothing_until_discovery_must_have_restarted_its_numbering(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Several older lists may arrive within a second, because calls are repeated without a delay.

    Their number therefore doesn't prove that discovery restarted its numbering; only the elapsed time does.
    """

    async def test(harness: DiscoveryHarness) -> None:
        older = {"seq": 3, "whole": True, "hosts": [host_entry("b", "127.0.0.1:2", "west")]}
        for _ in range(5):
            harness.agent.put(older)
            assert await with_timeout(harness.agent.calls.get()) == "/discovery/hosts"
        assert harness.lists.empty()
        monkeypatch.setattr(discovery_module, "RENUMBERED_AFTER_MS", 0.0)
        harness.agent.put(older)
        assert await harness.next() == (it.ListKind.FULL, [(2, it.HostState.READY)])

    run(_run_with_watch(test))


def test_malformed_answers_and_entries_do_not_end_the_polling() -> None:
    async def test(harness: DiscoveryHarness) -> None:
        for broken in (b"{", b"[]", b'{"seq":"x","hosts":[]}'):
            harness.agent.put(broken)
            assert "index=5&" in await with_timeout(harness.agent.calls.get())
        harness.agent.put(
            {
                "seq": 6,
                "whole": False,
                "hosts": [
                    {"host": "c"},
                    host_entry("c", "nowhere"),
                    host_entry("c", "127.0.0.1:4", health="odd"),
                    host_entry("c", "127.0.0.1:4", born_ms=float("nan")),
                    host_entry("d", "127.0.0.1:5"),
                ],
            }
        )
        kind, entries = await harness.next()
        assert kind is it.ListKind.DELTA and len(entries) == 1

    run(_run_with_watch(test))


def test_a_call_without_an_answer_is_repeated_on_a_new_connection(monkeypatch: Any) -> None:
    monkeypatch.setattr(discovery_module, "ANSWER_TIMEOUT_MS", 100)
    monkeypatch.setattr(discovery_module, "WATCH_WAIT_MS", 100)

    async def test(harness: DiscoveryHarness) -> None:
        assert "index=5&" in await with_timeout(harness.agent.calls.get())  # on a new connection
        harness.agent.answers.put_nowait(None)  # consumed by the call on the abandoned connection
        harness.agent.put(
            {"seq": 6, "whole": False, "hosts": [host_entry("a", "127.0.0.1:1", health="terminated")]}
        )
        assert await harness.next() == (it.ListKind.DELTA, [(1, it.HostState.GONE)])

    run(_run_with_watch(test))


def test_an_answer_of_the_old_address_that_arrives_during_the_move_does_not_replace_the_new_list() -> None:
    """The answer is in the socket buffer when SIGHUP changes the address; the loop hasn't read it yet."""

    async def test(harness: DiscoveryHarness) -> None:
        old_writer, new_agent = harness.discovery.writer, Agent()
        await new_agent.start()
        assert old_writer is not None
        harness.agent.put({"seq": 9, "whole": True, "hosts": [host_entry("c", "127.0.0.1:3")]})
        duplicate = socket.socket(fileno=socket.dup(old_writer.get_extra_info("socket").fileno()))
        while not select.select([duplicate], [], [], 0)[0]:  # the agent has written it
            if not harness.agent.answers.empty():
                harness.agent.writers[-1].write(harness.agent.answers.get_nowait() or b"")
        duplicate.close()
        harness.discovery.change_address(new_agent.address)
        new_agent.put({"seq": 2, "whole": True, "hosts": [host_entry("b", "127.0.0.1:2", "west")]})
        assert await harness.next() == (it.ListKind.FULL, [(2, it.HostState.READY)])
        assert await with_timeout(new_agent.calls.get()) == "/discovery/hosts"
        assert "index=2&" in await with_timeout(new_agent.calls.get()) and harness.lists.empty()
        await harness.discovery.stop()
        new_agent.server.close()

    run(_run_with_watch(test))


def test_an_indented_list_is_accepted_and_a_truncated_one_changes_nothing() -> None:
    async def test(harness: DiscoveryHarness) -> None:
        body = json.dumps(
            {"seq": 6, "whole": True, "hosts": [host_entry("a", "127.0.0.1:1")]}, indent=4
        ).encode()
        harness.agent.put(body[:-20])
        assert "index=5&" in await with_timeout(harness.agent.calls.get())
        assert harness.lists.empty()
        harness.agent.put(body)
        assert await harness.next() == (it.ListKind.FULL, [(1, it.HostState.READY)])

    run(_run_with_watch(test))


def test_the_retry_delays_of_gateways_are_distributed_over_the_whole_range() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), settings={"discovery": "ask"}) as setup:
            node, pools = setup.parts.node, setup.parts.pools
            fleet = [Discovery(node, pools, ("east",), ("127.0.0.1", 1), seed) for seed in range(40)]
            first = sorted(discovery._retry_delay_ms(1) for discovery in fleet)
            assert first[0] < 40.0 and 260.0 < first[-1] <= 300.0
            later = sorted(discovery._retry_delay_ms(9) for discovery in fleet)
            assert 1000.0 <= later[0] < 1150.0 and 1850.0 < later[-1] <= 2000.0
            assert max(late - early for early, late in zip(later, later[1:], strict=False)) < 150.0

    run(main())


def test_a_timer_that_the_loop_fires_early_reaches_the_decision_module_no_earlier_than_due() -> None:
    async def main() -> None:
        async with GatewaySetup() as setup:
            node, fired = setup.parts.node, asyncio.Event()
            due, times = node.clock.now() + 20.0, list[float]()

            def dispatch(event: it.Event) -> None:
                times.append(node.clock.now())
                fired.set()

            node.dispatch = dispatch  # type: ignore[method-assign]
            node._on_timer(due, 0)
            assert not times
            await with_timeout(fired.wait())
            assert times[0] >= due

    run(main())


def test_an_exception_in_the_decision_module_loses_no_request_and_no_timer() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            node = setup.parts.node
            handle, failing = node.decision_module.handle, {it.Arrived, it.TimerFired}
            timer_again = asyncio.Event()

            def handle_and_fail(now: float, event: it.Event) -> list[it.Action]:
                actions = handle(now, event)
                if type(event) in failing:
                    failing.discard(type(event))
                    raise RuntimeError("made up")
                if isinstance(event, it.TimerFired):
                    timer_again.set()
                return actions

            node.decision_module.handle = handle_and_fail  # type: ignore[method-assign]
            client = await setup.client()
            client.send_request(b"1")
            assert str(await client.read_answer()).startswith("-ERR")
            await with_timeout(timer_again.wait())
            assert not failing
            client.send_request(b"2")
            assert await client.read_answer() == b"value"

    run(main())


def test_a_watch_list_action_is_no_error_although_discovery_is_polled_anyway(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), settings={"discovery": "ask"}) as setup:
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"

    run(main())
    assert not caplog.records


def test_an_action_for_a_request_that_has_ended_changes_nothing() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            node, seen = setup.parts.node, list[it.Event]()
            handle = node.decision_module.handle

            def record_event(now: float, event: it.Event) -> list[it.Action]:
                seen.append(event)
                return handle(now, event)

            node.decision_module.handle = record_event  # type: ignore[method-assign]
            for action in (it.Refuse(99), it.Fail(99), it.Cancel(99, 0), it.Send(99, 1)):
                node._action_handlers[type(action)](action, node.clock.now())
            assert [(e.outcome, e.final) for e in seen if isinstance(e, it.AttemptEnded)] == [
                (it.Outcome.NOT_SENT, True)
            ]
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"

    run(main())
