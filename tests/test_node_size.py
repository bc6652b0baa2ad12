"""Values and bodies of all sizes: long ones are streamed in both directions and never buffered completely."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import client_timeouts, host_pools, host_sending
from rainturn.node.host_connection import HostConnection
from rainturn.node.resp import MAX_BUFFERED_BYTES, encode_array
from tests.helpers import LIMITS, GatewayDriver, of_type, settings
from tests.sockets import Client, GatewaySetup, reset, run, success_answer, with_timeout

MAX_LENGTH = 4 << 20
FIELDS = b"c=%s,t=basic,d=5000,units=1,spread=1,first=0"


def _random_bytes(length: int) -> bytes:
    return random.Random(length).randbytes(length)


def _split(data: bytes, seed: int = 7) -> list[bytes]:
    """Split data at random: 1 to 3 bytes near both ends, where headers are, and larger pieces between."""
    rng, offset, pieces = random.Random(seed), 0, []
    while offset < len(data):
        size = rng.randint(1, 3) if offset < 200 or len(data) - offset < 40 else rng.randint(1, 90_000)
        pieces.append(data[offset : offset + size])
        offset += size
    return pieces


class ScriptedHost:
    """A host whose connections the test reads and writes byte by byte."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> ScriptedHost:
        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.connections.put((reader, writer))

        self.server = await asyncio.start_server(connected, "127.0.0.1", 0, limit=1 << 16)
        return self

    async def next(self, setup: GatewaySetup) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await with_timeout(self.connections.get())  # type: ignore[no-any-return]


async def _replace_host(setup: GatewaySetup) -> ScriptedHost:
    """Replace the only host with a scripted one."""
    scripted_host = await ScriptedHost().start()
    setup.parts.pools.pools[1].address = scripted_host.server.sockets[0].getsockname()
    return scripted_host


