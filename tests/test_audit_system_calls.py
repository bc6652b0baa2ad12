"""System calls that fail for a moment, at the start, in service, at a reload and at the end."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
import socket
from pathlib import Path
from typing import Any

from rainturn.node.shutdown import shut_down
from tests.program import config_file, log_line, no_more_descriptors, program, started
from tests.sockets import WIRE, Client, Discovery, Peer, Totals, World, entry, run, served, soon

FOR_A_MOMENT_S = 0.1


class ShortOfDescriptors:
    """A listener whose accept fails for a while."""

    def __init__(self, real: socket.socket, error: int) -> None:
        self.real, self.error = real, error
        self.until = asyncio.get_running_loop().time() + FOR_A_MOMENT_S

    def accept(self) -> Any:
        if asyncio.get_running_loop().time() < self.until:
            raise OSError(self.error, "for a moment")
        return self.real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def test_who_waits_to_be_accepted_at_the_end_is_served_though_accept_fails_for_a_moment() -> None:
    """The machine has accepted these connections and their requests: a reset would lose them."""

    async def main() -> None:
        for error in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            async with World(lambda words: served()) as world:
                listener = world.parts.clients.listener
                assert listener is not None
                ending = asyncio.create_task(shut_down(world.parts, False))
                await asyncio.sleep(0.45)  # 0.05 s before the listener closes
                failing = ShortOfDescriptors(listener, error)
                world.parts.clients.listener = failing  # type: ignore[assignment]
                clients = [await world.client() for _ in range(5)]
                for client in clients:
                    client.ask(b"%d" % clients.index(client))
                for client in clients:
                    assert await client.answer() == b"value", errno.errorcode[error]
                await ending

    run(main())


def test_a_shortage_of_our_own_is_waited_out_and_blames_no_host(tmp_path: Path) -> None:
    """The first request holds the one connection; the next one's socket() fails for a moment."""

    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"held":
                await release.wait()
            return served()

        host, counter = await Peer(handler).start(), await Peer(Totals()).start()
        known = {"seq": 1, "whole": True, "hosts": [entry("h", host.dial)]}
        limits = WIRE["limits"] | {"connect_timeout_ms": 2000}
        settings = WIRE | {"limits": limits}
        async with program(tmp_path, known=known, counter=counter.dial, settings=settings) as (process, at):
            held, client = await Client.connect(at), await Client.connect(at)
            held.ask(b"held")
            await soon(host.commands.get())
            with no_more_descriptors(process):
                client.ask(b"1")
                await asyncio.sleep(FOR_A_MOMENT_S)
            assert await client.answer() == b"value"
            release.set()
            assert await held.answer() == b"value"
        for peer in (host, counter):
            peer.server.close()

    run(main())


def test_a_new_configuration_that_cannot_be_read_for_a_moment_is_in_force_soon(tmp_path: Path) -> None:
    async def main() -> None:
        old, new = [await Discovery().start() for _ in range(2)]
        dials = [f"{host}:{port}" for host, port in (old.address, new.address)]
        async with program(tmp_path, discovery=dials[0]) as (process, _):
            await soon(old.calls.get())
            path = tmp_path / "config.json"
            whole = json.dumps(json.loads(path.read_text()) | {"discovery": dials[1]})
            path.write_text(whole)
            with no_more_descriptors(process):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(FOR_A_MOMENT_S)
            assert await soon(new.calls.get()) == "/discovery/hosts"
        for agent in (old, new):
            agent.server.close()

    run(main())


def test_a_start_waits_out_a_listen_that_fails_for_a_moment(
    tmp_path: Path,
) -> None:
    """The process runs with a `socket.create_server` that has no buffers at first."""

    async def main() -> None:
        site = tmp_path / "sitecustomize.py"
        site.write_text(
            "import errno, socket\n"
            "real, left = socket.create_server, [3]\n"
            "def create_server(*args, **options):\n"
            "    left[0] -= 1\n"
            "    if left[0] >= 0:\n"
            "        raise OSError(errno.ENOBUFS, 'No buffer space available')\n"
            "    return real(*args, **options)\n"
            "socket.create_server = create_server\n"
        )
        control = "127.0.0.1:0"
        process, _ = await started(config_file(tmp_path, control=control), PYTHONPATH=str(tmp_path))
        process.send_signal(signal.SIGTERM)
        await log_line(process, b"stopped")
        assert await soon(process.wait()) == 0

    run(main())
