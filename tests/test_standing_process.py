"""The gateway's own life: its end under load, kills and starts, no clients at all, and a cold host."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from pathlib import Path
from typing import Any

import hiredis
import pytest

from rainturn.node import counter as counter_module
from rainturn.node.resp import pack
from rainturn.node.shutdown import finish
from tests.program import descriptors, program
from tests.sockets import WIRE, Client, Discovery, Peer, Totals, World, entry, run, served, soon

SHORT = {"classes": [one | {"hard_limit_ms": 900} for one in WIRE["classes"]]}  # so that its end comes soon
FIELDS = b"c=%s,t=basic,d=800,units=1,spread=1,first=0"


async def _answers(client: Client) -> list[str]:
    """All answers up to the end of the connection."""
    answers = []
    with contextlib.suppress(EOFError, ConnectionError):
        while True:
            answers.append(str(await client.answer()))
    return answers


def test_more_requests_than_may_be_open_at_once_are_all_answered_at_the_end() -> None:
    """They have been read when the end comes; those that waited behind others are not lost with these."""

    async def main() -> None:
        async with World(lambda words: None, wire=SHORT) as world:
            client = await world.client()
            ending = asyncio.create_task(finish(world.parts, False))
            await asyncio.sleep(0.6)
            for n in range(80):
                client.ask(b"%d" % n, b"pay", body=b"x")
            answers = await _answers(client)
            assert len(answers) == 80 and set(answers) == {"-ERR failed", "-BUSY"}
            await ending
            await world.emptied()

    run(main())


class Sender(asyncio.Protocol):
    """Sends three requests at once, and three more whenever these are answered, until its connection ends."""

    def __init__(self, name: bytes) -> None:
        self.name, self.sent, self.answers = name, 0, 0
        self.parser = hiredis.Reader(notEnoughData=Ellipsis)
        self.ended = asyncio.Event()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.send()

    def send(self) -> None:
        for kind in (b"read", b"pay", b"read"):
            verb = b"API.READ" if kind == b"read" else b"API.WRITE"
            self.sent += 1
            ident = b"%s.%d" % (self.name, self.sent)
            self.transport.write(pack([verb, b"00000000b4d65521", ident, FIELDS % kind]))

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while self.parser.gets() is not ...:
            self.answers += 1
            if self.answers == self.sent:
                self.send()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended.set()


def test_what_clients_send_up_to_the_end_is_answered_if_it_was_taken() -> None:
    """They send on as long as their connections are open; what is not taken is theirs to send again."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with World(*[lambda words: served()] * 2, wire=SHORT) as world:
            senders = [Sender(b"%d" % n) for n in range(20)]
            for sender in senders:
                await loop.create_connection(lambda sender=sender: sender, *world.address)  # type: ignore[misc]
            await finish(world.parts, False)
            for sender in senders:
                await soon(sender.ended.wait())
            await world.emptied()
            assert 0 < world.parts.node.last_request_number <= sum(sender.answers for sender in senders)

    run(main())


@pytest.mark.parametrize("half", [b"*3\r\n$5\r\nval", b"-BUS"])
def test_half_a_line_from_a_host_at_the_end_fails_its_request_and_holds_up_nothing(half: bytes) -> None:
    async def main() -> None:
        async with World(lambda words: None, wire=SHORT) as world:
            client, begun = await world.client(), await world.client()
            client.ask(b"1", b"pay", 800, body=b"x")
            begun.writer.write(pack([b"API.READ"])[:12])  # half a command
            await soon(world.hosts[0].commands.get())
            writer = await soon(world.hosts[0].connected.get())
            ending = asyncio.create_task(finish(world.parts, False))
            writer.write(half)
            assert await _answers(client) == ["-ERR failed"]
            assert await _answers(begun) in ([], ["-ERR the command did not come whole in time"])
            await ending
            await world.emptied()

    run(main())


def test_a_process_that_is_killed_right_after_an_accept_is_replaced_at_its_address_at_once(
    tmp_path: Path,
) -> None:
    """Clients' connections of the old one are reset, are still in its backlog, or end at the new one."""

    async def main() -> None:
        host, counter = await Peer(lambda words: served()).start(), await Peer(Totals()).start()
        change = {
            "counter": counter.dial,
            "known": {"seq": 1, "whole": True, "hosts": [entry("h", host.dial)]},
        }
        async with program(tmp_path, **change) as (process, address):
            clients = [await Client.connect(address) for _ in range(20)]
            for n, client in enumerate(clients):
                client.ask(b"%d" % n)
            assert await clients[0].answer() == b"value"  # accepted, all or some
            process.kill()
            for client in clients:
                await _answers(client)
        listen = f"{address[0]}:{address[1]}"
        async with program(tmp_path, listen=listen, **change) as (process, again):
            assert again == address
            client = await Client.connect(again)
            client.send(b"PING")
            client.ask(b"new")
            assert [await client.answer() for _ in range(2)] == [b"PONG", b"value"]
            process.send_signal(signal.SIGTERM)
            assert await soon(process.wait()) == 0
        for peer in (host, counter):
            peer.server.close()

    run(main())


