"""Clients that send in pieces, in floods or during a close, and clients that disconnect at once."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import socket
import struct
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import client_timeouts
from rainturn.node.requests import Attempt, Request
from rainturn.node.resp import encode_array
from tests.sockets import (
    DEFAULT_SETTINGS,
    BlockingHandler,
    Client,
    GatewaySetup,
    run,
    success_answer,
    with_timeout,
)
from tests.test_node_size import ScriptedHost

CUSTOMER = b"00000000b4d65521"
PING = encode_array([b"PING"])
NO_QUOTA: dict[str, Any] = {  # no counter either: its connections would change the number of descriptors
    "plans": [DEFAULT_SETTINGS["plans"][0] | {"per_second": 0, "peak_units": 0}],
    "family_info": DEFAULT_SETTINGS["family_info"] | {"may_count": False},
}
ONE_UNIT_QUOTA = {
    "plans": [DEFAULT_SETTINGS["plans"][0] | {"per_second": 0.001, "peak_units": 1}]
}  # hardly refilled


def _encode_read(request_id: bytes, deadline_ms: int = 5000) -> bytes:
    return encode_array(
        [b"API.READ", CUSTOMER, request_id, b"c=read,t=basic,d=%d,units=1,spread=1,first=0" % deadline_ms]
    )


def _encode_pay(request_id: bytes, body: bytes, deadline_ms: int = 5000) -> bytes:
    fields = b"c=pay,t=basic,d=%d,units=1,spread=1,first=0" % deadline_ms
    return encode_array([b"API.WRITE", CUSTOMER, request_id, fields, body])


def _write_at_once(client: Client, data: bytes) -> None:
    """Write bytes to the socket directly, so that they are unread at the gateway when this returns."""
    assert os.write(client.writer.get_extra_info("socket").fileno(), data) == len(data)


def _count_live_objects() -> int:
    """Return how many requests and attempts are still referenced, for example by a leaked timer."""
    gc.collect()
    return sum(type(candidate) in (Request, Attempt) for candidate in gc.get_objects())


async def _close_clients(setup: GatewaySetup, *clients: Client) -> None:
    for client in clients:
        client.writer.close()
    await setup.wait_until_idle()


@pytest.mark.parametrize("body", [None, b"body", bytes(500)])
def test_commands_that_arrive_byte_by_byte_are_served(body: bytes | None) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(words[2])) as setup:
            client = await setup.client()
            client.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            commands = [
                _encode_read(b"%d" % n) if body is None else _encode_pay(b"%d" % n, body) for n in range(3)
            ]
            for byte in PING.join(commands):
                client.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert [await client.read_answer() for _ in range(5)] == [b"0", b"PONG", b"1", b"PONG", b"2"]
            await _close_clients(setup, client)

    run(main())


def test_a_slow_body_that_makes_progress_does_not_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_timeouts, "BODY_STALL_TIMEOUT_S", 1.0)

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(words[4])) as setup:
            client, command = await setup.client(), _encode_pay(b"1", bytes(600))
            for offset in range(0, len(command), 50):
                client.writer.write(command[offset : offset + 50])
                await asyncio.sleep(0.1)
            assert await client.read_answer() == bytes(600)
            await _close_clients(setup, client)

    run(main())


def test_each_incomplete_command_has_its_own_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against closing a client whose stream always ends in the middle of a command."""
    monkeypatch.setattr(client_timeouts, "COMMAND_TIMEOUT_S", 1.0)

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(words[2])) as setup:
            client = await setup.client()
            client.writer.write(_encode_read(b"0")[:50])
            for n in range(15):
                await asyncio.sleep(0.1)
                client.writer.write(_encode_read(b"%d" % n)[50:] + _encode_read(b"%d" % (n + 1))[:50])
                assert await client.read_answer() == b"%d" % n
            await _close_clients(setup, client)

    run(main())


