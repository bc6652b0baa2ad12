"""Attempts at hosts: which ones may have run, and how connections are opened, reused and closed."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import host_connection, host_pools
from rainturn.node.requests import Attempt, Request
from tests.sockets import (
    DEFAULT_SETTINGS,
    BlockingHandler,
    GatewaySetup,
    RespServer,
    host_entry,
    reset,
    run,
    success_answer,
    wait_until,
    with_timeout,
)


class EventLog:
    """Records the events that the decision module receives, so that a test can wait for one."""

    def __init__(self, setup: GatewaySetup) -> None:
        self.events: asyncio.Queue[it.Event] = asyncio.Queue()
        self.seen: list[it.Event] = []
        self.original_handle = setup.parts.node.decision_module.handle
        setup.parts.node.decision_module.handle = self._record  # type: ignore[method-assign]

    def _record(self, now: float, event: it.Event) -> list[it.Action]:
        self.events.put_nowait(event)
        return self.original_handle(now, event)

    async def next_end(self) -> it.AttemptEnded:
        """Wait for the next end of an attempt."""
        while True:
            event = await with_timeout(self.events.get())
            self.seen.append(event)
            if isinstance(event, it.AttemptEnded):
                return event


class DiscardingClient:
    """A client whose answers no test checks."""

    number = 0

    def is_present(self) -> bool:
        return True

    def send_value(self, request: Request, value: bytes) -> None: ...

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None: ...

    def send_failure(self, request: Request) -> None: ...

    def release_value(self, request: Request) -> None:
        pass

    def begin_value(self, request: Request, length: int) -> bool:
        return True

    def send_piece(self, request: Request, data: bytes) -> None: ...

    def accepts_piece(self, request: Request) -> bool:
        return True

    def piece_size_limit(self, request: Request) -> int:
        return 1 << 16

    def end_value(self, request: Request) -> None: ...

    def withdraw_value(self, request: Request) -> bool:
        return True


def add_attempt(setup: GatewaySetup) -> Attempt:
    """Make an attempt at the first host, of a request that the decision module does not know."""
    node = setup.parts.node
    now = node.clock.now()
    node.last_request_number += 1
    arrival = it.Arrived(node.last_request_number, now + 3000, 1, 0, 0)
    words = [b"API.READ", b"0" * 16, b"1", b""]
    request = Request(arrival, now + 3000, words, b"c=read,", b"", DiscardingClient(), 9)
    node.requests[request.number] = request
    attempt = Attempt(request, 0, 1, now, now + 3000)
    request.attempts.append(attempt)
    request.open_attempts += 1
    node.unanswered += 1
    return attempt


def _answer_first_by_id(answers: dict[bytes, bytes | None], then: bytes) -> Any:
    """Make a handler that several hosts can share.

    The first command with an id gets that id's answer of `answers`; all later commands get `then`.
    """
    seen: list[bytes] = []

    def handler(words: list[bytes]) -> bytes | None:
        seen.append(words[2])
        return answers[words[2]] if seen.count(words[2]) == 1 else then

    return handler


def test_busy_proves_that_an_attempt_never_ran_and_an_error_does_not() -> None:
    async def main() -> None:
        handler = _answer_first_by_id({b"1": b"-BUSY\r\n", b"2": b"-ERR failed\r\n"}, success_answer())
        async with GatewaySetup(handler, handler) as setup:
            log, client = EventLog(setup), await setup.client()
            client.send_request(b"1", b"pay", body=b"x")
            assert await client.read_answer() == b"value"  # repeated, because it did not run
            ends = [await log.next_end(), await log.next_end()]
            assert [(e.attempt, e.outcome, e.final) for e in ends] == [
                (0, it.Outcome.FULL, False),
                (1, it.Outcome.OK, True),
            ]
            client.send_request(b"2", b"pay", body=b"x")
            assert await client.read_answer() == "-ERR failed"  # may have run: neither repeated nor refused
            assert (await log.next_end()).outcome is it.Outcome.ERROR

    run(main())


def test_a_request_whose_connection_breaks_after_its_last_byte_fails_without_a_repeat() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: RespServer.RESET) as setup:
            log, client = EventLog(setup), await setup.client()
            client.send_request(b"1", b"pay", body=b"x")
            assert await client.read_answer() == "-ERR failed"
            assert (await log.next_end()).outcome is it.Outcome.RESET
            assert setup.hosts[0].commands.qsize() == 1

    run(main())


def test_a_connection_that_breaks_before_the_last_byte_ends_the_attempt_as_unreachable() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log = EventLog(setup)
            host = socket.create_server(("127.0.0.1", 0))
            host.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            host.setblocking(False)
            pool = setup.parts.pools.pools[1]
            pool.address = host.getsockname()
            attempt = add_attempt(setup)
            attempt.request.arguments.append(b"x" * (16 << 20))  # more than the system's buffers hold
            pool.start(attempt)
            sock, _ = await with_timeout(asyncio.get_running_loop().sock_accept(host))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            await with_timeout(reader.readexactly(10))
            assert attempt.connection is not None
            reset(writer)
            assert (await log.next_end()).outcome is it.Outcome.UNREACHABLE
            host.close()

    run(main())


def test_a_refused_connect_ends_the_attempt_as_unreachable() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pool = EventLog(setup), setup.parts.pools.pools[1]
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))  # bound but not listening
                pool.address = closed.getsockname()
                pool.start(add_attempt(setup))
                assert (await log.next_end()).outcome is it.Outcome.UNREACHABLE

    run(main())


def test_a_connect_has_a_time_limit() -> None:
    async def main() -> None:
        async with GatewaySetup(
            lambda words: success_answer(), settings={"limits": {"max_attempts": 6, "connect_timeout_ms": 50}}
        ) as setup:
            log = EventLog(setup)
            unresponsive = socket.socket()
            unresponsive.bind(("127.0.0.1", 0))
            unresponsive.listen(0)
            backlog = [socket.socket() for _ in range(4)]  # fill the backlog: later connects stay unanswered
            for sock in backlog:
                sock.setblocking(False)
                sock.connect_ex(unresponsive.getsockname())
            pool = setup.parts.pools.pools[1]
            pool.address = unresponsive.getsockname()
            pool.start(add_attempt(setup))
            end = await log.next_end()
            assert end.outcome is it.Outcome.UNREACHABLE and end.elapsed >= 45
            for sock in [unresponsive, *backlog]:
                sock.close()

    run(main())


def test_nothing_is_sent_for_a_request_that_ended_during_its_connect() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, attempt = EventLog(setup), add_attempt(setup)
            setup.parts.pools.start(attempt)
            setup.parts.node.abandon_request(attempt.request)
            assert (await log.next_end()).outcome is it.Outcome.NOT_SENT
            setup.parts.pools.pools[1].close_idle()
            await with_timeout(setup.hosts[0].closed.get())
            assert setup.hosts[0].commands.empty()

    run(main())


@pytest.mark.parametrize("health", ["terminating", "terminated", "unnamed"])
def test_nothing_is_sent_to_a_host_that_the_list_drains_or_drops_during_its_connect(
    health: str,
) -> None:
    """The grace may be over already, because the discovery agent may have known of the drain for that long.

    The request goes to the other host, and no host gets a failure.
    """

    async def main() -> None:
        async with GatewaySetup(
            lambda words: success_answer(b"leaves"), lambda words: success_answer(b"stays")
        ) as setup:
            pools, discovery = setup.parts.pools, setup.parts.discovery
            client = await setup.client()
            start, held_attempts = pools.start, list[Attempt]()

            def hold(attempt: Attempt) -> None:
                held_attempts.append(attempt)

            pools.start = hold  # type: ignore[method-assign]
            client.send_request(b"1")
            while not held_attempts:
                await asyncio.sleep(0)
            leaving = 0 if held_attempts[0].host == 1 else 1
            start(held_attempts[0])  # the connect is under way
            pools.start = start  # type: ignore[method-assign]
            hosts = [host_entry(f"h{n}", host.dial) for n, host in enumerate(setup.hosts)]
            if health == "unnamed":
                del hosts[leaving]
            else:
                hosts[leaving]["health"] = health
            discovery.apply({"seq": 2, "whole": True, "hosts": hosts})
            assert await client.read_answer() == (b"stays" if leaving == 0 else b"leaves")
            await with_timeout(setup.hosts[leaving].connected.get())
            await with_timeout(setup.hosts[leaving].closed.get())
            assert setup.hosts[leaving].commands.empty()
            assert not any(host.failures for host in setup.parts.node.decision_module.hosts.values())

    run(main())


def test_nothing_is_sent_to_a_host_that_begins_to_leave_during_its_connect() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pool = EventLog(setup), setup.parts.pools.pools[1]
            setup.parts.pools.start(add_attempt(setup))
            pool.is_leaving = True
            assert (await log.next_end()).outcome is it.Outcome.NOT_SENT
            await with_timeout(setup.hosts[0].closed.get())
            assert setup.hosts[0].commands.empty()

    run(main())


def test_a_cancelled_attempt_closes_its_connection_and_is_reported_once() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: None) as setup:
            log, attempt = EventLog(setup), add_attempt(setup)
            setup.parts.pools.start(attempt)
            await with_timeout(setup.hosts[0].commands.get())
            node = setup.parts.node
            for _ in range(2):
                node._cancel(it.Cancel(attempt.request.number, 0), node.clock.now())
            await with_timeout(setup.hosts[0].closed.get())
            assert (await log.next_end()).outcome is it.Outcome.CANCELLED
            assert log.events.empty()

    run(main())


class FirstAnswerServer(asyncio.Protocol):
    """Hosts that give `first_answer` (None: no answer) to the first of all commands, and serve the others."""

    def __init__(self, asked: list[socket.socket], first_answer: bytes | None) -> None:
        self.asked, self.first_answer = asked, first_answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def eof_received(self) -> bool:
        return True  # keeps this side open

    def data_received(self, data: bytes) -> None:
        answer = success_answer() if self.asked else self.first_answer
        self.asked.append(self.transport.get_extra_info("socket"))
        if answer is not None:
            self.transport.write(answer)


@pytest.mark.parametrize("how", ["cancelled", "spoilt", "never ends"])
def test_the_connection_of_an_ended_attempt_is_shut_down_before_the_repeat_is_sent(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two open copies of a request at hosts: the event loop closes a socket one turn late.

    The test checks the host's side of the first connection at the moment when the repeat is sent.
    """
    monkeypatch.setattr(host_connection, "STALL_LIMIT_S", 0.05)
    first_answer = {"cancelled": None, "spoilt": b"+OK\r\n", "never ends": b"*3\r\n$5\r\nval"}[how]
    send, asked, shut_down = host_connection.HostConnection.send_command, list[socket.socket](), list[bool]()

    def check_and_send(connection: host_connection.HostConnection, attempt: Attempt, now: float) -> None:
        poll = select.poll()
        for other in asked:
            poll.register(other, select.POLLRDHUP)
        shut_down.append(len(poll.poll(0)) == len(asked))
        send(connection, attempt, now)

    monkeypatch.setattr(host_connection.HostConnection, "send_command", check_and_send)

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), lambda words: success_answer()) as setup:
            loop, node, pools = asyncio.get_running_loop(), setup.parts.node, setup.parts.pools.pools
            servers = []
            for pool in pools.values():
                servers.append(
                    await loop.create_server(lambda: FirstAnswerServer(asked, first_answer), "127.0.0.1", 0)
                )
                pool.address = servers[-1].sockets[0].getsockname()
                pool._open_connection()  # an idle connection to each, so that no connect is needed later
            while not all(pool.idle_connections for pool in pools.values()):
                await asyncio.sleep(0)
            client = await setup.client()
            client.send_request(b"1")
            while not asked:
                await asyncio.sleep(0)
            if how == "cancelled":
                node._cancel(it.Cancel(max(node.requests), 0), node.clock.now())
            assert await client.read_answer() == b"value"
            assert shut_down == [True, True]
            for server in servers:
                server.close()

    run(main())


