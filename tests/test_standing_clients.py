"""Clients in pieces, in floods, in the moment of a close, or gone at once: nothing is lost or left."""

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
from rainturn.node.gateway import Attempt, Request
from rainturn.node.resp import pack
from tests.sockets import WIRE, Client, Held, World, run, served, soon
from tests.test_node_size import Raw

CUSTOMER = b"00000000b4d65521"
PING = pack([b"PING"])
FREE: dict[str, Any] = {  # no quota, and no counter, whose connections come and go
    "plans": [WIRE["plans"][0] | {"per_second": 0, "peak_units": 0}],
    "family_info": WIRE["family_info"] | {"may_count": False},
}
POOR = {"plans": [WIRE["plans"][0] | {"per_second": 0.001, "peak_units": 1}]}  # one unit in all


def _read(ident: bytes, wait: int = 5000) -> bytes:
    return pack([b"API.READ", CUSTOMER, ident, b"c=read,t=basic,d=%d,units=1,spread=1,first=0" % wait])


def _pay(ident: bytes, body: bytes, wait: int = 5000) -> bytes:
    fields = b"c=pay,t=basic,d=%d,units=1,spread=1,first=0" % wait
    return pack([b"API.WRITE", CUSTOMER, ident, fields, body])


def _now(client: Client, data: bytes) -> None:
    """Have bytes lie unread at the gateway, with no turn of the loop between."""
    assert os.write(client.writer.get_extra_info("socket").fileno(), data) == len(data)


def _alive() -> int:
    """How many requests and attempts are referred to, as by a timer that was left behind."""
    gc.collect()
    return sum(type(found) in (Request, Attempt) for found in gc.get_objects())


async def _close(world: World, *clients: Client) -> None:
    for client in clients:
        client.writer.close()
    await world.emptied()


@pytest.mark.parametrize("body", [None, b"body", bytes(500)])
def test_commands_in_single_bytes_are_served(body: bytes | None) -> None:
    async def main() -> None:
        async with World(lambda words: served(words[2])) as world:
            client = await world.client()
            client.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            commands = [_read(b"%d" % n) if body is None else _pay(b"%d" % n, body) for n in range(3)]
            for byte in PING.join(commands):
                client.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert [await client.answer() for _ in range(5)] == [b"0", b"PONG", b"1", b"PONG", b"2"]
            await _close(world, client)

    run(main())


def test_a_body_that_comes_slowly_and_goes_on_has_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_timeouts, "BODY_STALL_S", 1.0)

    async def main() -> None:
        async with World(lambda words: served(words[4])) as world:
            client, command = await world.client(), _pay(b"1", bytes(600))
            for at in range(0, len(command), 50):
                client.writer.write(command[at : at + 50])
                await asyncio.sleep(0.1)
            assert await client.answer() == bytes(600)
            await _close(world, client)

    run(main())


