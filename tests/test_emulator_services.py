"""Tests the emulator's stand-ins with the gateway's own clients on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

import pytest

from rainturn import interface as it
from rainturn.emulator.counter_service import BUSY, CounterService, CountStore
from rainturn.emulator.discovery_service import TERMINATED, DiscoveryService, HostDirectory
from rainturn.emulator.hollow import Addresses, HollowGateway, request_words
from rainturn.emulator.host_service import HostService
from rainturn.emulator.workload import (
    CLASSES,
    HostListEntry,
    Tenants,
    make_host_entries,
    wire_settings,
    zone_names,
)
from rainturn.node.clock import Clock
from rainturn.node.counter_client import CounterClient
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Node
from rainturn.node.host_pools import HostPools
from rainturn.node.requests import Request
from rainturn.node.resp import encode_array
from rainturn.settings import names_from, settings_from
from tests.sockets import Client, ample_memory, run, with_timeout

UNUSED_HOST_ADDRESSES = ("127.0.0.1:9",)  # no connection is opened to it


async def until(condition: Any) -> None:
    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.005)

    await with_timeout(poll())


def test_a_gateway_reads_the_settings() -> None:
    settings = settings_from(wire_settings(3, 40))
    names = names_from(wire_settings(3, 40))
    assert (settings.gateway, settings.gateways, settings.counter) == (3, 40, True)
    assert names.zones == tuple(zone_names()) and len(names.classes) == len(CLASSES)


def test_a_directory_returns_the_changes_since_a_version() -> None:
    entries = make_host_entries(4, UNUSED_HOST_ADDRESSES)
    directory = HostDirectory(entries)
    directory.change([entries[0].with_health("terminating")])
    directory.change([entries[1].with_health(TERMINATED), entries[0]])
    first, second = directory.changes_since(1), directory.changes_since(2)
    assert first.startswith(b'{"seq":3,"whole":false') and first.count(b'"host"') == 2
    assert second.count(b'"host"') == 2 and b"terminated" in second and b"terminating" not in second
    assert b'"whole":true' in directory.changes_since(7)  # an unknown version
    assert directory.whole_list().count(b'"host"') == 3
    assert directory.is_whole_list(directory.whole_list()) and not directory.is_whole_list(second)


def test_discovery_sends_the_real_client_the_list_and_each_change() -> None:
    async def main() -> None:
        entries = make_host_entries(30, UNUSED_HOST_ADDRESSES)
        service = DiscoveryService(entries)
        settings = settings_from(wire_settings(0, 1))
        node = Node(settings, 1, Clock(), asyncio.get_running_loop(), ample_memory())
        pools = HostPools(node, 30_000.0, 0)
        node.hosts = pools
        address = await service.listen("real")
        client = Discovery(node, pools, tuple(zone_names()), address, 1)
        client.start()
        await until(lambda: client.version == 1)
        assert node.decision_module.listed_count() == 30
        await with_timeout(service.wait_for_watchers(1))
        service.change([entries[0].with_health("terminating")])
        await with_timeout(service.wait_for_watchers(1))
        assert client.version == 2 and node.decision_module.skipped_count() == 1
        service.change([entry.with_health(TERMINATED) for entry in entries[1:11]])
        await with_timeout(service.wait_for_watchers(1))
        assert client.version == 3 and node.decision_module.listed_count() == 20
        traffic = service.traffic["real"]
        assert traffic.whole_lists == 1 and traffic.messages_in >= 4
        await client.stop()
        service.close()

    run(main())


def test_discovery_answers_a_watch_after_its_waiting_time_and_rejects_malformed_calls() -> None:
    async def main() -> None:
        service = DiscoveryService(make_host_entries(2, UNUSED_HOST_ADDRESSES))
        address = await service.listen("real")
        for path, status, part in (
            ("/discovery/hosts?index=1&wait=20", b"200", b'"hosts":[]'),
            ("/discovery/hosts?index=1", b"200", b'"hosts":[]'),
            ("/discovery/hosts?index=x", b"400", b""),
            ("/elsewhere", b"404", b""),
        ):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            head = await with_timeout(reader.readuntil(b"\r\n\r\n"))
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            assert status in head and part in await with_timeout(reader.readexactly(length))
            writer.close()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"no call at all\r\n\r\n")
        assert await with_timeout(reader.read()) == b""
        writer.close()
        await until(lambda: not service.watchers)
        service.close()

    run(main())


def test_a_slow_discovery_answers_calls_one_after_another() -> None:
    async def main() -> None:
        service = DiscoveryService(make_host_entries(2, UNUSED_HOST_ADDRESSES), answer_ms=30.0)
        address = await service.listen("real")
        loop = asyncio.get_running_loop()
        began = loop.time()
        pairs = [await asyncio.open_connection(*address) for _ in range(4)]
        for _, writer in pairs:
            writer.write(b"GET /discovery/hosts HTTP/1.1\r\nHost: h\r\n\r\n")
        for reader, writer in pairs:
            assert b"200" in await with_timeout(reader.readline())
            writer.close()
        assert loop.time() - began >= 0.115
        service.close()

    run(main())


def test_counts_expire_a_fixed_time_after_their_first_call() -> None:
    counts = CountStore()
    assert counts.add(b"a", 2.5, 1000, 0.0) == 2.5
    assert counts.add(b"a", -1.0, 90_000, 0.9) == 1.5  # does not extend its time to live
    assert counts.add(b"a", 4.0, 90_000, 1.0) == 4.0
    assert counts.add(b"b", 1.0, 90_000, 1.0) == 1.0
    counts.sweep(60.9)
    assert len(counts) == 2
    counts.sweep(61.0)  # the time to live is at most a minute
    assert len(counts) == 0


def test_the_counter_adds_for_the_real_client_and_rejects_malformed_calls() -> None:
    async def main() -> None:
        service = CounterService()
        address = await service.listen("real")
        answered: list[it.CountAnswered] = []
        node = Node(
            settings_from(wire_settings(0, 1)), 1, Clock(), asyncio.get_running_loop(), ample_memory()
        )
        node.dispatch = answered.append  # type: ignore[assignment, method-assign]
        counter = CounterClient(node, address)
        counter.call(7, 2.0, 4000.0)
        counter.call(7, 1.5, 4000.0)
        await until(lambda: len(answered) == 2)
        assert [(a.outcome, a.total) for a in answered] == [(it.Outcome.OK, 2.0), (it.Outcome.OK, 3.5)]
        service.accepts_calls = False
        counter.call(7, 1.0, 4000.0)
        await until(lambda: len(answered) == 3)
        assert answered[2].outcome is it.Outcome.FULL and service.traffic["real"].refused == 1
        reader, writer = await asyncio.open_connection(*address)
        service.accepts_calls = True
        for words in (
            (b"PING",),
            (b"CLIENT", b"x"),
            (b"GET", b"x"),
            (b"ADDGET", b"n" * 65, b"1", b"1"),
            (b"ADDGET", b"n", b"1e10", b"1"),
            (b"ADDGET", b"n", b"x", b"1"),
            (b"ADDGET", b"n", b"1", b"0"),
            (b"ADDGET", b"n", b"0.25", b"1"),
        ):
            writer.write(encode_array(words))
        lines = [await with_timeout(reader.readline()) for _ in range(9)]
        assert lines[:2] == [b"+PONG\r\n", b"+OK\r\n"] and all(
            line.startswith(b"-ERR") for line in lines[2:7]
        )
        assert lines[7:] == [b"$4\r\n", b"0.25\r\n"]
        writer.write(b"?")
        assert await with_timeout(reader.read()) == b""
        writer.close()
        counter.stop()
        service.close()

    run(main())


def test_the_counter_resets_connections_beyond_the_limit_of_one_caller() -> None:
    async def main() -> None:
        service = CounterService(max_per_caller=2)
        address = await service.listen("real")
        pairs = [await asyncio.open_connection(*address) for _ in range(2)]
        await until(lambda: sum(map(len, service.connections.values())) == 2)
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.suppress(ConnectionResetError):
            assert await with_timeout(reader.read()) == b""
        for _, open_writer in [*pairs, (reader, writer)]:
            open_writer.close()
        await until(lambda: not any(service.connections.values()))
        service.close()

    run(main())


def test_a_counter_with_a_call_rate_answers_calls_one_after_another() -> None:
    async def main() -> None:
        service = CounterService(calls_per_second=50.0)
        address = await service.listen("real")
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(*address)
        began = loop.time()
        for _ in range(5):
            writer.write(encode_array((b"ADDGET", b"n", b"1", b"1000")))
        totals = [
            (await with_timeout(reader.readline()), await with_timeout(reader.readline()))[1]
            for _ in range(5)
        ]
        assert totals == [b"%d\r\n" % n for n in range(1, 6)] and loop.time() - began >= 0.095
        writer.close()
        service.close()

    run(main())
    assert BUSY == b"-BUSY\r\n"


def test_hosts_answer_commands_and_state_the_time_taken() -> None:
    async def main() -> None:
        service = HostService(seed=1)
        (address,) = await service.listen(1)
        host, _, port = address.rpartition(":")
        client = await Client.connect((host, int(port)))
        tenants = Tenants(10, 4, 100.0, 1)
        drawn = tenants.draw(random.Random(1))
        client.send(*request_words(1, drawn))
        answer = await client.read_answer()
        assert len(answer) == 3 and answer[1:] == [None, None] and int(answer[0]) >= 2000
        client.send(b"PING")
        assert await client.read_answer() == b"PONG"
        client.send(b"INFO", b"load")
        assert await client.read_answer() == "-NOPERM"
        client.send(b"NOTHING")
        assert str(await client.read_answer()).startswith("-ERR")
        client.writer.close()
        await until(lambda: not service.connections)
        service.close()

    run(main())


def test_a_hollow_gateway_serves_requests_with_the_real_clients() -> None:
    async def main() -> None:
        discovery, counter = DiscoveryService(make_host_entries(20, UNUSED_HOST_ADDRESSES)), CounterService()
        addresses = Addresses(await discovery.listen("hollow"), await counter.listen("hollow"))
        arrived: list[Request] = []
        gateway = HollowGateway(0, 1, addresses, 1)
        gateway.hosts.on_first_attempt = arrived.append
        gateway.start()
        await until(lambda: gateway.version == 1)
        tenants, rng = Tenants(10, 1, 100.0, 1), random.Random(2)
        for _ in range(20):
            gateway.submit(tenants.draw(rng))
        await until(lambda: not gateway.node.requests)
        outcomes = gateway.client.outcome_counts
        assert (
            sum(outcomes.values()) == 20 and outcomes["served"] == len(arrived) > 0 and not outcomes["failed"]
        )
        assert counter.traffic["hollow"].messages_in > 0
        await gateway.stop()
        discovery.close()
        counter.close()

    run(main())


def test_tenants_depend_only_on_the_seed_and_their_requests_go_to_their_gateways() -> None:
    tenants, again = Tenants(50, 12, 1000.0, 3), Tenants(50, 12, 1000.0, 3)
    assert tenants.tenants == again.tenants != Tenants(50, 12, 1000.0, 4).tenants
    rng = random.Random(5)
    for _ in range(200):
        drawn = tenants.draw(rng)
        assert (drawn.gateway - drawn.tenant.first) % 12 < drawn.tenant.spread


def test_a_host_list_entry_is_encoded_as_the_protocol_requires() -> None:
    entry = HostListEntry("h-1", "127.0.0.1:9", "region0-zone0", 3, "in_service", 5.0)
    assert entry.encode() == (
        b'{"host":"h-1","dial":"127.0.0.1:9","site":"region0-zone0","class":"m2","block":3,'
        b'"health":"in_service","share":1.0,"born_ms":5.0}'
    )


@pytest.mark.parametrize("wait", ["-5", "0"])
def test_a_watch_without_waiting_time_is_answered_at_once(wait: str) -> None:
    async def main() -> None:
        service = DiscoveryService(make_host_entries(2, UNUSED_HOST_ADDRESSES))
        address = await service.listen("real")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET /discovery/hosts?index=1&wait={wait} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        assert b"200" in await with_timeout(reader.readline())
        writer.close()
        service.close()

    run(main())
