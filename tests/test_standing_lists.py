"""Truncated, missing and unusually formatted host lists: known hosts stay until the next valid answer."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from rainturn.node import discovery as discovery_module
from tests.sockets import (
    TIMEOUT_S,
    ConnectionEnd,
    Discovery,
    GatewaySetup,
    Handler,
    host_entry,
    run,
    success_answer,
    with_timeout,
)

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
async def _watch_of_list_5(*handlers: Handler) -> AsyncIterator[tuple[GatewaySetup, Discovery]]:
    """Yield a gateway that knows list 5 with all its hosts and has an open watch from that version."""
    async with GatewaySetup(*handlers) as setup:
        agent, discovery = await Discovery().start(), setup.parts.discovery
        discovery.timeout_ms = TIMEOUT_S * 1000  # no test here depends on how fast an answer arrives
        discovery.change_address(agent.address)
        agent.put(_list(5, *_entries(setup)))
        assert await with_timeout(agent.calls.get()) == "/discovery/hosts"
        await _expect_watch_from(agent, 5)
        try:
            yield setup, agent
        finally:
            await discovery.stop()
            agent.server.close()


def _entries(setup: GatewaySetup) -> list[dict[str, Any]]:
    return [host_entry(f"h{n}", host.dial) for n, host in enumerate(setup.hosts)]


async def _expect_watch_from(agent: Discovery, seq: int) -> None:
    """Check that the next call is a watch from this version."""
    assert f"index={seq}&" in await with_timeout(agent.calls.get())


async def _host_counts(setup: GatewaySetup) -> tuple[int, int]:
    """Return how many hosts are listed, and how many of them get no new requests."""
    metrics = await setup.metrics()
    return metrics["known_hosts"], metrics["skipped_hosts"]


def test_an_answer_without_a_length_is_complete_when_its_connection_closes_but_not_after_a_reset() -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: success_answer(), lambda words: success_answer()) as (
            setup,
            agent,
        ):
            draining = host_entry("h0", setup.hosts[0].dial, health="terminating")
            body = _body(_list(6, draining, whole=False))
            for parts in (
                (NO_LENGTH, body, ConnectionEnd.RESET),
                (NO_LENGTH, body[:-9], ConnectionEnd.CLOSE),
            ):
                agent.put_raw(*parts)
                await _expect_watch_from(agent, 5)
                assert await _host_counts(setup) == (2, 0)
            agent.put_raw(NO_LENGTH, body, ConnectionEnd.CLOSE)
            await _expect_watch_from(agent, 6)
            assert await _host_counts(setup) == (2, 1)

    run(main())


@pytest.mark.parametrize("cut", ["head", "body", "chunk", "nothing"])
@pytest.mark.parametrize("end", list(ConnectionEnd))
def test_a_truncated_list_changes_nothing_and_is_requested_again(cut: str, end: ConnectionEnd) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: success_answer()) as (setup, agent):
            body = _body(_list(6, host_entry("new", setup.hosts[0].dial)), indent=2)
            raw = {
                "head": _sized(body)[:30],
                "body": _sized(body)[:-20],
                "chunk": _chunked(body)[:-25],
                "nothing": b"",
            }[cut]
            agent.put_raw(raw, end)
            await _expect_watch_from(agent, 5)
            client = await setup.client()
            client.send_request(b"1")  # the known list stays valid
            assert await client.read_answer() == b"value" and await _host_counts(setup) == (1, 0)
            agent.put_raw(_sized(body))
            await _expect_watch_from(agent, 6)
            assert await _host_counts(setup) == (1, 0) and set(setup.parts.discovery.table.numbers) == {"new"}

    run(main())


@pytest.mark.parametrize("form", ["sized", "chunked", "no length"])
def test_a_full_list_may_arrive_indented_and_byte_by_byte(form: str) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: success_answer(), lambda words: success_answer()) as (
            setup,
            agent,
        ):
            body = _body(_list(6, host_entry("h1", setup.hosts[1].dial)), indent=4)
            raw = {"sized": _sized(body), "chunked": _chunked(body), "no length": NO_LENGTH + body}[form]
            agent.put_raw(*(raw[n : n + 1] for n in range(len(raw))), ConnectionEnd.CLOSE)
            await _expect_watch_from(agent, 6)
            assert await _host_counts(setup) == (1, 0)

    run(main())


def test_an_endless_answer_is_abandoned_and_leaves_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "MAX_BODY_BYTES", 10_000)

    async def main() -> None:
        async with _watch_of_list_5(lambda words: success_answer()) as (setup, agent):
            for head in (NO_LENGTH, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2aaa\r\n"):
                agent.put_raw(head, b" " * 10_400)
                await _expect_watch_from(agent, 5)
            agent.put(_list(6, *_entries(setup)))
            await _expect_watch_from(agent, 6)
            for writer in agent.writers[:-1]:  # all but the open watch
                await with_timeout(writer.wait_closed())

    run(main())


@pytest.mark.parametrize("end", list(ConnectionEnd))
def test_a_watch_that_ends_without_an_answer_is_followed_by_a_call_that_gets_the_changes(
    end: ConnectionEnd,
) -> None:
    async def main() -> None:
        async with _watch_of_list_5(lambda words: success_answer(), lambda words: success_answer()) as (
            setup,
            agent,
        ):
            agent.put_raw(end)
            assert await with_timeout(agent.calls.get()) == "/discovery/hosts?index=5&wait=1"
            agent.put(
                _list(8, host_entry("h1", setup.hosts[1].dial))
            )  # a full list without the draining host
            await _expect_watch_from(agent, 8)
            assert await _host_counts(setup) == (1, 0)

    run(main())


def test_a_host_that_a_full_list_leaves_out_gets_no_new_request_and_serves_its_open_one() -> None:
    async def main() -> None:
        release, hosts_in_use = asyncio.Event(), asyncio.Queue[int]()

        def handler(number: int) -> Handler:
            async def handle(words: list[bytes]) -> bytes:
                if words[2] == b"open":
                    hosts_in_use.put_nowait(number)
                    await release.wait()
                return success_answer(b"%d" % number)

            return handle

        async with _watch_of_list_5(handler(0), handler(1)) as (setup, agent):
            client, other = await setup.client(), await setup.client()
            client.send_request(b"open")
            used = await with_timeout(hosts_in_use.get())
            agent.put(_list(6, _entries(setup)[1 - used]))
            await _expect_watch_from(agent, 6)
            for n in range(20):
                other.send_request(b"%d" % n)
                assert await other.read_answer() == b"%d" % (1 - used)
            release.set()
            assert await client.read_answer() == b"%d" % used
            await with_timeout(setup.hosts[used].closed.get())
            assert setup.hosts[used].commands.qsize() == 1 and len(setup.parts.pools.pools) == 1

    run(main())


@pytest.mark.parametrize("first", ["answers", "ends", "resets"])
def test_a_drain_after_a_reload_is_received_from_the_new_address_only(first: str) -> None:
    """The new address has its own version numbers, and its first call may fail."""

    async def main() -> None:
        async with _watch_of_list_5(
            lambda words: success_answer(), lambda words: success_answer(b"stays")
        ) as (setup, agent):
            new_agent = await Discovery().start()
            if first != "answers":
                new_agent.put_raw(ConnectionEnd.CLOSE if first == "ends" else ConnectionEnd.RESET)
            setup.parts.discovery.change_address(new_agent.address)
            agent.put(_list(9, host_entry("old", "127.0.0.1:1")))  # too late
            if first != "answers":
                assert await with_timeout(new_agent.calls.get()) == "/discovery/hosts"
            assert await with_timeout(new_agent.calls.get()) == "/discovery/hosts"
            client = await setup.client()
            client.send_request(b"1")  # the known hosts stay meanwhile
            assert await client.read_answer() in (b"value", b"stays")
            new_agent.put(_list(2, *_entries(setup)))
            await _expect_watch_from(new_agent, 2)
            new_agent.put(_list(3, host_entry("h0", setup.hosts[0].dial, health="terminating"), whole=False))
            await _expect_watch_from(new_agent, 3)
            before = setup.hosts[0].commands.qsize()
            for n in range(20):
                client.send_request(b"%d" % n)
                assert await client.read_answer() == b"stays"
            assert setup.hosts[0].commands.qsize() == before and await _host_counts(setup) == (2, 1)
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
        async with _watch_of_list_5(lambda words: success_answer()) as (setup, agent):
            answer = _list(6, host_entry("bad", "127.0.0.1:1") | bad, *_entries(setup))
            agent.put(answer)
            await _expect_watch_from(agent, 6)
            assert await _host_counts(setup) == (1, 0)
            setup.parts.discovery.apply(answer, cached=True)  # as at a start
            assert await _host_counts(setup) == (1, 0)

    run(main())