@pytest.mark.parametrize("late", [True, False])
def test_a_keyed_repeat_that_waited_for_its_connection_beyond_the_window_is_not_sent(late: bool) -> None:
    """The window starts when the first attempt is sent; the repeat gets its connection after the window."""

    async def main() -> None:
        classes = [one | {"window_ms": 1000, "group": "all"} for one in DEFAULT_SETTINGS["classes"]]
        async with GatewaySetup(
            lambda words: b"-ERR failed\r\n", lambda words: b"-ERR failed\r\n", settings={"classes": classes}
        ) as setup:
            node, pools, client = setup.parts.node, setup.parts.pools, await setup.client()
            start, held_attempts = pools.start, list[Attempt]()

            def hold(attempt: Attempt) -> None:
                held_attempts.append(attempt)
                if len(held_attempts) == 1:
                    start(attempt)

            pools.start = hold  # type: ignore[method-assign]
            client.send_request(b"1", b"send", extra_fields=b"k=77,", body=b"x")
            while len(held_attempts) < 2:
                await asyncio.sleep(0)
            pools.start = start  # type: ignore[method-assign]
            if late:
                now = node.clock.now
                node.clock.now = lambda: now() + 1000.0  # type: ignore[method-assign]
            start(held_attempts[1])
            # All hosts know its key, but only for the window: after that a repeat would run a second time.
            assert await client.read_answer() == ("-ERR failed" if late else "-BUSY")
            written = sum(host.commands.qsize() for host in setup.hosts)
            assert written == 1 if late else written > 1

    run(main())


