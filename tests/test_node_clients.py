"""Behaviour of the gateway towards clients."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from functools import partial
from typing import Any, cast

import pytest

from rainturn import interface as it
from rainturn.counts import units_name
from rainturn.decisions import quota
from rainturn.node import client_commands, client_connection, client_input, client_timeouts
from rainturn.node.client_connection import ClientConnection
from rainturn.node.end_log import RequestEnd
from rainturn.node.host_connection import HostConnection
from rainturn.node.requests import Attempt
from rainturn.node.resp import encode_array
from tests.sockets import (
    DEFAULT_SETTINGS,
    BlockingHandler,
    Client,
    CounterHandler,
    FailingListener,
    GatewaySetup,
    RespServer,
    reset,
    run,
    success_answer,
    with_timeout,
)


def _never_answer(words: list[bytes]) -> bytes | None:
    return None


def test_value_is_returned_unchanged_and_command_is_forwarded_with_only_d_changed() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(b"a\r\nb")) as setup:
            client = await setup.client()
            client.send_request(b"9b1f", b"send", time_limit_ms=4000, extra_fields=b"k=5c0f,", body=b"BODY")
            assert await client.read_answer() == b"a\r\nb"
            words = await with_timeout(setup.hosts[0].commands.get())
            assert words[:3] == [b"API.WRITE", b"00000000b4d65521", b"9b1f"] and words[4] == b"BODY"
            before, _, rest = words[3].partition(b"d=")
            left, _, after = rest.partition(b",")
            assert before == b"c=send,t=basic," and after == b"k=5c0f,units=1,spread=1,first=0"
            assert 0 < int(left) < 4000

    run(main())


def test_replies_are_sent_in_the_order_of_the_commands() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"first":
                await release.wait()
            else:
                release.set()
            return success_answer(words[2])

        async with GatewaySetup(handler) as setup:
            client = await setup.client()
            client.send_request(b"first")
            client.send_request(b"second")
            client.send(b"PING")
            assert [await client.read_answer() for _ in range(3)] == [b"first", b"second", b"PONG"]

    run(main())


def test_invalid_commands_get_an_error_and_the_connection_stays_open() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            client = await setup.client()
            customer, fields = b"00000000b4d65521", b"c=read,t=basic,d=900,units=1,spread=1,first=0"
            bad = [
                (b"HELLO", b"3"),
                (b"API.READ",),
                (b"API.READ", b"xyz", b"1", fields),
                (b"API.READ", b"f" * 16, b"1", fields),
                (b"API.WRITE", customer, b"1", fields),
                (b"API.READ", customer, b"1", fields, b"x" * (4 * 1024 * 1024 + 1)),
                (b"API.READ", customer, b"1", b"x" * (64 * 1024 + 1)),
            ]
            bad += [
                (b"API.READ", customer, b"1", fields.replace(old, new))
                for old, new in (
                    (b"read", b"made-up"),
                    (b"basic", b"made-up"),
                    (b"d=900,", b""),
                    (b"900", b"nan"),
                    (b"900", b"-1"),
                    (b"units=1", b"units=inf"),
                    (b"units=1", b"units=0"),
                    (b"units=1", b"units=3"),
                    (b"spread=1", b"spread=2"),
                    (b"spread=1", b"spread=0"),
                    (b"first=0", b"first=1"),
                    (b"first=0", b"first=x"),
                    (b"units=1", b"units=1,units=2"),
                )
            ]
            bad += [(b"API.READ", customer, ident, fields) for ident in (b"", b"a b", b"x" * 65)]
            bad.append((b"API.WRITE", customer, b"1", fields.replace(b"read", b"send")))  # no k
            for words in bad:
                client = await setup.client()
                client.send(*words)
                assert str(await client.read_answer()).startswith("-ERR"), words
            assert not setup.parts.node.decision_module.customers and not setup.counter.commands.qsize()
            client.send(b"CLIENT", b"SETNAME", b"x")
            client.send_request(b"good")
            assert [await client.read_answer(), await client.read_answer()] == [b"OK", b"value"]
            assert setup.hosts[0].commands.qsize() == 1

    run(main())


def test_protocol_errors_get_an_error_and_close_only_their_own_connection() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            other = await setup.client()
            for raw in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"+OK\r\n",
                b"*1\r\n:5\r\n",
                b"*1\r\n*1\r\n$1\r\na\r\n",
                b"*2\r\n$3\r\nfoo\r\n$99999\r\n",
                b"*4\r\n$62914560\r\n" + b"x" * (1 << 20),
                b"*-1\r\n",
                b"*99\r\n",
                b"*1\r\n$-1\r\n",
                b"*1\r\n$3\r\nPING\r\n",
                b"*4" * 200,
                encode_array([b"x" * 60_000] * 4),
            ):
                client = await setup.client()
                client.writer.write(raw)
                assert str(await client.read_answer()).startswith("-ERR"), raw[:20]
                try:
                    await client.read_answer()
                    raise AssertionError("the connection is still open")
                except EOFError:
                    client.writer.close()
            other.send_request(b"good")
            assert await other.read_answer() == b"value"

    run(main())


def _set_time_limits(monkeypatch: pytest.MonkeyPatch, **limits: float) -> None:
    for name, value in ({"SWEEP_INTERVAL_S": 0.01} | limits).items():
        monkeypatch.setattr(client_timeouts, name, value)


async def _closes_silently(client: Client) -> bool:
    """Return whether the connection closes without a reply; fail if it stays open."""
    with contextlib.suppress(ConnectionError):
        return not await with_timeout(client.reader.read())
    return True


def test_silent_incomplete_and_idle_connections_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    _set_time_limits(monkeypatch, VALID_COMMAND_TIMEOUT_S=0.5, COMMAND_TIMEOUT_S=0.05, IDLE_TIMEOUT_S=0.05)

    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            served_client, silent, partial_command, partial_length = [await setup.client() for _ in range(4)]
            served_client.send_request(b"1")
            partial_command.writer.write(b"*4\r\n$8\r\nAPI.R")
            partial_length.writer.write(b"*")
            assert await _closes_silently(silent)
            for client in (partial_command, partial_length):
                assert "in time" in str(await client.read_answer())
                assert await _closes_silently(client)
            held.released.set()  # no connection is closed while a request is open
            assert await served_client.read_answer() == b"value"
            assert await _closes_silently(served_client)
            timeouts = setup.parts.clients.timeouts
            assert not (timeouts.awaiting_valid_command or timeouts.idle or timeouts.incomplete)

    run(main())


def test_error_behind_open_requests_is_sent_within_its_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    _set_time_limits(monkeypatch, QUEUED_ERROR_TIMEOUT_S=0.05)

    async def main() -> None:
        async with GatewaySetup(_never_answer) as setup:
            client = await setup.client()
            client.send_request(b"1")
            client.send_request(b"2", b"pay", body=b"x")
            await with_timeout(setup.hosts[0].commands.get())
            await with_timeout(setup.hosts[0].commands.get())
            client.writer.write(b"garbage\r\n")
            answers = [str(await client.read_answer()) for _ in range(3)]
            assert answers[:2] == ["-BUSY", "-ERR failed"] and "-ERR expected" in answers[2]

    run(main())


async def _client_that_never_reads(setup: GatewaySetup) -> Client:
    """Return a client that sends a thousand requests and reads nothing."""
    client = Client(*await asyncio.open_connection(*setup.address, limit=1024))
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    for number in range(1000):
        client.send_request(b"%d" % number)
    return client


def test_client_that_leaves_its_replies_unread_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    _set_time_limits(monkeypatch, WRITE_STALL_TIMEOUT_S=0.05)

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(b"x" * 60_000)) as setup:
            await _client_that_never_reads(setup)
            while setup.parts.clients.connections:
                await asyncio.sleep(0.01)

    run(main())


def test_request_id_is_rejected_while_it_is_open_and_accepted_afterwards() -> None:
    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            client, other = await setup.client(), await setup.client()
            client.send_request(b"1")
            await with_timeout(setup.hosts[0].commands.get())
            other.send_request(b"1")
            assert "is open" in str(await other.read_answer())
            held.released.set()
            assert await client.read_answer() == b"value"
            other.send_request(b"1")
            assert await other.read_answer() == b"value"
            ids = setup.parts.node.request_ids
            assert not (ids.open or ids.remembered)

    run(main())


def test_client_that_sends_only_invalid_commands_is_disconnected() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            client = await setup.client()
            for _ in range(500):
                client.send(b"NONSENSE")
            answers = [await client.read_answer() for _ in range(client_connection.MAX_ERRORS + 1)]
            assert answers[-1] == "-ERR too many errors" and answers[0] == "-ERR unknown command"
            assert await _closes_silently(client)

    run(main())


def test_many_silent_clients_do_not_evict_a_client_that_was_served() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            setup.parts.clients.budget = 4
            good = await setup.client()
            good.send_request(b"1")
            assert await good.read_answer() == b"value"
            crowd = [await setup.client() for _ in range(40)]
            for silent in crowd[:30]:
                assert await _closes_silently(silent)
            good.send_request(b"2")
            assert await good.read_answer() == b"value"

    run(main())


def test_protocol_error_does_not_lose_the_request_before_it() -> None:
    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            client = await setup.client()
            client.send_request(b"1")
            client.writer.write(b"garbage\r\n")
            await with_timeout(setup.hosts[0].commands.get())
            held.released.set()
            assert await client.read_answer() == b"value"
            assert str(await client.read_answer()).startswith("-ERR")

    run(main())


def test_ping_succeeds_only_when_there_is_a_host() -> None:
    async def main() -> None:
        async with GatewaySetup() as setup:
            client = await setup.client()
            client.send(b"PING")
            assert str(await client.read_answer()).startswith("-ERR")
            host = await RespServer(lambda words: success_answer()).start()
            setup.parts.discovery.apply(
                {
                    "seq": 2,
                    "whole": False,
                    "hosts": [{"host": "new", "dial": host.dial, "site": "east", "health": "in_service"}],
                }
            )
            client.send(b"PING")
            assert await client.read_answer() == b"PONG"
            host.server.close()

    run(main())


def test_disconnect_frees_the_state_of_a_client_and_is_reported_to_the_decision_module() -> None:
    async def main() -> None:
        gone = asyncio.Event()
        async with GatewaySetup(_never_answer) as setup:
            node = setup.parts.node
            handle = node.decision_module.handle

            def spy(now: float, event: it.Event) -> list[it.Action]:
                if isinstance(event, it.RequestGone):
                    gone.set()
                return handle(now, event)

            node.decision_module.handle = spy  # type: ignore[method-assign]
            client = await setup.client()
            client.send_request(b"1", time_limit_ms=1000)
            await with_timeout(setup.hosts[0].commands.get())
            client.writer.close()
            await with_timeout(gone.wait())
            assert (
                not node.decision_module.open and not setup.parts.clients.connections and not node.unanswered
            )
            await with_timeout(
                setup.hosts[0].closed.get()
            )  # the attempt ends at the deadline with its connection
            assert not node.requests and not node.memory.held_bytes

    run(main())


def _hold_attempts(setup: GatewaySetup) -> list[Attempt]:
    """Hold back all further attempts until the test starts them, and return their list."""
    held: list[Attempt] = []

    def hold(attempt: Attempt) -> None:
        held.append(attempt)

    setup.parts.pools.start = hold  # type: ignore[method-assign]
    return held


@pytest.mark.parametrize("end", ["close", "reset"])
def test_request_with_a_long_body_is_not_sent_after_its_client_has_left(end: str) -> None:
    """Much of the body waits, so the end of stream has to be seen behind it."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            node, start = setup.parts.node, setup.parts.pools.start
            held, client = _hold_attempts(setup), await setup.client()
            head = b"c=pay,t=basic,d=5000,units=1,spread=1,first=0"
            command = encode_array([b"API.WRITE", b"00000000b4d65521", b"1", head, bytes(200_000)])
            client.writer.write(command[:150_000])
            (connection,) = await _wait_for_connections(setup)
            while not (held and connection.arrivals.received_bytes >= 150_000):
                await asyncio.sleep(0)
            if end == "reset":
                reset(client.writer)
            else:
                client.writer.close()
            while not held[0].request.is_finished:
                await asyncio.sleep(0.01)
            start(held[0])  # its connection is established
            while node.requests or setup.parts.clients.connections:  # reported one loop iteration later
                await asyncio.sleep(0.01)
            assert setup.hosts[0].commands.empty() and not node.memory.held_bytes and not node.unanswered
            assert not node.decision_module.open

    run(main())