def test_commands_that_are_cut_anywhere_each_have_their_own_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that is always in the middle of a command is not one that never ends its first."""
    monkeypatch.setattr(client_timeouts, "COMMAND_S", 1.0)

    async def main() -> None:
        async with World(lambda words: served(words[2])) as world:
            client = await world.client()
            client.writer.write(_read(b"0")[:50])
            for n in range(15):
                await asyncio.sleep(0.1)
                client.writer.write(_read(b"%d" % n)[50:] + _read(b"%d" % (n + 1))[:50])
                assert await client.answer() == b"%d" % n
            await _close(world, client)

    run(main())


@pytest.mark.parametrize("first", [PING, pack([b"NONSENSE"]), _read(b"1")])
def test_a_command_that_came_with_the_last_one_is_answered_before_the_connection_closes(first: bytes) -> None:
    """Both are in one piece, the first is answered without a wait, and connections are being closed."""

    async def main() -> None:
        async with World(lambda words: served(), wire=POOR) as world:
            client = await world.client()
            client.ask(b"0")  # takes all that there is
            assert await client.answer() == b"value"
            _now(client, first + PING + _read(b"2"))
            world.parts.clients.drain()
            answers = [str(await client.answer()) for _ in range(3)]
            assert answers[0] != "value" and answers[1] == "b'PONG'" and answers[2].startswith("-BUSY")
            assert await soon(client.reader.read()) == b""
            await world.emptied()

    run(main())


def test_a_command_that_has_begun_to_come_is_served_before_its_connection_closes() -> None:
    async def main() -> None:
        async with World(held := Held()) as world:
            client, command = await world.client(), _read(b"2")
            client.writer.write(_read(b"1") + command[:30])
            await soon(world.hosts[0].commands.get())
            world.parts.clients.drain()
            held.released.set()
            assert await client.answer() == b"value"
            client.writer.write(command[30:])
            assert await client.answer() == b"value"
            assert await soon(client.reader.read()) == b""
            await world.emptied()

    run(main())


def test_a_client_in_the_middle_of_a_command_does_not_give_way_to_a_new_one() -> None:
    async def main() -> None:
        async with World(lambda words: served(words[2])) as world:
            world.parts.clients.budget = 1
            client, command = await world.client(), _read(b"2")
            client.writer.write(_read(b"1") + command[:30])
            assert await client.answer() == b"1"
            other = await world.client()
            other.ask(b"3")
            for _ in range(20):
                await asyncio.sleep(0)
            client.writer.write(command[30:])
            assert await client.answer() == b"2"
            assert await other.answer() == b"3"  # at rest it gives way
            assert await soon(client.reader.read()) == b""
            await _close(world, other)

    run(main())


def test_a_request_that_comes_as_its_connection_closes_is_not_taken_and_the_answer_before_it_is_whole() -> (
    None
):
    """It comes behind the last look for unread bytes, so that the close resets the connection."""

    async def main() -> None:
        async with World(held := Held()) as world:
            client = await world.client()
            client.ask(b"1")
            await soon(world.hosts[0].commands.get())
            world.parts.clients.drain()
            (connection,) = world.parts.clients.connections
            close = connection.close_if_idle

            def close_at_once() -> None:
                close()
                _now(client, _read(b"2"))

            connection.close_if_idle = close_at_once  # type: ignore[method-assign]
            taken = world.parts.node.last_request_number
            held.released.set()
            assert await client.answer() == b"value"
            with contextlib.suppress(ConnectionError):
                assert await soon(client.reader.read()) == b""
            await world.emptied()
            assert world.hosts[0].commands.empty() and world.parts.node.last_request_number == taken

    run(main())


@pytest.mark.parametrize("rests", [True, False])
def test_a_request_that_has_come_when_its_connection_has_rested_too_long_is_served(
    rests: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of a known client and of a new one: the loop was late, and the limit in time is looked at first."""

    async def main() -> None:
        async with World(lambda words: served()) as world:
            client = await world.client()
            if rests:
                client.send(b"PING")
                assert await client.answer() == b"PONG"
            timeouts = world.parts.clients.timeouts
            while not (timeouts.idle if rests else timeouts.unproven):
                await asyncio.sleep(0)
            _now(client, _read(b"1"))
            monkeypatch.setattr(client_timeouts, "IDLE_S", -1.0)
            timeouts.unproven_s = -1.0
            timeouts._sweep()
            monkeypatch.undo()
            assert await client.answer() == b"value"
            await _close(world, client)

    run(main())


def test_requests_before_a_value_that_shows_as_broken_are_answered_all_the_same() -> None:
    """The value has come from its host, in one read, and nothing of it has been written to the client yet."""

    async def main() -> None:
        async with World(lambda words: served()) as world:
            raw = await Raw().start()
            world.parts.pools.pools[1].address = raw.server.sockets[0].getsockname()
            client = await world.client()
            client.ask(b"1")
            _, first = await raw.next(world)
            client.ask(b"2")
            _, second = await raw.next(world)
            while len(world.parts.node.requests) < 2 or not world.parts.pools.pools[1].connections:
                await asyncio.sleep(0)
            broken = served(bytes(70_000)).replace(b"$70000", b"$69990")
            assert os.write(second.get_extra_info("socket").fileno(), broken) == len(broken)
            while len(world.parts.node.requests) > 1:
                await asyncio.sleep(0.001)
            first.write(served())
            assert await client.answer() == b"value"
            assert await client.answer() == "-ERR failed"
            client.send(b"PING")
            assert await client.answer() == b"PONG"
            await _close(world, client)
            raw.server.close()

    run(main())


def _leave(sock: socket.socket, how: str) -> None:
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


