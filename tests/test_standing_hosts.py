"""Attempts at hosts that break off, send slowly, never answer or can't be reached end and leave nothing."""

from __future__ import annotations

import asyncio
import gc
from typing import Any

import pytest

from rainturn.node import host_connection
from rainturn.node.gateway import Attempt, Request
from tests.sockets import WIRE, End, Peer, World, entry, reset, run, served


def _count_live_objects() -> int:
    """Count the requests and attempts that are still referenced, for example by a leaked timer."""
    gc.collect()
    return sum(type(item) in (Request, Attempt) for item in gc.get_objects())


class PartialAnswers:
    """Handlers that send part of an answer to the first command of each id and break; others are answered."""

    def __init__(self, part: bytes, end: End) -> None:
        self.part, self.end, self.seen = part, end, set[bytes]()
        self.peers: list[Peer] = []

    def handler_for(self, number: int) -> Any:
        async def handle(words: list[bytes]) -> bytes | None:
            if words[2] in self.seen:
                return served()
            self.seen.add(words[2])
            writer = await self.peers[number].connected.get()
            writer.write(self.part)
            await writer.drain()
            if self.end is End.RESET:
                reset(writer)
            else:
                writer.close()
            return None

        return handle


@pytest.mark.parametrize("end", list(End))
@pytest.mark.parametrize("part", [b"*", b"*3\r\n$5\r\nval", b"*3\r\n$5\r\nvalue\r", b"-BUS", b"-BUSY\r", b""])
def test_a_request_with_a_partial_answer_before_a_break_may_have_run(part: bytes, end: End) -> None:
    """A safe request is repeated at another host; a request that must not run twice fails."""

    async def main() -> None:
        before = _count_live_objects()
        partial = PartialAnswers(part, end)
        async with World(partial.handler_for(0), partial.handler_for(1)) as world:
            partial.peers = world.hosts
            client = await world.client()
            client.ask(b"safe")
            assert await client.answer() == b"value"
            client.ask(b"once", b"pay", body=b"x")
            assert await client.answer() == "-ERR failed"
            assert sum(host.commands.qsize() for host in world.hosts) == 3
            client.writer.close()
            await world.emptied()
            assert _count_live_objects() <= before

    run(main())


def test_an_endless_slow_answer_ends_at_the_requests_deadline_and_leaves_nothing() -> None:
    """Each byte counts as progress, so only the request's own deadline ends the attempt."""

    async def main() -> None:
        async def send_slowly(words: list[bytes]) -> bytes | None:
            writer = await world.hosts[0].connected.get()
            writer.write(b"*3\r\n$60000\r\n")
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.01)
            return None

        before = _count_live_objects()
        async with World(send_slowly) as world:
            client, other = await world.client(), await world.client()
            client.ask(b"1", wait=600)
            other.ask(b"2", b"pay", wait=600, body=b"x")
            assert str(await client.answer()).startswith("-BUSY")  # safe, and all hosts were tried
            assert await other.answer() == "-ERR failed"
            for connection in (client, other):
                connection.writer.close()
            await world.emptied()
            assert _count_live_objects() <= before and not world.parts.pools.open_connections

    run(main())


def test_slow_fields_after_a_value_do_not_occupy_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_connection, "STALL_LIMIT_S", 0.2)

    async def main() -> None:
        async def send_slowly(words: list[bytes]) -> bytes | None:
            writer = await world.hosts[0].connected.get()
            writer.write(b"*3\r\n$5\r\nvalue\r\n$60000\r\n")
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.02)
            return None

        async with World(send_slowly) as world:
            client = await world.client()
            client.ask(b"1")
            assert await client.answer() == b"value"
            client.writer.close()
            await world.emptied()
            assert not world.parts.pools.open_connections

    run(main())


@pytest.mark.parametrize("after_window", [False, True])
def test_a_keyed_request_is_repeated_only_inside_its_window(after_window: bool) -> None:
    """The window is shorter than the deadline; the first attempt breaks off inside the window or after it."""

    async def main() -> None:
        window = 300 if after_window else 5000
        classes = [one | {"window_ms": window, "group": "all"} for one in WIRE["classes"]]
        first = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if first.is_set():
                return served()
            first.set()
            await asyncio.sleep(0.5 if after_window else 0)
            return Peer.RESET

        async with World(handler, handler, wire={"classes": classes}) as world:
            client = await world.client()
            client.ask(b"1", b"send", extra=b"k=77,", body=b"x")
            answer = await client.answer()
            # After the window a repeat would run a second time.
            assert answer == ("-ERR failed" if after_window else b"value")
            assert sum(host.commands.qsize() for host in world.hosts) == (1 if after_window else 2)
            client.writer.close()
            await world.emptied()

    run(main())


def test_every_request_gets_an_answer_in_time_although_no_host_answers() -> None:
    async def main() -> None:
        before = _count_live_objects()
        async with World(*[lambda words: None] * 3) as world:
            kinds: list[tuple[bytes, bytes]] = [(b"read", b""), (b"send", b"k=%d,"), (b"pay", b"")]
            clients = [await world.client() for _ in range(10)]
            for number, client in enumerate(clients):
                for kind, key in kinds:
                    ident = b"%d%s" % (number, kind)
                    extra = key % number if key else b""
                    client.ask(ident, kind, 1000, extra, None if kind == b"read" else b"x")
            for client in clients:
                read, send, pay = [str(await client.answer()) for _ in kinds]
                assert read.startswith("-BUSY") and send == pay == "-ERR failed"
            for client in clients:
                client.writer.close()
            await world.emptied()
            assert _count_live_objects() <= before

    run(main())


@pytest.mark.parametrize("dial", ["x" * 70 + ":80", "a..b:80"])
def test_an_invalid_host_address_is_unreachable_at_once(dial: str, caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        async with World(lambda words: served()) as world:
            hosts = [entry("odd", dial), entry("h0", world.hosts[0].dial)]
            world.parts.discovery.apply({"seq": 9, "whole": True, "hosts": hosts})
            client, loop = await world.client(), asyncio.get_running_loop()
            started_at = loop.time()
            for n in range(30):
                client.ask(b"%d" % n)
            for _ in range(30):
                assert await client.answer() == b"value"
            assert loop.time() - started_at < 3.0  # each request has 5 s
            assert world.hosts[0].commands.qsize() == 30

    run(main())
    assert not [record for record in caplog.records if record.exc_info]