async def _wait_for_connections(setup: GatewaySetup) -> list[ClientConnection]:
    while not setup.parts.clients.connections:
        await asyncio.sleep(0)
    return cast(list[ClientConnection], list(setup.parts.clients.connections))


def test_buffered_commands_of_a_disconnected_client_are_not_executed() -> None:
    """The first requests reach the limit of open ones; the others wait before the end of stream."""

    async def main() -> None:
        async with GatewaySetup(_never_answer) as setup:
            node, client = setup.parts.node, await setup.client()
            for n in range(client_input.MAX_PENDING + 8):
                client.send_request(b"%d" % n, time_limit_ms=3000)
            (connection,) = await _wait_for_connections(setup)
            while len(connection.pending) < client_input.MAX_PENDING or not connection._is_receiving():
                await asyncio.sleep(0)
            client.writer.close()
            while setup.parts.clients.connections:
                await asyncio.sleep(0.01)
            assert (
                node.last_request_number == client_input.MAX_PENDING
                and not node.decision_module.open
                and not node.unanswered
            )

    run(main())


def test_end_of_stream_takes_effect_while_replies_wait_to_be_written() -> None:
    async def main() -> None:
        async with GatewaySetup(
            lambda words: None if words[2] == b"2" else success_answer(bytes(60_000))
        ) as setup:
            client = await _client_with_small_receive_buffer(setup)
            client.send_request(b"1")
            client.send_request(b"2", time_limit_ms=4000)
            (connection,) = await _wait_for_connections(setup)
            gateway_socket = connection.transport.get_extra_info("socket")
            gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            while not connection.transport.get_write_buffer_size():
                await asyncio.sleep(0)
            assert len(connection.pending) == 1 and not connection.reading_paused
            client.writer.write_eof()
            while setup.parts.clients.connections:
                await asyncio.sleep(0.01)
            (request,) = setup.parts.node.requests.values()  # its attempt is still open
            assert request.is_finished and setup.parts.node.clock.now() < request.deadline - 500.0

    run(main())