@pytest.mark.parametrize("first", [PING, encode_array([b"NONSENSE"]), _encode_read(b"1")])
def test_pipelined_commands_are_answered_before_a_draining_connection_closes(first: bytes) -> None:
    """All commands arrive in one read, and the first is answered immediately while connections drain."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), settings=ONE_UNIT_QUOTA) as setup:
            client = await setup.client()
            client.send_request(b"0")  # uses up the quota
            assert await client.read_answer() == b"value"
            _write_at_once(client, first + PING + _encode_read(b"2"))
            setup.parts.clients.drain()
            answers = [str(await client.read_answer()) for _ in range(3)]
            assert answers[0] != "value" and answers[1] == "b'PONG'" and answers[2].startswith("-BUSY")
            assert await with_timeout(client.reader.read()) == b""
            await setup.wait_until_idle()

    run(main())


def test_a_partly_received_command_is_served_before_a_draining_connection_closes() -> None:
    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            client, command = await setup.client(), _encode_read(b"2")
            client.writer.write(_encode_read(b"1") + command[:30])
            await with_timeout(setup.hosts[0].commands.get())
            setup.parts.clients.drain()
            held.released.set()
            assert await client.read_answer() == b"value"
            client.writer.write(command[30:])
            assert await client.read_answer() == b"value"
            assert await with_timeout(client.reader.read()) == b""
            await setup.wait_until_idle()

    run(main())


def test_a_client_with_a_partly_received_command_is_not_evicted_for_a_new_one() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(words[2])) as setup:
            setup.parts.clients.budget = 1
            client, command = await setup.client(), _encode_read(b"2")
            client.writer.write(_encode_read(b"1") + command[:30])
            assert await client.read_answer() == b"1"
            other = await setup.client()
            other.send_request(b"3")
            for _ in range(20):
                await asyncio.sleep(0)
            client.writer.write(command[30:])
            assert await client.read_answer() == b"2"
            assert await other.read_answer() == b"3"  # the first client is idle now and is evicted
            assert await with_timeout(client.reader.read()) == b""
            await _close_clients(setup, other)

    run(main())


def test_a_request_that_arrives_during_a_close_is_dropped_and_the_last_reply_is_complete() -> None:
    """The request arrives after the last check for unread bytes, so that the close resets the connection."""

    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler()) as setup:
            client = await setup.client()
            client.send_request(b"1")
            await with_timeout(setup.hosts[0].commands.get())
            setup.parts.clients.drain()
            (connection,) = setup.parts.clients.connections
            close = connection.close_if_idle

            def close_then_write() -> None:
                close()
                _write_at_once(client, _encode_read(b"2"))

            connection.close_if_idle = close_then_write  # type: ignore[method-assign]
            last_number = setup.parts.node.last_request_number
            held.released.set()
            assert await client.read_answer() == b"value"
            with contextlib.suppress(ConnectionError):
                assert await with_timeout(client.reader.read()) == b""
            await setup.wait_until_idle()
            assert setup.hosts[0].commands.empty() and setup.parts.node.last_request_number == last_number

    run(main())


@pytest.mark.parametrize("is_known", [True, False])
def test_an_unread_request_on_an_expired_idle_connection_is_served(
    is_known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A late event loop checks the time limits of known and new clients before it reads their sockets."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            client = await setup.client()
            if is_known:
                client.send(b"PING")
                assert await client.read_answer() == b"PONG"
            timeouts = setup.parts.clients.timeouts
            while not (timeouts.idle if is_known else timeouts.awaiting_valid_command):
                await asyncio.sleep(0)
            _write_at_once(client, _encode_read(b"1"))
            monkeypatch.setattr(client_timeouts, "IDLE_TIMEOUT_S", -1.0)
            timeouts.valid_command_timeout_s = -1.0
            timeouts._sweep()
            monkeypatch.undo()
            assert await client.read_answer() == b"value"
            await _close_clients(setup, client)

    run(main())


@pytest.mark.parametrize("class_name", [b"read", b"pay"])
def test_requests_before_a_malformed_long_value_are_still_answered(class_name: bytes) -> None:
    """The value arrives from its host in one read, and none of it has been written to the client yet.

    Its own request is sent again if its class allows that, and fails otherwise.
    """

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host = await ScriptedHost().start()
            setup.parts.pools.pools[1].address = scripted_host.server.sockets[0].getsockname()
            client = await setup.client()
            client.send_request(b"1")
            _, first = await scripted_host.next(setup)
            client.send_request(b"2", class_name, body=None if class_name == b"read" else b"body")
            _, second = await scripted_host.next(setup)
            while len(setup.parts.node.requests) < 2 or not setup.parts.pools.pools[1].connections:
                await asyncio.sleep(0)
            malformed = success_answer(bytes(70_000)).replace(b"$70000", b"$69990")
            assert os.write(second.get_extra_info("socket").fileno(), malformed) == len(malformed)
            if class_name == b"read":
                _, third = await scripted_host.next(setup)
                third.write(success_answer(b"again"))
            while len(setup.parts.node.requests) > 1:
                await asyncio.sleep(0.001)
            first.write(success_answer())
            assert await client.read_answer() == b"value"
            assert await client.read_answer() == (b"again" if class_name == b"read" else "-ERR failed")
            client.send(b"PING")
            assert await client.read_answer() == b"PONG"
            await _close_clients(setup, client)
            scripted_host.server.close()

    run(main())


def _disconnect(sock: socket.socket, how: str) -> None:
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


FLOODS = {
    "reads": b"".join(_encode_read(b"%d" % n) for n in range(4000)),
    "pings": PING * 30_000,
    "errors": encode_array([b"NONSENSE"]) * 10_000,
    "garbage": bytes(range(256)) * 2000,
    "short bodies": b"".join(_encode_pay(b"%d" % n, bytes(1000)) for n in range(400)),
    "a long body": _encode_pay(b"1", bytes(4 << 20)),
    "half a body": _encode_pay(b"1", bytes(60_000))[:50_000],
}


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("flood", FLOODS)
def test_a_client_that_floods_and_disconnects_leaves_no_state_and_does_not_block_others(
    flood: str, how: str
) -> None:
    async def main() -> None:
        objects_before = _count_live_objects()
        async with GatewaySetup(*[lambda words: success_answer()] * 2, settings=NO_QUOTA) as setup:
            other = await setup.client()
            other.send_request(b"before")
            assert await other.read_answer() == b"value"
            descriptors_before = len(os.listdir("/proc/self/fd"))
            for _ in range(2):
                sock = socket.create_connection(setup.address)
                sock.setblocking(False)
                rest = memoryview(FLOODS[flood])
                with contextlib.suppress(ConnectionError):
                    for _ in range(60):  # as long as the gateway reads
                        with contextlib.suppress(BlockingIOError):
                            rest = rest[sock.send(rest) :]
                        await asyncio.sleep(0)
                _disconnect(sock, how)
            other.send_request(b"after")
            assert await other.read_answer() == b"value"
            while len(setup.parts.clients.connections) > 1:
                await asyncio.sleep(0.01)
            await _close_clients(setup, other)
            for pool in setup.parts.pools.pools.values():
                pool.close_idle()
            while len(os.listdir("/proc/self/fd")) > descriptors_before:
                await asyncio.sleep(0.01)
            assert _count_live_objects() <= objects_before

    run(main())


@pytest.mark.parametrize("flood", ["pings", "refused"])
def test_a_flood_of_commands_is_handled_in_batches_between_other_work(flood: str) -> None:
    """Every command is answered immediately, so that the limit on open requests never pauses reading."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), settings=ONE_UNIT_QUOTA) as setup:
            node, client = setup.parts.node, await setup.client()
            client.send_request(b"first")
            assert await client.read_answer() == b"value"
            iterations, iteration = list[int](), 0
            handle, ready = node.decision_module.handle, node.is_ready

            def count_request(now: float, event: it.Event) -> list[it.Action]:
                if isinstance(event, it.Arrived):
                    iterations.append(iteration)
                return handle(now, event)

            def count_ping() -> bool:
                iterations.append(iteration)
                return ready()

            node.decision_module.handle = count_request  # type: ignore[method-assign]
            node.is_ready = count_ping  # type: ignore[method-assign]
            command = PING if flood == "pings" else _encode_read(b"%d")
            count = 1000
            client.writer.write(
                b"".join(_encode_read(b"%d" % n) if flood == "refused" else command for n in range(count))
            )
            while len(iterations) < count:
                await asyncio.sleep(0)
                iteration += 1
            expected = "b'PONG'" if flood == "pings" else "-BUSY"
            for _ in range(count):
                assert str(await client.read_answer()).startswith(expected)
            assert max(iterations.count(n) for n in set(iterations)) <= 128  # buffered and newly read ones
            await _close_clients(setup, client)

    run(main())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_clients_that_disconnect_while_being_accepted_leave_no_state(how: str) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), settings=NO_QUOTA) as setup:
            descriptors_before = len(os.listdir("/proc/self/fd"))
            for n in range(60):
                sock = socket.create_connection(setup.address)
                if n % 2:
                    sock.send(_encode_read(b"%d" % n))
                _disconnect(sock, how)
                if n % 3 == 0:
                    await asyncio.sleep(0)
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            await _close_clients(setup, client)
            setup.parts.pools.close_idle()
            while len(os.listdir("/proc/self/fd")) > descriptors_before:
                await asyncio.sleep(0.01)

    run(main())


