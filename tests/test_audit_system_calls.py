"""System calls that fail temporarily: at the start, in service, at a reload and at shutdown."""

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

FAILURE_S = 0.1


class FailingAccept:
    """A listener whose accept fails with an error for `FAILURE_S`."""

    def __init__(self, real: socket.socket, error: int) -> None:
        self.real, self.error = real, error
        self.until = asyncio.get_running_loop().time() + FAILURE_S

    def accept(self) -> Any:
        if asyncio.get_running_loop().time() < self.until:
            raise OSError(self.error, "temporary failure")
        return self.real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def test_pending_connections_are_served_at_shutdown_despite_failing_accepts() -> None:
    """The kernel has already established these connections, and a reset would lose their requests."""

    async def main() -> None:
        for error in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            async with World(lambda words: served()) as world:
                listener = world.parts.clients.listener
                assert listener is not None
                shutdown = asyncio.create_task(shut_down(world.parts, False))
                await asyncio.sleep(0.45)  # 0.05 s before the listener closes
                failing = FailingAccept(listener, error)
                world.parts.clients.listener = failing  # type: ignore[assignment]
                clients = [await world.client() for _ in range(5)]
                for client in clients:
                    client.ask(b"%d" % clients.index(client))
                for client in clients:
                    assert await client.answer() == b"value", errno.errorcode[error]
                await shutdown

    run(main())


def test_a_shortage_of_descriptors_delays_a_connect_and_fails_no_request(tmp_path: Path) -> None:
    """The first request occupies the only connection, and the socket() call of the second fails at first."""

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
                await asyncio.sleep(FAILURE_S)
            assert await client.answer() == b"value"
            release.set()
            assert await held.answer() == b"value"
        for peer in (host, counter):
            peer.server.close()

    run(main())


def test_a_new_configuration_is_applied_after_a_temporary_failure_to_read_it(tmp_path: Path) -> None:
    async def main() -> None:
        old, new = [await Discovery().start() for _ in range(2)]
        dials = [f"{host}:{port}" for host, port in (old.address, new.address)]
        async with program(tmp_path, discovery=dials[0]) as (process, _):
            await soon(old.calls.get())
            path = tmp_path / "config.json"
            changed = json.dumps(json.loads(path.read_text()) | {"discovery": dials[1]})
            path.write_text(changed)
            with no_more_descriptors(process):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(FAILURE_S)
            assert await soon(new.calls.get()) == "/discovery/hosts"
        for agent in (old, new):
            agent.server.close()

    run(main())


def test_a_start_retries_to_listen_after_temporary_failures(tmp_path: Path) -> None:
    """The process runs with a `socket.create_server` that at first fails for lack of buffers."""

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