def test_an_answer_that_arrives_at_the_timeout_ends_the_attempt_once() -> None:
    """The answer is in the system's buffers when the timer fires, and the event loop has not read it yet."""

    async def main() -> None:
        async with GatewaySetup(lambda words: None) as setup:
            log, node = EventLog(setup), setup.parts.node
            attempt = add_attempt(setup)
            setup.parts.pools.start(attempt)
            await with_timeout(setup.hosts[0].commands.get())
            peer, connection = _peer_of(setup), attempt.connection
            raw = socket.socket(fileno=socket.dup(peer.get_extra_info("socket").fileno()))
            raw.send(success_answer())
            raw.close()
            node._time_out(attempt)  # before the event loop runs
            node._time_out(attempt)
            node.end_attempt(attempt, it.Outcome.OK, b"value")
            assert (await log.next_end()).outcome is it.Outcome.TIMEOUT
            await with_timeout(setup.hosts[0].closed.get())
            assert isinstance(connection, host_connection.HostConnection) and connection.closed
            assert (
                attempt.request.open_attempts == 0
                and log.events.empty()
                and not setup.parts.pools.open_connections
            )

    run(main())


def test_a_connect_that_completes_at_its_time_limit_leaves_no_connection_open() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), setup.parts.pools
            pools.start(add_attempt(setup))
            while not pools.connecting_count:
                await asyncio.sleep(0)
            await asyncio.sleep(0)  # the connect is under way
            time.sleep(0.3)  # when the event loop runs again, the connect is complete and its time is over
            outcome = (await log.next_end()).outcome
            if outcome is it.Outcome.UNREACHABLE:
                await with_timeout(setup.hosts[0].closed.get())
                assert setup.hosts[0].commands.empty() and not pools.open_connections
            assert not pools.connecting_count and pools.open_connections == len(pools.pools[1].connections)

    run(main())


