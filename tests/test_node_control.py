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
from rainturn.node.end_log import ConnectionEnd
from rainturn.node.resp import encode_array
from tests.helpers import LIMITS, GatewayDriver, of_type, settings
from tests.helpers import hosts as host_list
from tests.sockets import (
    BlockingHandler,
    FailingListener,
    GatewaySetup,
    RespServer,
    run,
    send_control_call,
    send_raw_call,
    success_answer,
    with_timeout,
)


def test_metrics_count_every_ending_of_request_and_start_at_zero() -> None:
    async def main() -> None:
        answers = {b"bad": b"-ERR failed\r\n", b"torn": RespServer.RESET}

        async with GatewaySetup(lambda words: answers.get(words[2], success_answer())) as setup:
            zeros = {
                f"handled.{kind}.{end}": 0
                for kind in ("read", "send", "pay")
                for end in ("passed", "dropped", "bad_gateway")
            }
            assert await setup.metrics() == zeros | {
                "upstream_tries": 0,
                "in_progress": 0,
                "known_hosts": 1,
                "skipped_hosts": 0,
            }
            client = await setup.client()
            for ident in (b"1", b"2"):
                client.send_request(ident)
                assert await client.read_answer() == b"value"
            for ident in (b"bad", b"torn"):
                client.send_request(ident, b"pay", body=b"x")
                assert await client.read_answer() == "-ERR failed"
            client.send_request(b"3", time_limit_ms=1)  # too little time is left: refused at once
            assert str(await client.read_answer()).startswith("-BUSY")
            client.send(b"API.READ", b"nonsense")
            assert str(await client.read_answer()).startswith("-ERR")  # not a request, so it is not counted
            assert await setup.metrics() == zeros | {
                "handled.read.passed": 2,
                "handled.read.dropped": 1,
                "handled.pay.bad_gateway": 2,
                "ended.attempt.answered": 2,
                "ended.attempt.connection_lost": 1,
                "ended.attempt.host_error": 1,
                "ended.connection.lost": 1,
                "ended.request.not_repeatable": 2,
                "ended.request.passed": 2,
                "ended.request.too_little_time": 1,
                "upstream_tries": 4,
                "in_progress": 0,
                "known_hosts": 1,
                "skipped_hosts": 0,
            }

    run(main())


def test_open_requests_are_in_progress_and_request_of_client_that_left_is_not_counted() -> None:
    async def main() -> None:
        held = BlockingHandler()
        async with GatewaySetup(held) as setup:
            client, other = await setup.client(), await setup.client()
            client.send_request(b"1")
            other.send_request(b"2")
            for _ in range(2):
                await with_timeout(setup.hosts[0].commands.get())
            assert (await setup.metrics())["in_progress"] == 2
            client.writer.transport.abort()
            while (await setup.metrics())["in_progress"] == 2:
                pass
            held.released.set()
            assert await other.read_answer() == b"value"
            figures = await setup.metrics()
            assert figures["in_progress"] == 0 and figures["handled.read.passed"] == 1
            assert figures["handled.read.dropped"] == figures["handled.read.bad_gateway"] == 0

    run(main())


def test_out_of_service_shows_not_ready_to_clients_and_operators_and_calls_are_idempotent() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            assert (await setup.control("/control/ready"))[0] == 200
            for path, ready_status, pong in (
                ("out-of-service", 503, "-ERR not ready"),
                ("in-service", 200, b"PONG"),
            ):
                for _ in range(2):
                    assert (await setup.control(f"/control/{path}", "PUT"))[0] == 200
                    assert (await setup.control("/control/ready"))[0] == ready_status
                    client = await setup.client()
                    client.send(b"PING")
                    assert await client.read_answer() == pong

    run(main())


def test_drain_serves_open_requests_then_closes_all_connections_until_back_in_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        held = BlockingHandler()
        async with GatewaySetup(held) as setup:
            idle, busy, silent = [await setup.client() for _ in range(3)]
            idle.send(b"PING")
            assert await idle.read_answer() == b"PONG"
            busy.send_request(b"1")
            await with_timeout(setup.hosts[0].commands.get())
            await setup.control("/control/out-of-service", "PUT")
            idle.send(b"PING")  # the connection is still open
            assert await idle.read_answer() == "-ERR not ready"
            late = await setup.client()  # connected before the load balancer has noticed
            late.send_request(b"2")
            await with_timeout(setup.hosts[0].commands.get())
            assert await with_timeout(idle.reader.read()) == b""
            held.released.set()
            for client in (busy, late):
                assert await client.read_answer() == b"value"
                assert await with_timeout(client.reader.read()) == b""
            assert await with_timeout(silent.reader.read()) == b""
            assert not setup.parts.clients.connections
            await setup.control("/control/in-service", "PUT")
            back = await setup.client()
            for ident in (b"3", b"4"):
                back.send_request(ident)
                assert await back.read_answer() == b"value"  # the connection stays

    monkeypatch.setattr(client_timeouts, "DRAINING_VALID_COMMAND_TIMEOUT_S", 0.1)
    run(main())


