"""The operators' HTTP calls and the metrics, over real sockets."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.node import client_timeouts
from rainturn.node import control as control_module
from rainturn.node.resp import encode_array
from tests.helpers import LIMITS, Drive, of, settings
from tests.helpers import hosts as host_list
from tests.sockets import FailingListener, Held, Peer, World, call, control, run, served, soon


def test_metrics_count_every_ending_of_request_and_start_at_zero() -> None:
    async def main() -> None:
        answers = {b"bad": b"-ERR failed\r\n", b"torn": Peer.RESET}

        async with World(lambda words: answers.get(words[2], served())) as world:
            zeros = {
                f"handled.{kind}.{end}": 0
                for kind in ("read", "send", "pay")
                for end in ("passed", "dropped", "bad_gateway")
            }
            assert await world.figures() == zeros | {
                "upstream_tries": 0,
                "in_progress": 0,
                "known_hosts": 1,
                "skipped_hosts": 0,
            }
            client = await world.client()
            for ident in (b"1", b"2"):
                client.ask(ident)
                assert await client.answer() == b"value"
            for ident in (b"bad", b"torn"):
                client.ask(ident, b"pay", body=b"x")
                assert await client.answer() == "-ERR failed"
            client.ask(b"3", wait=1)  # too little time is left: refused at once
            assert str(await client.answer()).startswith("-BUSY")
            client.send(b"API.READ", b"nonsense")
            assert str(await client.answer()).startswith("-ERR")  # not a request, so it is not counted
            assert await world.figures() == zeros | {
                "handled.read.passed": 2,
                "handled.read.dropped": 1,
                "handled.pay.bad_gateway": 2,
                "upstream_tries": 4,
                "in_progress": 0,
                "known_hosts": 1,
                "skipped_hosts": 0,
            }

    run(main())


def test_open_requests_are_in_progress_and_request_of_client_that_left_is_not_counted() -> None:
    async def main() -> None:
        held = Held()
        async with World(held) as world:
            client, other = await world.client(), await world.client()
            client.ask(b"1")
            other.ask(b"2")
            for _ in range(2):
                await soon(world.hosts[0].commands.get())
            assert (await world.figures())["in_progress"] == 2
            client.writer.transport.abort()
            while (await world.figures())["in_progress"] == 2:
                pass
            held.released.set()
            assert await other.answer() == b"value"
            figures = await world.figures()
            assert figures["in_progress"] == 0 and figures["handled.read.passed"] == 1
            assert figures["handled.read.dropped"] == figures["handled.read.bad_gateway"] == 0

    run(main())


def test_out_of_service_shows_not_ready_to_clients_and_operators_and_calls_are_idempotent() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            assert (await world.control("/control/ready"))[0] == 200
            for path, ready_status, pong in (
                ("out-of-service", 503, "-ERR not ready"),
                ("in-service", 200, b"PONG"),
            ):
                for _ in range(2):
                    assert (await world.control(f"/control/{path}", "PUT"))[0] == 200
                    assert (await world.control("/control/ready"))[0] == ready_status
                    client = await world.client()
                    client.send(b"PING")
                    assert await client.answer() == pong

    run(main())


def test_drain_serves_open_requests_then_closes_all_connections_until_back_in_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        held = Held()
        async with World(held) as world:
            idle, busy, silent = [await world.client() for _ in range(3)]
            idle.send(b"PING")
            assert await idle.answer() == b"PONG"
            busy.ask(b"1")
            await soon(world.hosts[0].commands.get())
            await world.control("/control/out-of-service", "PUT")
            idle.send(b"PING")  # the connection is still open
            assert await idle.answer() == "-ERR not ready"
            late = await world.client()  # connected before the load balancer has noticed
            late.ask(b"2")
            await soon(world.hosts[0].commands.get())
            assert await soon(idle.reader.read()) == b""
            held.released.set()
            for client in (busy, late):
                assert await client.answer() == b"value"
                assert await soon(client.reader.read()) == b""
            assert await soon(silent.reader.read()) == b""
            assert not world.parts.clients.connections
            await world.control("/control/in-service", "PUT")
            back = await world.client()
            for ident in (b"3", b"4"):
                back.ask(ident)
                assert await back.answer() == b"value"  # the connection stays

    monkeypatch.setattr(client_timeouts, "DRAINING_VALID_COMMAND_TIMEOUT_S", 0.1)
    run(main())


def test_drain_serves_unread_request_before_it_closes_connection() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            client = await world.client()
            client.send(b"PING")
            assert await client.answer() == b"PONG"
            sock = client.writer.get_extra_info("socket")
            command = b"API.READ", b"00000000b4d65521", b"1", b"c=read,t=basic,d=900,units=1,spread=1,first=0"
            os.write(sock.fileno(), encode_array(command))  # still unread when the drain begins
            world.parts.clients.drain()
            assert await client.answer() == b"value"
            assert await soon(client.reader.read()) == b""

    run(main())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /control/nothing HTTP/1.1\r\n\r\n", 404),
        (b"GET /control/ready/ HTTP/1.1\r\n\r\n", 404),
        (b"PUT /control/ready HTTP/1.1\r\n\r\n", 405),
        (b"GET /control/out-of-service HTTP/1.1\r\n\r\n", 405),
        (b"DELETE /control/counters HTTP/1.1\r\n\r\n", 405),
        (b"*1\r\n$4\r\nPING\r\n", 400),
        (b"\0\1\2\r\n\r\n", 400),
        (b"GET /control/ready HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", 200),
        (b"GET /control/ready HTTP/1.1\r\nX: " + b"x" * control_module.MAX_CALL_BYTES, 413),
        (b"PUT /control/in-service HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"x" * 9000, 413),
        (b"PUT /control/in-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200),
    ],
)
def test_unusual_or_malformed_call_gets_its_status_and_changes_nothing(raw: bytes, status: int) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            assert (await call(world.operators, raw))[0] == status
            assert (await world.control("/control/ready"))[0] == 200

    run(main())


def test_call_that_arrives_byte_by_byte_is_served() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            reader, writer = await asyncio.open_connection(*world.operators)
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await soon(reader.readline())).startswith(b"HTTP/1.1 200")
            writer.close()

    run(main())


def test_silent_connections_and_incomplete_calls_time_out_and_delay_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            for n in range(3 * control_module.MAX_CONNECTIONS):
                idle_connections.append(await asyncio.open_connection(*world.operators))
                idle_connections[-1][1].write(b"GET /control/re" if n % 2 else b"")
            assert (await control(world.operators, "/control/ready"))[0] == 200
            assert len(world.parts.control.connections) <= control_module.MAX_CONNECTIONS
            answers: list[Any] = [
                await soon(reader.read()) if n % 3 else b""
                for n, (reader, _) in enumerate(idle_connections[-control_module.MAX_CONNECTIONS // 2 :])
            ]
            assert all(answer.startswith(b"HTTP/1.1 408") for answer in answers if answer)
            assert any(answers)
            for _, writer in idle_connections:
                writer.transport.abort()

    monkeypatch.setattr(control_module, "CALL_TIMEOUT_S", 0.3)
    run(main())


def test_control_listener_accepts_again_after_shortage_of_descriptors() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            listener = world.parts.control.listener
            assert listener is not None
            failing = FailingListener(listener)
            world.parts.control.listener = failing  # type: ignore[assignment]
            assert (await world.control("/control/ready"))[0] == 200
            assert failing.failed.is_set()

    run(main())


def test_closing_connection_is_not_closed_again() -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            client = await world.client()
            client.send(b"PING")
            assert await client.answer() == b"PONG"
            (connection,) = world.parts.clients.connections
            connection.abort()
            world.parts.clients.drain()
            connection.check_write_progress()
            assert await soon(client.reader.read()) == b""

    run(main())


def test_decision_module_skips_suspect_and_draining_hosts_and_is_ready_only_with_usable_host() -> None:
    drive = Drive(settings(counter=False, limits=LIMITS), fleet=3)
    assert (drive.gate.listed_count(), drive.gate.skipped_count(), drive.gate.is_ready(drive.now)) == (
        3,
        0,
        True,
    )
    for customer in range(40):
        drive.run_for(3000.0)
        # Three requests at once give each host one; repeats of the failed ones are appended.
        sends = [(0, send) for _ in range(3) for send in of(drive.arrive(customer=customer)[1], it.Send)]
        for attempt, send in sends:
            outcome = it.Outcome.UNREACHABLE if send.host == 1 else it.Outcome.OK
            sends += [(attempt + 1, more) for more in of(drive.end(send, outcome, attempt), it.Send)]
    assert (drive.gate.listed_count(), drive.gate.skipped_count()) == (3, 1)
    drive.feed(host_list(2, state=it.HostState.DRAINING)._replace(kind=it.ListKind.DELTA))
    assert (drive.gate.listed_count(), drive.gate.skipped_count(), drive.gate.is_ready(drive.now)) == (
        3,
        2,
        True,
    )
    drive.feed(host_list(3, state=it.HostState.DRAINING))
    assert not drive.gate.is_ready(drive.now)