def test_a_keyed_repeat_keeps_its_key_and_its_zone() -> None:
    async def main() -> None:
        handler = _answer_first_by_id({b"1": RespServer.RESET}, success_answer())
        sites = ("east", "east", "west", "west", "west", "west")
        async with GatewaySetup(*[handler] * 6, sites=sites) as setup:
            client = await setup.client()
            client.send_request(b"1", b"send", extra_fields=b"k=5c0f,", body=b"x")
            assert await client.read_answer() == b"value"
            got = [
                (site, host.commands.get_nowait())
                for site, host in zip(sites, setup.hosts, strict=True)
                if not host.commands.empty()
            ]
            assert len(got) == 2 and got[0][0] == got[1][0]
            assert all(b",k=5c0f," in words[3] for _, words in got)

    run(main())


def test_a_connection_carries_one_request_at_a_time_and_is_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_pools, "REUSE_DELAY_MS", 0.0)  # connections can be reused at once

    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"slow":
                await release.wait()
            return success_answer(words[2])

        async with GatewaySetup(handler) as setup:
            slow, client = await setup.client(), await setup.client()
            slow.send_request(b"slow")
            await with_timeout(setup.hosts[0].commands.get())
            for number in (b"1", b"2"):
                client.send_request(number)
                assert await client.read_answer() == number
            release.set()
            assert await slow.read_answer() == b"slow"
            assert setup.hosts[0].connected.qsize() == 2

    run(main())


