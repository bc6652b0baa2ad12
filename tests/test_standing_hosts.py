"""Attempts at hosts that break off, send slowly, never answer or can't be reached end and leave nothing."""

from __future__ import annotations

import asyncio
import gc
from typing import Any

import pytest

from rainturn.node import host_connection
from rainturn.node.requests import Attempt, Request
from tests.sockets import (
    DEFAULT_SETTINGS,
    ConnectionEnd,
    GatewaySetup,
    RespServer,
    host_entry,
    reset,
    run,
    success_answer,
)


def _count_live_objects() -> int:
    """Count the requests and attempts that are still referenced, for example by a leaked timer."""
    gc.collect()
    return sum(type(item) in (Request, Attempt) for item in gc.get_objects())


class PartialAnswers:
    """Handlers that send part of an answer to the first command of each id and break; others are answered."""

    def __init__(self, part: bytes, end: ConnectionEnd) -> None:
        self.part, self.end, self.seen = part, end, set[bytes]()
        self.peers: list[RespServer] = []

    def handler_for(self, number: int) -> Any:
        async def handle(words: list[bytes]) -> bytes | None:
            if words[2] in self.seen:
                return success_answer()
            self.seen.add(words[2])
            writer = await self.peers[number].connected.get()
            writer.write(self.part)
            await writer.drain()
            if self.end is ConnectionEnd.RESET:
                reset(writer)
            else:
                writer.close()
            return None

        return handle


@pytest.mark.parametrize("end", list(ConnectionEnd))
@pytest.mark.parametrize("part", [b"*", b"*3\r\n$5\r\nval", b"*3\r\n$5\r\nvalue\r", b"-BUS", b"-BUSY\r", b""])
def test_a_request_with_a_partial_answer_before_a_break_may_have_run(part: bytes, end: ConnectionEnd) -> None:
    """A safe request is repeated at another host; a request that must not run twice fails."""

    async def main() -> None:
        before = _count_live_objects()
        partial = PartialAnswers(part, end)
        async with GatewaySetup(partial.handler_for(0), partial.handler_for(1)) as setup:
            partial.peers = setup.hosts
            client = await setup.client()
            client.send_request(b"safe")
            assert await client.read_answer() == b"value"
            client.send_request(b"once", b"pay", body=b"x")
            assert await client.read_answer() == "-ERR failed"
            assert sum(host.commands.qsize() for host in setup.hosts) == 3
            client.writer.close()
            await setup.wait_until_idle()
            assert _count_live_objects() <= before

    run(main())


def test_an_endless_slow_answer_ends_at_the_requests_deadline_and_leaves_nothing() -> None:
    """Each byte counts as progress, so only the request's own deadline ends the attempt."""

    async def main() -> None:
        async def send_slowly(words: list[bytes]) -> bytes | None:
            writer = await setup.hosts[0].connected.get()
            writer.write(b"*3\r\n$60000\r\n")
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.01)
            return None

        before = _count_live_objects()
        async with GatewaySetup(send_slowly) as setup:
            client, other = await setup.client(), await setup.client()
            client.send_request(b"1", time_limit_ms=600)
            other.send_request(b"2", b"pay", time_limit_ms=600, body=b"x")
            assert str(await client.read_answer()).startswith("-BUSY")  # safe, and all hosts were tried
            assert await other.read_answer() == "-ERR failed"
            for connection in (client, other):
                connection.writer.close()
            await setup.wait_until_idle()
            assert _count_live_objects() <= before and not setup.parts.pools.open_connections

    run(main())


def test_slow_fields_after_a_value_do_not_occupy_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_connection, "STALL_LIMIT_S", 0.2)

    async def main() -> None:
        async def send_slowly(words: list[bytes]) -> bytes | None:
            writer = await setup.hosts[0].connected.get()
            writer.write(b"*3\r\n$5\r\nvalue\r\n$60000\r\n")
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.02)
            return None

        async with GatewaySetup(send_slowly) as setup:
            client = await setup.client()
            client.send_request(b"1")
            assert await client.read_answer() == b"value"
            client.writer.close()
            await setup.wait_until_idle()
            assert not setup.parts.pools.open_connections

    run(main())


@pytest.mark.parametrize("after_window", [False, True])
def test_a_keyed_request_is_repeated_only_inside_its_window(after_window: bool) -> None:
    """The window is shorter than the deadline; the first attempt breaks off inside the window or after it."""

    async def main() -> None:
        window = 300 if after_window else 5000
        classes = [one | {"window_ms": window, "group": "all"} for one in DEFAULT_SETTINGS["classes"]]
        first = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if first.is_set():
                return success_answer()
            first.set()
            await asyncio.sleep(0.5 if after_window else 0)
            return RespServer.RESET

        async with GatewaySetup(handler, handler, settings={"classes": classes}) as setup:
            client = await setup.client()
            client.send_request(b"1", b"send", extra_fields=b"k=77,", body=b"x")
            answer = await client.read_answer()
            # After the window a repeat would run a second time.
            assert answer == ("-ERR failed" if after_window else b"value")
            assert sum(host.commands.qsize() for host in setup.hosts) == (1 if after_window else 2)
            client.writer.close()
            await setup.wait_until_idle()

    run(main())


def test_every_request_gets_an_answer_in_time_although_no_host_answers() -> None:
    async def main() -> None:
        before = _count_live_objects()
        async with GatewaySetup(*[lambda words: None] * 3) as setup:
            kinds: list[tuple[bytes, bytes]] = [(b"read", b""), (b"send", b"k=%d,"), (b"pay", b"")]
            clients = [await setup.client() for _ in range(10)]
            for number, client in enumerate(clients):
                for kind, key in kinds:
                    ident = b"%d%s" % (number, kind)
                    extra = key % number if key else b""
                    client.send_request(ident, kind, 1000, extra, None if kind == b"read" else b"x")
            for client in clients:
                read, send, pay = [str(await client.read_answer()) for _ in kinds]
                assert read.startswith("-BUSY") and send == pay == "-ERR failed"
            for client in clients:
                client.writer.close()
            await setup.wait_until_idle()
            assert _count_live_objects() <= before

    run(main())


@pytest.mark.parametrize("dial", ["x" * 70 + ":80", "a..b:80"])
def test_an_invalid_host_address_is_unreachable_at_once(dial: str, caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer()) as setup:
            hosts = [host_entry("odd", dial), host_entry("h0", setup.hosts[0].dial)]
            setup.parts.discovery.apply({"seq": 9, "whole": True, "hosts": hosts})
            client, loop = await setup.client(), asyncio.get_running_loop()
            started_at = loop.time()
            for n in range(30):
                client.send_request(b"%d" % n)
            for _ in range(30):
                assert await client.read_answer() == b"value"
            assert loop.time() - started_at < 3.0  # each request has 5 s
            assert setup.hosts[0].commands.qsize() == 30

    run(main())
    assert not [record for record in caplog.records if record.exc_info]