async def _receive_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Receive a command; its last argument may be long."""
    arguments = []
    for _ in range(int((await with_timeout(reader.readline()))[1:])):
        length = int((await with_timeout(reader.readline()))[1:])
        arguments.append((await with_timeout(reader.readexactly(length + 2)))[:-2])
    return arguments


@pytest.mark.parametrize(
    "length", [0, 1, MAX_BUFFERED_BYTES - 1, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES + 1, 300_000, MAX_LENGTH]
)
def test_values_of_any_length_pass_in_both_directions_however_they_are_split(
    length: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_pools, "REUSE_DELAY_MS", 0.0)  # connections can be reused at once

    async def main() -> None:
        body, value = _random_bytes(length), _random_bytes(length + 1 if length < MAX_LENGTH else length)

        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host, client = await _replace_host(setup), await setup.client()
            sock = client.writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            writer: asyncio.StreamWriter | None = None
            for request_id in (b"1", b"2"):  # the second request uses the same connections
                command = encode_array([b"API.WRITE", b"00000000b4d65521", request_id, FIELDS % b"pay", body])

                async def send(command: bytes = command) -> None:
                    for piece in _split(command):
                        client.writer.write(piece)
                        await client.writer.drain()

                task = asyncio.create_task(send())
                if writer is None:
                    reader, writer = await scripted_host.next(setup)
                words = await _receive_command(reader)
                assert words[2] == request_id and words[4] == body
                await task
                for piece in _split(success_answer(value)):
                    writer.write(piece)
                    await asyncio.sleep(0)
                assert await client.read_answer() == value
            while (
                len(setup.parts.pools.pools[1].idle_connections) != 1
            ):  # until the fields after the value have arrived
                await asyncio.sleep(0)
            figures = await setup.metrics()
            assert figures["handled.pay.passed"] == figures["upstream_tries"] == 2
            scripted_host.server.close()

    run(main())


def test_a_slow_client_pauses_reading_from_the_host_and_little_is_buffered() -> None:
    async def main() -> None:
        value = _random_bytes(MAX_LENGTH)
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host = await _replace_host(setup)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, setup.address)
            client = Client(*await asyncio.open_connection(sock=sock, limit=4096))
            client.send_request(b"1")
            reader, writer = await scripted_host.next(setup)
            await _receive_command(reader)
            (connection,) = setup.parts.clients.connections
            gateway_sock = connection.transport.get_extra_info("socket")
            gateway_sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            writer.transport.set_write_buffer_limits(0)
            writer.write(success_answer(value))
            while not connection.writing_paused:
                await asyncio.sleep(0)
            (host,) = setup.parts.pools.pools[1].connections
            assert isinstance(host, HostConnection)
            assert host.reading_paused and connection.transport.get_write_buffer_size() < 1 << 19
            assert await client.read_answer() == value
            scripted_host.server.close()

    run(main())


def test_a_slow_host_pauses_reading_from_the_client_and_little_is_buffered() -> None:
    async def main() -> None:
        body = _random_bytes(MAX_LENGTH)
        async with GatewaySetup(lambda words: success_answer()) as setup:
            pool, memory = setup.parts.pools.pools[1], setup.parts.node.memory
            memory.limit_bytes = 1 << 18
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            listener.setblocking(False)
            pool.address = listener.getsockname()
            client = await setup.client()
            client.send_request(b"1", b"pay", body=body)
            sock, _ = await with_timeout(asyncio.get_running_loop().sock_accept(listener))
            (connection,) = setup.parts.clients.connections
            while not connection.reading_paused:
                await asyncio.sleep(0)
            (host,) = pool.connections
            assert host.transport.get_write_buffer_size() < memory.held_bytes <= memory.limit_bytes
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            assert (await _receive_command(reader))[4] == body
            writer.write(success_answer())
            assert await client.read_answer() == b"value"
            listener.close()

    run(main())


@pytest.mark.parametrize("how", ["reset", "end", "lying"])
def test_an_interrupted_value_reaches_the_client_visibly_cut_short(how: str) -> None:
    async def main() -> None:
        value = _random_bytes(200_000)
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host, client = await _replace_host(setup), await setup.client()
            client.send_request(b"1")
            reader, writer = await scripted_host.next(setup)
            await _receive_command(reader)
            answer = success_answer(value)
            writer.write(answer[:150_000] if how != "lying" else answer.replace(b"$200000", b"$199990"))
            beginning = await with_timeout(client.reader.readexactly(100_000))
            if how == "reset":
                reset(writer)
            elif how == "end":
                writer.close()
            received = beginning + await with_timeout(client.reader.read())
            assert received.startswith(b"$") and value.startswith(received.partition(b"\r\n")[2])
            assert not received.endswith(b"\r\n") and len(received) < 200_000 + 9
            figures = await setup.metrics()
            assert figures["handled.read.bad_gateway"] == 1 and figures["upstream_tries"] == 1  # no repeat
            scripted_host.server.close()

    run(main())


def test_a_streamed_body_is_not_sent_twice_and_its_request_is_refused_at_once() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: b"-BUSY\r\n", lambda words: b"-BUSY\r\n") as setup:
            client = await setup.client()
            client.send_request(b"1", b"pay", body=_random_bytes(200_000))
            assert str(await client.read_answer()).startswith("-BUSY")  # the request never ran
            assert sum(host.commands.qsize() for host in setup.hosts) == 1
            client.send_request(b"2", b"pay", body=b"short")
            assert str(await client.read_answer()).startswith("-BUSY")
            assert sum(host.commands.qsize() for host in setup.hosts) > 2  # a short body is sent again

    run(main())


def test_a_refused_streamed_body_is_read_to_its_end_and_the_connection_stays_usable() -> None:
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
        async with GatewaySetup(lambda words: success_answer(), settings=wire) as setup:
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            client.send(b"API.WRITE", b"00000000b4d65521", b"2", FIELDS % b"pay", _random_bytes(MAX_LENGTH))
            assert str(await client.read_answer()).startswith("-BUSY")
            client.send(b"PING")
            assert await client.read_answer() == b"PONG"
            assert (await setup.metrics())["in_progress"] == 0

    run(main())


def test_a_stalled_body_ends_as_an_error_and_its_command_never_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host, client = await _replace_host(setup), await setup.client()
            command = encode_array(
                [b"API.WRITE", b"00000000b4d65521", b"1", FIELDS % b"pay", _random_bytes(100_000)]
            )
            client.writer.write(command[:70_000])
            reader, writer = await scripted_host.next(setup)
            assert str(await client.read_answer()).startswith("-ERR the command did not come whole")
            assert not (await with_timeout(reader.read())).endswith(b"\r\n")
            figures = await setup.metrics()
            assert figures["upstream_tries"] == figures["handled.pay.bad_gateway"] == 0
            scripted_host.server.close()

    monkeypatch.setattr(client_timeouts, "BODY_STALL_TIMEOUT_S", 0.2)
    run(main())


def test_a_body_without_its_crlf_never_completes_the_command_at_the_host() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host, client = await _replace_host(setup), await setup.client()
            command = encode_array(
                [b"API.WRITE", b"00000000b4d65521", b"1", FIELDS % b"pay", _random_bytes(100_000)]
            )
            client.writer.write(command[:70_000])
            reader, _ = await scripted_host.next(setup)
            client.writer.write(command[70_000:-2] + b"xx")
            assert str(await client.read_answer()).startswith("-ERR")
            assert not (await with_timeout(reader.read())).endswith(b"\r\n")
            assert (await setup.metrics())["upstream_tries"] == 0
            scripted_host.server.close()

    run(main())


def test_an_attempt_ends_if_its_host_accepts_no_byte_of_a_body(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            setup.parts.pools.pools[1].address = listener.getsockname()
            client = await setup.client()
            client.send_request(b"1", b"pay", body=_random_bytes(MAX_LENGTH))
            assert str(await client.read_answer()).startswith("-BUSY")  # an incomplete command never runs
            listener.close()

    monkeypatch.setattr(host_sending, "UPLOAD_STALL_LIMIT_S", 0.2)
    run(main())


def test_a_client_that_disconnects_during_an_upload_or_a_download_frees_the_host() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host = await _replace_host(setup)
            for uploading in (True, False):
                client = await setup.client()
                command = encode_array(
                    [
                        b"API.WRITE",
                        b"00000000b4d65521",
                        b"1",
                        FIELDS % b"pay",
                        _random_bytes(100_000 if uploading else 10),
                    ]
                )
                client.writer.write(command[:80_000])
                reader, writer = await scripted_host.next(setup)
                if not uploading:
                    await _receive_command(reader)
                    writer.write(success_answer(_random_bytes(MAX_LENGTH))[: 1 << 20])
                    await with_timeout(client.reader.readexactly(1000))
                client.writer.transport.abort()
                if uploading:
                    await with_timeout(reader.read())  # returns at the end of the connection
                else:
                    while setup.parts.pools.pools[1].connections:
                        await asyncio.sleep(0)
            assert not setup.parts.node.requests
            scripted_host.server.close()

    run(main())


def test_a_connection_is_reused_once_the_fields_after_a_value_have_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_pools, "REUSE_DELAY_MS", 0.0)  # connections can be reused at once

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            scripted_host, client = await _replace_host(setup), await setup.client()
            client.send_request(b"1")
            reader, writer = await scripted_host.next(setup)
            await _receive_command(reader)
            writer.write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$")
            assert await client.read_answer() == b"value"
            client.send_request(b"2")
            _, other = await scripted_host.next(setup)  # the first connection is still busy
            writer.write(b"-1\r\n")
            while len(setup.parts.pools.pools[1].idle_connections) != 1:
                await asyncio.sleep(0)
            client.send_request(b"3")
            assert (await _receive_command(reader))[2] == b"3"
            other.close()
            scripted_host.server.close()

    run(main())


def _start_request(driver: GatewayDriver, is_complete: bool) -> it.Send:
    driver.last_request += 1
    arrived = it.Arrived(
        driver.last_request, driver.now + 5000, driver.last_request, 0, 0, 1.0, 1.0, False, is_complete
    )
    (send,) = of_type(driver.handle(arrived), it.Send)
    return send  # type: ignore[no-any-return]


def test_a_transfer_counts_neither_as_load_nor_as_silence_of_its_host() -> None:
    driver = GatewayDriver(settings(counter=False, limits=LIMITS), host_count=2)
    send = _start_request(driver, is_complete=False)
    host = driver.gateway.hosts[send.host]
    assert host.open_attempts == 0
    assert (
        not of_type(driver.advance_clock(4000.0), it.Cancel) and host.failures == 0
    )  # during an upload of four seconds
    driver.handle(it.BodyComplete(send.request, driver.now + 5000))
    assert host.open_attempts == 1
    driver.now += 100.0
    driver.handle(it.StreamBegan(send.request, 0))
    assert host.open_attempts == 0
    latency_before = host.latency_ratio
    assert (
        not of_type(driver.advance_clock(4000.0), it.Cancel) and host.failures == 0
    )  # during a value of four seconds
    driver.handle(it.AttemptEnded(send.request, 0, send.host, it.Outcome.OK, 4100.0, True))
    assert (
        (host.open_attempts, host.latency_ratio) == (0, latency_before)
        and not driver.gateway.open
        and not driver.gateway.attempts.ended
    )


@pytest.mark.parametrize("outcome", [it.Outcome.FULL, it.Outcome.UNREACHABLE, it.Outcome.RESET])
def test_a_request_whose_body_has_been_forwarded_gets_no_other_attempt(outcome: it.Outcome) -> None:
    driver = GatewayDriver(settings(counter=False, limits=LIMITS), host_count=2)
    send = _start_request(driver, is_complete=False)
    second_sends = of_type(
        driver.handle(it.AttemptEnded(send.request, 0, send.host, outcome, 50.0, False)), it.Send
    )
    assert second_sends  # none of the body had been sent
    end = it.AttemptEnded(send.request, 1, second_sends[0].host, outcome, 50.0, False, body_consumed=True)
    actions: list[Any] = driver.handle(end)
    assert not of_type(actions, it.Send) and of_type(actions, it.Refuse)
    assert all(host.open_attempts == 0 for host in driver.gateway.hosts.values())
