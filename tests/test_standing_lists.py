"""Truncated, missing and unusually formatted host lists: known hosts stay until the next valid answer."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from rainturn.node import discovery as discovery_module
from tests.sockets import LONG, Discovery, End, Handler, World, entry, run, served, soon

NO_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"


def _list(seq: int, *hosts: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def _body(answer: dict[str, Any], indent: int | None = None) -> bytes:
    return json.dumps(answer, indent=indent).encode()


def _sized(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def _chunked(body: bytes) -> bytes:
    pieces = [body[at : at + 7] for at in range(0, len(body), 7)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n" % chunks


@contextlib.asynccontextmanager
async def _watch_of_list_5(*handlers: Handler) -> AsyncIterator[tuple[World, Discovery]]:
    """Yield a gateway that knows list 5 with all its hosts and has an open watch from that version."""
    async with World(*handlers) as world:
        agent, discovery = await Discovery().start(), world.parts.discovery
        discovery.timeout_ms = LONG * 1000  # no test here depends on how fast an answer arrives
        discovery.change_address(agent.address)
        agent.put(_list(5, *_entries(world)))
        assert await soon(agent.calls.get()) == "/discovery/hosts"
        await _expect_watch_from(agent, 5)
        try:
            yield world, agent
        finally:
            await discovery.stop()
            agent.server.close()


def _entries(world: World) -> list[dict[str, Any]]:
    return [entry(f"h{n}", host.dial) for n, host in enumerate(world.hosts)]


async def _expect_watch_from(agent: Discovery, seq: int) -> None:
    """Check that the next call is a watch from this version."""
    assert f"index={seq}&" in await soon(agent.calls.get())


async def _host_counts(world: World) -> tuple[int, int]:
    """Return how many hosts are listed, and how many of them get no new requests."""
    metrics = await world.figures()
    return metrics["known_hosts"], metrics["skipped_hosts"]


def test_an_answer_without_a_length_is_complete_when_its_connection_closes_but_not_after_a_reset() -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: served(), lambda words: served()) as (world, agent):
            draining = entry("h0", world.hosts[0].dial, health="terminating")
            body = _body(_list(6, draining, whole=False))
            for parts in ((NO_LENGTH, body, End.RESET), (NO_LENGTH, body[:-9], End.CLOSE)):
                agent.put_raw(*parts)
                await _expect_watch_from(agent, 5)
                assert await _host_counts(world) == (2, 0)
            agent.put_raw(NO_LENGTH, body, End.CLOSE)
            await _expect_watch_from(agent, 6)
            assert await _host_counts(world) == (2, 1)

    run(main())


@pytest.mark.parametrize("cut", ["head", "body", "chunk", "nothing"])
@pytest.mark.parametrize("end", list(End))
def test_a_truncated_list_changes_nothing_and_is_requested_again(cut: str, end: End) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: served()) as (world, agent):
            body = _body(_list(6, entry("new", world.hosts[0].dial)), indent=2)
            raw = {
                "head": _sized(body)[:30],
                "body": _sized(body)[:-20],
                "chunk": _chunked(body)[:-25],
                "nothing": b"",
            }[cut]
            agent.put_raw(raw, end)
            await _expect_watch_from(agent, 5)
            client = await world.client()
            client.ask(b"1")  # the known list stays valid
            assert await client.answer() == b"value" and await _host_counts(world) == (1, 0)
            agent.put_raw(_sized(body))
            await _expect_watch_from(agent, 6)
            assert await _host_counts(world) == (1, 0) and set(world.parts.discovery.table.numbers) == {"new"}

    run(main())


@pytest.mark.parametrize("form", ["sized", "chunked", "no length"])
def test_a_full_list_may_arrive_indented_and_byte_by_byte(form: str) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: served(), lambda words: served()) as (world, agent):
            body = _body(_list(6, entry("h1", world.hosts[1].dial)), indent=4)
            raw = {"sized": _sized(body), "chunked": _chunked(body), "no length": NO_LENGTH + body}[form]
            agent.put_raw(*(raw[n : n + 1] for n in range(len(raw))), End.CLOSE)
            await _expect_watch_from(agent, 6)
            assert await _host_counts(world) == (1, 0)

    run(main())


def test_an_endless_answer_is_abandoned_and_leaves_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "MAX_BODY_BYTES", 10_000)

    async def main() -> None:
        async with _watch_of_list_5(lambda words: served()) as (world, agent):
            for head in (NO_LENGTH, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2aaa\r\n"):
                agent.put_raw(head, b" " * 10_400)
                await _expect_watch_from(agent, 5)
            agent.put(_list(6, *_entries(world)))
            await _expect_watch_from(agent, 6)
            for writer in agent.writers[:-1]:  # all but the open watch
                await soon(writer.wait_closed())

    run(main())


@pytest.mark.parametrize("end", list(End))
def test_a_watch_that_ends_without_an_answer_is_followed_by_a_call_that_gets_the_changes(end: End) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: served(), lambda words: served()) as (world, agent):
            agent.put_raw(end)
            assert await soon(agent.calls.get()) == "/discovery/hosts?index=5&wait=1"
            agent.put(_list(8, entry("h1", world.hosts[1].dial)))  # a full list without the draining host
            await _expect_watch_from(agent, 8)
            assert await _host_counts(world) == (1, 0)

    run(main())


def test_a_host_that_a_full_list_leaves_out_gets_no_new_request_and_serves_its_open_one() -> None:
    async def main() -> None:
        release, hosts_in_use = asyncio.Event(), asyncio.Queue[int]()

        def handler(number: int) -> Handler:
            async def handle(words: list[bytes]) -> bytes:
                if words[2] == b"open":
                    hosts_in_use.put_nowait(number)
                    await release.wait()
                return served(b"%d" % number)

            return handle

        async with _watch_of_list_5(handler(0), handler(1)) as (world, agent):
            client, other = await world.client(), await world.client()
            client.ask(b"open")
            used = await soon(hosts_in_use.get())
            agent.put(_list(6, _entries(world)[1 - used]))
            await _expect_watch_from(agent, 6)
            for n in range(20):
                other.ask(b"%d" % n)
                assert await other.answer() == b"%d" % (1 - used)
            release.set()
            assert await client.answer() == b"%d" % used
            await soon(world.hosts[used].closed.get())
            assert world.hosts[used].commands.qsize() == 1 and len(world.parts.pools.pools) == 1

    run(main())


@pytest.mark.parametrize("first", ["answers", "ends", "resets"])
def test_a_drain_after_a_reload_is_received_from_the_new_address_only(first: str) -> None:
    """The new address has its own version numbers, and its first call may fail."""

    async def main() -> None:
        async with _watch_of_list_5(lambda words: served(), lambda words: served(b"stays")) as (world, agent):
            new_agent = await Discovery().start()
            if first != "answers":
                new_agent.put_raw(End.CLOSE if first == "ends" else End.RESET)
            world.parts.discovery.change_address(new_agent.address)
            agent.put(_list(9, entry("old", "127.0.0.1:1")))  # too late
            if first != "answers":
                assert await soon(new_agent.calls.get()) == "/discovery/hosts"
            assert await soon(new_agent.calls.get()) == "/discovery/hosts"
            client = await world.client()
            client.ask(b"1")  # the known hosts stay meanwhile
            assert await client.answer() in (b"value", b"stays")
            new_agent.put(_list(2, *_entries(world)))
            await _expect_watch_from(new_agent, 2)
            new_agent.put(_list(3, entry("h0", world.hosts[0].dial, health="terminating"), whole=False))
            await _expect_watch_from(new_agent, 3)
            before = world.hosts[0].commands.qsize()
            for n in range(20):
                client.ask(b"%d" % n)
                assert await client.answer() == b"stays"
            assert world.hosts[0].commands.qsize() == before and await _host_counts(world) == (2, 1)
            new_agent.server.close()

    run(main())


@pytest.mark.parametrize(
    "bad",
    [
        {"dial": 7},
        {"dial": None},
        {"dial": ["127.0.0.1:1"]},
        {"share": 10**400},
        {"share": None},
        {"born_ms": -(10**400)},
        {"born_ms": "x"},
        {"health": ["in_service"]},
        {"site": {}},
    ],
)
def test_an_entry_that_cannot_be_read_does_not_affect_others(bad: dict[str, Any]) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: served()) as (world, agent):
            answer = _list(6, entry("bad", "127.0.0.1:1") | bad, *_entries(world))
            agent.put(answer)
            await _expect_watch_from(agent, 6)
            assert await _host_counts(world) == (1, 0)
            world.parts.discovery.apply(answer, cached=True)  # as at a start
            assert await _host_counts(world) == (1, 0)

    run(main())
