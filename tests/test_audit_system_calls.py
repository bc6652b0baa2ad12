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
from tests.program import next_log_line, no_more_descriptors, running_program, start_program, write_config
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
            async with GatewaySetup(lambda words: success_answer()) as setup:
                listener = setup.parts.clients.listener
                assert listener is not None
                shutdown = asyncio.create_task(shut_down(setup.parts, False))
                await asyncio.sleep(0.45)  # 0.05 s before the listener closes
                failing = FailingAccept(listener, error)
                setup.parts.clients.listener = failing  # type: ignore[assignment]
                clients = [await setup.client() for _ in range(5)]
                for client in clients:
                    client.send_request(b"%d" % clients.index(client))
                for client in clients:
                    assert await client.read_answer() == b"value", errno.errorcode[error]
                await shutdown

    run(main())


def test_a_shortage_of_descriptors_delays_a_connect_and_fails_no_request(tmp_path: Path) -> None:
    """The first request occupies the only connection, and the socket() call of the second fails at first."""

    async def main() -> None:
        release = asyncio.Event()

        async def handler(words: list[bytes]) -> bytes:
            if words[2] == b"held":
                await release.wait()
            return success_answer()

        host, counter = await RespServer(handler).start(), await RespServer(CounterHandler()).start()
        known = {"seq": 1, "whole": True, "hosts": [host_entry("h", host.dial)]}
        limits = DEFAULT_SETTINGS["limits"] | {"connect_timeout_ms": 2000}
        settings = DEFAULT_SETTINGS | {"limits": limits}
        async with running_program(tmp_path, known=known, counter=counter.dial, settings=settings) as (
            process,
            at,
        ):
            held, client = await Client.connect(at), await Client.connect(at)
            held.send_request(b"held")
            await with_timeout(host.commands.get())
            with no_more_descriptors(process):
                client.send_request(b"1")
                await asyncio.sleep(FAILURE_S)
            assert await client.read_answer() == b"value"
            release.set()
            assert await held.read_answer() == b"value"
        for peer in (host, counter):
            peer.server.close()

    run(main())


def test_a_new_configuration_is_applied_after_a_temporary_failure_to_read_it(tmp_path: Path) -> None:
    async def main() -> None:
        old, new = [await Discovery().start() for _ in range(2)]
        dials = [f"{host}:{port}" for host, port in (old.address, new.address)]
        async with running_program(tmp_path, discovery=dials[0]) as (process, _):
            await with_timeout(old.calls.get())
            path = tmp_path / "config.json"
            changed = json.dumps(json.loads(path.read_text()) | {"discovery": dials[1]})
            path.write_text(changed)
            with no_more_descriptors(process):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(FAILURE_S)
            assert await with_timeout(new.calls.get()) == "/discovery/hosts"
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
        process, _ = await start_program(write_config(tmp_path, control=control), PYTHONPATH=str(tmp_path))
        process.send_signal(signal.SIGTERM)
        await next_log_line(process, b"stopped")
        assert await with_timeout(process.wait()) == 0

    run(main())