async def _client_with_small_receive_buffer(setup: GatewaySetup) -> Client:
    """Return a client that reads nothing and has a small kernel receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, setup.address)
    client = Client(*await asyncio.open_connection(sock=sock, limit=1024))
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    return client


@pytest.mark.parametrize("waits_for", ["counter", "connection", "another"])
def test_waiting_request_of_a_client_that_left_is_not_sent_and_returns_its_units(
    waits_for: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quota, "reconcile", lambda *_: None)  # it would report an earlier window

    async def main() -> None:
        release, totals = asyncio.Event(), CounterHandler()

        async def counter(words: list[bytes]) -> bytes:
            if waits_for == "counter":
                await release.wait()
            return totals(words)

        wire = {"family_info": DEFAULT_SETTINGS["family_info"] | {"counter_timeout_ms": 20_000}}
        async with GatewaySetup(_never_answer, counter=counter, settings=wire) as setup:
            node, start, client = setup.parts.node, setup.parts.pools.start, await setup.client()
            if waits_for == "another":
                client.send_request(b"0", time_limit_ms=3000)
                await with_timeout(setup.hosts[0].commands.get())
            held = _hold_attempts(setup)
            client.send_request(b"1", time_limit_ms=3000)
            if waits_for == "counter":
                await with_timeout(setup.counter.commands.get())
            else:
                while not held:
                    await asyncio.sleep(0)
            client.writer.close()
            while setup.parts.clients.connections:
                await asyncio.sleep(0)
            release.set()
            for attempt in held:
                start(attempt)
            (customer,) = node.decision_module.customers.values()
            while customer.pending_call is not None or customer.waiting:
                await asyncio.sleep(0.01)
            while len(node.requests) > (waits_for == "another"):
                await asyncio.sleep(0.01)
            assert setup.hosts[0].commands.empty() and not node.decision_module.open
            total = totals.totals[b"%d" % units_name(customer.key, customer.total_window)]
            # The other request, if there is one, reached a host.
            assert total + customer.unreported == (1 if waits_for == "another" else 0)

    run(main())


class DepartingClient:
    """A client whose hang-up reaches the gateway's machine as soon as it leaves."""

    def __init__(self, setup: GatewaySetup, how: str) -> None:
        self.sock, self.how = socket.create_connection(setup.address), how
        self.serial = 0

    def ask(self, wait: int = 3000) -> None:
        self.serial += 1
        fields = b"c=read,t=basic,d=%d,units=1,spread=1,first=0" % wait
        self.sock.sendall(encode_array([b"API.READ", b"00000000b4d65521", b"%d" % self.serial, fields]))

    def leave(self) -> None:
        if self.how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if self.how == "end":
            self.sock.shutdown(socket.SHUT_WR)
        else:
            self.sock.close()