FLOODS = {
    "reads": b"".join(_read(b"%d" % n) for n in range(4000)),
    "pings": PING * 30_000,
    "errors": pack([b"NONSENSE"]) * 10_000,
    "garbage": bytes(range(256)) * 2000,
    "short bodies": b"".join(_pay(b"%d" % n, bytes(1000)) for n in range(400)),
    "a long body": _pay(b"1", bytes(4 << 20)),
    "half a body": _pay(b"1", bytes(60_000))[:50_000],
}


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("flood", FLOODS)
def test_a_client_that_sends_much_at_once_and_goes_leaves_nothing_and_holds_up_nobody(
    flood: str, how: str
) -> None:
    async def main() -> None:
        before = _alive()
        async with World(*[lambda words: served()] * 2, wire=FREE) as world:
            other = await world.client()
            other.ask(b"before")
            assert await other.answer() == b"value"
            held = len(os.listdir("/proc/self/fd"))
            for _ in range(2):
                sock = socket.create_connection(world.address)
                sock.setblocking(False)
                left = memoryview(FLOODS[flood])
                with contextlib.suppress(ConnectionError):
                    for _ in range(60):  # as long as it is taken
                        with contextlib.suppress(BlockingIOError):
                            left = left[sock.send(left) :]
                        await asyncio.sleep(0)
                _leave(sock, how)
            other.ask(b"after")
            assert await other.answer() == b"value"
            while len(world.parts.clients.connections) > 1:
                await asyncio.sleep(0.01)
            await _close(world, other)
            for pool in world.parts.pools.pools.values():
                pool.close_idle()
            while len(os.listdir("/proc/self/fd")) > held:
                await asyncio.sleep(0.01)
            assert _alive() <= before

    run(main())


@pytest.mark.parametrize("flood", ["pings", "refused"])
def test_a_flood_of_commands_is_taken_in_turns_with_all_other_work(flood: str) -> None:
    """Each command is answered without a wait, so that none has to wait unread for those before it."""

    async def main() -> None:
        async with World(lambda words: served(), wire=POOR) as world:
            node, client = world.parts.node, await world.client()
            client.ask(b"first")
            assert await client.answer() == b"value"
            turns, turn = list[int](), 0
            handle, ready = node.decision_module.handle, node.is_ready

            def count_request(now: float, event: it.Event) -> list[it.Action]:
                if isinstance(event, it.Arrived):
                    turns.append(turn)
                return handle(now, event)

            def count_ping() -> bool:
                turns.append(turn)
                return ready()

            node.decision_module.handle = count_request  # type: ignore[method-assign]
            node.is_ready = count_ping  # type: ignore[method-assign]
            command = PING if flood == "pings" else _read(b"%d")
            count = 1000
            client.writer.write(
                b"".join(_read(b"%d" % n) if flood == "refused" else command for n in range(count))
            )
            while len(turns) < count:
                await asyncio.sleep(0)
                turn += 1
            for _ in range(count):
                assert str(await client.answer()) == "b'PONG'" if flood == "pings" else "-BUSY"
            assert max(turns.count(n) for n in set(turns)) <= 128  # what was there, and what was read anew
            await _close(world, client)

    run(main())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_clients_that_go_as_they_are_accepted_leave_nothing(how: str) -> None:
    async def main() -> None:
        async with World(lambda words: served(), wire=FREE) as world:
            held = len(os.listdir("/proc/self/fd"))
            for n in range(60):
                sock = socket.create_connection(world.address)
                if n % 2:
                    sock.send(_read(b"%d" % n))
                _leave(sock, how)
                if n % 3 == 0:
                    await asyncio.sleep(0)
            client = await world.client()
            client.ask(b"1")
            assert await client.answer() == b"value"
            await _close(world, client)
            world.parts.pools.close_idle()
            while len(os.listdir("/proc/self/fd")) > held:
                await asyncio.sleep(0.01)

    run(main())


def test_a_connection_that_was_ended_before_it_was_accepted_does_not_keep_out_those_behind_it() -> None:
    """Some systems say so at the accept."""

    async def main() -> None:
        async with World(lambda words: served()) as world:
            listener: Any = world.parts.clients.listener

            class Ended:
                failed = False

                def accept(self) -> Any:
                    if not self.failed:
                        self.failed = True
                        raise ConnectionAbortedError
                    return listener.accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            sock = socket.create_connection(world.address)
            sock.send(PING)
            world.parts.clients.listener = Ended()  # type: ignore[assignment]
            await world.parts.clients.stop(True)
            client = Client(*await asyncio.open_connection(sock=sock))
            assert await client.answer() == b"PONG"
            await _close(world, client)

    run(main())


def test_a_client_whose_next_request_has_come_does_not_give_way_to_a_new_one() -> None:
    """Descriptors are short, and the one that has rested longest is no longer at rest."""

    async def main() -> None:
        async with World(lambda words: served(words[2])) as world:
            world.parts.clients.budget = 2
            first, second = await world.client(), await world.client()
            for client in (first, second):
                client.send(b"PING")
                assert await client.answer() == b"PONG"
            sock = socket.create_connection(world.address)
            _now(first, _read(b"1"))
            world.parts.clients._accept_batch()
            assert await first.answer() == b"1"
            assert await soon(second.reader.read()) == b""
            third = Client(*await asyncio.open_connection(sock=sock))
            third.ask(b"3")
            assert await third.answer() == b"3"
            await _close(world, first, third)

    run(main())
