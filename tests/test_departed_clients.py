"""Clients that leave with much of their input unread: nothing of theirs is sent to a host afterwards."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from rainturn.node.client_input import MAX_PENDING
from rainturn.node.command_skipper import CommandSkipper
from rainturn.node.input_buffer import InputBuffer
from rainturn.node.resp import encode_array
from tests.sockets import (
    BlockingHandler,
    Client,
    GatewaySetup,
    run,
    success_answer,
    wait_until,
    with_timeout,
)

ONE_SLOT_PLAN = {"name": "basic", "price": 1, "per_second": 0, "peak_units": 0, "parallel": 1}
PAY = {"name": "pay", "effect": "fragile", "target_ms": 6000, "hard_limit_ms": 6000, "credit": 2}
ONE_SLOT = {"plans": [ONE_SLOT_PLAN], "classes": [PAY], "family_info": {"may_count": False}}
LONG_BODY = bytes(500_000)
SHORT_BODY = bytes(60_000)
COMMAND_COUNT = 40  # more than may be open on a connection
SMALL_ACCOUNT_BYTES = 300_000


def _encode_pay(request_id: bytes, body: bytes) -> bytes:
    fields = b"c=pay,t=basic,d=5000,units=1,spread=1,first=0"
    return encode_array([b"API.WRITE", b"00000000b4d65521", request_id, fields, body])


async def _send_all(setup: GatewaySetup, data: bytes) -> socket.socket:
    """Write all bytes to a new connection and return its socket; the system may hold what is not read."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, setup.address)
    await with_timeout(asyncio.get_running_loop().sock_sendall(sock, data))
    return sock


async def _occupy_slot(setup: GatewaySetup) -> Client:
    """Let a request hold the customer's only slot; return its client."""
    client = await setup.client()
    client.send_request(b"holder", b"pay")
    await with_timeout(setup.hosts[0].commands.get())
    return client


def _unfinished_ids(setup: GatewaySetup) -> list[bytes]:
    requests = setup.parts.node.requests.values()
    return [request.arguments[2] for request in requests if not request.is_finished]


def test_request_held_with_its_whole_body_is_dropped_when_its_client_leaves() -> None:
    """Guards against a body that fills the receive window and hides the end of the stream behind it."""

    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler(), settings=ONE_SLOT) as setup:
            holder = await _occupy_slot(setup)
            departing = await _send_all(setup, _encode_pay(b"departed", LONG_BODY))
            await wait_until(lambda: b"departed" in _unfinished_ids(setup))
            departing.close()
            await wait_until(lambda: _unfinished_ids(setup) == [b"holder"])
            assert not (await setup.metrics())["handled.pay.dropped"]  # it was not merely given up
            held.released.set()
            assert await holder.read_answer() == b"value"
            holder.writer.close()
            await setup.wait_until_idle()
            assert setup.hosts[0].commands.empty()

    run(main())


@pytest.mark.parametrize(("account_bytes", "command_count"), [(SMALL_ACCOUNT_BYTES, 30), (None, 90)])
def test_commands_of_a_client_that_has_left_are_not_sent_on(
    account_bytes: int | None, command_count: int
) -> None:
    """Guards against an end of stream behind commands that wait: they were sent on as slots became free.

    With a small account not all of the input can be read. The commands before it are refused then.
    """

    async def main() -> None:
        async with GatewaySetup(held := BlockingHandler(), settings=ONE_SLOT) as setup:
            holder = await _occupy_slot(setup)
            if account_bytes is not None:
                setup.parts.node.memory.limit_bytes = account_bytes
            commands = b"".join(_encode_pay(b"%d" % number, SHORT_BODY) for number in range(command_count))
            departing = await _send_all(setup, commands)
            node = setup.parts.node
            await wait_until(lambda: node.last_request_number > (MAX_PENDING if account_bytes is None else 1))
            refused = (await setup.metrics())["handled.pay.dropped"]
            departing.close()
            await wait_until(lambda: _unfinished_ids(setup) == [b"holder"])
            if account_bytes is None:
                assert (await setup.metrics())["handled.pay.dropped"] == refused  # none was merely given up
            held.released.set()
            assert await holder.read_answer() == b"value"
            holder.writer.close()
            await setup.wait_until_idle()
            assert setup.hosts[0].commands.empty()

    run(main())


def test_client_that_stays_gets_an_answer_to_each_command_for_which_there_is_no_room() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), settings=ONE_SLOT) as setup:
            setup.parts.node.memory.limit_bytes = SMALL_ACCOUNT_BYTES
            client = await setup.client()
            for number in range(COMMAND_COUNT):
                client.send_request(b"%d" % number, b"pay", body=SHORT_BODY)
            answers = [await client.read_answer() for _ in range(COMMAND_COUNT)]
            assert set(answers) <= {b"value", "-BUSY"}
            client.send_request(b"last", b"pay")
            assert await client.read_answer() == b"value"
            client.writer.close()
            await setup.wait_until_idle()

    run(main())


def test_a_body_is_not_completed_for_a_client_that_has_left_behind_further_input() -> None:
    """Guards against completing a body at its host while the end of the client's stream is still hidden."""

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            setup.parts.node.memory.limit_bytes = SMALL_ACCOUNT_BYTES
            body_length = 4 << 20
            may_read, received = asyncio.Event(), list[bytes]()

            async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await may_read.wait()
                while data := await reader.read(1 << 16):
                    received.append(data)
                writer.close()

            server = await asyncio.start_server(serve_slowly, "127.0.0.1", 0, limit=4096)
            setup.parts.pools.pools[1].address = server.sockets[0].getsockname()
            client = await setup.client()
            client.send_request(b"body", b"pay", body=bytes(body_length))
            for number in range(MAX_PENDING):
                client.send_request(b"%d" % number, b"pay", body=SHORT_BODY)
            await wait_until(lambda: any(c.is_blocked() for c in _inputs(setup)))
            client.writer.close()
            await client.writer.wait_closed()
            may_read.set()
            await wait_until(lambda: not setup.parts.clients.connections)
            await setup.wait_until_idle()
            command = b"".join(received)
            assert len(command) < body_length or not command.endswith(b"\r\n")
            server.close()

    run(main())


def _inputs(setup: GatewaySetup) -> list[Any]:
    return list(setup.parts.clients.connections)


def test_a_refused_command_is_skipped_wherever_it_is_cut() -> None:
    command, behind = encode_array([b"API.WRITE", b"", b"\r\n$5\r\n", bytes(3000)]), b"*1\r\n$4\r\nPING\r\n"
    stream = command + behind
    for size in (1, 2, 7, 100, len(stream)):
        buffer, skipper, is_skipped = InputBuffer(), CommandSkipper(), False
        for start in range(0, len(stream), size):
            buffer.append(stream[start : start + size])
            is_skipped = is_skipped or skipper.skip(buffer)
            assert is_skipped is (start + size >= len(command))
        while buffer.extend():
            pass
        assert buffer.data[buffer.position :] == behind and buffer.unparsed_bytes == len(behind)