def test_the_gateway_closes_an_idle_connection_at_its_idle_limit() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            setup.parts.pools.idle_limit_ms = 30
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            await with_timeout(setup.hosts[0].closed.get())
            assert not setup.parts.pools.open_connections
            client.send_request(b"2")
            assert await client.read_answer() == b"value"

    run(main())


def _peer_of(setup: GatewaySetup) -> Any:
    """Return the transport at the host's side of the only connection to the first host."""
    return setup.hosts[0].connected.get_nowait().transport


@pytest.mark.parametrize("how", ["bytes", "end", "age"])
def test_an_idle_connection_with_unread_input_or_beyond_its_idle_limit_is_not_reused(how: str) -> None:
    """The input is in the system's buffers, and the event loop has not read it when the request starts."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), setup.parts.pools
            pool = pools.pools[1]
            pools.start(add_attempt(setup))
            assert (await log.next_end()).outcome is it.Outcome.OK
            pool.idle_connections[0].idle_since -= host_pools.REUSE_DELAY_MS
            await with_timeout(setup.hosts[0].commands.get())
            old, peer = pool.idle_connections[0], _peer_of(setup)
            raw = socket.socket(fileno=socket.dup(peer.get_extra_info("socket").fileno()))
            if how == "bytes":
                raw.send(success_answer(b"another's"))
            elif how == "end":
                raw.shutdown(socket.SHUT_WR)
            else:
                old.idle_since -= pools.idle_limit_ms + 1.0
            raw.close()
            pools.start(add_attempt(setup))  # before the event loop runs
            assert old.closed
            assert (await log.next_end()).outcome is it.Outcome.OK
            assert setup.hosts[0].connected.qsize() == 1  # a new connection

    run(main())


def test_a_late_second_answer_is_not_taken_for_the_answer_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_pools, "REUSE_DELAY_MS", 20_000.0)  # prevents any reuse

    async def main() -> None:
        peers: list[Any] = []

        def handle(words: list[bytes]) -> bytes:
            if words[2] == b"2":  # a second answer to request 1, before the answer to this one
                peers[0].write(success_answer(b"answer to 1"))
            return success_answer(b"answer to " + words[2])

        async with GatewaySetup(handle) as setup:
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"answer to 1"
            peers.append(_peer_of(setup))
            (old,) = setup.parts.pools.pools[1].connections
            client.send_request(b"2")
            assert await client.read_answer() == b"answer to 2"
            while not old.closed:
                await asyncio.sleep(0)
            assert old not in setup.parts.pools.pools[1].connections

    run(main())


def test_connections_are_reused_later_once_a_second_answer_has_come_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the second answer of a host crossing the next command on its connection."""
    monkeypatch.setattr(host_pools, "LONGEST_REUSE_DELAY_MS", 20_000.0)  # no test waits so long

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            pools, client = setup.parts.pools, await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            (connection,) = pools.pools[1].connections
            await wait_until(lambda: connection in pools.idle_connections)
            connection.idle_since -= 10_000.0
            _peer_of(setup).write(success_answer(b"second"))
            await wait_until(lambda: connection.closed)
            assert pools.reuse_delay_ms == 20_000.0
            client.send_request(b"2")
            assert await client.read_answer() == b"value"
            (connection,) = pools.pools[1].connections
            client.send_request(b"3")  # on a new connection
            assert await client.read_answer() == b"value"
            assert len(pools.pools[1].connections) == 2

    run(main())