async def _add_idle_connections(setup: GatewaySetup, count: int) -> None:
    """Add `count` idle connections to each host that have been idle for some time."""
    for pool in setup.parts.pools.pools.values():
        for _ in range(count):
            _, connection = await asyncio.get_running_loop().create_connection(
                partial(HostConnection, pool, pool.address), *pool.address
            )
            pool.add_connection(connection)
            connection.idle_since -= 1000.0


@pytest.mark.parametrize("how", ["close", "reset", "end"])
@pytest.mark.parametrize(
    "wait", ["counter", "connect", "rested", "body", "repeat", "hosts", "unread", "behind"]
)
def test_no_attempt_begins_after_an_unread_hangup_of_the_client(wait: str, how: str) -> None:
    """The event that the request waits for and the hang-up arrive in the same event loop iteration."""

    async def main() -> None:
        async with GatewaySetup(_never_answer, _never_answer) as setup:
            node, pools, departing = setup.parts.node, setup.parts.pools, DepartingClient(setup, how)
            start, held, sent_before = pools.start, _hold_attempts(setup), 0
            calls = list[int]()
            if wait == "counter":
                node.counter.call = lambda name, amount, ttl: calls.append(name)  # type: ignore[method-assign]
            if wait == "hosts":
                numbers = list(node.decision_module.hosts)
                node.dispatch(it.HostList(it.ListKind.FULL))
            if wait == "unread":  # more than may be open, so that some wait unparsed
                for _ in range(client_input.MAX_PENDING + 4):
                    departing.ask()
            elif wait == "body":
                fields = b"c=pay,t=basic,d=3000,units=1,spread=1,first=0"
                command = encode_array([b"API.WRITE", b"00000000b4d65521", b"b", fields, bytes(200_000)])
                departing.sock.setblocking(False)
                left = memoryview(command)[:150_000]
                while left:
                    with contextlib.suppress(BlockingIOError):
                        left = left[departing.sock.send(left) :]
                    await asyncio.sleep(0)
            else:
                departing.ask()
            if wait == "behind":
                departing.ask()
            (connection,) = await _wait_for_connections(setup)
            while (
                len(held)
                < {"counter": 0, "hosts": 0, "unread": client_input.MAX_PENDING, "behind": 2}.get(wait, 1)
                or not node.requests
            ):
                await asyncio.sleep(0)
            while (
                (wait == "unread" and not connection._is_receiving())
                or (wait == "body" and connection.arrivals.received_bytes < 150_000)
                or (wait == "counter" and not calls)
            ):
                await asyncio.sleep(0)
            if wait in ("repeat", "behind"):
                start(held.pop(0))
                while sum(host.commands.qsize() for host in setup.hosts) < 1:
                    await asyncio.sleep(0)
                sent_before = 1
            pools.start = start  # type: ignore[method-assign]
            if wait != "connect":  # a new connection would take an iteration, in which the hang-up is read
                await _add_idle_connections(setup, 40)
            departing.leave()
            if wait == "counter":
                for name in calls:  # the total of the last window is requested as well
                    node.dispatch(it.CountAnswered(name, it.Outcome.OK, 1.0, 2.0))
            elif wait == "hosts":
                node.dispatch(
                    it.HostList(
                        it.ListKind.FULL,
                        tuple(it.HostEntry(number, 0, 0, it.HostState.READY) for number in numbers),
                    )
                )
            elif wait == "repeat":
                next(
                    c for pool in pools.pools.values() for c in pool.connections if c.attempt
                ).connection_lost(None)
            for attempt in held:
                start(attempt)
            assert (
                sum(c.attempt is not None for pool in pools.pools.values() for c in pool.connections)
                <= sent_before
            )
            while setup.parts.clients.connections or any(p.waiting_attempts for p in pools.pools.values()):
                await asyncio.sleep(0.005)
            for _ in range(20):  # time for any written command to arrive
                await asyncio.sleep(0.002)
            assert sum(host.commands.qsize() for host in setup.hosts) == sent_before
            assert not node.decision_module.open and not node.unanswered
            departing.sock.close()

    run(main())


