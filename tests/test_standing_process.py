"""The gateway process: shutdown under load, kill and restart, no clients, reloads, and a cold host."""

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

from rainturn.node import counter_client
from rainturn.node.resp import encode_array
from rainturn.node.shutdown import shut_down
from tests.program import open_descriptors, running_program
from tests.sockets import (
    DEFAULT_SETTINGS,
    Client,
    CounterHandler,
    Discovery,
    GatewaySetup,
    RespServer,
    host_entry,
    run,
    success_answer,
    with_timeout,
)

# Short deadlines, so that the shutdown ends soon.
SHORT_DEADLINES = {"classes": [one | {"hard_limit_ms": 900} for one in DEFAULT_SETTINGS["classes"]]}
FIELDS = b"c=%s,t=basic,d=800,units=1,spread=1,first=0"


async def _answers(client: Client) -> list[str]:
    """Return all answers up to the end of the connection."""
    answers = []
    with contextlib.suppress(EOFError, ConnectionError):
        while True:
            answers.append(str(await client.read_answer()))
    return answers


def test_shutdown_answers_more_requests_than_may_be_open_at_once() -> None:
    """Guards against the loss of requests that are read but still queued behind others at the end."""

    async def main() -> None:
        async with GatewaySetup(lambda words: None, settings=SHORT_DEADLINES) as setup:
            client = await setup.client()
            shutdown = asyncio.create_task(shut_down(setup.parts, False))
            await asyncio.sleep(0.6)
            for n in range(80):
                client.send_request(b"%d" % n, b"pay", body=b"x")
            answers = await _answers(client)
            assert len(answers) == 80 and set(answers) == {"-ERR failed", "-BUSY"}
            await shutdown
            await setup.wait_until_idle()

    run(main())


class Sender(asyncio.Protocol):
    """Sends three requests at once, and three more whenever all are answered, until its connection ends."""

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
            self.transport.write(encode_array([verb, b"00000000b4d65521", ident, FIELDS % kind]))

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while self.parser.gets() is not ...:
            self.answers += 1
            if self.answers == self.sent:
                self.send()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended.set()