def test_a_process_that_serves_nobody_is_ready_calls_nobody_and_ends_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        host, counter = await Peer(lambda words: served()).start(), await Peer(Totals()).start()
        agent = await Discovery().start()
        known = {"seq": 1, "whole": True, "hosts": [entry("h", host.dial)]}
        change = {
            "counter": counter.dial,
            "known": known,
            "discovery": f"{agent.address[0]}:{agent.address[1]}",
        }
        async with program(tmp_path, **change) as (process, address):
            agent.put({"seq": 2, "whole": False, "hosts": []})
            while "index=2&" not in await soon(agent.calls.get()):
                pass
            front = await Client.connect(address)
            front.send(b"PING")
            assert await front.answer() == b"PONG"
            held = len(descriptors(process))
            for _ in range(3):
                agent.put({"seq": 2, "whole": False, "hosts": []})
                await soon(agent.calls.get())
                front.send(b"PING")
                assert await front.answer() == b"PONG"
            assert len(descriptors(process)) <= held + 1  # a watch on its way out
            assert host.connected.empty() and counter.connected.empty()
            process.send_signal(signal.SIGTERM)
            assert await soon(process.wait()) == 0
        for server in (host.server, counter.server, agent.server):
            server.close()

    run(main())


def test_a_reload_followed_by_a_drain_sends_nothing_new_to_the_host_that_leaves(tmp_path: Path) -> None:
    async def main() -> None:
        leaves, stays = [await Peer(lambda words: served(b"value")).start() for _ in range(2)]
        hosts = [entry("leaves", leaves.dial), entry("stays", stays.dial)]
        old, new = [await Discovery().start() for _ in range(2)]
        dials = [f"{host}:{port}" for host, port in (old.address, new.address)]
        change = {"known": {"seq": 1, "whole": True, "hosts": hosts}, "discovery": dials[0]}
        async with program(tmp_path, **change) as (process, address):
            assert "index=1&" in await soon(old.calls.get())
            path = tmp_path / "config.json"
            path.write_text(json.dumps(json.loads(path.read_text()) | {"discovery": dials[1]}))
            process.send_signal(signal.SIGHUP)
            assert await soon(new.calls.get()) == "/discovery/hosts"
            new.put({"seq": 1, "whole": True, "hosts": hosts})
            assert "index=1&" in await soon(new.calls.get())
            new.put({"seq": 2, "whole": False, "hosts": [hosts[0] | {"health": "terminating"}]})
            assert "index=2&" in await soon(new.calls.get())
            client = await Client.connect(address)
            for n in range(20):
                client.ask(b"%d" % n)
                assert await client.answer() == b"value"
            assert leaves.commands.empty() and stays.commands.qsize() == 20
        for server in (leaves.server, stays.server, old.server, new.server):
            server.close()

    run(main())


def test_a_reload_while_the_counter_is_silent_leaves_no_connection_to_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was cut off: it neither answers nor closes."""
    monkeypatch.setattr(counter_module, "RETIRE_S", 0.2, raising=False)

    async def main() -> None:
        async with World(lambda words: served(), counter=lambda words: None) as world:
            client, moved = await world.client(), await Peer(Totals()).start()
            client.ask(b"1")
            await soon(world.counter.commands.get())
            world.parts.counter.move(moved.address)
            await soon(world.counter.closed.get())
            client.ask(b"2")
            await soon(moved.commands.get())
            moved.server.close()

    run(main())


@pytest.mark.parametrize("clock_off_s", [-3600, -10, 0, 3600])
def test_thirty_gateways_together_do_not_push_a_cold_host_over(clock_off_s: float) -> None:
    """Each knows only its own requests; the bound is that of all of them, N + 2 x root of N + 2."""

    async def main() -> None:
        gateways, each, fleet = 30, 10, 8
        peers = [await Peer(lambda words: served()).start() for _ in range(fleet)]
        rules = WIRE["rules"]
        async with contextlib.AsyncExitStack() as stack:
            clients = []
            for number in range(gateways):
                wire = {"balancers": gateways, "me": number}
                world = World(wire=wire, descriptors=80, seed=f"{number:x}")
                await stack.enter_async_context(world)
                hosts = [entry(f"h{n}", peer.dial) for n, peer in enumerate(peers)]
                hosts[0]["born_ms"] = (time.time() + clock_off_s) * 1000  # it has just started
                world.parts.discovery.apply({"seq": 2, "whole": True, "hosts": hosts})
                clients.append(await world.client())
            for n in range(each):
                for number, client in enumerate(clients):
                    client.ask(b"%d.%d" % (number, n))
            for client in clients:
                for _ in range(each):
                    assert await client.answer() == b"value"
            share = gateways * each / fleet  # what a warm host can do, if the fleet is just busy
            allowed = rules["fall_multiple"] * rules["cold_from"] * share
            assert peers[0].commands.qsize() <= allowed + 2 * allowed**0.5 + 2
            assert all(peer.commands.qsize() for peer in peers[1:])
        for peer in peers:
            peer.server.close()

    run(main())
