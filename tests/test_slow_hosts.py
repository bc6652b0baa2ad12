"""Hosts that write or read slowly, and make progress, are not taken for still; final answers come in time."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from rainturn.node import shutdown
from tests.sockets import Client, GatewaySetup, reset, run, success_answer, wait_until, with_timeout

VALUE = b"0123456789abcdef" * (1 << 14)  # 256 KiB
LATE_ANSWER_S = 0.5  # later than this after its time a request counts as lost
BODY_BYTES = 4 << 20


class SlowWriter:
    """A host that writes each answer in pieces, with a pause before each; it may break off after some."""

    def __init__(self, pauses_s: list[float], pieces_sent: int | None = None) -> None:
        self.pauses_s, self.pieces_sent = pauses_s, pieces_sent

    async def start(self, setup: GatewaySetup, value: bytes) -> asyncio.Server:
        """Listen in place of the setup's only host; requests named `short` are answered at once."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(1 << 16):
                if b"short" in data:
                    writer.write(success_answer(b"short"))
                    continue
                answer, count = success_answer(value), len(self.pauses_s)
                for n, pause_s in enumerate(self.pauses_s[: self.pieces_sent]):
                    await asyncio.sleep(pause_s)
                    writer.write(answer[len(answer) * n // count : len(answer) * (n + 1) // count])
                if self.pieces_sent is not None:
                    return reset(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        setup.parts.pools.pools[1].address = server.sockets[0].getsockname()
        return server


@pytest.mark.parametrize("class_name", [b"read", b"pay"])
def test_a_short_answer_that_its_host_writes_slowly_is_whole(class_name: bytes) -> None:
    """Guards against a limit on each pause that is far shorter than the request's time."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.0, 0.7, 0.7]).start(setup, VALUE[:60_000])
            client = await setup.client()
            client.send_request(b"slow", class_name, body=None if class_name == b"read" else b"x")
            assert await client.read_answer() == VALUE[:60_000]
            server.close()

    run(main())


def test_a_long_answer_that_its_host_writes_slowly_is_whole() -> None:
    """Guards against an end of a value whose pieces come far apart."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.0, 4.6]).start(setup, VALUE)
            client = await setup.client()
            client.send_request(b"slow")
            assert await client.read_answer() == VALUE
            server.close()

    run(main())


def test_a_long_answer_with_commands_behind_it_is_not_cut_at_its_deadline() -> None:
    """Guards against the end of a value that is buffered whole while its host still gives it."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.1] + [0.3] * 6).start(setup, VALUE)
            client = await setup.client()
            client.send_request(b"slow", time_limit_ms=1000)
            client.send_request(b"short", time_limit_ms=1000)
            assert await client.read_answer() == VALUE
            assert await client.read_answer() == b"short"
            server.close()

    run(main())


def test_a_value_that_stands_still_at_its_deadline_does_not_take_the_replies_behind_it_along() -> None:
    """The counterpart of the test above: it is withdrawn, and the requests behind it are answered."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.0, 9.0]).start(setup, VALUE)
            client = await setup.client()
            client.send_request(b"slow", time_limit_ms=1000)
            client.send_request(b"short", time_limit_ms=1000)
            assert await client.read_answer() == "-BUSY"
            assert await client.read_answer() == b"short"
            server.close()

    run(main())


@pytest.mark.parametrize("account_bytes", [300_000, 64 << 20])
def test_a_request_that_its_host_reads_slowly_gets_its_final_answer_in_time(account_bytes: int) -> None:
    """Guards against a time that begins when the gateway reads the last byte, long after it was written."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            setup.parts.node.memory.limit_bytes = account_bytes
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            listener.setblocking(False)
            setup.parts.pools.pools[1].address = listener.getsockname()
            reading = asyncio.create_task(_read_slowly(listener))
            client = await setup.client()
            started = time.monotonic()
            client.send_request(b"slow", b"pay", body=bytes(BODY_BYTES), time_limit_ms=1000)
            assert await _answer_time(client, started) <= 1.0 + LATE_ANSWER_S
            reading.cancel()
            listener.close()

    run(main())


async def _read_slowly(listener: socket.socket) -> None:
    """Accept a connection and read 100 KB a second."""
    loop = asyncio.get_running_loop()
    sock, _ = await loop.sock_accept(listener)
    while await loop.sock_recv(sock, 10_000):
        await asyncio.sleep(0.1)


async def _answer_time(client: Client, started: float) -> float:
    await with_timeout(client.read_answer())
    return time.monotonic() - started


def test_a_value_that_breaks_off_just_after_its_deadline_does_not_take_the_replies_behind_it_along() -> None:
    """Guards against beginning to send a value at its deadline that its host does not complete."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.2] * 20, 6).start(setup, VALUE)  # breaks off after 1.2 s
            client = await setup.client()
            client.send_request(b"slow", b"pay", time_limit_ms=1000, body=b"x")
            client.send_request(b"short", time_limit_ms=1000)
            assert await client.read_answer() == "-ERR failed"
            assert await client.read_answer() == b"short"
            server.close()

    run(main())


def test_a_value_that_breaks_off_long_after_its_deadline_ends_its_connection_and_frees_everything() -> None:
    """The price of sending it as it arrives: its client sees that it is cut, and nothing is left of it."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.1] * 30, 20).start(setup, VALUE)  # breaks off after 2 s
            client = await setup.client()
            client.send_request(b"slow", time_limit_ms=500)
            client.send_request(b"short", time_limit_ms=500)
            data = await with_timeout(client.reader.read())
            assert data.startswith(b"$%d\r\n" % len(VALUE)) and len(VALUE) // 3 < len(data) < len(VALUE)
            client.writer.close()
            await setup.wait_until_idle()
            assert setup.parts.node.end_log.counts["connection.value_cut"] == 1
            server.close()

    run(main())


def test_a_value_that_is_being_sent_at_the_end_of_a_shutdown_is_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cutting a value that its host still writes before SIGKILL does."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(shutdown, "LONGEST_DEADLINE_S", 0.0)

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await SlowWriter([0.0] + [0.2] * 5).start(setup, VALUE)
            client = await setup.client()
            client.send_request(b"slow")
            assert await with_timeout(client.reader.readexactly(len(b"$%d\r\n" % len(VALUE))))
            ending = asyncio.create_task(shutdown.shut_down(setup.parts, False))
            assert await with_timeout(client.reader.readexactly(len(VALUE))) == VALUE
            await with_timeout(ending)
            server.close()

    run(main())


async def _serve_fields_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each command, and write the fields behind the value 0.7 s after it."""
    while await reader.read(1 << 16):
        answer = success_answer()
        writer.write(answer[:-10])
        await asyncio.sleep(0.7)
        writer.write(answer[-10:])


def test_a_connection_whose_host_writes_the_fields_behind_a_value_late_is_used_again() -> None:
    """Guards against closing a connection on which the host is still writing."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            server = await asyncio.start_server(_serve_fields_late, "127.0.0.1", 0)
            pool = setup.parts.pools.pools[1]
            pool.address = server.sockets[0].getsockname()
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            (connection,) = pool.connections
            await wait_until(lambda: connection in pool.idle_connections)
            assert not setup.parts.pools.awaiting_fields
            server.close()

    run(main())


def test_connections_that_await_fields_give_way_to_new_ones() -> None:
    """Guards against hosts that leave out the fields using up the limit on connections."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()[:-10]) as setup:
            setup.parts.pools.max_connections = 1
            client = await setup.client()
            for ident in (b"1", b"2", b"3"):
                client.send_request(ident)
                assert await client.read_answer() == b"value"
            assert len(setup.parts.pools.awaiting_fields) == len(setup.parts.pools.pools[1].connections) == 1

    run(main())