def test_every_request_taken_before_the_end_is_answered() -> None:
    """Clients send as long as their connections are open; requests that were not taken may be sent again."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with GatewaySetup(*[lambda words: success_answer()] * 2, settings=SHORT_DEADLINES) as setup:
            senders = [Sender(b"%d" % n) for n in range(20)]
            for sender in senders:
                await loop.create_connection(lambda sender=sender: sender, *setup.address)  # type: ignore[misc]
            await shut_down(setup.parts, False)
            for sender in senders:
                await with_timeout(sender.ended.wait())
            await setup.wait_until_idle()
            assert 0 < setup.parts.node.last_request_number <= sum(sender.answers for sender in senders)

    run(main())


@pytest.mark.parametrize("half", [b"*3\r\n$5\r\nval", b"-BUS"])
def test_incomplete_line_from_host_at_shutdown_fails_its_request_and_delays_nothing(half: bytes) -> None:
    async def main() -> None:
        async with GatewaySetup(lambda words: None, settings=SHORT_DEADLINES) as setup:
            client, incomplete = await setup.client(), await setup.client()
            client.send_request(b"1", b"pay", 800, body=b"x")
            incomplete.writer.write(encode_array([b"API.READ"])[:12])  # half a command
            await with_timeout(setup.hosts[0].commands.get())
            writer = await with_timeout(setup.hosts[0].connected.get())
            shutdown = asyncio.create_task(shut_down(setup.parts, False))
            writer.write(half)
            assert await _answers(client) == ["-ERR failed"]
            assert await _answers(incomplete) in ([], ["-ERR the command did not come whole in time"])
            await shutdown
            await setup.wait_until_idle()

    run(main())


def test_process_killed_right_after_accept_is_replaced_at_its_address_at_once(
    tmp_path: Path,
) -> None:
    """Connections to the old process are reset, still in its backlog, or accepted by the new one."""

    async def main() -> None:
        host, counter = (
            await RespServer(lambda words: success_answer()).start(),
            await RespServer(CounterHandler()).start(),
        )
        changes = {
            "counter": counter.dial,
            "known": {"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]},
        }
        async with running_program(tmp_path, **changes) as (process, address):
            clients = [await Client.connect(address) for _ in range(20)]
            for n, client in enumerate(clients):
                client.send_request(b"%d" % n)
            assert await clients[0].read_answer() == b"value"  # all or some of the connections are accepted
            process.kill()
            for client in clients:
                await _answers(client)
        listen = f"{address[0]}:{address[1]}"
        async with running_program(tmp_path, listen=listen, **changes) as (process, new_address):
            assert new_address == address
            client = await Client.connect(new_address)
            client.send(b"PING")
            client.send_request(b"new")
            assert [await client.read_answer() for _ in range(2)] == [b"PONG", b"value"]
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0
        for peer in (host, counter):
            peer.server.close()

    run(main())


def test_process_without_requests_is_ready_opens_no_connections_and_ends_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        host, counter = (
            await RespServer(lambda words: success_answer()).start(),
            await RespServer(CounterHandler()).start(),
        )
        discovery = await Discovery().start()
        known = {"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]}
        changes = {
            "counter": counter.dial,
            "known": known,
            "discovery": f"{discovery.address[0]}:{discovery.address[1]}",
        }
        async with running_program(tmp_path, **changes) as (process, address):
            discovery.put({"seq": 2, "whole": False, "hosts": []})
            while "index=2&" not in await with_timeout(discovery.calls.get()):
                pass
            load_balancer = await Client.connect(address)
            load_balancer.send(b"PING")
            assert await load_balancer.read_answer() == b"PONG"
            descriptors_before = len(open_descriptors(process))
            for _ in range(3):
                discovery.put({"seq": 2, "whole": False, "hosts": []})
                await with_timeout(discovery.calls.get())
                load_balancer.send(b"PING")
                assert await load_balancer.read_answer() == b"PONG"
            assert (
                len(open_descriptors(process)) <= descriptors_before + 1
            )  # one for a watch that is being closed
            assert host.connected.empty() and counter.connected.empty()
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0
        for server in (host.server, counter.server, discovery.server):
            server.close()

    run(main())


def test_drain_after_reload_sends_no_new_requests_to_draining_host(tmp_path: Path) -> None:
    async def main() -> None:
        draining, remaining = [
            await RespServer(lambda words: success_answer(b"value")).start() for _ in range(2)
        ]
        hosts = [host_entry("leaves", draining.dial), host_entry("stays", remaining.dial)]
        old, new = [await Discovery().start() for _ in range(2)]
        dials = [f"{host}:{port}" for host, port in (old.address, new.address)]
        changes = {"known": {"seq": 1, "whole": True, "hosts": hosts}, "discovery": dials[0]}
        async with running_program(tmp_path, **changes) as (process, address):
            assert "index=1&" in await with_timeout(old.calls.get())
            path = tmp_path / "config.json"
            path.write_text(json.dumps(json.loads(path.read_text()) | {"discovery": dials[1]}))
            process.send_signal(signal.SIGHUP)
            assert await with_timeout(new.calls.get()) == "/discovery/hosts"
            new.put({"seq": 1, "whole": True, "hosts": hosts})
            assert "index=1&" in await with_timeout(new.calls.get())
            new.put({"seq": 2, "whole": False, "hosts": [hosts[0] | {"health": "terminating"}]})
            assert "index=2&" in await with_timeout(new.calls.get())
            client = await Client.connect(address)
            for n in range(20):
                client.send_request(b"%d" % n)
                assert await client.read_answer() == b"value"
            assert draining.commands.empty() and remaining.commands.qsize() == 20
        for server in (draining.server, remaining.server, old.server, new.server):
            server.close()

    run(main())


def test_reload_while_counter_is_silent_closes_connection_to_old_counter(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A partition cuts the old counter off: it neither answers nor closes its connections."""
    monkeypatch.setattr(counter_client, "DRAIN_TIMEOUT_S", 0.2)

    async def main() -> None:
        async with GatewaySetup(lambda words: success_answer(), counter=lambda words: None) as setup:
            client, new_counter = await setup.client(), await RespServer(CounterHandler()).start()
            client.send_request(b"1")
            await with_timeout(setup.counter.commands.get())
            setup.parts.counter.change_address(new_counter.address)
            await with_timeout(setup.counter.closed.get())
            client.send_request(b"2")
            await with_timeout(new_counter.commands.get())
            new_counter.server.close()

    run(main())


@pytest.mark.parametrize("clock_off_s", [-3600, -10, 0, 3600])
def test_thirty_gateways_together_do_not_overload_cold_host(clock_off_s: float) -> None:
    """Each gateway knows only its own requests; the bound N + 2 x sqrt(N) + 2 is for all of them together."""

    async def main() -> None:
        gateways, requests_each, fleet = 30, 10, 8
        peers = [await RespServer(lambda words: success_answer()).start() for _ in range(fleet)]
        rules = DEFAULT_SETTINGS["rules"]
        async with contextlib.AsyncExitStack() as stack:
            clients = []
            for number in range(gateways):
                wire = {"balancers": gateways, "me": number}
                setup = GatewaySetup(settings=wire, max_descriptors=80, seed=f"{number:x}")
                await stack.enter_async_context(setup)
                hosts = [host_entry(f"h{n}", peer.dial) for n, peer in enumerate(peers)]
                hosts[0]["born_ms"] = (time.time() + clock_off_s) * 1000  # it has just started
                setup.parts.discovery.apply({"seq": 2, "whole": True, "hosts": hosts})
                clients.append(await setup.client())
            for n in range(requests_each):
                for number, client in enumerate(clients):
                    client.send_request(b"%d.%d" % (number, n))
            for client in clients:
                for _ in range(requests_each):
                    assert await client.read_answer() == b"value"
            share = gateways * requests_each / fleet  # of a warm host when the fleet is just fully loaded
            allowed = rules["fall_multiple"] * rules["cold_from"] * share
            assert peers[0].commands.qsize() <= allowed + 2 * allowed**0.5 + 2
            assert all(peer.commands.qsize() for peer in peers[1:])
        for peer in peers:
            peer.server.close()

    run(main())