def test_request_that_only_waited_for_a_connection_is_refused() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            held, client = _hold_attempts(setup), await setup.client()
            client.send_request(b"1", b"pay", body=b"x")
            while not held:
                await asyncio.sleep(0)
            setup.parts.node.endings.end_now(held[0].request, RequestEnd.SHUTDOWN)
            assert await client.read_answer() == "-BUSY"

    run(main())


def test_reply_is_sent_before_the_clients_deadline(monkeypatch: Any) -> None:
    monkeypatch.setattr(client_commands, "REPLY_MARGIN_MS", 400.0)

    async def main() -> None:
        async with GatewaySetup(_never_answer) as setup:
            client = await setup.client()
            loop = asyncio.get_running_loop()
            sent = loop.time()
            client.send_request(b"1", time_limit_ms=800)
            client.send_request(b"2", b"pay", time_limit_ms=800, body=b"x")
            assert await client.read_answer() == "-BUSY"  # safe to try again
            assert await client.read_answer() == "-ERR failed"  # may have run
            assert loop.time() - sent < 0.8

    run(main())


def test_new_client_evicts_the_longest_idle_one_when_descriptors_are_short() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            setup.parts.clients.budget = 2
            first, second = await setup.client(), await setup.client()
            for client in (first, second, first):
                client.send_request(b"1")
                assert await client.read_answer() == b"value"
            third = await setup.client()
            third.send_request(b"3")
            assert await third.read_answer() == b"value"
            assert await with_timeout(second.reader.read()) == b""  # the longest idle client
            first.send_request(b"4")
            assert await first.read_answer() == b"value"

    run(main())