def test_an_attempt_that_cannot_connect_waits_until_an_idle_connection_may_be_reused() -> None:
    """A host at its connection limit refuses another connection; that doesn't make it unreachable."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), setup.parts.pools
            pools.start(add_attempt(setup))
            assert (await log.next_end()).outcome is it.Outcome.OK
            setup.hosts[0].server.close()
            pools.start(add_attempt(setup))
            assert pools.connecting_count == 1 and len(pools.pools[1].idle_connections) == 1
            assert (await log.next_end()).outcome is it.Outcome.OK and len(pools.pools[1].connections) == 1

    run(main())


def test_idle_connections_to_a_host_that_stopped_answering_are_not_reused() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer() if words[2] == b"1" else None) as setup:
            log, pools, attempts = (
                EventLog(setup),
                setup.parts.pools,
                [add_attempt(setup), add_attempt(setup)],
            )
            for attempt in attempts:
                pools.start(attempt)
            for _ in attempts:
                assert (await log.next_end()).outcome is it.Outcome.OK
            silent = add_attempt(setup)
            silent.request.arguments[2] = b"silent"
            pools.start(silent)
            while (await with_timeout(setup.hosts[0].commands.get()))[2] != b"silent":
                pass
            setup.parts.node._time_out(silent)
            assert (await log.next_end()).outcome is it.Outcome.TIMEOUT
            for _ in attempts:
                await with_timeout(setup.hosts[0].closed.get())
            assert not pools.open_connections

    run(main())


def test_a_host_with_a_new_address_or_start_time_gets_new_connections() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), lambda words: success_answer()) as setup:
            log, pools = EventLog(setup), setup.parts.pools
            old, new = setup.hosts
            pools.start(add_attempt(setup))
            await asyncio.sleep(0)  # one turn of the event loop: the connect is under way
            pools.update_host(1, new.address, it.HostState.READY, 0.0)
            assert (await log.next_end()).outcome is it.Outcome.OK
            assert old.commands.empty() and new.commands.qsize() == 1
            pools.update_host(1, new.address, it.HostState.READY, 7.0)
            await with_timeout(new.closed.get())
            pools.start(add_attempt(setup))
            assert (await log.next_end()).outcome is it.Outcome.OK

    run(main())


def test_an_error_word_that_only_begins_with_busy_may_have_run() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: b"-BUSYKEY in use\r\n") as setup:
            client = await setup.client()
            client.send_request(b"1", b"pay", body=b"x")
            assert await client.read_answer() == "-ERR failed"

    run(main())


def test_a_malformed_answer_ends_its_attempt_at_once_as_one_that_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_connection, "STALL_LIMIT_S", 0.5)  # ends the answer that is a header alone

    async def main() -> None:
        for malformed in (
            b"HTTP/1.1 200 OK\r\n",
            b"$-1\r\n",
            b"*1\r\n$-1\r\n",
            b"*-1\r\n",
            b":7\r\n",
            b"\0",
            b"*3\r\n$3000000000\r\nxx",
            b"*3\r\n$6\r\nvalue\r\n$-1\r\n$-1\r\n",
            b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
            b"*999999\r\n",
            b"*3\r\n$65537\r\n",
            b"-" + b"x" * 300,
            b"*3\r\n+value\r\n$-1\r\n$-1\r\n",
        ):
            handler = _answer_first_by_id({b"1": malformed}, success_answer())
            async with GatewaySetup(handler, handler) as setup:
                log, client = EventLog(setup), await setup.client()
                client.send_request(b"1")
                assert await client.read_answer() == b"value", malformed[:20]
                assert (await log.next_end()).outcome is it.Outcome.ERROR  # RESET would make the host suspect

    run(main())


def test_an_incomplete_answer_is_abandoned_after_the_stall_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(host_connection, "STALL_LIMIT_S", 0.05)

    async def main() -> None:
        for incomplete in (b"*3\r\n$60000\r\nxx", b"-", b"*"):
            handler = _answer_first_by_id({b"1": incomplete}, success_answer())
            async with GatewaySetup(handler, handler) as setup:
                log, client = EventLog(setup), await setup.client()
                client.send_request(b"1")
                assert await client.read_answer() == b"value"
                assert (await log.next_end()).outcome is it.Outcome.ERROR

    run(main())


def test_a_valid_answer_followed_by_other_bytes_is_served_and_its_connection_closed() -> None:
    async def main() -> None:
        for extra in (success_answer(b"other"), b"noise", b"\r\n"):
            handler = _answer_first_by_id({b"1": success_answer(b"first") + extra}, success_answer())
            async with GatewaySetup(handler) as setup:
                log, client = EventLog(setup), await setup.client()
                client.send_request(b"1")
                assert await client.read_answer() == b"first"
                assert (await log.next_end()).outcome is it.Outcome.OK
                await with_timeout(setup.hosts[0].closed.get())
                client.send_request(b"2")
                assert await client.read_answer() == b"value"

    run(main())


def test_malformed_fields_after_a_value_do_not_invalidate_the_value() -> None:
    async def main() -> None:
        for fields in (
            b"$-1\r\n$5\r\nin\0l=\r\n",
            b":x\r\n$-1\r\n",
            b"!\r\n",
            b"$3000000000\r\n",
            b"$4\r\nused\r\n:3\r\n",
        ):
            handler = _answer_first_by_id({b"1": b"*3\r\n$5\r\nfirst\r\n" + fields}, success_answer())
            async with GatewaySetup(handler) as setup:
                client = await setup.client()
                client.send_request(b"1")
                assert await client.read_answer() == b"first", fields

    run(main())


def test_a_value_that_arrives_in_pieces_is_served_whole() -> None:
    async def main() -> None:
        async def handler(words: list[bytes]) -> bytes | None:
            writer = setup.hosts[0].connected.get_nowait()
            for piece in (b"*3\r", b"\n$6", b"0000\r\n" + b"x" * 30000, b"y" * 30000 + b"\r\n$-1\r\n$-1\r\n"):
                writer.write(piece)
                await asyncio.sleep(0.001)
            return None

        async with GatewaySetup(handler) as setup:
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"x" * 30000 + b"y" * 30000

    run(main())


def test_a_host_that_is_gone_is_forgotten_once_its_last_attempt_has_ended() -> None:
    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            discovery, pools, module = (
                setup.parts.discovery,
                setup.parts.pools,
                setup.parts.node.decision_module,
            )
            client = await setup.client()
            client.send_request(b"1")
            await with_timeout(setup.hosts[0].commands.get())
            new = host_entry("new", setup.hosts[0].dial) | {"block": 7}  # at the removed host's address
            discovery.apply({"seq": 2, "whole": True, "hosts": [new]})
            assert set(module.hosts) == {1, 2} and set(pools.pools) == {1, 2}
            held.released.set()
            assert await client.read_answer() == b"value"
            await with_timeout(setup.hosts[0].closed.get())
            assert set(module.hosts) == {2} and set(pools.pools) == {2}
            assert list(discovery.table.numbers) == list(discovery.table.fields) == ["new"]
            assert list(discovery.table.cells) == ["7"]
            client.send_request(b"2")
            assert await client.read_answer() == b"value"
            assert setup.hosts[0].connected.qsize() == 2  # a separate connection
            discovery.apply({"seq": 3, "whole": False, "hosts": [new | {"health": "terminated"}]})
            discovery.apply({"seq": 4, "whole": False, "hosts": [host_entry("newest", setup.hosts[0].dial)]})
            assert set(module.hosts) == set(pools.pools) == {3}  # host numbers are not reused

    run(main())


def test_connections_stay_within_their_limit() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), lambda words: None) as setup:
            log, pools = EventLog(setup), setup.parts.pools
            pools.max_connections = 1
            pools.start(add_attempt(setup))
            assert (await log.next_end()).outcome is it.Outcome.OK  # its connection is idle now
            second, third = add_attempt(setup), add_attempt(setup)
            second.host = third.host = 2
            pools.start(second)
            await with_timeout(setup.hosts[0].closed.get())  # closed to make room
            pools.start(third)
            assert (await log.next_end()).outcome is it.Outcome.NOT_SENT

    run(main())
