"""Values in pieces: long ones pass through both ways, never held as a whole, and short ones as before."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import client_timeouts, host_connection, host_pools
from rainturn.node.resp import WHOLE, pack
from tests.helpers import LIMITS, Drive, of, settings
from tests.sockets import Client, World, reset, run, served, soon

LONG = 4 << 20
FIELDS = b"c=%s,t=basic,d=5000,units=1,spread=1,first=0"


def _bytes(length: int) -> bytes:
    return random.Random(length).randbytes(length)


def _cut(data: bytes, seed: int = 7) -> list[bytes]:
    """Pieces cut anywhere: many of a byte or two where heads are, larger ones further on."""
    rng, at, pieces = random.Random(seed), 0, []
    while at < len(data):
        size = rng.randint(1, 3) if at < 200 or len(data) - at < 40 else rng.randint(1, 90_000)
        pieces.append(data[at : at + size])
        at += size
    return pieces


class Raw:
    """A host that the test plays byte by byte."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> Raw:
        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.connections.put((reader, writer))

        self.server = await asyncio.start_server(connected, "127.0.0.1", 0, limit=1 << 16)
        return self

    async def next(self, world: World) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await soon(self.connections.get())  # type: ignore[no-any-return]


async def _with(world: World) -> Raw:
    """Let a played host stand where the world's only one is listed."""
    raw = await Raw().start()
    world.parts.pools.pools[1].address = raw.server.sockets[0].getsockname()
    return raw