def test_a_connection_aborted_before_accept_does_not_block_later_ones() -> None:
    """Some systems report the aborted connection as an error of accept."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            listener: Any = setup.parts.clients.listener

            class AbortedOnce:
                failed = False

                def accept(self) -> Any:
                    if not self.failed:
                        self.failed = True
                        raise ConnectionAbortedError
                    return listener.accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            sock = socket.create_connection(setup.address)
            sock.send(PING)
            setup.parts.clients.listener = AbortedOnce()  # type: ignore[assignment]
            await setup.parts.clients.stop(True)
            client = Client(*await asyncio.open_connection(sock=sock))
            assert await client.read_answer() == b"PONG"
            await _close_clients(setup, client)

    run(main())


def test_a_client_with_an_unread_request_is_not_evicted_for_a_new_one() -> None:
    """The budget of connections is used up, and the client that was idle for longest has sent a request."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(words[2])) as setup:
            setup.parts.clients.budget = 2
            first, second = await setup.client(), await setup.client()
            for client in (first, second):
                client.send(b"PING")
                assert await client.read_answer() == b"PONG"
            sock = socket.create_connection(setup.address)
            _write_at_once(first, _encode_read(b"1"))
            setup.parts.clients._accept_batch()
            assert await first.read_answer() == b"1"
            assert await with_timeout(second.reader.read()) == b""
            third = Client(*await asyncio.open_connection(sock=sock))
            third.send_request(b"3")
            assert await third.read_answer() == b"3"
            await _close_clients(setup, first, third)

    run(main())
