"""Clients that take their replies slowly keep their connection for as long as they take any."""

from __future__ import annotations

import asyncio
import socket

from rainturn.node.client_closing import ClosingConnection
from rainturn.node.resp import count_unsent_bytes, encode_array
from tests.sockets import GatewaySetup, run, success_answer, wait_until, with_timeout

LONG_VALUE = b"0123456789abcdef" * (1 << 18)  # 4 MiB, more than the buffers of the system hold
RECEIVE_BUFFER = 1 << 16  # bytes that the client's machine accepts before the client reads
FIELDS = b"c=read,t=basic,d=5000,units=1,spread=1,first=0"


def encode_read(request_id: bytes) -> bytes:
    return encode_array([b"API.READ", b"00000000b4d65521", request_id, FIELDS])


def encoded_value(value: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(value), value)


class SlowReader:
    """A client that reads only what it is told to read."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    @classmethod
    async def connect(cls, setup: GatewaySetup) -> SlowReader:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, setup.address)
        return cls(sock)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read(self, count: int) -> bytes:
        """Read `count` bytes, or fewer if the connection ends."""
        data = bytearray()
        while len(data) < count:
            piece = await with_timeout(asyncio.get_running_loop().sock_recv(self.sock, count - len(data)))
            if not piece:
                break
            data += piece
        return bytes(data)


async def _only_connection(setup: GatewaySetup) -> ClosingConnection:
    await wait_until(lambda: len(setup.parts.clients.connections) == 1)
    (connection,) = setup.parts.clients.connections
    return connection


async def _read_until_all_is_written(setup: GatewaySetup) -> tuple[SlowReader, ClosingConnection, bytes]:
    """Ask for a long value, and read no more of it than lets the gateway write all of it."""
    client = await SlowReader.connect(setup)
    await client.send(encode_read(b"first"))
    connection, data = await _only_connection(setup), b""
    while connection not in setup.parts.clients.timeouts.idle:
        data += await client.read(10_000)
    return client, connection, data


def _is_open(connection: ClosingConnection) -> bool:
    return not connection.transport.is_closing()


def test_a_client_that_reads_stays_although_more_replies_are_written_than_it_reads() -> None:
    """Guards against new replies that hide what the client has read: its connection was aborted."""

    async def main() -> None:
        released = asyncio.Event()

        async def answer_in_two_parts(words: list[bytes]) -> bytes:
            if words[2] == b"late":
                await released.wait()
            return success_answer(b"short" if words[2] == b"last" else LONG_VALUE)

        async with GatewaySetup(answer_in_two_parts) as setup:
            client = await SlowReader.connect(setup)
            # The last command has the values before it buffered whole and written at once.
            await client.send(encode_read(b"first") + encode_read(b"late") + encode_read(b"last"))
            connection = await _only_connection(setup)
            await wait_until(lambda: connection.writing_paused and len(connection.pending) == 2)
            await wait_until(lambda: not connection.send_progress.has_advanced(connection.transport))
            unsent_bytes = count_unsent_bytes(connection.transport)
            whole = encoded_value(LONG_VALUE) * 2 + encoded_value(b"short")
            data = await client.read(1 << 20)
            released.set()
            await wait_until(lambda: not connection.pending)
            assert count_unsent_bytes(connection.transport) > unsent_bytes
            connection.check_write_progress()
            assert _is_open(connection)
            data += await client.read(len(whole) - len(data))
            assert data == whole
            client.sock.close()

    run(main())


def test_a_client_that_takes_none_of_its_replies_is_disconnected() -> None:
    """The counterpart of the test above: no bytes taken between two checks end the connection."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(LONG_VALUE)) as setup:
            client = await SlowReader.connect(setup)
            await client.send(encode_read(b"first"))
            connection = await _only_connection(setup)
            await wait_until(lambda: connection.writing_paused)
            await wait_until(lambda: not connection.send_progress.has_advanced(connection.transport))
            connection.check_write_progress()
            assert not _is_open(connection)
            client.sock.close()

    run(main())


def test_a_connection_is_not_idle_while_its_client_has_a_reply_to_take() -> None:
    """Guards against the idle limit ending the connection of a client that still reads its last value."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(LONG_VALUE)) as setup:
            client, connection, data = await _read_until_all_is_written(setup)
            whole = encoded_value(LONG_VALUE)
            assert count_unsent_bytes(connection.transport)
            connection.close_if_silent()
            assert _is_open(connection) and not connection.closing
            assert connection in setup.parts.clients.timeouts.idle
            data += await client.read(len(whole) - len(data))
            assert data == whole
            await wait_until(lambda: not count_unsent_bytes(connection.transport))
            connection.close_if_silent()
            assert not await client.read(1)
            client.sock.close()

    run(main())


def test_a_closing_connection_waits_for_a_client_that_pauses_between_reads() -> None:
    """Guards against a close that drops the end of a value whose client reads less than once a second."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(LONG_VALUE)) as setup:
            client, connection, data = await _read_until_all_is_written(setup)
            whole = encoded_value(LONG_VALUE)
            setup.parts.clients.drain()
            for _ in range(3):  # as if the limit had expired again and again
                connection.abort_if_replies_sent()
            assert _is_open(connection)
            data += await client.read(len(whole) - len(data))
            assert data == whole
            assert not await client.read(1)
            await wait_until(lambda: not count_unsent_bytes(connection.transport))
            connection.abort_if_replies_sent()
            assert not _is_open(connection)
            client.sock.close()

    run(main())