async def _command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a command whose last value may be long."""
    words = []
    for _ in range(int((await soon(reader.readline()))[1:])):
        length = int((await soon(reader.readline()))[1:])
        words.append((await soon(reader.readexactly(length + 2)))[:-2])
    return words


@pytest.mark.parametrize("length", [0, 1, WHOLE - 1, WHOLE, WHOLE + 1, 300_000, LONG])
def test_values_of_any_length_pass_both_ways_in_pieces_cut_anywhere(
    length: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_pools, "SETTLE_MS", 0.0)  # as if a connection had settled

    async def main() -> None:
        body, value = _bytes(length), _bytes(length + 1 if length < LONG else length)

        async with World(lambda words: served()) as world:
            raw, client = await _with(world), await world.client()
            sock = client.writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            writer: asyncio.StreamWriter | None = None
            for ident in (b"1", b"2"):  # the second one on the same connections
                command = pack([b"API.WRITE", b"00000000b4d65521", ident, FIELDS % b"pay", body])

                async def send(command: bytes = command) -> None:
                    for piece in _cut(command):
                        client.writer.write(piece)
                        await client.writer.drain()

                task = asyncio.create_task(send())
                if writer is None:
                    reader, writer = await raw.next(world)
                words = await _command(reader)
                assert words[2] == ident and words[4] == body
                await task
                for piece in _cut(served(value)):
                    writer.write(piece)
                    await asyncio.sleep(0)
                assert await client.answer() == value
            while len(world.parts.pools.pools[1].idle) != 1:  # the figures behind it were waited for
                await asyncio.sleep(0)
            figures = await world.figures()
            assert figures["handled.pay.passed"] == figures["upstream_tries"] == 2
            raw.server.close()

    run(main())


def test_a_client_that_reads_slowly_holds_the_host_back_and_little_is_kept() -> None:
    async def main() -> None:
        value = _bytes(LONG)
        async with World(lambda words: served()) as world:
            raw = await _with(world)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, world.address)
            client = Client(*await asyncio.open_connection(sock=sock, limit=4096))
            client.ask(b"1")
            reader, writer = await raw.next(world)
            await _command(reader)
            (connection,) = world.parts.clients.connections
            ours = connection.transport.get_extra_info("socket")
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            writer.transport.set_write_buffer_limits(0)
            writer.write(served(value))
            while not connection.writing_paused:
                await asyncio.sleep(0)
            (host,) = world.parts.pools.pools[1].connections
            assert host.reading_paused and connection.transport.get_write_buffer_size() < 1 << 19
            assert await client.answer() == value
            raw.server.close()

    run(main())


def test_a_host_that_reads_slowly_holds_the_client_back_and_little_is_kept() -> None:
    async def main() -> None:
        body = _bytes(LONG)
        async with World(lambda words: served()) as world:
            pool = world.parts.pools.pools[1]
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            listener.setblocking(False)
            pool.address = listener.getsockname()
            client = await world.client()
            client.ask(b"1", b"pay", body=body)
            sock, _ = await soon(asyncio.get_running_loop().sock_accept(listener))
            (connection,) = world.parts.clients.connections
            while not connection.reading_paused:
                await asyncio.sleep(0)
            (host,) = pool.connections
            assert host.transport.get_write_buffer_size() < 1 << 20
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            assert (await _command(reader))[4] == body
            writer.write(served())
            assert await client.answer() == b"value"
            listener.close()

    run(main())


@pytest.mark.parametrize("how", ["reset", "end", "lying"])
def test_a_value_that_breaks_off_is_passed_on_as_far_as_it_came_and_shows_as_short(how: str) -> None:
    async def main() -> None:
        value = _bytes(200_000)
        async with World(lambda words: served()) as world:
            raw, client = await _with(world), await world.client()
            client.ask(b"1")
            reader, writer = await raw.next(world)
            await _command(reader)
            whole = served(value)
            writer.write(whole[:150_000] if how != "lying" else whole.replace(b"$200000", b"$199990"))
            head = await soon(client.reader.readexactly(100_000))
            if how == "reset":
                reset(writer)
            elif how == "end":
                writer.close()
            got = head + await soon(client.reader.read())
            assert got.startswith(b"$") and value.startswith(got.partition(b"\r\n")[2])
            assert not got.endswith(b"\r\n") and len(got) < 200_000 + 9
            figures = await world.figures()
            assert figures["handled.read.bad_gateway"] == 1 and figures["upstream_tries"] == 1  # no other
            raw.server.close()

    run(main())


def test_a_long_body_is_not_sent_twice_and_a_refusal_says_so_at_once() -> None:
    async def main() -> None:
        async with World(lambda words: b"-BUSY\r\n", lambda words: b"-BUSY\r\n") as world:
            client = await world.client()
            client.ask(b"1", b"pay", body=_bytes(200_000))
            assert str(await client.answer()).startswith("-BUSY")  # it never ran
            assert sum(host.commands.qsize() for host in world.hosts) == 1
            client.ask(b"2", b"pay", body=b"short")
            assert str(await client.answer()).startswith("-BUSY")
            assert sum(host.commands.qsize() for host in world.hosts) > 2  # a short one is

    run(main())


def test_a_refused_long_body_is_read_to_its_end_and_the_connection_serves_on() -> None:
    async def main() -> None:
        wire = {
            "plans": [
                {
                    "name": "basic",
                    "price": 1,
                    "per_second": 0.001,
                    "peak_units": 1,
                    "parallel": 0,
                    "never_over_rate": 0,
                }
            ]
        }
        async with World(lambda words: served(), wire=wire) as world:
            client = await world.client()
            client.ask(b"1")
            assert await client.answer() == b"value"
            client.send(b"API.WRITE", b"00000000b4d65521", b"2", FIELDS % b"pay", _bytes(LONG))
            assert str(await client.answer()).startswith("-BUSY")
            client.send(b"PING")
            assert await client.answer() == b"PONG"
            assert (await world.figures())["in_progress"] == 0

    run(main())


def test_a_body_that_stands_still_ends_as_an_error_and_its_command_never_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            raw, client = await _with(world), await world.client()
            command = pack([b"API.WRITE", b"00000000b4d65521", b"1", FIELDS % b"pay", _bytes(100_000)])
            client.writer.write(command[:70_000])
            reader, writer = await raw.next(world)
            assert str(await client.answer()).startswith("-ERR the command did not come whole")
            assert not (await soon(reader.read())).endswith(b"\r\n")
            figures = await world.figures()
            assert figures["upstream_tries"] == figures["handled.pay.bad_gateway"] == 0
            raw.server.close()

    monkeypatch.setattr(client_timeouts, "BODY_STALL_S", 0.2)
    run(main())


def test_a_body_without_its_end_spoils_the_command_before_it_is_whole_at_the_host() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            raw, client = await _with(world), await world.client()
            command = pack([b"API.WRITE", b"00000000b4d65521", b"1", FIELDS % b"pay", _bytes(100_000)])
            client.writer.write(command[:70_000])
            reader, _ = await raw.next(world)
            client.writer.write(command[70_000:-2] + b"xx")
            assert str(await client.answer()).startswith("-ERR")
            assert not (await soon(reader.read())).endswith(b"\r\n")
            assert (await world.figures())["upstream_tries"] == 0
            raw.server.close()

    run(main())


def test_a_host_that_takes_nothing_of_a_body_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            world.parts.pools.pools[1].address = listener.getsockname()
            client = await world.client()
            client.ask(b"1", b"pay", body=_bytes(LONG))
            assert str(await client.answer()).startswith("-BUSY")  # the command stayed short: it never ran
            listener.close()

    monkeypatch.setattr(host_connection, "UPLOAD_STALL_S", 0.2)
    run(main())


def test_a_client_that_leaves_frees_the_host_whichever_way_bytes_were_going() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            raw = await _with(world)
            for up in (True, False):
                client = await world.client()
                command = pack(
                    [b"API.WRITE", b"00000000b4d65521", b"1", FIELDS % b"pay", _bytes(100_000 if up else 10)]
                )
                client.writer.write(command[:80_000])
                reader, writer = await raw.next(world)
                if not up:
                    await _command(reader)
                    writer.write(served(_bytes(LONG))[: 1 << 20])
                    await soon(client.reader.readexactly(1000))
                client.writer.transport.abort()
                if up:
                    await soon(reader.read())  # ends
                else:
                    while world.parts.pools.pools[1].connections:
                        await asyncio.sleep(0)
            assert not world.parts.node.requests
            raw.server.close()

    run(main())


def test_figures_behind_a_value_are_waited_for_and_the_connection_serves_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_pools, "SETTLE_MS", 0.0)  # as if it had settled

    async def main() -> None:
        async with World(lambda words: served()) as world:
            raw, client = await _with(world), await world.client()
            client.ask(b"1")
            reader, writer = await raw.next(world)
            await _command(reader)
            writer.write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$")
            assert await client.answer() == b"value"
            client.ask(b"2")
            _, other = await raw.next(world)  # it can't be told yet where the next answer would begin
            writer.write(b"-1\r\n")
            while len(world.parts.pools.pools[1].idle) != 1:
                await asyncio.sleep(0)
            client.ask(b"3")
            assert (await _command(reader))[2] == b"3"
            other.close()
            raw.server.close()

    run(main())


def _one(drive: Drive, whole: bool) -> it.Send:
    drive.serial += 1
    arrived = it.Arrived(drive.serial, drive.now + 5000, drive.serial, 0, 0, 1.0, 1.0, False, whole)
    (send,) = of(drive.feed(arrived), it.Send)
    return send  # type: ignore[no-any-return]


def test_bytes_on_their_way_are_no_load_and_no_silence_to_the_module() -> None:
    drive = Drive(settings(counter=False, limits=LIMITS), fleet=2)
    send = _one(drive, whole=False)
    host = drive.gate.hosts[send.host]
    assert host.open_attempts == 0
    assert not of(drive.run_for(4000.0), it.Cancel) and host.failures == 0  # an upload of four seconds
    drive.feed(it.BodyComplete(send.request, drive.now + 5000))
    assert host.open_attempts == 1
    drive.now += 100.0
    drive.feed(it.StreamBegan(send.request, 0))
    assert host.open_attempts == 0
    usual = host.latency_ratio
    assert not of(drive.run_for(4000.0), it.Cancel) and host.failures == 0  # a value of four seconds
    drive.feed(it.AttemptEnded(send.request, 0, send.host, it.Outcome.OK, 4100.0, True))
    assert (
        (host.open_attempts, host.latency_ratio) == (0, usual)
        and not drive.gate.open
        and not drive.gate.attempts.ended
    )


@pytest.mark.parametrize("outcome", [it.Outcome.FULL, it.Outcome.UNREACHABLE, it.Outcome.RESET])
def test_what_is_spent_gets_no_other_attempt(outcome: it.Outcome) -> None:
    drive = Drive(settings(counter=False, limits=LIMITS), fleet=2)
    send = _one(drive, whole=False)
    again = of(drive.feed(it.AttemptEnded(send.request, 0, send.host, outcome, 50.0, False)), it.Send)
    assert again  # nothing of it had gone
    end = it.AttemptEnded(send.request, 1, again[0].host, outcome, 50.0, False, body_consumed=True)
    ended: list[Any] = drive.feed(end)
    assert not of(ended, it.Send) and of(ended, it.Refuse)
    assert all(host.open_attempts == 0 for host in drive.gate.hosts.values())