def test_client_waits_unaccepted_while_no_other_client_is_idle() -> None:
    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            setup.parts.clients.budget = 1
            first = await setup.client()
            first.send_request(b"1")
            await with_timeout(setup.hosts[0].commands.get())
            second = await setup.client()
            second.send_request(b"2")
            held.released.set()
            assert await first.read_answer() == b"value"
            first.writer.close()
            assert await second.read_answer() == b"value"

    run(main())


def test_accepting_resumes_after_descriptors_ran_out() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            listener = setup.parts.clients.listener
            assert listener is not None
            failing = FailingListener(listener)
            setup.parts.clients.listener = failing  # type: ignore[assignment]
            client = await setup.client()
            client.send_request(b"1")
            await with_timeout(failing.failed.wait())
            assert await client.read_answer() == b"value"

    run(main())


def test_gateway_stops_reading_from_a_client_that_never_reads(monkeypatch: Any) -> None:
    async def main() -> None:
        blocked = asyncio.Event()
        pause = client_connection.ClientConnection.pause_writing

        def pause_and_signal(connection: client_connection.ClientConnection) -> None:
            pause(connection)
            blocked.set()

        monkeypatch.setattr(client_connection.ClientConnection, "pause_writing", pause_and_signal)
        async with GatewaySetup(lambda words: success_answer(b"x" * 60_000)) as setup:
            client = await _client_that_never_reads(setup)
            await with_timeout(blocked.wait())
            assert setup.parts.node.last_request_number < 1000  # the gateway has stopped reading
            for connection in setup.parts.clients.connections:
                unsent_bytes = connection.transport.get_write_buffer_size()
                assert unsent_bytes <= (1 << 16) + 60_100 * client_input.MAX_PENDING
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(1000):
                assert len(await client.read_answer()) == 60_000

    run(main())


def test_requests_beyond_the_limit_of_open_ones_are_refused() -> None:
    async def main() -> None:
        async with GatewaySetup(_never_answer) as setup:
            setup.parts.clients.max_open = 1
            client = await setup.client()
            client.send_request(b"1", time_limit_ms=900)
            await with_timeout(setup.hosts[0].commands.get())
            other = await setup.client()
            other.send_request(b"2")
            assert await other.read_answer() == "-BUSY"

    run(main())


def test_refusal_carries_a_backoff_where_one_is_known() -> None:
    async def main() -> None:
        plan = {"name": "basic", "price": 1, "per_second": 2, "peak_units": 1}
        async with GatewaySetup(lambda words: success_answer(), settings={"plans": [plan]}) as setup:
            client = await setup.client()
            answers = []
            for number in range(4):
                client.send_request(b"%d" % number)
                answers.append(await client.read_answer())
            assert answers[0] == b"value"
            word, _, wait = answers[-1].partition(" ")
            assert word == "-BUSY" and 0 < int(wait) <= 500  # one unit is added every half second

    run(main())