def test_drain_serves_unread_request_before_it_closes_connection() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            client = await setup.client()
            client.send(b"PING")
            assert await client.read_answer() == b"PONG"
            sock = client.writer.get_extra_info("socket")
            command = b"API.READ", b"00000000b4d65521", b"1", b"c=read,t=basic,d=900,units=1,spread=1,first=0"
            os.write(sock.fileno(), encode_array(command))  # still unread when the drain begins
            setup.parts.clients.drain()
            assert await client.read_answer() == b"value"
            assert await with_timeout(client.reader.read()) == b""

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
        async with GatewaySetup(lambda words: success_answer()) as setup:
            assert (await send_raw_call(setup.control_address, raw))[0] == status
            assert (await setup.control("/control/ready"))[0] == 200

    run(main())


def test_call_that_arrives_byte_by_byte_is_served() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            reader, writer = await asyncio.open_connection(*setup.control_address)
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await with_timeout(reader.readline())).startswith(b"HTTP/1.1 200")
            writer.close()

    run(main())


def test_silent_connections_and_incomplete_calls_time_out_and_delay_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            for n in range(3 * control_module.MAX_CONNECTIONS):
                idle_connections.append(await asyncio.open_connection(*setup.control_address))
                idle_connections[-1][1].write(b"GET /control/re" if n % 2 else b"")
            assert (await send_control_call(setup.control_address, "/control/ready"))[0] == 200
            assert len(setup.parts.control.connections) <= control_module.MAX_CONNECTIONS
            answers: list[Any] = [
                await with_timeout(reader.read()) if n % 3 else b""
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
        async with GatewaySetup(lambda words: success_answer()) as setup:
            listener = setup.parts.control.listener
            assert listener is not None
            failing = FailingListener(listener)
            setup.parts.control.listener = failing  # type: ignore[assignment]
            assert (await setup.control("/control/ready"))[0] == 200
            assert failing.failed.is_set()

    run(main())


def test_closing_connection_is_not_closed_again() -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            client = await setup.client()
            client.send(b"PING")
            assert await client.read_answer() == b"PONG"
            (connection,) = setup.parts.clients.connections
            connection.abort(ConnectionEnd.EVICTED)
            setup.parts.clients.drain()
            connection.check_write_progress()
            assert await with_timeout(client.reader.read()) == b""

    run(main())


def test_decision_module_skips_suspect_and_draining_hosts_and_is_ready_only_with_usable_host() -> None:
    driver = GatewayDriver(settings(counter=False, limits=LIMITS), host_count=3)
    assert (
        driver.gateway.listed_count(),
        driver.gateway.skipped_count(),
        driver.gateway.is_ready(driver.now),
    ) == (
        3,
        0,
        True,
    )
    for customer in range(40):
        driver.advance_clock(3000.0)
        # Three requests at once give each host one; repeats of the failed ones are appended.
        sends = [
            (0, send)
            for _ in range(3)
            for send in of_type(driver.start_request(customer=customer)[1], it.Send)
        ]
        for attempt, send in sends:
            outcome = it.Outcome.UNREACHABLE if send.host == 1 else it.Outcome.OK
            sends += [
                (attempt + 1, more) for more in of_type(driver.end_attempt(send, outcome, attempt), it.Send)
            ]
    assert (driver.gateway.listed_count(), driver.gateway.skipped_count()) == (3, 1)
    driver.handle(host_list(2, state=it.HostState.DRAINING)._replace(kind=it.ListKind.DELTA))
    assert (
        driver.gateway.listed_count(),
        driver.gateway.skipped_count(),
        driver.gateway.is_ready(driver.now),
    ) == (
        3,
        2,
        True,
    )
    driver.handle(host_list(3, state=it.HostState.DRAINING))
    assert not driver.gateway.is_ready(driver.now)
